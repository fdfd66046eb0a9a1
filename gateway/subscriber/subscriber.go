// Package subscriber receives the control state that relays publish:
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

// retryDelay is the delay between two attempts to subscribe to a relay.
const retryDelay = 300 * time.Millisecond

// Sessions opens sessions to relays.
type Sessions interface {
	Session(ctx context.Context, addr netip.AddrPort) (*messenger.Session, error)
}

// Subscriber keeps subscriptions to relays and the state received from them.
type Subscriber struct {
	settings *loader.Settings
	sessions Sessions
	table    *planner.Table
	timers   *timer.Service
	log      *zap.Logger
	// onLiveRelay is called with each relay that is known to be live.
	onLiveRelay func(relay string)

	ready atomic.Bool

	mu         sync.Mutex
	members    map[string]*peerpb.Member
	quarantine map[uint64]time.Time
	revision   uint64
	// confirmedAt is when the store last confirmed the configuration.
	confirmedAt time.Time
	// configuredAt is when a complete configuration was first in force.
	configuredAt time.Time
}

// New returns a subscriber that updates the table. OnLiveRelay may only be called
// before Run.
func New(settings *loader.Settings, sessions Sessions, table *planner.Table, timers *timer.Service, log *zap.Logger) *Subscriber {
	return &Subscriber{
		settings: settings, sessions: sessions, table: table, timers: timers, log: log,
		members:     make(map[string]*peerpb.Member),
		quarantine:  make(map[uint64]time.Time),
		onLiveRelay: func(string) {},
	}
}

// OnLiveRelay sets the function that is called with each relay known to be live.
func (s *Subscriber) OnLiveRelay(onLiveRelay func(relay string)) { s.onLiveRelay = onLiveRelay }

// maxTargetWait limits how long a gateway with a configuration waits for targets
// that cover every service before it is ready. A newly started relay may open
// connections only after the hold-down of their previous owner.
const maxTargetWait = 6 * time.Second

// Ready reports whether a configuration is in force and either its targets cover
// every service or maxTargetWait has passed. A ready gateway stays ready: without
// targets it can still answer that a request was not run.
func (s *Subscriber) Ready() bool {
	if s.ready.Load() {
		return true
	}
	s.mu.Lock()
	since := s.configuredAt
	s.mu.Unlock()
	if since.IsZero() {
		return false
	}
	if s.table.FullyCovered() || s.timers.Now().Sub(since) >= maxTargetWait {
		s.ready.Store(true)
	}
	return s.ready.Load()
}

// keepSubscribed subscribes to the relay at addr and renews an ended subscription
// until the context ends.
func (s *Subscriber) keepSubscribed(ctx context.Context, addr netip.AddrPort) {
	for ctx.Err() == nil {
		if err := s.subscribe(ctx, addr); err != nil && ctx.Err() == nil {
			s.log.Debug("subscription ended", zap.Stringer("relay", addr), zap.Error(err))
		}
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
		}
	}
}

// subscribe applies the updates of the relay at addr until its stream ends.
func (s *Subscriber) subscribe(ctx context.Context, addr netip.AddrPort) error {
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
	s.recordPeer(session.Peer(), addr)
	s.onLiveRelay(session.Peer().Node)
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
		s.table.Apply(s.withoutDeadRelays(kind.TargetUpdate.Targets), s.timers.Now())
	case *peerpb.Frame_MembersUpdate:
		s.applyMembers(kind.MembersUpdate)
	case *peerpb.Frame_QuarantineUpdate:
		s.applyQuarantine(kind.QuarantineUpdate)
	}
}

// withoutDeadRelays drops the reports of relays that are dead or have left. Another
// relay may still publish them until it detects the failure. A restarted relay has
// a higher incarnation than any record of its previous process.
func (s *Subscriber) withoutDeadRelays(states []*peerpb.TargetState) []*peerpb.TargetState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(states, func(state *peerpb.TargetState) bool {
		m, ok := s.members[state.Relay]
		return ok && !isLive(m) && state.Incarnation <= m.Incarnation
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
			s.log.Error("cannot parse document", zap.String("service", d.Service), zap.Error(err))
			continue
		}
		s.table.Put(doc, d.Revision, now)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = max(s.revision, update.StoreRevision)
	if confirmedAt := now.Add(-update.Age.AsDuration()); update.Age != nil && confirmedAt.After(s.confirmedAt) {
		s.confirmedAt = confirmedAt
	}
	if s.revision > 0 && update.Complete && s.configuredAt.IsZero() {
		s.configuredAt = now
	}
}

// Configuration returns the store revision in force and when the store last
// confirmed it.
func (s *Subscriber) Configuration() (revision uint64, confirmedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision, s.confirmedAt
}

func (s *Subscriber) applyMembers(update *peerpb.MembersUpdate) {
	now := s.timers.Now()
	var liveNodes, deadNodes []string
	s.mu.Lock()
	for _, m := range update.Members {
		if known, ok := s.members[m.Node]; ok && !overrides(m, known) {
			continue
		}
		s.members[m.Node] = m
		if isLive(m) {
			liveNodes = append(liveNodes, m.Node)
		} else {
			deadNodes = append(deadNodes, m.Node)
		}
	}
	s.mu.Unlock()
	for _, node := range liveNodes {
		s.onLiveRelay(node)
	}
	for _, node := range deadNodes {
		s.table.RemoveRelay(node, now)
	}
}

// overrides reports whether record a of a member replaces record b. At the same
// incarnation the worse state, which has the higher value, is the newer one.
func overrides(a, b *peerpb.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.State >= b.State
}

func isLive(m *peerpb.Member) bool {
	return m.State == peerpb.MemberState_MEMBER_STATE_ALIVE || m.State == peerpb.MemberState_MEMBER_STATE_SUSPECT
}

// recordPeer adds a connected relay to the members, because no member update may
// have listed it yet.
func (s *Subscriber) recordPeer(peer *peerpb.Hello, addr netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.members[peer.Node]
	if ok && isLive(known) {
		return
	}
	// Any record of this incarnation replaces this one, but no older record does, which
	// would be from before the relay left. Without a known record the incarnation is 0.
	s.members[peer.Node] = &peerpb.Member{
		Node: peer.Node, FailureDomain: peer.FailureDomain, RelayAddress: addr.String(),
		State: peerpb.MemberState_MEMBER_STATE_ALIVE, Incarnation: known.GetIncarnation(),
	}
}

// RelayAddress returns the address at which a relay accepts sessions.
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

// Members returns the latest record of each node.
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

// Quarantined reports whether the request with this fingerprint must not be sent
// to any target.
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

// Quarantine returns the quarantined fingerprints and the expiry time of each.
func (s *Subscriber) Quarantine() map[uint64]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.quarantine)
}
