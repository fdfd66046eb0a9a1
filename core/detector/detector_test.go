package detector_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"jackdawcart.org/core/detector"
	"jackdawcart.org/core/messenger/peerpb"
	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

const tickInterval = 100 * time.Millisecond

type message struct {
	from int
	detector.Outgoing
}

// simulatedDomain connects detectors by an in-memory transport with fault
// injection.
type simulatedDomain struct {
	now           time.Time
	rng           *rand.Rand
	nodes         []*detector.Detector
	running       []bool
	paused        []bool
	partition     []int
	brokenLink    [2]int
	index         map[string]int
	inFlight      []message
	lossRate      float64
	duplicateRate float64
}

func newSimulatedDomain(size int, seed uint64) *simulatedDomain {
	d := &simulatedDomain{now: start, rng: rand.New(rand.NewPCG(seed, 1)), index: map[string]int{}}
	for i := range size {
		d.index[nodeName(i)] = i
		d.nodes = append(d.nodes, nil)
		d.running, d.paused, d.partition = append(d.running, false), append(d.paused, false), append(d.partition, 0)
		d.start(i)
	}
	return d
}

func nodeName(i int) string { return fmt.Sprintf("relay%03d", i) }

func (d *simulatedDomain) start(i int) {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
	d.nodes[i] = detector.New(d.now, detector.Settings{
		Node: nodeName(i), FailureDomain: "parana", RelayAddress: address, Incarnation: uint64(d.now.UnixMilli()),
	})
	d.running[i], d.paused[i] = true, false
	d.join(i)
}

// join sends a join request to the first reachable running node, as a process
// does with its seed addresses.
func (d *simulatedDomain) join(i int) {
	for seed := range d.nodes {
		if seed != i && d.running[seed] && d.partition[seed] == d.partition[i] {
			d.send(i, d.nodes[i].Join(nodeName(seed)))
			return
		}
	}
}

func (d *simulatedDomain) send(from int, out []detector.Outgoing) {
	for _, o := range out {
		d.inFlight = append(d.inFlight, message{from, o})
	}
}

// advance runs the domain for the given time and delivers frames in random order.
func (d *simulatedDomain) advance(length time.Duration) {
	for end := d.now.Add(length); d.now.Before(end); d.now = d.now.Add(tickInterval) {
		for i, node := range d.nodes {
			if d.running[i] && !d.paused[i] {
				d.send(i, node.Tick(d.now, d.rng))
			}
		}
		for len(d.inFlight) > 0 {
			d.deliver(d.rng.IntN(len(d.inFlight)))
		}
	}
}

func (d *simulatedDomain) deliver(at int) {
	m := d.inFlight[at]
	if d.rng.Float64() >= d.duplicateRate {
		d.inFlight[at] = d.inFlight[len(d.inFlight)-1]
		d.inFlight = d.inFlight[:len(d.inFlight)-1]
	}
	to := d.index[m.To]
	link := [2]int{min(m.from, to), max(m.from, to)}
	lost := d.rng.Float64() < d.lossRate || link == d.brokenLink || d.partition[m.from] != d.partition[to]
	if lost || !d.running[to] || d.paused[to] {
		return
	}
	d.send(to, d.nodes[to].Handle(d.now, nodeName(m.from), m.Frame))
}

func (d *simulatedDomain) liveMembers(i int) []string {
	var names []string
	for _, m := range d.nodes[i].Members() {
		if m.State.Live() {
			names = append(names, m.Node)
		}
	}
	return names
}

func (d *simulatedDomain) runningNodes() []string {
	var names []string
	for i := range d.nodes {
		if d.running[i] {
			names = append(names, nodeName(i))
		}
	}
	return names
}

type fataler interface{ Fatalf(string, ...any) }

func (d *simulatedDomain) checkConverged(t fataler) {
	for i := range d.nodes {
		if !d.running[i] {
			continue
		}
		if diff := cmp.Diff(d.runningNodes(), d.liveMembers(i)); diff != "" {
			t.Fatalf("view of %s: %s", nodeName(i), diff)
		}
		for _, m := range d.nodes[i].Members() {
			if at := d.index[m.Node]; m.State.Live() && m.Incarnation != d.nodes[at].Self().Incarnation {
				t.Fatalf("%s has a stale record of %s", nodeName(i), m.Node)
			}
		}
	}
}

func ExampleDetector() {
	d := newSimulatedDomain(3, 1)
	d.advance(5 * time.Second)
	fmt.Println(d.liveMembers(2))
	d.send(0, d.nodes[0].Leave(d.now))
	d.advance(time.Second)
	m, _ := d.nodes[2].Member("relay000")
	fmt.Println(d.liveMembers(2), m.State == detector.Left)
	// Output:
	// [relay000 relay001 relay002]
	// [relay001 relay002] true
}

// After any sequence of crashes, restarts, pauses, leaves, partitions, loss and
// duplication, all views must converge to the running nodes once the faults end.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newSimulatedDomain(rapid.IntRange(2, 7).Draw(t, "nodes"), rapid.Uint64().Draw(t, "seed"))
		anyNode := rapid.IntRange(0, len(d.nodes)-1)
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				d.advance(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond)
			},
			"faults": func(t *rapid.T) {
				d.lossRate = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
				d.duplicateRate = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "repeat")
			},
			"crash":   func(t *rapid.T) { d.running[anyNode.Draw(t, "node")] = false },
			"restart": func(t *rapid.T) { d.start(anyNode.Draw(t, "node")) },
			"pause":   func(t *rapid.T) { i := anyNode.Draw(t, "node"); d.paused[i] = !d.paused[i] },
			"split":   func(t *rapid.T) { d.partition[anyNode.Draw(t, "node")] ^= 1 },
			"gateway": func(t *rapid.T) {
				if i := anyNode.Draw(t, "node"); d.running[i] {
					d.nodes[i].SetGateway(netip.MustParseAddrPort("10.1.0.1:80"), uint64(d.now.UnixMilli()))
				}
			},
			"leave": func(t *rapid.T) {
				if i := anyNode.Draw(t, "node"); d.running[i] && !d.paused[i] {
					d.send(i, d.nodes[i].Leave(d.now))
					d.advance(tickInterval)
					d.running[i] = false
				}
			},
		})
		d.lossRate, d.duplicateRate = 0, 0
		for i := range d.nodes {
			d.partition[i], d.paused[i] = 0, false
			if d.running[i] {
				d.join(i)
			}
		}
		d.advance(60 * time.Second)
		d.checkConverged(t)
	})
}

// A stopped member must be declared dead within the probe period plus the
// suspicion timeout, and a paused one must rejoin with a higher incarnation.
func TestDeathAndRefutation(t *testing.T) {
	d := newSimulatedDomain(16, 1)
	d.advance(10 * time.Second)
	d.checkConverged(t)
	before := d.nodes[3].Self().Incarnation
	d.paused[3] = true
	d.advance(12 * time.Second)
	for i := range d.nodes {
		if m, _ := d.nodes[i].Member(nodeName(3)); i != 3 && m.State != detector.Dead {
			t.Fatalf("%s has state %v for the paused member, want dead", nodeName(i), m.State)
		}
	}
	d.paused[3] = false
	d.advance(10 * time.Second)
	d.checkConverged(t)
	if d.nodes[3].Self().Incarnation <= before {
		t.Fatal("the member rejoined without a higher incarnation")
	}
}

// A broken link between two members must not make either one suspect while other
// members reach both.
func TestIndirectProbePreventsSuspicion(t *testing.T) {
	d := newSimulatedDomain(5, 2)
	d.brokenLink = [2]int{1, 2}
	for range 600 {
		d.advance(tickInterval)
		for i := range d.nodes {
			for _, m := range d.nodes[i].Members() {
				if m.State != detector.Alive {
					t.Fatalf("%s reports %s as %v, want alive", nodeName(i), m.Node, m.State)
				}
			}
		}
	}
}

// The sides of a healed partition must merge without a new join.
func TestPartitionHeals(t *testing.T) {
	d := newSimulatedDomain(8, 5)
	d.advance(5 * time.Second)
	for i := range 4 {
		d.partition[i] = 1
	}
	d.advance(time.Minute)
	if len(d.liveMembers(0)) != 4 || len(d.liveMembers(7)) != 4 {
		t.Fatalf("views during the partition: %v, %v", d.liveMembers(0), d.liveMembers(7))
	}
	clear(d.partition)
	d.advance(30 * time.Second)
	d.checkConverged(t)
}

// An old record must not re-add a removed member; only one with a higher
// incarnation may.
func TestRemovedMemberRejectsOldRecord(t *testing.T) {
	d := newSimulatedDomain(4, 3)
	d.advance(5 * time.Second)
	old, _ := d.nodes[0].Member(nodeName(3))
	d.running[3] = false
	d.advance(11 * time.Minute)
	if _, ok := d.nodes[0].Member(nodeName(3)); ok {
		t.Fatal("the dead member was not removed")
	}
	sendRumour := func(m detector.Member) {
		frame := &peerpb.Frame{Kind: &peerpb.Frame_Rumours{Rumours: &peerpb.Rumours{Members: []*peerpb.Member{m.Proto()}}}}
		d.nodes[0].Handle(d.now, nodeName(1), frame)
	}
	sendRumour(old)
	if _, ok := d.nodes[0].Member(nodeName(3)); ok {
		t.Fatal("an old record re-added a removed member")
	}
	old.Incarnation++
	sendRumour(old)
	if _, ok := d.nodes[0].Member(nodeName(3)); !ok {
		t.Fatal("a newer record was not accepted")
	}
}

// At design scale all views must converge soon after a start, a crash and a
// leave, and no frame of a tick may exceed 1200 bytes.
func TestFullSizeDomain(t *testing.T) {
	d := newSimulatedDomain(289, 4)
	d.advance(30 * time.Second)
	d.checkConverged(t)
	d.running[7] = false
	d.send(8, d.nodes[8].Leave(d.now))
	d.advance(2 * time.Second)
	for i := range d.nodes {
		if m, _ := d.nodes[i].Member(nodeName(8)); i > 8 && m.State != detector.Left {
			t.Fatalf("%s did not receive the leave within 2 s", nodeName(i))
		}
	}
	d.running[8] = false
	d.advance(20 * time.Second)
	d.checkConverged(t)
	for i := range d.nodes {
		for _, o := range d.nodes[i].Tick(d.now.Add(time.Second), d.rng) {
			if size := proto.Size(o.Frame); size > 1200 {
				t.Fatalf("frame of %d bytes exceeds 1200", size)
			}
		}
	}
}

// No frame may cause a panic, add a member of another failure domain or end the
// local node's own membership.
func FuzzHandle(f *testing.F) {
	record := &peerpb.Member{Node: "relay000", Incarnation: 9e12, State: 3}
	for _, m := range []*peerpb.Frame{
		{Kind: &peerpb.Frame_Probe{Probe: &peerpb.Probe{To: "relay000", Rumours: &peerpb.Rumours{Members: []*peerpb.Member{record, nil}}}}},
		{Kind: &peerpb.Frame_MembersUpdate{MembersUpdate: &peerpb.MembersUpdate{Request: true, Members: []*peerpb.Member{record}}}},
		{Kind: &peerpb.Frame_IndirectProbe{IndirectProbe: &peerpb.IndirectProbe{To: "relay001"}}},
		{Kind: &peerpb.Frame_Leaving{Leaving: &peerpb.Leaving{Node: "relay001"}}},
	} {
		body, _ := proto.Marshal(m)
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var frame peerpb.Frame
		if proto.Unmarshal(body, &frame) != nil {
			return
		}
		d := newSimulatedDomain(3, 1)
		d.advance(time.Second)
		d.send(0, d.nodes[0].Handle(d.now, "relay001", &frame))
		d.advance(time.Second)
		for _, m := range d.nodes[0].Members() {
			if m.FailureDomain != "parana" || (m.Node == "relay000" && m.State != detector.Alive) {
				t.Fatalf("record %+v", m)
			}
		}
	})
}
