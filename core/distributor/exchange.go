package distributor

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"jackdawcart.org/core/container"
	"jackdawcart.org/core/messenger/peerpb"
)

const (
	// The most recent revisions are compared before the whole list, because most
	// differences are a few changes that are still being disseminated.
	maxRecentRevisions = 64
	// Limits on the content of one message.
	maxUpdateBytes = 256 << 10
	maxWanted      = 4096
	maxReportedAge = 365 * 24 * time.Hour
)

// Rounds of an exchange: a hash, the recent revisions of one side, those of the
// other side, and the whole list.
const (
	roundHash = iota
	roundRecent
	roundRecentReply
	roundAll
)

func (d *Distributor) digest(to string) Outgoing {
	return digestFrame(to, &peerpb.Digest{Hash: d.hash, StoreRevision: d.storeRevision})
}

// revisionDigest returns a digest that lists the recent revisions, or all of them
// in the last round.
func (d *Distributor) revisionDigest(to string, round uint32) Outgoing {
	docs := make([]*peerpb.Document, 0, len(d.documents))
	for _, doc := range d.documents {
		docs = append(docs, doc)
	}
	slices.SortFunc(docs, func(a, b *peerpb.Document) int {
		return cmp.Or(cmp.Compare(b.Revision, a.Revision), cmp.Compare(a.Service, b.Service))
	})
	m := &peerpb.Digest{Hash: d.hash, StoreRevision: d.storeRevision, Listed: true, Round: round}
	if round < roundAll && len(docs) > maxRecentRevisions {
		docs = docs[:maxRecentRevisions]
		m.Floor = docs[maxRecentRevisions-1].Revision
	}
	m.OlderHash = d.hash
	for _, doc := range docs {
		m.OlderHash ^= revisionHash(doc)
		m.Revisions = append(m.Revisions, &peerpb.DocumentRevision{Service: doc.Service, Revision: doc.Revision})
	}
	return digestFrame(to, m)
}

func (d *Distributor) onDigest(now time.Time, from string, m *peerpb.Digest) []Outgoing {
	if m.GetHash() == d.hash {
		d.raiseStoreRevision(m.GetStoreRevision())
		return []Outgoing{answerFrame(from, &peerpb.DigestAnswer{Equal: true, Update: d.status(now)})}
	}
	if !m.GetListed() {
		return []Outgoing{d.revisionDigest(from, roundRecent)}
	}
	return d.compareRevisions(now, from, m)
}

// compareRevisions requests listed revisions that are newer than the applied ones
// and sends documents that are newer than the listed ones. If the hashes of the
// unlisted revisions differ, it starts the next round.
func (d *Distributor) compareRevisions(now time.Time, from string, m *peerpb.Digest) []Outgoing {
	var wanted []string
	var newer []*peerpb.Document
	listed := container.NewSet[string]()
	for _, r := range m.GetRevisions() {
		listed.Add(r.GetService())
		if d.recordAnnouncement(r) {
			wanted = append(wanted, r.GetService())
		} else if doc, ok := d.documents[r.GetService()]; ok && doc.Revision > r.GetRevision() {
			newer = append(newer, doc)
		}
	}
	older := uint64(0)
	for service, doc := range d.documents {
		switch {
		case listed.Has(service):
		case doc.Revision >= m.GetFloor():
			newer = append(newer, doc)
		default:
			older ^= revisionHash(doc)
		}
	}
	var out []Outgoing
	if len(wanted) > 0 {
		wanted = wanted[:min(len(wanted), maxWanted)]
		out = append(out, answerFrame(from, &peerpb.DigestAnswer{Wanted: wanted}))
	}
	out = append(out, d.updates(now, from, newer)...)
	if older != m.GetOlderHash() && m.GetRound() < roundAll {
		out = append(out, d.revisionDigest(from, m.GetRound()+1))
	}
	return out
}

func (d *Distributor) onAnswer(now time.Time, from string, m *peerpb.DigestAnswer) []Outgoing {
	if m.GetEqual() {
		d.recordAgreement(now, from, m.GetUpdate())
		return nil
	}
	docs := make([]*peerpb.Document, 0, min(len(m.GetWanted()), maxWanted))
	asked := container.NewSet[string]()
	for _, service := range m.GetWanted() {
		doc, ok := d.documents[service]
		if ok && !asked.Has(service) {
			docs = append(docs, doc)
		}
		asked.Add(service)
	}
	return d.updates(now, from, docs)
}

// recordAgreement adopts the age reported by a ready peer with the same
// configuration if it is lower. A starting node becomes ready once it agrees with
// enough peers, at least one of which is ready.
func (d *Distributor) recordAgreement(now time.Time, from string, status *peerpb.ConfigUpdate) {
	d.raiseStoreRevision(status.GetStoreRevision())
	if status.GetComplete() && status.GetAge() != nil {
		age := min(max(status.GetAge().AsDuration(), 0), maxReportedAge)
		if at := now.Add(-age); at.After(d.confirmedAt) {
			d.confirmedAt = at
		}
	}
	if d.ready {
		return
	}
	d.agreeingPeers.Add(from)
	d.readyPeerAgrees = d.readyPeerAgrees || status.GetComplete()
	if d.readyPeerAgrees && len(d.agreeingPeers) >= min(startupPeers, len(d.peers)) {
		d.ready = true
	}
}

func (d *Distributor) onUpdate(now time.Time, rng *rand.Rand, from string, m *peerpb.ConfigUpdate) []Outgoing {
	d.raiseStoreRevision(m.GetStoreRevision())
	applied := d.applyDocuments(m.GetDocuments())
	if len(applied) > 0 && !d.ready {
		// Peers agreed with a configuration that has now changed.
		clear(d.agreeingPeers)
	}
	return d.pushDocuments(now, rng, applied, from)
}

// pushDocuments forwards new documents to a few random peers.
func (d *Distributor) pushDocuments(now time.Time, rng *rand.Rand, docs []*peerpb.Document, from string) []Outgoing {
	if !d.ready || len(docs) == 0 || len(docs) > maxPushedDocuments {
		return nil
	}
	var out []Outgoing
	for _, peer := range d.randomPeers(rng, pushFanout, from) {
		out = append(out, d.updates(now, peer, docs)...)
	}
	return out
}

// updates packs documents into messages below the frame limit.
func (d *Distributor) updates(now time.Time, to string, docs []*peerpb.Document) []Outgoing {
	var out []Outgoing
	for len(docs) > 0 {
		count, size := 0, 0
		for count < len(docs) && (count == 0 || size+proto.Size(docs[count]) <= maxUpdateBytes) {
			size += proto.Size(docs[count])
			count++
		}
		m := d.status(now)
		m.Complete = false
		m.Documents = docs[:count]
		out = append(out, Outgoing{To: to, Frame: &peerpb.Frame{Kind: &peerpb.Frame_ConfigUpdate{ConfigUpdate: m}}})
		docs = docs[count:]
	}
	return out
}

// status returns an update without documents that reports the store revision, the
// readiness and the age of the configuration.
func (d *Distributor) status(now time.Time) *peerpb.ConfigUpdate {
	m := &peerpb.ConfigUpdate{StoreRevision: d.storeRevision, Complete: d.ready}
	if age, ok := d.Age(now).Get(); ok {
		m.Age = durationpb.New(age)
	}
	return m
}

func digestFrame(to string, m *peerpb.Digest) Outgoing {
	return Outgoing{To: to, Frame: &peerpb.Frame{Kind: &peerpb.Frame_Digest{Digest: m}}}
}

func answerFrame(to string, m *peerpb.DigestAnswer) Outgoing {
	return Outgoing{To: to, Frame: &peerpb.Frame{Kind: &peerpb.Frame_DigestAnswer{DigestAnswer: m}}}
}
