package distributor_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"jackdawcart.org/core/assigner"
	"jackdawcart.org/core/detector"
	"jackdawcart.org/core/distributor"
	"jackdawcart.org/core/messenger/peerpb"
)

const (
	controlStep   = 100 * time.Millisecond
	controlWindow = 5 * time.Minute
	// frameOverhead is the size of a yamux frame header and a message length.
	frameOverhead = 12 + 4
	documentBytes = 2048
	// A failure domain at design scale has 1,556 targets and 289 nodes.
	targetsPerMember = 1556.0 / 289

	// Design bounds on the control traffic, CPU time and memory of a node and on
	// the propagation time of a change.
	maxBytesPerSecond = 22e3
	maxCorePercent    = 1.2
	maxMemoryBytes    = 64 << 20
	maxPropagation    = 14 * time.Second
)

type simulatedNode struct {
	detector     *detector.Detector
	distributor  *distributor.Distributor
	assigner     *assigner.Assigner
	viewRevision uint64
	joined       bool
}

type encodedFrame struct {
	from, to int
	body     []byte
}

// simulation runs a failure domain of complete nodes on virtual time. Frames are
// encoded and decoded as on a session.
type simulation struct {
	now           time.Time
	rng           *rand.Rand
	nodes         []*simulatedNode
	index         map[string]int
	inFlight      []encodedFrame
	sentBytes     int
	largestFrame  int
	documents     []*peerpb.Document
	revision      uint64
	propagating   map[int]time.Time
	slowestChange time.Duration
}

func newSimulation(members, services int) *simulation {
	c := &simulation{now: start, rng: rand.New(rand.NewPCG(1, 1)), index: map[string]int{}, propagating: map[int]time.Time{}}
	for i := range services {
		c.revision++
		c.documents = append(c.documents, c.document(i))
	}
	for i := range members {
		c.index[c.name(i)] = i
		c.nodes = append(c.nodes, nil)
	}
	for i := range members {
		c.start(i)
	}
	return c
}

func (c *simulation) name(i int) string { return fmt.Sprintf("vm-%03d-parana", i) }

func (c *simulation) document(service int) *peerpb.Document {
	return &peerpb.Document{Service: fmt.Sprintf("service-%04d", service), Revision: c.revision, Body: make([]byte, documentBytes)}
}

func (c *simulation) start(i int) {
	n := &simulatedNode{
		detector: detector.New(c.now, detector.Settings{
			Node: c.name(i), FailureDomain: "parana", Version: "1.0.0", Incarnation: uint64(c.now.UnixMilli()),
			RelayAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000),
		}),
		distributor: distributor.New(distributor.Settings{Node: c.name(i), FailureDomain: "parana"}),
		assigner:    assigner.New(c.name(i)),
	}
	n.detector.SetReadsStore(true)
	n.detector.SetGateway(netip.MustParseAddrPort("10.0.0.1:8080"), 1)
	var targets []assigner.Target
	for t := range int(targetsPerMember * float64(len(c.nodes))) {
		targets = append(targets, assigner.Target{Name: fmt.Sprintf("target-%d", t), Limit: 25})
	}
	n.assigner.SetTargets(c.now, c.rng, targets)
	c.nodes[i] = n
	if i > 0 {
		sendAll(c, i, n.detector.Join(c.name(0)))
	}
}

func (c *simulation) send(from int, to string, frame *peerpb.Frame) {
	body, err := proto.Marshal(frame)
	if err != nil {
		panic(err)
	}
	c.sentBytes += len(body) + frameOverhead
	c.largestFrame = max(c.largestFrame, len(body))
	c.inFlight = append(c.inFlight, encodedFrame{from, c.index[to], body})
}

func sendAll[O detector.Outgoing | distributor.Outgoing | assigner.Outgoing](c *simulation, from int, out []O) {
	for _, each := range out {
		switch o := any(each).(type) {
		case detector.Outgoing:
			c.send(from, o.To, o.Frame)
		case distributor.Outgoing:
			c.send(from, o.To, o.Frame)
		case assigner.Outgoing:
			c.send(from, o.To, o.Frame)
		}
	}
}

func (c *simulation) receive(p encodedFrame) {
	var frame peerpb.Frame
	if err := proto.Unmarshal(p.body, &frame); err != nil {
		panic(err)
	}
	n, from := c.nodes[p.to], c.name(p.from)
	sendAll(c, p.to, n.detector.Handle(c.now, from, &frame))
	sendAll(c, p.to, n.distributor.Handle(c.now, c.rng, from, &frame))
	sendAll(c, p.to, n.assigner.Handle(c.now, c.rng, from, &frame))
}

func (c *simulation) step() {
	c.now = c.now.Add(controlStep)
	for i, n := range c.nodes {
		sendAll(c, i, n.detector.Tick(c.now, c.rng))
		c.updateView(i, n)
		sendAll(c, i, n.distributor.Tick(c.now, c.rng))
		sendAll(c, i, n.assigner.Tick(c.now))
		joined := len(c.nodes) == 1 || n.joined
		if joined && n.distributor.ShouldReadStore(c.now) && n.distributor.StoreRevision() < c.revision {
			c.readStore(i, n)
		}
	}
	for len(c.inFlight) > 0 {
		p := c.inFlight[0]
		c.inFlight = c.inFlight[1:]
		c.receive(p)
	}
	c.recordPropagation()
}

func (c *simulation) readStore(i int, n *simulatedNode) {
	after := n.distributor.StoreRevision()
	var docs []*peerpb.Document
	for _, doc := range c.documents {
		if doc.Revision > after {
			docs = append(docs, proto.Clone(doc).(*peerpb.Document))
		}
	}
	if n.distributor.Ready() {
		sendAll(c, i, n.distributor.ApplyChanges(c.now, c.rng, c.revision, docs))
		return
	}
	sendAll(c, i, n.distributor.ApplySnapshot(c.now, c.rng, c.revision, docs))
}

// updateView passes a changed membership to the distributor and the assigner, as
// the process does.
func (c *simulation) updateView(i int, n *simulatedNode) {
	if n.viewRevision == n.detector.Revision() {
		return
	}
	n.viewRevision = n.detector.Revision()
	var peers []distributor.Peer
	var members []assigner.Member
	for _, m := range n.detector.Members() {
		if m.State.Live() {
			peers = append(peers, distributor.Peer{Node: m.Node, ReachesStore: m.ReadsStore})
		}
		members = append(members, assigner.Member{Node: m.Node, Live: m.State.Live(), Left: m.State == detector.Left, Since: m.Since})
	}
	n.joined = len(peers) > 1
	n.distributor.SetPeers(peers)
	sendAll(c, i, n.assigner.SetView(c.now, c.rng, members))
}

func (c *simulation) changeDocument() {
	c.revision++
	service := c.rng.IntN(len(c.documents))
	c.documents[service] = c.document(service)
	c.propagating[service] = c.now
}

// recordPropagation records the longest time that a change took to be applied on
// every node.
func (c *simulation) recordPropagation() {
	for service, since := range c.propagating {
		want, everywhere := c.documents[service], true
		for _, n := range c.nodes {
			doc, _ := n.distributor.Document(want.Service)
			everywhere = everywhere && doc.GetRevision() == want.Revision
		}
		if everywhere {
			c.slowestChange = max(c.slowestChange, c.now.Sub(since))
			delete(c.propagating, service)
		}
	}
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

func (c *simulation) every(perDay int, do func()) func() {
	if perDay == 0 {
		return func() {}
	}
	period := 24 * time.Hour / time.Duration(perDay)
	next := c.now.Add(period)
	return func() {
		for !c.now.Before(next) {
			next = next.Add(period)
			do()
		}
	}
}

type controlCase struct{ members, services, changes, restarts int }

func (k controlCase) run(b *testing.B) {
	before := heapBytes()
	c := newSimulation(k.members, k.services)
	for range 60 * time.Second / controlStep {
		c.step()
	}
	memory := (heapBytes() - before) / float64(k.members)
	for i, n := range c.nodes {
		if !n.distributor.Ready() || len(n.detector.Members()) != k.members {
			b.Fatalf("node %d has not started", i)
		}
	}
	changeDocument := c.every(k.changes, c.changeDocument)
	restart := c.every(k.restarts, func() { c.start(1 + c.rng.IntN(k.members-1)) })
	c.sentBytes = 0
	used := cpuTime()
	for range controlWindow / controlStep {
		changeDocument()
		restart()
		c.step()
	}
	used = cpuTime() - used
	nodeSeconds := float64(k.members) * controlWindow.Seconds()
	rate, core := float64(c.sentBytes)/nodeSeconds, 100*used.Seconds()/nodeSeconds
	if k.changes <= 13_000 && (rate > maxBytesPerSecond || core > maxCorePercent || memory > maxMemoryBytes || c.slowestChange > maxPropagation) {
		b.Errorf("design bounds exceeded: %.0f B/s, %.2f%% of a core, %.0f bytes, slowest change %v", rate, core, memory, c.slowestChange)
	}
	b.ReportMetric(rate, "B/s/node")
	b.ReportMetric(core, "%core/node")
	b.ReportMetric(memory/(1<<20), "MB/node")
	b.ReportMetric(c.slowestChange.Seconds(), "s-slowest-change")
	b.ReportMetric(float64(c.largestFrame)/(1<<10), "KB-largest")
	b.ReportMetric(0, "ns/op")
	runtime.KeepAlive(c)
}

// BenchmarkControl measures the control traffic that a node sends, its CPU time
// and its memory. Single factors are varied from a base of 64 members, 500
// services and 13,000 changes a day.
func BenchmarkControl(b *testing.B) {
	base := controlCase{members: 64, services: 500, changes: 13_000}
	for _, k := range []controlCase{
		base,
		{members: 16},
		{members: 289},
		{services: 50},
		{services: 5000},
		{changes: 1},
		{changes: 130_000},
		{restarts: 611},
		{restarts: 6110},
		{members: 289, services: 5000, restarts: 611},
	} {
		k.members = cmp.Or(k.members, base.members)
		k.services = cmp.Or(k.services, base.services)
		k.changes = cmp.Or(k.changes, base.changes)
		name := fmt.Sprintf("members=%d/services=%d/changes=%d/restarts=%d", k.members, k.services, k.changes, k.restarts)
		b.Run(name, k.run)
	}
}
