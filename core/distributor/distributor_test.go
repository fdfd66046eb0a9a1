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
	f := &cluster{now: start, rng: rand.New(rand.NewPCG(seed, 1)), newest: map[string]*peerpb.Document{}}
	var peers []distributor.Peer
	for i := range size {
		f.names = append(f.names, fmt.Sprintf("relay%d", i))
		peers = append(peers, distributor.Peer{Node: f.names[i], ReachesStore: true})
	}
	for i := range size {
		d := distributor.New(distributor.Settings{Node: f.names[i], FailureDomain: "parana"})
		d.SetPeers(peers)
		f.nodes = append(f.nodes, d)
		f.applied = append(f.applied, map[string]uint64{})
	}
	return f
}

func (f *cluster) send(from int, out []distributor.Outgoing) {
	for _, o := range out {
		f.largestFrame = max(f.largestFrame, proto.Size(o.Frame))
		f.inFlight = append(f.inFlight, message{f.names[from], o})
	}
}

func (f *cluster) deliver(at int) {
	m := f.inFlight[at]
	for i, name := range f.names {
		if name == m.To {
			f.send(i, f.nodes[i].Handle(f.now, f.rng, m.from, m.Frame))
		}
	}
}

func (f *cluster) drop(at int) { f.inFlight = append(f.inFlight[:at:at], f.inFlight[at+1:]...) }

func (f *cluster) tick(step time.Duration) {
	f.now = f.now.Add(step)
	for i, d := range f.nodes {
		f.send(i, d.Tick(f.now, f.rng))
	}
}

func (f *cluster) run(rounds int) {
	for range rounds {
		f.tick(time.Second)
		for len(f.inFlight) > 0 {
			f.deliver(0)
			f.inFlight = f.inFlight[1:]
		}
	}
}

func (f *cluster) edit(service string, revision uint64, deleted bool) *peerpb.Document {
	doc := &peerpb.Document{Service: service, Revision: revision, Deleted: deleted}
	f.newest[service] = doc
	return doc
}

func (f *cluster) snapshot() []*peerpb.Document {
	docs := []*peerpb.Document{}
	for _, doc := range f.newest {
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
		f := newCluster(rapid.IntRange(2, 6).Draw(t, "nodes"), rapid.Uint64().Draw(t, "seed"))
		revision := uint64(1)
		f.nodes[0].ApplySnapshot(f.now, f.rng, revision, nil)
		t.Repeat(map[string]func(*rapid.T){
			"edit": func(t *rapid.T) {
				revision += uint64(rapid.IntRange(1, 3).Draw(t, "gap"))
				service := rapid.SampledFrom([]string{"agenda", "hutbook", "sheetshelf"}).Draw(t, "service")
				doc := f.edit(service, revision, rapid.Bool().Draw(t, "deleted"))
				reader := rapid.IntRange(0, len(f.nodes)-1).Draw(t, "reader")
				f.send(reader, f.nodes[reader].ApplyChanges(f.now, f.rng, revision, []*peerpb.Document{doc}))
			},
			"bulk": func(*rapid.T) {
				for i := range 80 {
					revision++
					f.edit(fmt.Sprintf("bulk%d", i), revision, false)
				}
				f.send(0, f.nodes[0].ApplySnapshot(f.now, f.rng, revision, f.snapshot()))
			},
			"tick": func(*rapid.T) { f.tick(time.Second) },
			"deliver": func(t *rapid.T) {
				if len(f.inFlight) == 0 {
					t.Skip()
				}
				at := rapid.IntRange(0, len(f.inFlight)-1).Draw(t, "at")
				f.deliver(at)
				if !rapid.Bool().Draw(t, "duplicate") {
					f.drop(at)
				}
			},
			"lose": func(t *rapid.T) {
				if len(f.inFlight) == 0 {
					t.Skip()
				}
				f.drop(rapid.IntRange(0, len(f.inFlight)-1).Draw(t, "at"))
			},
			"": func(t *rapid.T) { f.checkNoRevert(t) },
		})
		f.run(12)
		f.checkNoRevert(t)
		for i, d := range f.nodes {
			if !d.Ready() || d.ServiceCount() != len(f.newest) {
				t.Fatalf("node %d: ready %v, %d of %d services", i, d.Ready(), d.ServiceCount(), len(f.newest))
			}
			for service, want := range f.newest {
				got, _ := d.Document(service)
				if diff := cmp.Diff(want, got, protocmp.Transform()); diff != "" {
					t.Fatal(diff)
				}
			}
		}
	})
}

func (f *cluster) checkNoRevert(t *rapid.T) {
	for i, d := range f.nodes {
		for service, before := range f.applied[i] {
			if doc, _ := d.Document(service); doc.GetRevision() < before {
				t.Fatalf("node %d reverted to revision %d of %s", i, doc.GetRevision(), service)
			}
		}
		for service := range f.newest {
			if doc, ok := d.Document(service); ok {
				f.applied[i][service] = doc.GetRevision()
			}
		}
	}
}

// A node must not apply a revision older than one that a peer has announced, even
// if it has not received the newer one.
func TestAnnouncedRevisionBlocksOlder(t *testing.T) {
	f := newCluster(2, 1)
	list := &peerpb.Digest{Hash: 7, Listed: true, Round: 3, Revisions: []*peerpb.DocumentRevision{{Service: "agenda", Revision: 9}}}
	f.nodes[0].Handle(f.now, f.rng, "relay1", &peerpb.Frame{Kind: &peerpb.Frame_Digest{Digest: list}})
	f.nodes[0].ApplySnapshot(f.now, f.rng, 8, []*peerpb.Document{{Service: "agenda", Revision: 8}})
	if _, ok := f.nodes[0].Document("agenda"); ok || f.nodes[0].Ready() {
		t.Fatal("applied a revision older than an announced one")
	}
	f.nodes[0].ApplySnapshot(f.now, f.rng, 9, []*peerpb.Document{{Service: "agenda", Revision: 9}})
	if _, ok := f.nodes[0].Document("agenda"); !ok || !f.nodes[0].Ready() {
		t.Fatal("the newest revision was not applied")
	}
}

// A node must not become ready while no peer has a configuration, and must become
// ready from its peers without reading the store.
func TestReadyOnlyWithConfiguration(t *testing.T) {
	f := newCluster(4, 2)
	f.run(5)
	for _, d := range f.nodes {
		if d.Ready() {
			t.Fatal("ready without a configuration")
		}
	}
	for i := range 3000 {
		body := make([]byte, 1000)
		f.edit(fmt.Sprintf("service%04d", i), uint64(i+1), false).Body = body
	}
	f.nodes[0].ApplySnapshot(f.now, f.rng, 3000, f.snapshot())
	f.run(4)
	for i, d := range f.nodes {
		if !d.Ready() || d.ServiceCount() != 3000 || len(d.TakeChanges()) != 3000 {
			t.Fatalf("node %d is not ready with %d services", i, d.ServiceCount())
		}
		if age, ok := d.Age(f.now).Get(); !ok || age > 10*time.Second {
			t.Fatalf("node %d: age %v %v", i, age, ok)
		}
	}
	if f.largestFrame > 1<<20 {
		t.Fatalf("a message of %d bytes exceeds the frame limit", f.largestFrame)
	}
}

// An exchange must find a single missing document that is older than the listed
// recent revisions.
func TestOldDifferenceIsFound(t *testing.T) {
	f := newCluster(2, 4)
	for i := range 300 {
		f.edit(fmt.Sprintf("service%d", i), uint64(i+1), false)
	}
	f.nodes[0].ApplySnapshot(f.now, f.rng, 300, f.snapshot())
	delete(f.newest, "service5")
	f.nodes[1].ApplySnapshot(f.now, f.rng, 300, f.snapshot())
	f.run(3)
	if f.nodes[1].ServiceCount() != 300 {
		t.Fatalf("%d of 300 services", f.nodes[1].ServiceCount())
	}
}

// When both readers lose access to the store, two other members must replace them,
// and the former readers must retry within a bounded time.
func TestReadersFollowReachability(t *testing.T) {
	f := newCluster(5, 3)
	first := f.nodes[0].Readers()
	var peers []distributor.Peer
	for i, name := range f.names {
		lost := name == first[0] || name == first[1]
		if lost {
			f.nodes[i].RecordStoreFailure(f.now, f.rng)
		}
		peers = append(peers, distributor.Peer{Node: name, ReachesStore: !lost})
	}
	reading := 0
	for i, d := range f.nodes {
		d.SetPeers(peers)
		if d.ShouldReadStore(f.now) {
			reading++
		}
		if !d.ReachesStore() && !d.ShouldReadStore(f.now.Add(3*time.Second)) {
			t.Fatalf("%s does not retry the store", f.names[i])
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
		cluster := newCluster(3, 1)
		d := cluster.nodes[0]
		d.ApplySnapshot(start, cluster.rng, 5, []*peerpb.Document{{Service: "agenda", Revision: 5}})
		cluster.send(0, d.Handle(start, cluster.rng, "relay1", &frame))
		if doc, _ := d.Document("agenda"); doc.GetRevision() < 5 || cluster.largestFrame > 1<<20 {
			t.Fatalf("revision %d, message of %d bytes", doc.GetRevision(), cluster.largestFrame)
		}
	})
}
