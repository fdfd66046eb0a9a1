package assigner_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"jackdawcart.org/core/assigner"
	"jackdawcart.org/core/messenger/peerpb"
	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

const backEnd = "registro-1"

type letter struct {
	from string
	assigner.Outgoing
}

// owners joins assigners by an in-memory transport and stands for their pools.
type owners struct {
	now   time.Time
	rng   *rand.Rand
	nodes map[string]*assigner.Assigner
	open  map[string]int
	mail  []letter
}

func newOwners(seed uint64) *owners {
	return &owners{
		now: start, rng: rand.New(rand.NewPCG(seed, 1)),
		nodes: map[string]*assigner.Assigner{}, open: map[string]int{},
	}
}

func (o *owners) add(node string, limit int) {
	a := assigner.New(node)
	a.SetTargets(o.now, o.rng, []assigner.Target{{Name: backEnd, Limit: limit}})
	o.nodes[node] = a
}

func (o *owners) send(from string, out []assigner.Outgoing) {
	for _, each := range out {
		o.mail = append(o.mail, letter{from, each})
	}
}

func (o *owners) view(node string, live []string) {
	var members []assigner.Member
	for _, name := range live {
		members = append(members, assigner.Member{Node: name, Live: true, Since: o.now})
	}
	o.send(node, o.nodes[node].SetView(o.now, o.rng, members))
}

func (o *owners) names() []string {
	names := []string{}
	for name := range o.nodes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// fill opens every connection that a node may open and closes none.
func (o *owners) fill(node string) {
	o.open[node] = max(o.open[node], o.nodes[node].Allotment(backEnd))
	o.send(node, o.nodes[node].SetOpen(o.now, backEnd, o.open[node]))
}

// trim closes the connections above the allotment.
func (o *owners) trim(node string) {
	o.open[node] = min(o.open[node], o.nodes[node].Allotment(backEnd))
	o.send(node, o.nodes[node].SetOpen(o.now, backEnd, o.open[node]))
}

func (o *owners) tick(step time.Duration) {
	o.now = o.now.Add(step)
	for _, name := range o.names() {
		o.send(name, o.nodes[name].Tick(o.now))
	}
}

func (o *owners) deliver(at int, keep bool) {
	m := o.mail[at]
	if !keep {
		o.mail = slices.Delete(o.mail, at, at+1)
	}
	if a := o.nodes[m.To]; a != nil {
		o.send(m.To, a.Handle(o.now, o.rng, m.from, m.Frame))
	}
}

func (o *owners) settle(length time.Duration) {
	for end := o.now.Add(length); o.now.Before(end); {
		o.tick(100 * time.Millisecond)
		for len(o.mail) > 0 {
			o.deliver(0, false)
		}
		for _, name := range o.names() {
			o.trim(name)
			o.fill(name)
		}
	}
}

func (o *owners) total() int {
	sum := 0
	for _, open := range o.open {
		sum += open
	}
	return sum
}

// transport is the part of a state machine that loses, repeats and reorders.
func (o *owners) transport(actions map[string]func(*rapid.T)) map[string]func(*rapid.T) {
	node := rapid.SampledFrom(o.names())
	actions["fill"] = func(t *rapid.T) { o.fill(node.Draw(t, "node")) }
	actions["trim"] = func(t *rapid.T) { o.trim(node.Draw(t, "node")) }
	actions["deliver"] = func(t *rapid.T) {
		if len(o.mail) == 0 {
			t.Skip()
		}
		o.deliver(rapid.IntRange(0, len(o.mail)-1).Draw(t, "at"), rapid.Bool().Draw(t, "duplicate"))
	}
	actions["lose"] = func(t *rapid.T) {
		if len(o.mail) == 0 {
			t.Skip()
		}
		at := rapid.IntRange(0, len(o.mail)-1).Draw(t, "at")
		o.mail = slices.Delete(o.mail, at, at+1)
	}
	return actions
}

func ExampleView() {
	v := assigner.NewView([]string{"relay1", "relay2", "relay3"})
	fmt.Println(v.Owners(backEnd, 25), assigner.Portions(25), assigner.PortionAllotment(25))
	fmt.Println(assigner.Portions(3), assigner.PortionAllotment(3), assigner.PortionAllotment(1))
	// Output:
	// [relay2] 2 6
	// 1 1 0
}

// Under two views that differ in any way, with members that change between
// them at any time and lose any message, all members together must stay within
// the limit of the target.
func TestTwoViewsStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOwners(rapid.Uint64().Draw(t, "seed"))
		limit := rapid.OneOf(rapid.IntRange(0, 9), rapid.IntRange(10, 120)).Draw(t, "limit")
		for i := range rapid.IntRange(2, 6).Draw(t, "nodes") {
			o.add(fmt.Sprintf("relay%d", i), limit)
		}
		subset := rapid.SliceOfDistinct(rapid.SampledFrom(o.names()), rapid.ID)
		views := [][]string{subset.Draw(t, "first"), subset.Draw(t, "second")}
		check := func(t *rapid.T) {
			if o.total() > limit {
				t.Fatalf("%d connections to a target that accepts %d: %v", o.total(), limit, o.open)
			}
		}
		t.Repeat(o.transport(map[string]func(*rapid.T){
			"": check,
			"view": func(t *rapid.T) {
				node := rapid.SampledFrom(o.names()).Draw(t, "node")
				o.view(node, rapid.SampledFrom(views).Draw(t, "view"))
			},
			"time": func(t *rapid.T) { o.tick(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond) },
		}))
		for _, name := range o.names() {
			o.view(name, views[rapid.IntRange(0, 1).Draw(t, "last")])
		}
		for range 200 {
			o.tick(time.Second)
			for _, name := range o.names() {
				o.fill(name)
			}
			check(t)
		}
	})
}

// While members join and leave one after another, every portion must keep a
// single holder, whatever the order in which the others hear of them.
func TestJoinsAndLeavesKeepOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOwners(rapid.Uint64().Draw(t, "seed"))
		const limit = 40
		first := make([]assigner.Member, rapid.IntRange(1, 4).Draw(t, "members"))
		for i := range first {
			first[i] = assigner.Member{Node: fmt.Sprintf("relay%d", i), Live: true, Since: o.now}
			o.add(first[i].Node, limit)
		}
		show := func(node string, members []assigner.Member) {
			o.send(node, o.nodes[node].SetView(o.now, o.rng, members))
		}
		for _, m := range first {
			show(m.Node, first)
		}
		o.settle(30 * time.Second)
		if o.total() != limit/2 {
			t.Fatalf("%d connections before the changes", o.total())
		}
		views := [][]assigner.Member{first}
		for range 3 {
			next := slices.Clone(views[len(views)-1])
			at := rapid.IntRange(0, len(next)).Draw(t, "change")
			if at < len(next) && next[at].Live {
				next[at] = assigner.Member{Node: next[at].Node, Left: true, Since: o.now}
			} else {
				next = append(next, assigner.Member{Node: fmt.Sprintf("relay%d", len(next)), Live: true, Since: o.now})
				o.add(next[len(next)-1].Node, limit)
			}
			views = append(views, next)
		}
		at := map[string]int{}
		end := o.now.Add(9 * time.Second)
		t.Repeat(o.transport(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if o.total() > limit/2 {
					t.Fatalf("two holders: %v", o.open)
				}
			},
			"view": func(t *rapid.T) {
				node := rapid.SampledFrom(o.names()).Draw(t, "node")
				next := min(at[node]+rapid.IntRange(1, 3).Draw(t, "ahead"), len(views)-1)
				if !slices.ContainsFunc(views[next], func(m assigner.Member) bool { return m.Node == node }) {
					t.Skip()
				}
				at[node] = next
				show(node, views[next])
			},
			"time": func(t *rapid.T) {
				if step := time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond; o.now.Add(step).Before(end) {
					o.tick(step)
				}
			},
		}))
		last, want := views[len(views)-1], 0
		for _, m := range last {
			show(m.Node, last)
			if m.Live {
				want = limit / 2
			}
		}
		o.settle(40 * time.Second)
		if o.total() != want {
			t.Fatalf("%d connections after the changes: %v", o.total(), o.open)
		}
	})
}

// pair returns two members that have settled, the first with connections.
func pair(t *testing.T) (o *owners, former, next string) {
	o = newOwners(1)
	for _, name := range []string{"relay1", "relay2"} {
		o.add(name, 40)
		o.view(name, []string{"relay1", "relay2"})
	}
	o.settle(30 * time.Second)
	if o.total() != 20 {
		t.Fatalf("%d of 20 connections", o.total())
	}
	if o.open["relay1"] > 0 {
		return o, "relay1", "relay2"
	}
	return o, "relay2", "relay1"
}

// A portion that returns to its former owner before the release arrived must
// not wait for the handover timeout.
func TestLostReleaseDoesNotBlock(t *testing.T) {
	o, former, next := pair(t)
	for _, name := range o.names() {
		o.view(name, []string{next})
	}
	for len(o.mail) > 0 {
		o.deliver(0, false)
	}
	o.trim(former)
	o.mail = nil
	for _, name := range o.names() {
		o.view(name, o.names())
	}
	o.settle(2 * time.Second)
	if o.total() != 20 {
		t.Fatalf("%d of 20 connections: %v", o.total(), o.open)
	}
}

// A repeated release of an earlier handover must not end a later wait.
func TestOldReleaseIsRefused(t *testing.T) {
	o, former, next := pair(t)
	before := o.open[next]
	for _, name := range o.names() {
		o.view(name, []string{next})
	}
	for len(o.mail) > 0 {
		o.deliver(0, false)
	}
	o.trim(former)
	old := slices.Clone(o.mail)
	o.settle(time.Second)
	for _, name := range o.names() {
		o.view(name, o.names())
	}
	o.settle(time.Second)
	o.view(next, []string{next})
	o.mail = old
	for len(o.mail) > 0 {
		o.deliver(0, false)
	}
	if got := o.nodes[next].Allotment(backEnd); len(old) == 0 || got != before {
		t.Fatalf("%d messages gave an allotment of %d instead of %d", len(old), got, before)
	}
}

func members(live []string, gone assigner.Member) []assigner.Member {
	all := []assigner.Member{gone}
	for _, name := range live {
		all = append(all, assigner.Member{Node: name, Live: true})
	}
	return all
}

// The new owner must not open before the hold-down of a dead owner ends, and
// must open at once when a leaving owner has closed its connections.
func TestHoldDownAndRelease(t *testing.T) {
	for _, left := range []bool{false, true} {
		o, former, next := pair(t)
		before, lost := o.open[next], o.open[former]
		gone := assigner.Member{Node: former, Left: left, Since: o.now}
		o.send(next, o.nodes[next].SetView(o.now, o.rng, members([]string{next}, gone)))
		o.settle(2900 * time.Millisecond)
		if o.open[next] != before {
			t.Fatalf("left %v: opened before the former owner closed", left)
		}
		if left {
			o.view(former, []string{next})
		}
		o.settle(600 * time.Millisecond)
		if o.open[next] != before+lost {
			t.Fatalf("left %v: %d connections after the handover", left, o.open[next])
		}
	}
}

// A refused connection must halve the pool, never to nothing, and the pool must
// grow back.
func TestRefusedHalvesPool(t *testing.T) {
	o := newOwners(1)
	o.add("relay1", 40)
	o.view("relay1", []string{"relay1"})
	o.settle(5 * time.Second)
	var sizes []int
	for range 6 {
		sizes = append(sizes, o.nodes["relay1"].Allotment(backEnd))
		o.nodes["relay1"].Refused(o.now, backEnd)
	}
	if diff := cmp.Diff([]int{20, 10, 5, 2, 1, 1}, sizes); diff != "" {
		t.Fatal(diff)
	}
	o.settle(200 * time.Second)
	if got := o.nodes["relay1"].Allotment(backEnd); got != 20 {
		t.Fatalf("the pool grew back to %d", got)
	}
}

// A join or a leave must move little more than the share of one member, and
// only to or from that member.
func TestOwnershipMovesLittle(t *testing.T) {
	for _, size := range []int{3, 16, 64, 289} {
		var names []string
		for i := range size + 1 {
			names = append(names, fmt.Sprintf("vm-%03d", i))
		}
		before, after := assigner.NewView(names[:size]), assigner.NewView(names)
		moved, most := 0, map[string]int{}
		const targets = 1556
		for i := range targets {
			for portion := range uint32(2) {
				target := fmt.Sprintf("target-%d", i)
				was, is := before.Owner(target, portion), after.Owner(target, portion)
				most[was]++
				if was != is && is != names[size] {
					t.Fatal("a portion moved between members that stayed")
				}
				if was != is {
					moved++
				}
			}
		}
		share := 2 * targets / (size + 1)
		largest := 0
		for _, count := range most {
			largest = max(largest, count)
		}
		t.Logf("members=%d portions=%d moved=%d even-share=%d largest-share=%d", size, 2*targets, moved, share, largest)
		if moved > 2*share {
			t.Fatalf("%d portions moved; an even share is %d", moved, share)
		}
	}
}

// A frame of any content must neither panic nor give a portion to a node that
// awaits a release.
func FuzzHandle(f *testing.F) {
	for _, m := range []*peerpb.Frame{
		{Kind: &peerpb.Frame_PortionRequest{PortionRequest: &peerpb.PortionRequest{Target: backEnd, Portion: 1 << 31}}},
		{Kind: &peerpb.Frame_PortionRelease{PortionRelease: &peerpb.PortionRelease{Target: backEnd, Portion: 1, Unsettled: true}}},
	} {
		body, _ := proto.Marshal(m)
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var frame peerpb.Frame
		if proto.Unmarshal(body, &frame) != nil {
			return
		}
		o := newOwners(1)
		o.add("relay1", 40)
		o.view("relay1", []string{"relay1", "relay2"})
		a := o.nodes["relay1"]
		a.Handle(o.now, o.rng, "relay2", &frame)
		if a.Allotment(backEnd) != 0 {
			t.Fatal("a release without the sequence of the request was accepted")
		}
	})
}
