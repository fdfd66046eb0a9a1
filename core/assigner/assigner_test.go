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

const targetName = "registro-1"

type message struct {
	from string
	assigner.Outgoing
}

// cluster connects assigners by an in-memory transport and simulates their
// connection pools.
type cluster struct {
	now             time.Time
	rng             *rand.Rand
	nodes           map[string]*assigner.Assigner
	openConnections map[string]int
	inFlight        []message
}

func newCluster(seed uint64) *cluster {
	return &cluster{
		now: start, rng: rand.New(rand.NewPCG(seed, 1)),
		nodes: map[string]*assigner.Assigner{}, openConnections: map[string]int{},
	}
}

func (c *cluster) add(node string, limit int) {
	a := assigner.New(node)
	a.SetTargets(c.now, c.rng, []assigner.Target{{Name: targetName, Limit: limit}})
	c.nodes[node] = a
}

func (c *cluster) send(from string, out []assigner.Outgoing) {
	for _, each := range out {
		c.inFlight = append(c.inFlight, message{from, each})
	}
}

func (c *cluster) setLive(node string, live []string) {
	var members []assigner.Member
	for _, name := range live {
		members = append(members, assigner.Member{Node: name, Live: true, Since: c.now})
	}
	c.send(node, c.nodes[node].SetView(c.now, c.rng, members))
}

func (c *cluster) names() []string {
	names := []string{}
	for name := range c.nodes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// openAllowed opens all connections that the allotment of a node permits and
// closes none.
func (c *cluster) openAllowed(node string) {
	c.openConnections[node] = max(c.openConnections[node], c.nodes[node].Allotment(targetName))
	c.send(node, c.nodes[node].SetOpenConnections(c.now, targetName, c.openConnections[node]))
}

// closeExcess closes the connections of a node above its allotment.
func (c *cluster) closeExcess(node string) {
	c.openConnections[node] = min(c.openConnections[node], c.nodes[node].Allotment(targetName))
	c.send(node, c.nodes[node].SetOpenConnections(c.now, targetName, c.openConnections[node]))
}

func (c *cluster) tick(step time.Duration) {
	c.now = c.now.Add(step)
	for _, name := range c.names() {
		c.send(name, c.nodes[name].Tick(c.now))
	}
}

func (c *cluster) deliver(at int, keep bool) {
	m := c.inFlight[at]
	if !keep {
		c.inFlight = slices.Delete(c.inFlight, at, at+1)
	}
	if a := c.nodes[m.To]; a != nil {
		c.send(m.To, a.Handle(c.now, c.rng, m.from, m.Frame))
	}
}

func (c *cluster) run(length time.Duration) {
	for end := c.now.Add(length); c.now.Before(end); {
		c.tick(100 * time.Millisecond)
		for len(c.inFlight) > 0 {
			c.deliver(0, false)
		}
		for _, name := range c.names() {
			c.closeExcess(name)
			c.openAllowed(name)
		}
	}
}

func (c *cluster) totalOpen() int {
	sum := 0
	for _, openConnections := range c.openConnections {
		sum += openConnections
	}
	return sum
}

// addTransportActions adds actions that open and close connections and that
// deliver frames with loss, duplication and reordering.
func (c *cluster) addTransportActions(actions map[string]func(*rapid.T)) map[string]func(*rapid.T) {
	node := rapid.SampledFrom(c.names())
	actions["fill"] = func(t *rapid.T) { c.openAllowed(node.Draw(t, "node")) }
	actions["trim"] = func(t *rapid.T) { c.closeExcess(node.Draw(t, "node")) }
	actions["deliver"] = func(t *rapid.T) {
		if len(c.inFlight) == 0 {
			t.Skip()
		}
		c.deliver(rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "at"), rapid.Bool().Draw(t, "duplicate"))
	}
	actions["lose"] = func(t *rapid.T) {
		if len(c.inFlight) == 0 {
			t.Skip()
		}
		at := rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "at")
		c.inFlight = slices.Delete(c.inFlight, at, at+1)
	}
	return actions
}

func ExampleView() {
	v := assigner.NewView([]string{"relay1", "relay2", "relay3"})
	fmt.Println(v.Owners(targetName, 25), assigner.Portions(25), assigner.PortionAllotment(25))
	fmt.Println(assigner.Portions(3), assigner.PortionAllotment(3), assigner.PortionAllotment(1))
	// Output:
	// [relay2] 2 6
	// 1 1 0
}

// All members together must stay within the limit of a target while each of them
// switches between two arbitrary views at any time and any message may be lost.
func TestTwoViewsStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.Uint64().Draw(t, "seed"))
		limit := rapid.OneOf(rapid.IntRange(0, 9), rapid.IntRange(10, 120)).Draw(t, "limit")
		for i := range rapid.IntRange(2, 6).Draw(t, "nodes") {
			c.add(fmt.Sprintf("relay%d", i), limit)
		}
		subset := rapid.SliceOfDistinct(rapid.SampledFrom(c.names()), rapid.ID)
		views := [][]string{subset.Draw(t, "first"), subset.Draw(t, "second")}
		check := func(t *rapid.T) {
			if c.totalOpen() > limit {
				t.Fatalf("%d connections exceed the target's limit of %d: %v", c.totalOpen(), limit, c.openConnections)
			}
		}
		t.Repeat(c.addTransportActions(map[string]func(*rapid.T){
			"": check,
			"view": func(t *rapid.T) {
				node := rapid.SampledFrom(c.names()).Draw(t, "node")
				c.setLive(node, rapid.SampledFrom(views).Draw(t, "view"))
			},
			"time": func(t *rapid.T) { c.tick(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond) },
		}))
		for _, name := range c.names() {
			c.setLive(name, views[rapid.IntRange(0, 1).Draw(t, "last")])
		}
		for range 200 {
			c.tick(time.Second)
			for _, name := range c.names() {
				c.openAllowed(name)
			}
			check(t)
		}
	})
}

// While members join and leave one after another, every portion must have at most
// one holder, in whatever order the other members receive these changes.
func TestJoinsAndLeavesKeepOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.Uint64().Draw(t, "seed"))
		const limit = 40
		first := make([]assigner.Member, rapid.IntRange(1, 4).Draw(t, "members"))
		for i := range first {
			first[i] = assigner.Member{Node: fmt.Sprintf("relay%d", i), Live: true, Since: c.now}
			c.add(first[i].Node, limit)
		}
		setView := func(node string, members []assigner.Member) {
			c.send(node, c.nodes[node].SetView(c.now, c.rng, members))
		}
		for _, m := range first {
			setView(m.Node, first)
		}
		c.run(30 * time.Second)
		if c.totalOpen() != limit/2 {
			t.Fatalf("%d connections before the changes", c.totalOpen())
		}
		views := [][]assigner.Member{first}
		for range 3 {
			next := slices.Clone(views[len(views)-1])
			at := rapid.IntRange(0, len(next)).Draw(t, "change")
			if at < len(next) && next[at].Live {
				next[at] = assigner.Member{Node: next[at].Node, Left: true, Since: c.now}
			} else {
				next = append(next, assigner.Member{Node: fmt.Sprintf("relay%d", len(next)), Live: true, Since: c.now})
				c.add(next[len(next)-1].Node, limit)
			}
			views = append(views, next)
		}
		at := map[string]int{}
		end := c.now.Add(9 * time.Second)
		t.Repeat(c.addTransportActions(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if c.totalOpen() > limit/2 {
					t.Fatalf("a portion has two holders: %v", c.openConnections)
				}
			},
			"view": func(t *rapid.T) {
				node := rapid.SampledFrom(c.names()).Draw(t, "node")
				next := min(at[node]+rapid.IntRange(1, 3).Draw(t, "ahead"), len(views)-1)
				if !slices.ContainsFunc(views[next], func(m assigner.Member) bool { return m.Node == node }) {
					t.Skip()
				}
				at[node] = next
				setView(node, views[next])
			},
			"time": func(t *rapid.T) {
				if step := time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond; c.now.Add(step).Before(end) {
					c.tick(step)
				}
			},
		}))
		last, want := views[len(views)-1], 0
		for _, m := range last {
			setView(m.Node, last)
			if m.Live {
				want = limit / 2
			}
		}
		c.run(40 * time.Second)
		if c.totalOpen() != want {
			t.Fatalf("%d connections after the changes: %v", c.totalOpen(), c.openConnections)
		}
	})
}

// settledPair returns a cluster of two members after the initial handovers. The
// member former holds connections.
func settledPair(t *testing.T) (c *cluster, former, next string) {
	c = newCluster(1)
	for _, name := range []string{"relay1", "relay2"} {
		c.add(name, 40)
		c.setLive(name, []string{"relay1", "relay2"})
	}
	c.run(30 * time.Second)
	if c.totalOpen() != 20 {
		t.Fatalf("%d of 20 connections", c.totalOpen())
	}
	if c.openConnections["relay1"] > 0 {
		return c, "relay1", "relay2"
	}
	return c, "relay2", "relay1"
}

// A portion that returns to its former owner must not wait for the handover
// timeout when the release to the member in between was lost.
func TestLostReleaseDoesNotBlock(t *testing.T) {
	c, former, next := settledPair(t)
	for _, name := range c.names() {
		c.setLive(name, []string{next})
	}
	for len(c.inFlight) > 0 {
		c.deliver(0, false)
	}
	c.closeExcess(former)
	c.inFlight = nil
	for _, name := range c.names() {
		c.setLive(name, c.names())
	}
	c.run(2 * time.Second)
	if c.totalOpen() != 20 {
		t.Fatalf("%d of 20 connections: %v", c.totalOpen(), c.openConnections)
	}
}

// A duplicate release of an earlier handover must not end a later wait.
func TestOldReleaseIsRefused(t *testing.T) {
	c, former, next := settledPair(t)
	before := c.openConnections[next]
	for _, name := range c.names() {
		c.setLive(name, []string{next})
	}
	for len(c.inFlight) > 0 {
		c.deliver(0, false)
	}
	c.closeExcess(former)
	old := slices.Clone(c.inFlight)
	c.run(time.Second)
	for _, name := range c.names() {
		c.setLive(name, c.names())
	}
	c.run(time.Second)
	c.setLive(next, []string{next})
	c.inFlight = old
	for len(c.inFlight) > 0 {
		c.deliver(0, false)
	}
	if got := c.nodes[next].Allotment(targetName); len(old) == 0 || got != before {
		t.Fatalf("%d old messages led to an allotment of %d, want %d", len(old), got, before)
	}
}

func withGoneMember(live []string, gone assigner.Member) []assigner.Member {
	all := []assigner.Member{gone}
	for _, name := range live {
		all = append(all, assigner.Member{Node: name, Live: true})
	}
	return all
}

// A new owner must not open connections before the hold-down of a dead owner
// ends, and must open them at once when a leaving owner has closed its own.
func TestHoldDownAndRelease(t *testing.T) {
	for _, left := range []bool{false, true} {
		c, former, next := settledPair(t)
		before, lost := c.openConnections[next], c.openConnections[former]
		gone := assigner.Member{Node: former, Left: left, Since: c.now}
		c.send(next, c.nodes[next].SetView(c.now, c.rng, withGoneMember([]string{next}, gone)))
		c.run(2900 * time.Millisecond)
		if c.openConnections[next] != before {
			t.Fatalf("left %v: connections opened before those of the former owner were closed", left)
		}
		if left {
			c.setLive(former, []string{next})
		}
		c.run(600 * time.Millisecond)
		if c.openConnections[next] != before+lost {
			t.Fatalf("left %v: %d connections after the handover", left, c.openConnections[next])
		}
	}
}

// Each refused connection must halve the pool down to a minimum of one, and the
// pool must grow back.
func TestRefusedHalvesPool(t *testing.T) {
	c := newCluster(1)
	c.add("relay1", 40)
	c.setLive("relay1", []string{"relay1"})
	c.run(5 * time.Second)
	var sizes []int
	for range 6 {
		sizes = append(sizes, c.nodes["relay1"].Allotment(targetName))
		c.nodes["relay1"].Refused(c.now, targetName)
	}
	if diff := cmp.Diff([]int{20, 10, 5, 2, 1, 1}, sizes); diff != "" {
		t.Fatal(diff)
	}
	c.run(200 * time.Second)
	if got := c.nodes["relay1"].Allotment(targetName); got != 20 {
		t.Fatalf("the pool grew back to %d, want 20", got)
	}
}

// A join or, in reverse, a leave must move portions only to or from that member,
// and at most twice its even share.
func TestOwnershipMovesLittle(t *testing.T) {
	for _, size := range []int{3, 16, 64, 289} {
		var names []string
		for i := range size + 1 {
			names = append(names, fmt.Sprintf("vm-%03d", i))
		}
		before, after := assigner.NewView(names[:size]), assigner.NewView(names)
		moved, ownedPortions := 0, map[string]int{}
		const targets = 1556
		for i := range targets {
			for portion := range uint32(2) {
				target := fmt.Sprintf("target-%d", i)
				was, is := before.Owner(target, portion), after.Owner(target, portion)
				ownedPortions[was]++
				if was != is && is != names[size] {
					t.Fatal("a portion moved between existing members")
				}
				if was != is {
					moved++
				}
			}
		}
		share := 2 * targets / (size + 1)
		largest := 0
		for _, count := range ownedPortions {
			largest = max(largest, count)
		}
		t.Logf("members=%d portions=%d moved=%d even-share=%d largest-share=%d", size, 2*targets, moved, share, largest)
		if moved > 2*share {
			t.Fatalf("%d portions moved, more than twice the even share of %d", moved, share)
		}
	}
}

// No frame may cause a panic, and none without the sequence of the request may
// end the wait for a release.
func FuzzHandle(f *testing.F) {
	for _, m := range []*peerpb.Frame{
		{Kind: &peerpb.Frame_PortionRequest{PortionRequest: &peerpb.PortionRequest{Target: targetName, Portion: 1 << 31}}},
		{Kind: &peerpb.Frame_PortionRelease{PortionRelease: &peerpb.PortionRelease{Target: targetName, Portion: 1, Unsettled: true}}},
	} {
		body, _ := proto.Marshal(m)
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var frame peerpb.Frame
		if proto.Unmarshal(body, &frame) != nil {
			return
		}
		c := newCluster(1)
		c.add("relay1", 40)
		c.setLive("relay1", []string{"relay1", "relay2"})
		a := c.nodes["relay1"]
		a.Handle(c.now, c.rng, "relay2", &frame)
		if a.Allotment(targetName) != 0 {
			t.Fatal("a release without the sequence of the request was accepted")
		}
	})
}
