package distributor

import (
	"math/rand/v2"
	"slices"
	"time"

	"jackdawcart.org/core/assigner"
	"jackdawcart.org/core/messenger/peerpb"
)

const (
	// readersPerFailureDomain is the number of members of a failure domain that
	// read the store.
	readersPerFailureDomain = 2
	// The retry period of a member that cannot reach the store grows with the
	// failure domain, so that all members together make at most ten attempts a
	// second.
	retryPeriodPerMember = 100 * time.Millisecond
	minRetryPeriod       = 2 * time.Second
)

// ReachesStore reports whether this node may be selected as a reader. The store
// is assumed to be reachable until an attempt fails.
func (d *Distributor) ReachesStore() bool { return !d.storeUnreachable }

// Readers returns the members that read the store. Nodes with different views of
// the membership may select more than two readers, which only costs some extra
// calls.
func (d *Distributor) Readers() []string {
	if d.readers == nil {
		d.readers = assigner.Rank("readers of "+d.settings.FailureDomain, d.candidates(), readersPerFailureDomain)
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

// setStoreReachable records whether the store is reachable from this node.
func (d *Distributor) setStoreReachable(reachable bool) {
	if d.storeUnreachable == reachable {
		d.readers = nil
	}
	d.storeUnreachable = !reachable
}

// ShouldReadStore reports whether this node should read the store now, either as
// a reader or to check whether the store is reachable again. A node without
// peers is a reader. The process therefore calls ShouldReadStore only after it
// has joined its peers or found none; otherwise every node of a starting failure
// domain would list the store.
func (d *Distributor) ShouldReadStore(now time.Time) bool {
	if d.storeUnreachable {
		return !now.Before(d.nextStoreAttempt)
	}
	return slices.Contains(d.Readers(), d.settings.Node)
}

// RecordStoreFailure records that the store could not be read and schedules the
// next attempt.
func (d *Distributor) RecordStoreFailure(now time.Time, rng *rand.Rand) {
	d.setStoreReachable(false)
	period := max(minRetryPeriod, retryPeriodPerMember*time.Duration(len(d.peers)+1))
	d.nextStoreAttempt = now.Add(period/2 + time.Duration(rng.Int64N(int64(period))))
}

// ApplySnapshot applies the complete list of documents at a store revision. A
// document that is missing from the list stays in force: only a tombstone deletes
// a service, so that an emptied store does not delete all of them.
func (d *Distributor) ApplySnapshot(now time.Time, rng *rand.Rand, revision uint64, docs []*peerpb.Document) []Outgoing {
	applied := d.applyDocuments(docs)
	if d.confirmRevision(now, revision) {
		d.ready = true
	}
	return d.pushDocuments(now, rng, applied, "")
}

// ApplyChanges applies the changes that a watch returned after the last snapshot.
func (d *Distributor) ApplyChanges(now time.Time, rng *rand.Rand, revision uint64, docs []*peerpb.Document) []Outgoing {
	applied := d.applyDocuments(docs)
	d.confirmRevision(now, revision)
	return d.pushDocuments(now, rng, applied, "")
}

// confirmRevision records an answer of the store and reports whether it confirms
// the configuration. An answer at a revision below the highest known one, such as
// from a store restored from a backup, does not.
func (d *Distributor) confirmRevision(now time.Time, revision uint64) bool {
	d.setStoreReachable(true)
	if revision < d.storeRevision {
		return false
	}
	d.storeRevision = revision
	d.confirmedAt = now
	return true
}
