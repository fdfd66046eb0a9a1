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
	s := &simulation{now: start, rng: rand.New(rand.NewPCG(1, 1)), index: map[string]int{}, propagating: map[int]time.Time{}}
	for i := range services {
		s.revision++
		s.documents = append(s.documents, s.document(i))
	}
	for i := range members {
		s.index[s.name(i)] = i
		s.nodes = append(s.nodes, nil)
	}
	for i := range members {
		s.start(i)
	}
	return s
}

func (s *simulation) name(i int) string { return fmt.Sprintf("vm-%03d-parana", i) }

func (s *simulation) document(service int) *peerpb.Document {
	return &peerpb.Document{Service: fmt.Sprintf("service-%04d", service), Revision: s.revision, Body: make([]byte, documentBytes)}
}

func (s *simulation) start(i int) {
	n := &simulatedNode{
		detector: detector.New(s.now, detector.Settings{
			Node: s.name(i), FailureDomain: "parana", Version: "1.0.0", Incarnation: uint64(s.now.UnixMilli()),
			RelayAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000),
		}),
		distributor: distributor.New(distributor.Settings{Node: s.name(i), FailureDomain: "parana"}),
		assigner:    assigner.New(s.name(i)),
	}
	n.detector.SetReachesStore(true)
	n.detector.SetGateway(netip.MustParseAddrPort("10.0.0.1:8080"), 1)
	var targets []assigner.Target
	for t := range int(targetsPerMember * float64(len(s.nodes))) {
		targets = append(targets, assigner.Target{Name: fmt.Sprintf("target-%d", t), Limit: 25})
	}
	n.assigner.SetTargets(s.now, s.rng, targets)
	s.nodes[i] = n
	if i > 0 {
		sendAll(s, i, n.detector.Join(s.name(0)))
	}
}

func (s *simulation) send(from int, to string, frame *peerpb.Frame) {
	body, err := proto.Marshal(frame)
	if err != nil {
		panic(err)
	}
	s.sentBytes += len(body) + frameOverhead
	s.largestFrame = max(s.largestFrame, len(body))
	s.inFlight = append(s.inFlight, encodedFrame{from, s.index[to], body})
}

func sendAll[O detector.Outgoing | distributor.Outgoing | assigner.Outgoing](s *simulation, from int, out []O) {
	for _, each := range out {
		switch o := any(each).(type) {
		case detector.Outgoing:
			s.send(from, o.To, o.Frame)
		case distributor.Outgoing:
			s.send(from, o.To, o.Frame)
		case assigner.Outgoing:
			s.send(from, o.To, o.Frame)
		}
	}
}

func (s *simulation) receive(p encodedFrame) {
	var frame peerpb.Frame
	if err := proto.Unmarshal(p.body, &frame); err != nil {
		panic(err)
	}
	n, from := s.nodes[p.to], s.name(p.from)
	sendAll(s, p.to, n.detector.Handle(s.now, from, &frame))
	sendAll(s, p.to, n.distributor.Handle(s.now, s.rng, from, &frame))
	sendAll(s, p.to, n.assigner.Handle(s.now, s.rng, from, &frame))
}

func (s *simulation) step() {
	s.now = s.now.Add(controlStep)
	for i, n := range s.nodes {
		sendAll(s, i, n.detector.Tick(s.now, s.rng))
		s.updateView(i, n)
		sendAll(s, i, n.distributor.Tick(s.now, s.rng))
		sendAll(s, i, n.assigner.Tick(s.now))
		joined := len(s.nodes) == 1 || n.joined
		if joined && n.distributor.ShouldReadStore(s.now) && n.distributor.StoreRevision() < s.revision {
			s.readStore(i, n)
		}
	}
	for len(s.inFlight) > 0 {
		p := s.inFlight[0]
		s.inFlight = s.inFlight[1:]
		s.receive(p)
	}
	s.recordPropagation()
}

func (s *simulation) readStore(i int, n *simulatedNode) {
	after := n.distributor.StoreRevision()
	var docs []*peerpb.Document
	for _, doc := range s.documents {
		if doc.Revision > after {
			docs = append(docs, proto.Clone(doc).(*peerpb.Document))
		}
	}
	if n.distributor.Ready() {
		sendAll(s, i, n.distributor.ApplyChanges(s.now, s.rng, s.revision, docs))
		return
	}
	sendAll(s, i, n.distributor.ApplySnapshot(s.now, s.rng, s.revision, docs))
}

// updateView passes a changed membership to the distributor and the assigner, as
// the process does.
func (s *simulation) updateView(i int, n *simulatedNode) {
	if n.viewRevision == n.detector.Revision() {
		return
	}
	n.viewRevision = n.detector.Revision()
	var peers []distributor.Peer
	var members []assigner.Member
	for _, m := range n.detector.Members() {
		if m.State.Live() {
			peers = append(peers, distributor.Peer{Node: m.Node, ReachesStore: m.ReachesStore})
		}
		members = append(members, assigner.Member{Node: m.Node, Live: m.State.Live(), Left: m.State == detector.Left, Since: m.Since})
	}
	n.joined = len(peers) > 1
	n.distributor.SetPeers(peers)
	sendAll(s, i, n.assigner.SetView(s.now, s.rng, members))
}

func (s *simulation) changeDocument() {
	s.revision++
	service := s.rng.IntN(len(s.documents))
	s.documents[service] = s.document(service)
	s.propagating[service] = s.now
}

// recordPropagation records the longest time that a change took to be applied on
// every node.
func (s *simulation) recordPropagation() {
	for service, since := range s.propagating {
		want, everywhere := s.documents[service], true
		for _, n := range s.nodes {
			doc, _ := n.distributor.Document(want.Service)
			everywhere = everywhere && doc.GetRevision() == want.Revision
		}
		if everywhere {
			s.slowestChange = max(s.slowestChange, s.now.Sub(since))
			delete(s.propagating, service)
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

func (s *simulation) every(perDay int, do func()) func() {
	if perDay == 0 {
		return func() {}
	}
	period := 24 * time.Hour / time.Duration(perDay)
	next := s.now.Add(period)
	return func() {
		for !s.now.Before(next) {
			next = next.Add(period)
			do()
		}
	}
}

type controlCase struct{ members, services, changes, restarts int }

func (k controlCase) run(b *testing.B) {
	before := heapBytes()
	s := newSimulation(k.members, k.services)
	for range 60 * time.Second / controlStep {
		s.step()
	}
	memory := (heapBytes() - before) / float64(k.members)
	for i, n := range s.nodes {
		if !n.distributor.Ready() || len(n.detector.Members()) != k.members {
			b.Fatalf("node %d has not started", i)
		}
	}
	changeDocument := s.every(k.changes, s.changeDocument)
	restart := s.every(k.restarts, func() { s.start(1 + s.rng.IntN(k.members-1)) })
	s.sentBytes = 0
	used := cpuTime()
	for range controlWindow / controlStep {
		changeDocument()
		restart()
		s.step()
	}
	used = cpuTime() - used
	nodeSeconds := float64(k.members) * controlWindow.Seconds()
	rate, core := float64(s.sentBytes)/nodeSeconds, 100*used.Seconds()/nodeSeconds
	if k.changes <= 13_000 && (rate > maxBytesPerSecond || core > maxCorePercent || memory > maxMemoryBytes || s.slowestChange > maxPropagation) {
		b.Errorf("design bounds exceeded: %.0f B/s, %.2f%% of a core, %.0f bytes, slowest change %v", rate, core, memory, s.slowestChange)
	}
	b.ReportMetric(rate, "B/s/node")
	b.ReportMetric(core, "%core/node")
	b.ReportMetric(memory/(1<<20), "MB/node")
	b.ReportMetric(s.slowestChange.Seconds(), "s-slowest-change")
	b.ReportMetric(float64(s.largestFrame)/(1<<10), "KB-largest")
	b.ReportMetric(0, "ns/op")
	runtime.KeepAlive(s)
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
