package distributor_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"
	"jackdawcart.org/core/distributor"
	"jackdawcart.org/core/keeper"
	"jackdawcart.org/core/messenger/peerpb"
	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

type message struct {
	from string
	distributor.Outgoing
}

// cluster connects distributors by an in-memory transport with fault injection.
type cluster struct {
	now          time.Time
	rng          *rand.Rand
	nodes        []*distributor.Distributor
	names        []string
	inFlight     []message
	newest       map[string]*peerpb.Document
	applied      []map[string]uint64
	largestFrame int
}

func newCluster(size int, seed uint64) *cluster {
	c := &cluster{now: start, rng: rand.New(rand.NewPCG(seed, 1)), newest: map[string]*peerpb.Document{}}
	var peers []distributor.Peer
	for i := range size {
		c.names = append(c.names, fmt.Sprintf("relay%d", i))
		peers = append(peers, distributor.Peer{Node: c.names[i], ReachesStore: true})
	}
	for i := range size {
		d := distributor.New(distributor.Settings{Node: c.names[i], FailureDomain: "parana"})
		d.SetPeers(peers)
		c.nodes = append(c.nodes, d)
		c.applied = append(c.applied, map[string]uint64{})
	}
	return c
}

func (c *cluster) send(from int, out []distributor.Outgoing) {
	for _, o := range out {
		c.largestFrame = max(c.largestFrame, proto.Size(o.Frame))
		c.inFlight = append(c.inFlight, message{c.names[from], o})
	}
}

func (c *cluster) deliver(at int) {
	m := c.inFlight[at]
	for i, name := range c.names {
		if name == m.To {
			c.send(i, c.nodes[i].Handle(c.now, c.rng, m.from, m.Frame))
		}
	}
}

func (c *cluster) drop(at int) { c.inFlight = append(c.inFlight[:at:at], c.inFlight[at+1:]...) }

func (c *cluster) tick(step time.Duration) {
	c.now = c.now.Add(step)
	for i, d := range c.nodes {
		c.send(i, d.Tick(c.now, c.rng))
	}
}

func (c *cluster) run(rounds int) {
	for range rounds {
		c.tick(time.Second)
		for len(c.inFlight) > 0 {
			c.deliver(0)
			c.inFlight = c.inFlight[1:]
		}
	}
}

func (c *cluster) edit(service string, revision uint64, deleted bool) *peerpb.Document {
	doc := &peerpb.Document{Service: service, Revision: revision, Deleted: deleted}
	c.newest[service] = doc
	return doc
}

func (c *cluster) snapshot() []*peerpb.Document {
	docs := []*peerpb.Document{}
	for _, doc := range c.newest {
		docs = append(docs, doc)
	}
	return docs
}

func ExampleDistributor() {
	rng := rand.New(rand.NewPCG(1, 1))
	d := distributor.New(distributor.Settings{Node: "relay1", FailureDomain: "parana"})
	fmt.Println(d.Ready(), d.ShouldReadStore(start))
	entries := []keeper.Entry{{Key: "services/agenda", Value: []byte("{}"), Revision: 4}}
	d.ApplySnapshot(start, rng, 5, distributor.DocumentsFromEntries(entries))
	fmt.Println(d.Ready(), d.TakeChanges()[0].GetService(), d.StoreRevision())
	// Output:
	// false true
	// true agenda 5
}

// Loss, duplication and reordering must not revert a service on any node, and the
// nodes must converge after the faults end.
func TestConvergesWithoutReverting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.IntRange(2, 6).Draw(t, "nodes"), rapid.Uint64().Draw(t, "seed"))
		revision := uint64(1)
		c.nodes[0].ApplySnapshot(c.now, c.rng, revision, nil)
		t.Repeat(map[string]func(*rapid.T){
			"edit": func(t *rapid.T) {
				revision += uint64(rapid.IntRange(1, 3).Draw(t, "gap"))
				service := rapid.SampledFrom([]string{"agenda", "hutbook", "sheetshelf"}).Draw(t, "service")
				doc := c.edit(service, revision, rapid.Bool().Draw(t, "deleted"))
				reader := rapid.IntRange(0, len(c.nodes)-1).Draw(t, "reader")
				c.send(reader, c.nodes[reader].ApplyChanges(c.now, c.rng, revision, []*peerpb.Document{doc}))
			},
			"bulk": func(*rapid.T) {
				for i := range 80 {
					revision++
					c.edit(fmt.Sprintf("bulk%d", i), revision, false)
				}
				c.send(0, c.nodes[0].ApplySnapshot(c.now, c.rng, revision, c.snapshot()))
			},
			"tick": func(*rapid.T) { c.tick(time.Second) },
			"deliver": func(t *rapid.T) {
				if len(c.inFlight) == 0 {
					t.Skip()
				}
				at := rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "at")
				c.deliver(at)
				if !rapid.Bool().Draw(t, "duplicate") {
					c.drop(at)
				}
			},
			"lose": func(t *rapid.T) {
				if len(c.inFlight) == 0 {
					t.Skip()
				}
				c.drop(rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "at"))
			},
			"": func(t *rapid.T) { c.checkNoRevert(t) },
		})
		c.run(12)
		c.checkNoRevert(t)
		for i, d := range c.nodes {
			if !d.Ready() || d.ServiceCount() != len(c.newest) {
				t.Fatalf("node %d: ready %v, %d of %d services", i, d.Ready(), d.ServiceCount(), len(c.newest))
			}
			for service, want := range c.newest {
				got, _ := d.Document(service)
				if diff := cmp.Diff(want, got, protocmp.Transform()); diff != "" {
					t.Fatal(diff)
				}
			}
		}
	})
}

func (c *cluster) checkNoRevert(t *rapid.T) {
	for i, d := range c.nodes {
		for service, before := range c.applied[i] {
			if doc, _ := d.Document(service); doc.GetRevision() < before {
				t.Fatalf("node %d reverted to revision %d of %s", i, doc.GetRevision(), service)
			}
		}
		for service := range c.newest {
			if doc, ok := d.Document(service); ok {
				c.applied[i][service] = doc.GetRevision()
			}
		}
	}
}

// A node must not apply a revision older than one that a peer has announced, even
// if it has not received the newer one.
func TestAnnouncedRevisionBlocksOlder(t *testing.T) {
	c := newCluster(2, 1)
	list := &peerpb.Digest{Hash: 7, Listed: true, Round: 3, Revisions: []*peerpb.DocumentRevision{{Service: "agenda", Revision: 9}}}
	c.nodes[0].Handle(c.now, c.rng, "relay1", &peerpb.Frame{Kind: &peerpb.Frame_Digest{Digest: list}})
	c.nodes[0].ApplySnapshot(c.now, c.rng, 8, []*peerpb.Document{{Service: "agenda", Revision: 8}})
	if _, ok := c.nodes[0].Document("agenda"); ok || c.nodes[0].Ready() {
		t.Fatal("applied a revision older than an announced one")
	}
	c.nodes[0].ApplySnapshot(c.now, c.rng, 9, []*peerpb.Document{{Service: "agenda", Revision: 9}})
	if _, ok := c.nodes[0].Document("agenda"); !ok || !c.nodes[0].Ready() {
		t.Fatal("the newest revision was not applied")
	}
}

// A node must not become ready while no peer has a configuration, and must become
// ready from its peers without reading the store.
func TestReadyOnlyWithConfiguration(t *testing.T) {
	c := newCluster(4, 2)
	c.run(5)
	for _, d := range c.nodes {
		if d.Ready() {
			t.Fatal("ready without a configuration")
		}
	}
	for i := range 3000 {
		body := make([]byte, 1000)
		c.edit(fmt.Sprintf("service%04d", i), uint64(i+1), false).Body = body
	}
	c.nodes[0].ApplySnapshot(c.now, c.rng, 3000, c.snapshot())
	c.run(4)
	for i, d := range c.nodes {
		if !d.Ready() || d.ServiceCount() != 3000 || len(d.TakeChanges()) != 3000 {
			t.Fatalf("node %d is not ready with %d services", i, d.ServiceCount())
		}
		if age, ok := d.Age(c.now).Get(); !ok || age > 10*time.Second {
			t.Fatalf("node %d: age %v %v", i, age, ok)
		}
	}
	if c.largestFrame > 1<<20 {
		t.Fatalf("a message of %d bytes exceeds the frame limit", c.largestFrame)
	}
}

// An exchange must find a single missing document that is older than the listed
// recent revisions.
func TestOldDifferenceIsFound(t *testing.T) {
	c := newCluster(2, 4)
	for i := range 300 {
		c.edit(fmt.Sprintf("service%d", i), uint64(i+1), false)
	}
	c.nodes[0].ApplySnapshot(c.now, c.rng, 300, c.snapshot())
	delete(c.newest, "service5")
	c.nodes[1].ApplySnapshot(c.now, c.rng, 300, c.snapshot())
	c.run(3)
	if c.nodes[1].ServiceCount() != 300 {
		t.Fatalf("%d of 300 services", c.nodes[1].ServiceCount())
	}
}

// When both readers lose access to the store, two other members must replace them,
// and the former readers must retry within a bounded time.
func TestReadersFollowReachability(t *testing.T) {
	c := newCluster(5, 3)
	first := c.nodes[0].Readers()
	var peers []distributor.Peer
	for i, name := range c.names {
		lost := name == first[0] || name == first[1]
		if lost {
			c.nodes[i].RecordStoreFailure(c.now, c.rng)
		}
		peers = append(peers, distributor.Peer{Node: name, ReachesStore: !lost})
	}
	reading := 0
	for i, d := range c.nodes {
		d.SetPeers(peers)
		if d.ShouldReadStore(c.now) {
			reading++
		}
		if !d.ReachesStore() && !d.ShouldReadStore(c.now.Add(3*time.Second)) {
			t.Fatalf("%s does not retry the store", c.names[i])
		}
	}
	if reading != 2 {
		t.Fatalf("%d readers, want 2", reading)
	}
}

// No frame may cause a panic, revert a service or produce a message above the
// frame limit.
func FuzzHandle(f *testing.F) {
	for _, m := range []*peerpb.Frame{
		{Kind: &peerpb.Frame_Digest{Digest: &peerpb.Digest{Listed: true, Revisions: []*peerpb.DocumentRevision{{Service: "a", Revision: 2}, nil}}}},
		{Kind: &peerpb.Frame_DigestAnswer{DigestAnswer: &peerpb.DigestAnswer{Equal: true}}},
		{Kind: &peerpb.Frame_DigestAnswer{DigestAnswer: &peerpb.DigestAnswer{Wanted: []string{"agenda", "agenda"}}}},
		{Kind: &peerpb.Frame_ConfigUpdate{ConfigUpdate: &peerpb.ConfigUpdate{Documents: []*peerpb.Document{{Service: "agenda", Revision: 3}}}}},
	} {
		body, _ := proto.Marshal(m)
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var frame peerpb.Frame
		if proto.Unmarshal(body, &frame) != nil {
			return
		}
		c := newCluster(3, 1)
		d := c.nodes[0]
		d.ApplySnapshot(start, c.rng, 5, []*peerpb.Document{{Service: "agenda", Revision: 5}})
		c.send(0, d.Handle(start, c.rng, "relay1", &frame))
		if doc, _ := d.Document("agenda"); doc.GetRevision() < 5 || c.largestFrame > 1<<20 {
			t.Fatalf("revision %d, message of %d bytes", doc.GetRevision(), c.largestFrame)
		}
	})
}
