// Package subscriber follows the control state that relays publish:
// configuration, members, targets and quarantine.
package subscriber

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/core/loader"
	"jackdawcart.org/core/messenger"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/parser"
	"jackdawcart.org/core/planner"
	"jackdawcart.org/core/timer"
)

// retryDelay spaces attempts to subscribe to a relay.
const retryDelay = 300 * time.Millisecond

// Sessions opens sessions to relays.
type Sessions interface {
	Session(ctx context.Context, addr netip.AddrPort) (*messenger.Session, error)
}

// Subscriber keeps subscriptions to relays and the state that they give.
type Subscriber struct {
	settings *loader.Settings
	sessions Sessions
	table    *planner.Table
	timers   *timer.Service
	log      *zap.Logger
	// found is called with each relay that is known to be live.
	found func(relay string)

	ready atomic.Bool

	mu         sync.Mutex
	members    map[string]*peerpb.Member
	quarantine map[uint64]time.Time
	revision   uint64
	confirmed  time.Time
	// configured is when a complete configuration was first in force.
	configured time.Time
}

// New returns a subscriber that fills the table. OnRelay may follow before
// the call of Run.
func New(settings *loader.Settings, sessions Sessions, table *planner.Table, timers *timer.Service, log *zap.Logger) *Subscriber {
	return &Subscriber{
		settings: settings, sessions: sessions, table: table, timers: timers, log: log,
		members:    make(map[string]*peerpb.Member),
		quarantine: make(map[uint64]time.Time),
		found:      func(string) {},
	}
}

// OnRelay sets what is called with each relay that is known to be live.
func (s *Subscriber) OnRelay(found func(relay string)) { s.found = found }

// targetWait is how long a gateway with a configuration waits until its targets
// cover every service before it counts as ready. A relay that has just started may open
// connections only after the hold-down of their former owner.
const targetWait = 6 * time.Second

// Ready reports whether a configuration is in force and its targets have had
// time to be found. Once ready, a gateway stays so: without any target it still
// tells its callers that nothing was run.
func (s *Subscriber) Ready() bool {
	if s.ready.Load() {
		return true
	}
	s.mu.Lock()
	since := s.configured
	s.mu.Unlock()
	if since.IsZero() {
		return false
	}
	if s.table.FullyCovered() || s.timers.Now().Sub(since) >= targetWait {
		s.ready.Store(true)
	}
	return s.ready.Load()
}

// keep renews a subscription to the relay at addr until the context ends.
func (s *Subscriber) keep(ctx context.Context, addr netip.AddrPort) {
	for ctx.Err() == nil {
		if err := s.follow(ctx, addr); err != nil && ctx.Err() == nil {
			s.log.Debug("subscription ended", zap.Stringer("relay", addr), zap.Error(err))
		}
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
		}
	}
}

func (s *Subscriber) follow(ctx context.Context, addr netip.AddrPort) error {
	session, err := s.sessions.Session(ctx, addr)
	if err != nil {
		return err
	}
	stream, err := session.Open()
	if err != nil {
		return err
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { stream.Close() })
	defer stop()
	s.heardOf(session.Peer(), addr)
	s.found(session.Peer().Node)
	err = stream.Send(&peerpb.Frame{Kind: &peerpb.Frame_Subscribe{Subscribe: &peerpb.Subscribe{
		Configuration: true, Targets: true, Members: true, Quarantine: true,
	}}})
	if err != nil {
		return err
	}
	for {
		frame, err := stream.Receive()
		if err != nil {
			return err
		}
		s.apply(frame)
	}
}

func (s *Subscriber) apply(frame *peerpb.Frame) {
	switch kind := frame.Kind.(type) {
	case *peerpb.Frame_ConfigUpdate:
		s.applyConfig(kind.ConfigUpdate)
	case *peerpb.Frame_TargetUpdate:
		s.table.Apply(s.fromLive(kind.TargetUpdate.Targets), s.timers.Now())
	case *peerpb.Frame_MembersUpdate:
		s.applyMembers(kind.MembersUpdate)
	case *peerpb.Frame_QuarantineUpdate:
		s.applyQuarantine(kind.QuarantineUpdate)
	}
}

// fromLive leaves out the reports of relays that have died or left: another
// relay may send them again before it has heard. A later process of the relay
// has a higher incarnation than any record of the former one.
func (s *Subscriber) fromLive(states []*peerpb.TargetState) []*peerpb.TargetState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(states, func(state *peerpb.TargetState) bool {
		m, ok := s.members[state.Relay]
		return ok && !live(m) && state.Incarnation <= m.Incarnation
	})
}

func (s *Subscriber) applyConfig(update *peerpb.ConfigUpdate) {
	now := s.timers.Now()
	for _, d := range update.Documents {
		if d.Deleted {
			s.table.Delete(d.Service, d.Revision, now)
			continue
		}
		doc, err := parser.Parse(d.Body)
		if err != nil {
			s.log.Error("document cannot be used", zap.String("service", d.Service), zap.Error(err))
			continue
		}
		s.table.Put(doc, d.Revision, now)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = max(s.revision, update.StoreRevision)
	if confirmed := now.Add(-update.Age.AsDuration()); update.Age != nil && confirmed.After(s.confirmed) {
		s.confirmed = confirmed
	}
	if s.revision > 0 && update.Complete && s.configured.IsZero() {
		s.configured = now
	}
}

// Configuration returns the store revision in force and when the store last
// confirmed it.
func (s *Subscriber) Configuration() (revision uint64, confirmed time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision, s.confirmed
}

func (s *Subscriber) applyMembers(update *peerpb.MembersUpdate) {
	now := s.timers.Now()
	var met, gone []string
	s.mu.Lock()
	for _, m := range update.Members {
		if known, ok := s.members[m.Node]; ok && !overrides(m, known) {
			continue
		}
		s.members[m.Node] = m
		if live(m) {
			met = append(met, m.Node)
		} else {
			gone = append(gone, m.Node)
		}
	}
	s.mu.Unlock()
	for _, node := range met {
		s.found(node)
	}
	for _, node := range gone {
		s.table.RemoveRelay(node, now)
	}
}

// overrides reports whether record a of a member is newer than b. At the same
// incarnation the worse state is the newer one.
func overrides(a, b *peerpb.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.State >= b.State
}

func live(m *peerpb.Member) bool {
	return m.State == peerpb.MemberState_MEMBER_STATE_ALIVE || m.State == peerpb.MemberState_MEMBER_STATE_SUSPECT
}

// heardOf notes the address of a relay before any members list names it.
func (s *Subscriber) heardOf(peer *peerpb.Hello, addr netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.members[peer.Node]; ok && live(known) {
		return
	}
	// Any record of the member itself is newer than this one.
	s.members[peer.Node] = &peerpb.Member{
		Node: peer.Node, FailureDomain: peer.FailureDomain, RelayAddress: addr.String(),
		State: peerpb.MemberState_MEMBER_STATE_ALIVE,
	}
}

// RelayAddress returns where a relay accepts sessions.
func (s *Subscriber) RelayAddress(node string) (netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.members[node]
	if !ok {
		return netip.AddrPort{}, false
	}
	addr, err := netip.ParseAddrPort(m.RelayAddress)
	return addr, err == nil
}

// Gateway returns the incarnation and the session address of a node's gateway.
func (s *Subscriber) Gateway(node string) (incarnation uint64, addr netip.AddrPort, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.members[node]
	if !ok || m.GatewayAddress == "" {
		return 0, netip.AddrPort{}, false
	}
	addr, err := netip.ParseAddrPort(m.GatewayAddress)
	return m.GatewayIncarnation, addr, err == nil
}

// Gateways returns the nodes with a live gateway.
func (s *Subscriber) Gateways() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var nodes []string
	for _, m := range s.members {
		if m.GatewayAddress != "" && m.State == peerpb.MemberState_MEMBER_STATE_ALIVE {
			nodes = append(nodes, m.Node)
		}
	}
	slices.Sort(nodes)
	return nodes
}

// Members returns what is known of the nodes.
func (s *Subscriber) Members() []*peerpb.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*peerpb.Member, 0, len(s.members))
	for _, m := range s.members {
		list = append(list, m)
	}
	return list
}

func (s *Subscriber) applyQuarantine(update *peerpb.QuarantineUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.timers.Now()
	for _, e := range update.Entries {
		if e.Remaining.AsDuration() <= 0 {
			delete(s.quarantine, e.Fingerprint)
			continue
		}
		s.quarantine[e.Fingerprint] = now.Add(e.Remaining.AsDuration())
	}
}

// Quarantined reports whether a request must not reach any target.
func (s *Subscriber) Quarantined(fingerprint uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.quarantine[fingerprint]
	if !ok {
		return false
	}
	if s.timers.Now().After(until) {
		delete(s.quarantine, fingerprint)
		return false
	}
	return true
}

// Quarantine returns the refused fingerprints and when each is let go.
func (s *Subscriber) Quarantine() map[uint64]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.quarantine)
}
