// Package publisher sends a relay's view of configuration, members, targets
// and quarantine to its subscribers: first everything, then each change.
package publisher

import (
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"jackdawcart.org/core/messenger/peerpb"
)

// Stream is where a subscriber's frames go.
type Stream interface {
	Send(frame *peerpb.Frame) error
	Close() error
}

// targetsPerFrame keeps the frames of a first update far below the limit of a
// frame; a state with its shard map takes about a kilobyte.
const targetsPerFrame = 100

type targetKey struct{ service, set, target, relay string }

// Publisher holds what subscribers are told.
type Publisher struct {
	mu          sync.Mutex
	subscribers map[Stream]*peerpb.Subscribe
	documents   map[string]*peerpb.Document
	revision    uint64
	confirmed   time.Time
	targets     map[targetKey]*peerpb.TargetState
	members     map[string]*peerpb.Member
	quarantine  map[uint64]quarantined
	relay       string
}

// quarantined is an entry and when it ends.
type quarantined struct {
	entry *peerpb.QuarantineEntry
	until time.Time
}

// New returns a publisher of the given relay that has nothing to tell yet.
func New(relay string) *Publisher {
	return &Publisher{
		subscribers: make(map[Stream]*peerpb.Subscribe),
		documents:   make(map[string]*peerpb.Document),
		targets:     make(map[targetKey]*peerpb.TargetState),
		members:     make(map[string]*peerpb.Member),
		quarantine:  make(map[uint64]quarantined),
		relay:       relay,
	}
}

// Subscribe sends everything known to a stream, and from then on each change.
func (p *Publisher) Subscribe(stream Stream, wanted *peerpb.Subscribe) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.subscribers[stream] = wanted
	p.send(stream, p.membersUpdate(values(p.members)))
	p.send(stream, quarantineUpdate(p.quarantineNow()))
	for _, document := range p.documents {
		p.send(stream, p.configUpdate([]*peerpb.Document{document}, false))
	}
	for states := range slices.Chunk(p.targetsFor(wanted), targetsPerFrame) {
		p.send(stream, targetUpdate(states))
	}
	if p.revision > 0 {
		p.send(stream, p.configUpdate(nil, true))
	}
}

// Unsubscribe ends a subscription.
func (p *Publisher) Unsubscribe(stream Stream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.subscribers, stream)
}

// PutDocuments announces documents, or only a new store revision and its age.
// The first call brings a complete configuration, so that a subscriber is ready
// with the first update marked complete, whether it came before or after.
func (p *Publisher) PutDocuments(documents []*peerpb.Document, revision uint64, confirmed time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range documents {
		p.documents[d.Service] = d
	}
	p.revision, p.confirmed = revision, confirmed
	p.broadcast(p.configUpdate(documents, true))
}

// PutMembers announces the complete list of members.
func (p *Publisher) PutMembers(members []*peerpb.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.members)
	for _, m := range members {
		p.members[m.Node] = m
	}
	p.broadcast(p.membersUpdate(members))
}

// PutTarget announces a target's state, own or heard from another relay.
func (p *Publisher) PutTarget(state *peerpb.TargetState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := targetKey{state.Service, state.Set, state.Target, state.Relay}
	if known, ok := p.targets[key]; ok && !state.NewerThan(known) {
		return
	}
	p.targets[key] = state
	frame := targetUpdate([]*peerpb.TargetState{state})
	for stream, wanted := range p.subscribers {
		if !wanted.OwnTargets || state.Relay == p.relay {
			p.send(stream, frame)
		}
	}
}

// targetsFor returns the states that a new subscriber gets.
func (p *Publisher) targetsFor(wanted *peerpb.Subscribe) []*peerpb.TargetState {
	states := values(p.targets)
	if !wanted.OwnTargets {
		return states
	}
	return slices.DeleteFunc(states, func(s *peerpb.TargetState) bool { return s.Relay != p.relay })
}

// RemoveTarget announces that this relay no longer owns a target.
func (p *Publisher) RemoveTarget(service, set, target string) {
	p.mu.Lock()
	known := p.targets[targetKey{service, set, target, p.relay}]
	p.mu.Unlock()
	if known == nil {
		return
	}
	p.PutTarget(&peerpb.TargetState{
		Service: service, Set: set, Target: target,
		Phase: peerpb.TargetPhase_TARGET_PHASE_UNKNOWN,
		Relay: known.Relay, Incarnation: known.Incarnation, Sequence: known.Sequence + 1,
	})
}

// ForgetRelay drops the reports of a relay that has died or left.
func (p *Publisher) ForgetRelay(relay string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key := range p.targets {
		if key.relay == relay {
			delete(p.targets, key)
		}
	}
}

// PutQuarantine announces quarantine entries.
func (p *Publisher) PutQuarantine(entries []*peerpb.QuarantineEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.quarantine)
	now := time.Now()
	for _, e := range entries {
		p.quarantine[e.Fingerprint] = quarantined{e, now.Add(e.Remaining.AsDuration())}
	}
	p.broadcast(quarantineUpdate(entries))
}

// quarantineNow returns the entries with the time that is left. Those that are
// over have none, which ends them at a gateway that has missed it.
func (p *Publisher) quarantineNow() []*peerpb.QuarantineEntry {
	var entries []*peerpb.QuarantineEntry
	for _, q := range p.quarantine {
		left := max(time.Until(q.until), 0)
		entries = append(entries, &peerpb.QuarantineEntry{
			Fingerprint: q.entry.Fingerprint, Remaining: durationpb.New(left), LostTargets: q.entry.LostTargets,
		})
	}
	return entries
}

// Targets returns the known states of all targets.
func (p *Publisher) Targets() []*peerpb.TargetState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return values(p.targets)
}

// Announce sends a frame to every subscriber.
func (p *Publisher) Announce(frame *peerpb.Frame) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broadcast(frame)
}

func (p *Publisher) broadcast(frame *peerpb.Frame) {
	for stream := range p.subscribers {
		p.send(stream, frame)
	}
}

// send drops a subscriber that does not keep up; it will subscribe again and
// then gets everything.
func (p *Publisher) send(stream Stream, frame *peerpb.Frame) {
	wanted, ok := p.subscribers[stream]
	if !ok || !wants(wanted, frame) {
		return
	}
	if stream.Send(frame) != nil {
		delete(p.subscribers, stream)
		stream.Close()
	}
}

func wants(wanted *peerpb.Subscribe, frame *peerpb.Frame) bool {
	switch frame.Kind.(type) {
	case *peerpb.Frame_ConfigUpdate:
		return wanted.Configuration
	case *peerpb.Frame_MembersUpdate:
		return wanted.Members
	case *peerpb.Frame_TargetUpdate:
		return wanted.Targets
	case *peerpb.Frame_QuarantineUpdate:
		return wanted.Quarantine
	default:
		return true
	}
}

func (p *Publisher) configUpdate(documents []*peerpb.Document, complete bool) *peerpb.Frame {
	update := &peerpb.ConfigUpdate{Documents: documents, StoreRevision: p.revision, Complete: complete}
	if !p.confirmed.IsZero() {
		update.Age = durationpb.New(time.Since(p.confirmed))
	}
	return &peerpb.Frame{Kind: &peerpb.Frame_ConfigUpdate{ConfigUpdate: update}}
}

func (p *Publisher) membersUpdate(members []*peerpb.Member) *peerpb.Frame {
	return &peerpb.Frame{Kind: &peerpb.Frame_MembersUpdate{
		MembersUpdate: &peerpb.MembersUpdate{Members: members, Complete: true},
	}}
}

func targetUpdate(states []*peerpb.TargetState) *peerpb.Frame {
	return &peerpb.Frame{Kind: &peerpb.Frame_TargetUpdate{TargetUpdate: &peerpb.TargetUpdate{Targets: states}}}
}

func quarantineUpdate(entries []*peerpb.QuarantineEntry) *peerpb.Frame {
	return &peerpb.Frame{Kind: &peerpb.Frame_QuarantineUpdate{
		QuarantineUpdate: &peerpb.QuarantineUpdate{Entries: entries},
	}}
}

func values[K comparable, V any](m map[K]V) []V {
	list := make([]V, 0, len(m))
	for _, v := range m {
		list = append(list, v)
	}
	return list
}
