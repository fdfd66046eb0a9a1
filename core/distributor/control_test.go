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
	// frameOverhead is the header of a yamux frame and of a message's length.
	frameOverhead = 12 + 4
	documentBytes = 2048
	// 1,556 targets and 289 nodes in a failure domain at design scale.
	targetsPerMember = 1556.0 / 289

	// The bounds on control of the design page.
	maxBytes  = 22e3
	maxCore   = 1.2
	maxMemory = 64 << 20
	maxSpread = 14 * time.Second
)

type wired struct {
	detector    *detector.Detector
	distributor *distributor.Distributor
	assigner    *assigner.Assigner
	view        uint64
	joined      bool
}

type packet struct {
	from, to int
	body     []byte
}

// control is one failure domain of whole nodes on virtual time, whose frames
// are encoded and decoded as on a session.
type control struct {
	now       time.Time
	rng       *rand.Rand
	nodes     []*wired
	index     map[string]int
	mail      []packet
	bytes     int
	largest   int
	documents []*peerpb.Document
	revision  uint64
	unseen    map[int]time.Time
	slowest   time.Duration
}

func newControl(members, services int) *control {
	c := &control{now: start, rng: rand.New(rand.NewPCG(1, 1)), index: map[string]int{}, unseen: map[int]time.Time{}}
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

func (c *control) name(i int) string { return fmt.Sprintf("vm-%03d-parana", i) }

func (c *control) document(service int) *peerpb.Document {
	return &peerpb.Document{Service: fmt.Sprintf("service-%04d", service), Revision: c.revision, Body: make([]byte, documentBytes)}
}

func (c *control) start(i int) {
	n := &wired{
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

func (c *control) post(from int, to string, frame *peerpb.Frame) {
	body, err := proto.Marshal(frame)
	if err != nil {
		panic(err)
	}
	c.bytes += len(body) + frameOverhead
	c.largest = max(c.largest, len(body))
	c.mail = append(c.mail, packet{from, c.index[to], body})
}

func sendAll[O detector.Outgoing | distributor.Outgoing | assigner.Outgoing](c *control, from int, out []O) {
	for _, each := range out {
		switch o := any(each).(type) {
		case detector.Outgoing:
			c.post(from, o.To, o.Frame)
		case distributor.Outgoing:
			c.post(from, o.To, o.Frame)
		case assigner.Outgoing:
			c.post(from, o.To, o.Frame)
		}
	}
}

func (c *control) receive(p packet) {
	var frame peerpb.Frame
	if err := proto.Unmarshal(p.body, &frame); err != nil {
		panic(err)
	}
	n, from := c.nodes[p.to], c.name(p.from)
	sendAll(c, p.to, n.detector.Handle(c.now, from, &frame))
	sendAll(c, p.to, n.distributor.Handle(c.now, c.rng, from, &frame))
	sendAll(c, p.to, n.assigner.Handle(c.now, c.rng, from, &frame))
}

func (c *control) step() {
	c.now = c.now.Add(controlStep)
	for i, n := range c.nodes {
		sendAll(c, i, n.detector.Tick(c.now, c.rng))
		c.follow(i, n)
		sendAll(c, i, n.distributor.Tick(c.now, c.rng))
		sendAll(c, i, n.assigner.Tick(c.now))
		joined := len(c.nodes) == 1 || n.joined
		if joined && n.distributor.ReadsStore(c.now) && n.distributor.StoreRevision() < c.revision {
			c.read(i, n)
		}
	}
	for len(c.mail) > 0 {
		p := c.mail[0]
		c.mail = c.mail[1:]
		c.receive(p)
	}
	c.watchSpread()
}

func (c *control) read(i int, n *wired) {
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

// follow passes a changed view on, as the process does.
func (c *control) follow(i int, n *wired) {
	if n.view == n.detector.Revision() {
		return
	}
	n.view = n.detector.Revision()
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

func (c *control) change() {
	c.revision++
	service := c.rng.IntN(len(c.documents))
	c.documents[service] = c.document(service)
	c.unseen[service] = c.now
}

// watchSpread notes how long a change took to be in force on every node.
func (c *control) watchSpread() {
	for service, since := range c.unseen {
		want, everywhere := c.documents[service], true
		for _, n := range c.nodes {
			doc, _ := n.distributor.Document(want.Service)
			everywhere = everywhere && doc.GetRevision() == want.Revision
		}
		if everywhere {
			c.slowest = max(c.slowest, c.now.Sub(since))
			delete(c.unseen, service)
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

func (c *control) every(perDay int, do func()) func() {
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
	c := newControl(k.members, k.services)
	for range 60 * time.Second / controlStep {
		c.step()
	}
	memory := (heapBytes() - before) / float64(k.members)
	for i, n := range c.nodes {
		if !n.distributor.Ready() || len(n.detector.Members()) != k.members {
			b.Fatalf("node %d has not started", i)
		}
	}
	change := c.every(k.changes, c.change)
	restart := c.every(k.restarts, func() { c.start(1 + c.rng.IntN(k.members-1)) })
	c.bytes = 0
	used := cpuTime()
	for range controlWindow / controlStep {
		change()
		restart()
		c.step()
	}
	used = cpuTime() - used
	nodeSeconds := float64(k.members) * controlWindow.Seconds()
	rate, core := float64(c.bytes)/nodeSeconds, 100*used.Seconds()/nodeSeconds
	if k.changes <= 13_000 && (rate > maxBytes || core > maxCore || memory > maxMemory || c.slowest > maxSpread) {
		b.Errorf("beyond the bounds: %.0f B/s, %.2f%% of a core, %.0f bytes, %v", rate, core, memory, c.slowest)
	}
	b.ReportMetric(rate, "B/s/node")
	b.ReportMetric(core, "%core/node")
	b.ReportMetric(memory/(1<<20), "MB/node")
	b.ReportMetric(c.slowest.Seconds(), "s-slowest-change")
	b.ReportMetric(float64(c.largest)/(1<<10), "KB-largest")
	b.ReportMetric(0, "ns/op")
	runtime.KeepAlive(c)
}

// BenchmarkControl measures the control traffic that a node sends, its CPU time
// and its memory, with one factor varied at a time from 64 members, 500
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
