package costs_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"jackdawcart.org/core/acceptor"
	"jackdawcart.org/core/dispatcher"
	"jackdawcart.org/core/messenger"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/parser"
	"jackdawcart.org/core/planner"
	"jackdawcart.org/core/scatterer"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/core/tracer"
	"jackdawcart.org/gateway/courier"
	"jackdawcart.org/relay/connector"
	"jackdawcart.org/relay/forwarder"
	"jackdawcart.org/relay/inspector"
	"jackdawcart.org/relay/publisher"
)

const (
	relayName = "relay-1"
	domain    = "rosario"
	service   = "registro-campo"
	slots     = 64
	allotment = 64
)

type fixedKeys [][]byte

func (k fixedKeys) SharedKeys() [][]byte { return k }

var keys = fixedKeys{[]byte("a key that only the benchmark knows")}

// relay is the data path of a relay, built from the production packages.
type relay struct {
	address   netip.AddrPort
	connector *connector.Connector
	publisher *publisher.Publisher
}

func newRelay(tb testing.TB) *relay {
	tb.Helper()
	log := zap.NewNop()
	timers := timer.NewService()
	publish := publisher.New(relayName)
	inspect := inspector.New(1, timers, publish, log)
	dispatch := dispatcher.New(timers, inspect)
	connect := connector.New(relayName, 1, timers, dispatch, publish, tracer.Disabled(), log)
	forward := forwarder.New(timers, dispatch, inspect, connect, 1<<20, tally.NoopScope, log)
	ctx, cancel := context.WithCancel(context.Background())
	listener, err := acceptor.Listen(ctx, netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		tb.Fatal(err)
	}
	hello := &peerpb.Hello{Node: relayName, Protocol: messenger.ProtocolVersion}
	accept := acceptor.New(keys, hello, func(ctx context.Context, peer *peerpb.Hello, stream *messenger.Stream) {
		if first, err := stream.Receive(); err == nil {
			forward.Serve(ctx, peer, stream, first)
		}
	}, log)
	go accept.Run(ctx, listener)
	tb.Cleanup(func() {
		connect.Close()
		dispatch.Close()
		cancel()
		timers.Close()
	})
	return &relay{address: netip.MustParseAddrPort(listener.Addr().String()), connector: connect, publisher: publish}
}

func (r *relay) ownTargets(targets []*target) {
	owned := make([]connector.Target, len(targets))
	for i, t := range targets {
		owned[i] = connector.Target{
			Service: service, Set: "new", Name: targetName(i), Address: t.address, FailureDomain: domain,
			Slots: slots, Connections: 4 * allotment, Allotment: allotment, Owners: 1,
		}
	}
	r.connector.Own(owned)
}

func targetName(i int) string { return fmt.Sprintf("target-%d", i) }

// RelayAddress implements courier.Directory: every name resolves to this relay.
func (r *relay) RelayAddress(string) (netip.AddrPort, bool) { return r.address, true }

// receiver passes answers to the engine, like the gateway.
type receiver struct{ engine *scatterer.Engine }

func (r receiver) Deliver(answer *peerpb.SubAnswer)       { r.engine.Deliver(answer) }
func (r receiver) DeliverExecute(_ *peerpb.ExecuteAnswer) {}
func (r receiver) Lost(relay string)                      { r.engine.LostRelay(relay) }

// gateway is the data path of a gateway, built from the production packages.
type gateway struct {
	engine *scatterer.Engine
	table  *planner.Table
	links  *messenger.Links
}

func newGateway(tb testing.TB, r *relay) *gateway {
	tb.Helper()
	timers := timer.NewService()
	peers := messenger.NewPeers(keys, &peerpb.Hello{Node: "gateway-1", Protocol: messenger.ProtocolVersion})
	links := messenger.NewLinks(peers)
	sender := courier.New(links, r)
	table := planner.NewTable()
	config := scatterer.DefaultConfig(domain)
	// The number of hedges depends on the load of the host, and each hedge
	// adds a sub-request.
	config.DisableHedges = true
	engine := scatterer.New(config, timers, table, sender)
	sender.SetReceiver(receiver{engine})
	sender.Preconnect(relayName)
	for !sender.Ready() {
		time.Sleep(time.Millisecond)
	}
	tb.Cleanup(func() {
		links.Close()
		peers.Close()
		timers.Close()
	})
	return &gateway{engine: engine, table: table, links: links}
}

// deployment connects a gateway, a relay and targets. The shards are distributed
// over the targets round-robin.
type deployment struct {
	*gateway
	*relay
}

func newDeployment(tb testing.TB, shards, targets, hits int) *deployment {
	tb.Helper()
	targets = min(shards, targets)
	names := make([]string, shards)
	for i := range names {
		names[i] = fmt.Sprintf("shard-%02d", i)
	}
	r := newRelay(tb)
	served := make([]*target, targets)
	for i := range served {
		served[i] = newTarget(tb, names, hits)
	}
	r.ownTargets(served)
	d := &deployment{newGateway(tb, r), r}
	d.applyState(names, served)
	return d
}

// applyState applies the service document and the target states to the table of
// the gateway.
func (d *deployment) applyState(shards []string, targets []*target) {
	document := &parser.Document{
		Service:   service,
		Sets:      []parser.Set{{Name: "new"}},
		Answering: parser.Answering{Lead: "new", Deadline: parser.Duration(time.Second), HedgeBudget: 0.05},
	}
	snapshot := &peerpb.Snapshot{Id: "one", Sequence: 1}
	for _, shard := range shards {
		snapshot.Shards = append(snapshot.Shards, &peerpb.Shard{Name: shard, Weight: 1})
	}
	var states []*peerpb.TargetState
	for i, t := range targets {
		document.Sets[0].Targets = append(document.Sets[0].Targets, parser.Target{
			Name: targetName(i), Address: t.address, FailureDomain: domain, Slots: slots, Connections: 4 * allotment,
		})
		targetSnapshot := &peerpb.Snapshot{Id: snapshot.Id, Sequence: snapshot.Sequence, Shards: snapshot.Shards}
		for j := i; j < len(shards); j += len(targets) {
			targetSnapshot.Held = append(targetSnapshot.Held, shards[j])
		}
		states = append(states, &peerpb.TargetState{
			Service: service, Set: "new", Target: targetName(i), Address: t.address.String(), FailureDomain: domain,
			Phase: peerpb.TargetPhase_TARGET_PHASE_SERVING, Slots: slots, Snapshots: []*peerpb.Snapshot{targetSnapshot},
			Relay: relayName, Incarnation: 1, Sequence: 1,
		})
	}
	// After an hour of serving, the ramp-up of a target has ended.
	servingSince := time.Now().Add(-time.Hour)
	d.table.Put(document, 1, servingSince)
	d.table.Apply(states, servingSince)
}

// query runs one query and returns the number of sub-requests without an answer
// from a target. With many sub-requests in flight in a closed loop, the relay
// abandons some of them as silent or late.
func (d *deployment) query(tb testing.TB) int {
	entry, ok := d.table.Service(service)
	if !ok {
		tb.Error("the service is not in force")
		return 0
	}
	answer := d.engine.Query(context.Background(), &scatterer.Request{
		Services: []*planner.Service{entry}, Caller: "inspector", Text: "down-conductor school", Limit: 20,
		Deadline: time.Now().Add(10 * time.Second),
	})
	return answer.Stats.Subs - answer.Stats.Answered
}
