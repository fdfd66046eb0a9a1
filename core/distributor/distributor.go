// Package distributor disseminates configuration revisions among the nodes by
// pushes and anti-entropy, and selects the nodes that read the store.
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
	// With a fanout of 3, pushes reach about 94 in 100 nodes; digests reach the
	// others.
	pushFanout = 3
	// startupPeers is the number of peers with which a starting node compares
	// its configuration, so that a single stale peer cannot make it ready.
	startupPeers = 3
	// Larger updates are not pushed, so that a node that catches up does not
	// retransmit the whole configuration.
	maxPushedDocuments = 16
)

// Settings identifies the local node.
type Settings struct {
	Node          string
	FailureDomain string
}

// Peer is a live relay of the local failure domain.
type Peer struct {
	Node string
	// ReachesStore is the reachability of the store as the peer reports it.
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
	// announced holds revisions that are known to exist but are not applied yet.
	announced       map[string]uint64
	changedServices container.Set[string]
	// hash identifies the set of services and their applied revisions.
	hash uint64

	storeRevision uint64
	// confirmedAt is when the store last confirmed the configuration.
	confirmedAt time.Time
	ready       bool
	// agreeingPeers are the peers that reported the same hash before the local
	// node became ready.
	agreeingPeers   container.Set[string]
	readyPeerAgrees bool
	firstDigestSent bool

	peers            []Peer
	neighbours       []string
	storeUnreachable bool
	// readers is cached until the candidates change, because selecting them costs a
	// hash of each.
	readers          []string
	nextStoreAttempt time.Time

	nextDigest    time.Time
	nextNeighbour time.Time
}

// New returns a distributor without a configuration.
func New(s Settings) *Distributor {
	return &Distributor{
		settings:        s,
		documents:       make(map[string]*peerpb.Document),
		announced:       make(map[string]uint64),
		changedServices: container.NewSet[string](),
		agreeingPeers:   container.NewSet[string](),
	}
}

// SetPeers replaces the live relays of the local failure domain. The local node
// is ignored.
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
	for node := range d.agreeingPeers {
		if !live.Has(node) {
			d.agreeingPeers.Remove(node)
		}
	}
}

// SetNeighbours replaces the known relays of other failure domains.
func (d *Distributor) SetNeighbours(nodes []string) { d.neighbours = nodes }

// Ready reports whether a complete configuration is in force.
func (d *Distributor) Ready() bool { return d.ready }

// StoreRevision returns the highest known store revision.
func (d *Distributor) StoreRevision() uint64 { return d.storeRevision }

// Age returns the time since the store last confirmed the configuration, if it
// has done so.
func (d *Distributor) Age(now time.Time) container.Option[time.Duration] {
	if d.confirmedAt.IsZero() {
		return container.None[time.Duration]()
	}
	return container.Some(now.Sub(d.confirmedAt))
}

// Document returns the newest revision of a service, which may be a tombstone.
func (d *Distributor) Document(service string) (*peerpb.Document, bool) {
	doc, ok := d.documents[service]
	return doc, ok
}

// AllDocuments returns every document, sorted by service.
func (d *Distributor) AllDocuments() []*peerpb.Document {
	docs := make([]*peerpb.Document, 0, len(d.documents))
	for _, service := range slices.Sorted(maps.Keys(d.documents)) {
		docs = append(docs, d.documents[service])
	}
	return docs
}

// ServiceCount returns the number of services, tombstones included.
func (d *Distributor) ServiceCount() int { return len(d.documents) }

// TakeChanges returns the documents that have changed since the last call. It
// returns none before the configuration is complete.
func (d *Distributor) TakeChanges() []*peerpb.Document {
	if !d.ready {
		return nil
	}
	docs := make([]*peerpb.Document, 0, len(d.changedServices))
	for _, service := range container.Sorted(d.changedServices) {
		docs = append(docs, d.documents[service])
	}
	clear(d.changedServices)
	return docs
}

// Tick sends the digests that are due.
func (d *Distributor) Tick(now time.Time, rng *rand.Rand) []Outgoing {
	var out []Outgoing
	if !now.Before(d.nextDigest) {
		d.nextDigest = now.Add(digestPeriod)
		count := 1
		// A starting node sends its first digest to one peer only, because each
		// answer to a node without documents is the whole configuration.
		if !d.ready && d.firstDigestSent {
			count = startupPeers
		}
		d.firstDigestSent = len(d.peers) > 0
		for _, peer := range d.randomPeers(rng, count, "") {
			out = append(out, d.digest(peer))
		}
	}
	if !now.Before(d.nextNeighbour) && len(d.neighbours) > 0 {
		d.nextNeighbour = now.Add(neighbourPeriod)
		out = append(out, d.digest(d.neighbours[rng.IntN(len(d.neighbours))]))
	}
	return out
}

// Handle processes a frame from a node and returns the frames to send.
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

// randomPeers returns up to n random peers other than the excluded one.
func (d *Distributor) randomPeers(rng *rand.Rand, n int, except string) []string {
	picked := make([]string, 0, n)
	if len(d.peers) == 0 {
		return picked
	}
	start := rng.IntN(len(d.peers))
	// A stride that is coprime to the length visits each peer once.
	stride := coprimeStride(rng, len(d.peers))
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

func coprimeStride(rng *rand.Rand, length int) int {
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
