// Package distributor spreads configuration revisions among the nodes and
// decides which of them read the store.
package distributor

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"jackdawcart.org/core/container"
	"jackdawcart.org/core/messenger/peerpb"
)

const (
	digestPeriod    = time.Second
	neighbourPeriod = 5 * time.Second
	// fanout pushes reach about 94 in 100 nodes; digests reach the others.
	fanout = 3
	// startPeers is the number of peers with which a starting node compares
	// its configuration, so that one stale peer does not decide.
	startPeers = 3
	// pushLimit keeps a node that catches up from repeating it all to others.
	pushLimit = 16
)

// Settings names the node of a distributor.
type Settings struct {
	Node          string
	FailureDomain string
}

// Peer is a live relay of the own failure domain.
type Peer struct {
	Node string
	// ReachesStore is what the peer says about itself.
	ReachesStore bool
}

// Outgoing is a frame to be sent to a node.
type Outgoing struct {
	To    string
	Frame *peerpb.Frame
}

// Distributor holds the newest revision of each service document. It is not
// safe for concurrent use.
type Distributor struct {
	settings  Settings
	documents map[string]*peerpb.Document
	// heard holds revisions that are known to exist and not yet applied.
	heard   map[string]uint64
	changed container.Set[string]
	hash    uint64

	storeRevision uint64
	confirmed     time.Time
	ready         bool
	equal         container.Set[string]
	equalReady    bool
	started       bool

	peers      []Peer
	neighbours []string
	unreached  bool
	// readers is kept until the peers change, because it costs a hash of each.
	readers []string
	recheck time.Time

	nextDigest    time.Time
	nextNeighbour time.Time
}

// New returns a distributor without a configuration.
func New(s Settings) *Distributor {
	return &Distributor{
		settings:  s,
		documents: make(map[string]*peerpb.Document),
		heard:     make(map[string]uint64),
		changed:   container.NewSet[string](),
		equal:     container.NewSet[string](),
	}
}

// SetPeers replaces the live relays of the own failure domain; the own node is
// left out.
func (d *Distributor) SetPeers(peers []Peer) {
	d.readers = nil
	d.peers = d.peers[:0]
	for _, p := range peers {
		if p.Node != d.settings.Node {
			d.peers = append(d.peers, p)
		}
	}
	live := container.NewSet[string]()
	for _, p := range d.peers {
		live.Add(p.Node)
	}
	for node := range d.equal {
		if !live.Has(node) {
			d.equal.Remove(node)
		}
	}
}

// SetNeighbours replaces the known relays of other failure domains.
func (d *Distributor) SetNeighbours(nodes []string) { d.neighbours = nodes }

// Ready reports whether a complete configuration is in force.
func (d *Distributor) Ready() bool { return d.ready }

// StoreRevision returns the highest store revision heard of.
func (d *Distributor) StoreRevision() uint64 { return d.storeRevision }

// Age returns the time since the store last confirmed the configuration, if it
// ever did.
func (d *Distributor) Age(now time.Time) container.Option[time.Duration] {
	if d.confirmed.IsZero() {
		return container.None[time.Duration]()
	}
	return container.Some(now.Sub(d.confirmed))
}

// Document returns the newest revision of a service, which may be a tombstone.
func (d *Distributor) Document(service string) (*peerpb.Document, bool) {
	doc, ok := d.documents[service]
	return doc, ok
}

// All returns every document in the order of the services.
func (d *Distributor) All() []*peerpb.Document {
	docs := make([]*peerpb.Document, 0, len(d.documents))
	for _, service := range slices.Sorted(maps.Keys(d.documents)) {
		docs = append(docs, d.documents[service])
	}
	return docs
}

// Services returns the number of services, tombstones included.
func (d *Distributor) Services() int { return len(d.documents) }

// TakeChanges returns the documents that changed since the last call. Nothing
// is returned before the configuration is complete.
func (d *Distributor) TakeChanges() []*peerpb.Document {
	if !d.ready {
		return nil
	}
	docs := make([]*peerpb.Document, 0, len(d.changed))
	for _, service := range container.Sorted(d.changed) {
		docs = append(docs, d.documents[service])
	}
	clear(d.changed)
	return docs
}

// Tick sends the digests that are due.
func (d *Distributor) Tick(now time.Time, rng *rand.Rand) []Outgoing {
	var out []Outgoing
	if !now.Before(d.nextDigest) {
		d.nextDigest = now.Add(digestPeriod)
		count := 1
		// A starting node asks one peer first, because each answer to a node
		// without documents is the whole configuration.
		if !d.ready && d.started {
			count = startPeers
		}
		d.started = len(d.peers) > 0
		for _, peer := range d.pick(rng, count, "") {
			out = append(out, d.digest(peer))
		}
	}
	if !now.Before(d.nextNeighbour) && len(d.neighbours) > 0 {
		d.nextNeighbour = now.Add(neighbourPeriod)
		out = append(out, d.digest(d.neighbours[rng.IntN(len(d.neighbours))]))
	}
	return out
}

// Handle takes one frame from a node.
func (d *Distributor) Handle(now time.Time, rng *rand.Rand, from string, frame *peerpb.Frame) []Outgoing {
	switch kind := frame.GetKind().(type) {
	case *peerpb.Frame_ConfigUpdate:
		return d.onUpdate(now, rng, from, kind.ConfigUpdate)
	case *peerpb.Frame_Digest:
		return d.onDigest(now, from, kind.Digest)
	case *peerpb.Frame_DigestAnswer:
		return d.onAnswer(now, from, kind.DigestAnswer)
	}
	return nil
}

// pick returns up to n random peers other than one.
func (d *Distributor) pick(rng *rand.Rand, n int, except string) []string {
	picked := make([]string, 0, n)
	if len(d.peers) == 0 {
		return picked
	}
	start := rng.IntN(len(d.peers))
	// A stride that is prime to the length visits each peer once.
	stride := strideOf(rng, len(d.peers))
	for i := range len(d.peers) {
		peer := d.peers[(start+i*stride)%len(d.peers)].Node
		if peer != except {
			picked = append(picked, peer)
		}
		if len(picked) == n {
			break
		}
	}
	return picked
}

func strideOf(rng *rand.Rand, length int) int {
	for {
		stride := 1 + rng.IntN(length)
		if gcd(stride, length) == 1 {
			return stride
		}
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
