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

const step = 100 * time.Millisecond

type letter struct {
	from int
	detector.Outgoing
}

// domain joins detectors by an in-memory transport with faults.
type domain struct {
	now     time.Time
	rng     *rand.Rand
	nodes   []*detector.Detector
	running []bool
	paused  []bool
	side    []int
	cut     [2]int
	index   map[string]int
	mail    []letter
	loss    float64
	repeat  float64
}

func newDomain(size int, seed uint64) *domain {
	d := &domain{now: start, rng: rand.New(rand.NewPCG(seed, 1)), index: map[string]int{}}
	for i := range size {
		d.index[name(i)] = i
		d.nodes = append(d.nodes, nil)
		d.running, d.paused, d.side = append(d.running, false), append(d.paused, false), append(d.side, 0)
		d.start(i)
	}
	return d
}

func name(i int) string { return fmt.Sprintf("relay%03d", i) }

func (d *domain) start(i int) {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
	d.nodes[i] = detector.New(d.now, detector.Settings{
		Node: name(i), FailureDomain: "parana", RelayAddress: address, Incarnation: uint64(d.now.UnixMilli()),
	})
	d.running[i], d.paused[i] = true, false
	d.join(i)
}

// join meets the first other node that runs, as by the seed addresses.
func (d *domain) join(i int) {
	for seed := range d.nodes {
		if seed != i && d.running[seed] && d.side[seed] == d.side[i] {
			d.send(i, d.nodes[i].Join(name(seed)))
			return
		}
	}
}

func (d *domain) send(from int, out []detector.Outgoing) {
	for _, o := range out {
		d.mail = append(d.mail, letter{from, o})
	}
}

// advance runs the domain for a time, delivering in random order.
func (d *domain) advance(length time.Duration) {
	for end := d.now.Add(length); d.now.Before(end); d.now = d.now.Add(step) {
		for i, node := range d.nodes {
			if d.running[i] && !d.paused[i] {
				d.send(i, node.Tick(d.now, d.rng))
			}
		}
		for len(d.mail) > 0 {
			d.deliver(d.rng.IntN(len(d.mail)))
		}
	}
}

func (d *domain) deliver(at int) {
	m := d.mail[at]
	if d.rng.Float64() >= d.repeat {
		d.mail[at] = d.mail[len(d.mail)-1]
		d.mail = d.mail[:len(d.mail)-1]
	}
	to := d.index[m.To]
	link := [2]int{min(m.from, to), max(m.from, to)}
	lost := d.rng.Float64() < d.loss || link == d.cut || d.side[m.from] != d.side[to]
	if lost || !d.running[to] || d.paused[to] {
		return
	}
	d.send(to, d.nodes[to].Handle(d.now, name(m.from), m.Frame))
}

func (d *domain) live(i int) []string {
	var names []string
	for _, m := range d.nodes[i].Members() {
		if m.State.Live() {
			names = append(names, m.Node)
		}
	}
	return names
}

func (d *domain) want() []string {
	var names []string
	for i := range d.nodes {
		if d.running[i] {
			names = append(names, name(i))
		}
	}
	return names
}

type failer interface{ Fatalf(string, ...any) }

func (d *domain) checkAgreed(t failer) {
	for i := range d.nodes {
		if !d.running[i] {
			continue
		}
		if diff := cmp.Diff(d.want(), d.live(i)); diff != "" {
			t.Fatalf("view of %s: %s", name(i), diff)
		}
		for _, m := range d.nodes[i].Members() {
			if at := d.index[m.Node]; m.State.Live() && m.Incarnation != d.nodes[at].Self().Incarnation {
				t.Fatalf("%s has an old record of %s", name(i), m.Node)
			}
		}
	}
}

func ExampleDetector() {
	d := newDomain(3, 1)
	d.advance(5 * time.Second)
	fmt.Println(d.live(2))
	d.send(0, d.nodes[0].Leave(d.now))
	d.advance(time.Second)
	m, _ := d.nodes[2].Member("relay000")
	fmt.Println(d.live(2), m.State == detector.Left)
	// Output:
	// [relay000 relay001 relay002]
	// [relay001 relay002] true
}

// Crashes, restarts, pauses, leaves, partitions, loss and duplicates in any
// order must end in the same and true view once the faults end.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDomain(rapid.IntRange(2, 7).Draw(t, "nodes"), rapid.Uint64().Draw(t, "seed"))
		anyNode := rapid.IntRange(0, len(d.nodes)-1)
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				d.advance(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond)
			},
			"faults": func(t *rapid.T) {
				d.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
				d.repeat = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "repeat")
			},
			"crash":   func(t *rapid.T) { d.running[anyNode.Draw(t, "node")] = false },
			"restart": func(t *rapid.T) { d.start(anyNode.Draw(t, "node")) },
			"pause":   func(t *rapid.T) { i := anyNode.Draw(t, "node"); d.paused[i] = !d.paused[i] },
			"split":   func(t *rapid.T) { d.side[anyNode.Draw(t, "node")] ^= 1 },
			"gateway": func(t *rapid.T) {
				if i := anyNode.Draw(t, "node"); d.running[i] {
					d.nodes[i].SetGateway(netip.MustParseAddrPort("10.1.0.1:80"), uint64(d.now.UnixMilli()))
				}
			},
			"leave": func(t *rapid.T) {
				if i := anyNode.Draw(t, "node"); d.running[i] && !d.paused[i] {
					d.send(i, d.nodes[i].Leave(d.now))
					d.advance(step)
					d.running[i] = false
				}
			},
		})
		d.loss, d.repeat = 0, 0
		for i := range d.nodes {
			d.side[i], d.paused[i] = 0, false
			if d.running[i] {
				d.join(i)
			}
		}
		d.advance(60 * time.Second)
		d.checkAgreed(t)
	})
}

// A member that stops must be found dead within the probe period plus the
// suspicion time, and a paused one must come back by a higher incarnation.
func TestDeathAndRefutation(t *testing.T) {
	d := newDomain(16, 1)
	d.advance(10 * time.Second)
	d.checkAgreed(t)
	before := d.nodes[3].Self().Incarnation
	d.paused[3] = true
	d.advance(12 * time.Second)
	for i := range d.nodes {
		if m, _ := d.nodes[i].Member(name(3)); i != 3 && m.State != detector.Dead {
			t.Fatalf("%s holds the paused member %v", name(i), m.State)
		}
	}
	d.paused[3] = false
	d.advance(10 * time.Second)
	d.checkAgreed(t)
	if d.nodes[3].Self().Incarnation <= before {
		t.Fatal("the member came back without a higher incarnation")
	}
}

// A broken link between two members must suspect neither while others reach
// both.
func TestIndirectProbePreventsSuspicion(t *testing.T) {
	d := newDomain(5, 2)
	d.cut = [2]int{1, 2}
	for range 600 {
		d.advance(step)
		for i := range d.nodes {
			for _, m := range d.nodes[i].Members() {
				if m.State != detector.Alive {
					t.Fatalf("%s holds %s for %v", name(i), m.Node, m.State)
				}
			}
		}
	}
}

// The sides of a healed partition must find each other without a new join.
func TestPartitionHeals(t *testing.T) {
	d := newDomain(8, 5)
	d.advance(5 * time.Second)
	for i := range 4 {
		d.side[i] = 1
	}
	d.advance(time.Minute)
	if len(d.live(0)) != 4 || len(d.live(7)) != 4 {
		t.Fatalf("views during the partition: %v, %v", d.live(0), d.live(7))
	}
	clear(d.side)
	d.advance(30 * time.Second)
	d.checkAgreed(t)
}

// A forgotten member must not come back by an old record, only by a newer one.
func TestForgottenMemberStaysForgotten(t *testing.T) {
	d := newDomain(4, 3)
	d.advance(5 * time.Second)
	old, _ := d.nodes[0].Member(name(3))
	d.running[3] = false
	d.advance(11 * time.Minute)
	if _, ok := d.nodes[0].Member(name(3)); ok {
		t.Fatal("the dead member was not forgotten")
	}
	rumour := func(m detector.Member) {
		frame := &peerpb.Frame{Kind: &peerpb.Frame_Rumours{Rumours: &peerpb.Rumours{Members: []*peerpb.Member{m.Proto()}}}}
		d.nodes[0].Handle(d.now, name(1), frame)
	}
	rumour(old)
	if _, ok := d.nodes[0].Member(name(3)); ok {
		t.Fatal("an old rumour brought a forgotten member back")
	}
	old.Incarnation++
	rumour(old)
	if _, ok := d.nodes[0].Member(name(3)); !ok {
		t.Fatal("a newer record was not accepted")
	}
}

// At full size every view must agree soon after a start, a crash and a leave,
// and each message must stay small.
func TestFullSizeDomain(t *testing.T) {
	d := newDomain(289, 4)
	d.advance(30 * time.Second)
	d.checkAgreed(t)
	d.running[7] = false
	d.send(8, d.nodes[8].Leave(d.now))
	d.advance(2 * time.Second)
	for i := range d.nodes {
		if m, _ := d.nodes[i].Member(name(8)); i > 8 && m.State != detector.Left {
			t.Fatalf("%s did not hear of the leave within 2 s", name(i))
		}
	}
	d.running[8] = false
	d.advance(20 * time.Second)
	d.checkAgreed(t)
	for i := range d.nodes {
		for _, o := range d.nodes[i].Tick(d.now.Add(time.Second), d.rng) {
			if size := proto.Size(o.Frame); size > 1200 {
				t.Fatalf("a probe of %d bytes", size)
			}
		}
	}
}

// A frame of any content must not panic, take another domain's member, or end
// the own membership.
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
		d := newDomain(3, 1)
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
