// Package publisher sends a relay's view of configuration, members, targets and
// quarantine to its subscribers: first the complete state, then each change.
package publisher

import (
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"jackdawcart.org/core/messenger/peerpb"
)

// Stream carries frames to a subscriber.
type Stream interface {
	Send(frame *peerpb.Frame) error
	Close() error
}

// targetsPerFrame keeps the frames of the initial update far below the maximum
// frame size; a state with its shard map takes about a kilobyte.
const targetsPerFrame = 100

type targetKey struct{ service, set, target, relay string }

// Publisher holds the published state and the subscribers.
type Publisher struct {
	mu          sync.Mutex
	subscribers map[Stream]*peerpb.Subscribe
	documents   map[string]*peerpb.Document
	revision    uint64
	confirmedAt time.Time
	targets     map[targetKey]*peerpb.TargetState
	members     map[string]*peerpb.Member
	quarantine  map[uint64]expiringEntry
	relay       string
}

// expiringEntry is a quarantine entry with its expiry time.
type expiringEntry struct {
	entry *peerpb.QuarantineEntry
	until time.Time
}

// New returns a publisher with an empty state for the given relay.
func New(relay string) *Publisher {
	return &Publisher{
		subscribers: make(map[Stream]*peerpb.Subscribe),
		documents:   make(map[string]*peerpb.Document),
		targets:     make(map[targetKey]*peerpb.TargetState),
		members:     make(map[string]*peerpb.Member),
		quarantine:  make(map[uint64]expiringEntry),
		relay:       relay,
	}
}

// Subscribe sends the complete state to a stream, and from then on each change.
func (p *Publisher) Subscribe(stream Stream, wanted *peerpb.Subscribe) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.subscribers[stream] = wanted
	p.send(stream, p.membersUpdate(values(p.members)))
	p.send(stream, quarantineUpdate(p.remainingQuarantine()))
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

// PutDocuments publishes changed documents, or only a new store revision and the
// time at which the store last confirmed the configuration, zero if never. The
// first call must pass a complete configuration. A subscriber is ready with the
// first update marked complete, whether it subscribed before or after this call.
func (p *Publisher) PutDocuments(documents []*peerpb.Document, revision uint64, confirmedAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range documents {
		p.documents[d.Service] = d
	}
	p.revision, p.confirmedAt = revision, confirmedAt
	p.broadcast(p.configUpdate(documents, true))
}

// PutMembers publishes the complete list of members.
func (p *Publisher) PutMembers(members []*peerpb.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.members)
	for _, m := range members {
		p.members[m.Node] = m
	}
	p.broadcast(p.membersUpdate(members))
}

// PutTarget publishes a target's state as reported by this relay or another one.
// It ignores a state that is not newer than the known one.
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

// targetsFor returns the initial target states for a subscriber.
func (p *Publisher) targetsFor(wanted *peerpb.Subscribe) []*peerpb.TargetState {
	states := values(p.targets)
	if !wanted.OwnTargets {
		return states
	}
	return slices.DeleteFunc(states, func(s *peerpb.TargetState) bool { return s.Relay != p.relay })
}

// RemoveTarget publishes that this relay no longer owns a target.
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

// RemoveRelay deletes the target states reported by a relay that died or left.
func (p *Publisher) RemoveRelay(relay string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key := range p.targets {
		if key.relay == relay {
			delete(p.targets, key)
		}
	}
}

// PutQuarantine replaces the quarantine entries and publishes them.
func (p *Publisher) PutQuarantine(entries []*peerpb.QuarantineEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.quarantine)
	now := time.Now()
	for _, e := range entries {
		p.quarantine[e.Fingerprint] = expiringEntry{e, now.Add(e.Remaining.AsDuration())}
	}
	p.broadcast(quarantineUpdate(entries))
}

// remainingQuarantine returns the entries with their remaining time. It is zero
// for expired entries, which clears them at a gateway that missed the change.
func (p *Publisher) remainingQuarantine() []*peerpb.QuarantineEntry {
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

// Broadcast sends a frame to every subscriber.
func (p *Publisher) Broadcast(frame *peerpb.Frame) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broadcast(frame)
}

func (p *Publisher) broadcast(frame *peerpb.Frame) {
	for stream := range p.subscribers {
		p.send(stream, frame)
	}
}

// send sends a frame to a subscriber that wants its kind. It drops a subscriber
// that does not keep up, which then resubscribes and gets the complete state.
func (p *Publisher) send(stream Stream, frame *peerpb.Frame) {
	wanted, ok := p.subscribers[stream]
	if !ok || !matches(wanted, frame) {
		return
	}
	if stream.Send(frame) != nil {
		delete(p.subscribers, stream)
		stream.Close()
	}
}

func matches(wanted *peerpb.Subscribe, frame *peerpb.Frame) bool {
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
	if !p.confirmedAt.IsZero() {
		update.Age = durationpb.New(time.Since(p.confirmedAt))
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
