package distributor

import (
	"math/rand/v2"
	"slices"
	"time"

	"jackdawcart.org/core/assigner"
	"jackdawcart.org/core/messenger/peerpb"
)

const (
	// readers is the number of members of a failure domain that read the store.
	readers = 2
	// A member that does not reach the store tries again after a time that
	// grows with the failure domain, so that all of them together make at most
	// ten attempts a second.
	recheckPerMember = 100 * time.Millisecond
	minRecheck       = 2 * time.Second
)

// ReachesStore reports whether this node may be chosen as a reader. A node
// assumes that it reaches the store until an attempt fails.
func (d *Distributor) ReachesStore() bool { return !d.unreached }

// Readers returns the members that read the store. Two views of the members
// may give more than two readers, which costs only some calls.
func (d *Distributor) Readers() []string {
	if d.readers == nil {
		d.readers = assigner.Rank("readers of "+d.settings.FailureDomain, d.candidates(), readers)
	}
	return d.readers
}

func (d *Distributor) candidates() []string {
	names := make([]string, 0, len(d.peers)+1)
	for _, p := range d.peers {
		if p.ReachesStore {
			names = append(names, p.Node)
		}
	}
	if d.ReachesStore() {
		names = append(names, d.settings.Node)
	}
	return names
}

// setReached records whether the store answers this node.
func (d *Distributor) setReached(reached bool) {
	if d.unreached == reached {
		d.readers = nil
	}
	d.unreached = !reached
}

// ReadsStore reports whether this node should read the store now: as a reader,
// or to find out whether it reaches the store again. A node without peers is a
// reader, so the process asks only once it has met its peers or found none;
// otherwise every node of a starting failure domain would list the store.
func (d *Distributor) ReadsStore(now time.Time) bool {
	if d.unreached {
		return !now.Before(d.recheck)
	}
	return slices.Contains(d.Readers(), d.settings.Node)
}

// StoreFailed notes that the store could not be read.
func (d *Distributor) StoreFailed(now time.Time, rng *rand.Rand) {
	d.setReached(false)
	period := max(minRecheck, recheckPerMember*time.Duration(len(d.peers)+1))
	d.recheck = now.Add(period/2 + time.Duration(rng.Int64N(int64(period))))
}

// ApplySnapshot takes the complete list of documents at a store revision. A
// document that the list lacks stays in force: only a tombstone deletes, so
// that an emptied store does not end every service.
func (d *Distributor) ApplySnapshot(now time.Time, rng *rand.Rand, revision uint64, docs []*peerpb.Document) []Outgoing {
	applied := d.applyAll(docs)
	if d.confirm(now, revision) {
		d.ready = true
	}
	return d.push(now, rng, applied, "")
}

// ApplyChanges takes what a watch that follows the last snapshot returned.
func (d *Distributor) ApplyChanges(now time.Time, rng *rand.Rand, revision uint64, docs []*peerpb.Document) []Outgoing {
	applied := d.applyAll(docs)
	d.confirm(now, revision)
	return d.push(now, rng, applied, "")
}

// confirm notes an answer of the store. An answer older than what is known,
// as of a store restored from a backup, confirms nothing.
func (d *Distributor) confirm(now time.Time, revision uint64) bool {
	d.setReached(true)
	if revision < d.storeRevision {
		return false
	}
	d.storeRevision = revision
	d.confirmed = now
	return true
}
