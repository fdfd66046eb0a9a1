package quarantiner

import "jackdawcart.org/core/container"

// lossIndex holds the fingerprints with losses at each target.
type lossIndex map[string]container.Set[uint64]

func (x lossIndex) add(target string, fingerprint uint64) {
	if x[target] == nil {
		x[target] = container.NewSet[uint64]()
	}
	x[target].Add(fingerprint)
}

func (x lossIndex) remove(target string, fingerprint uint64) {
	x[target].Remove(fingerprint)
	if len(x[target]) == 0 {
		delete(x, target)
	}
}

// explained reports whether another request is the likelier cause of a loss: it was in flight
// at the same target, and more targets were lost under it. When a poison request crashes all
// targets of some shards at once, queries that were in flight beside it find no other target
// to be answered by.
func (q *Quarantiner) explained(fingerprint uint64, l loss) bool {
	own := q.suspects[fingerprint].counted()
	for other := range q.atTarget[l.target] {
		s := q.suspects[other]
		if other != fingerprint && s.countsAt(l.target) && s.counted() >= lossesForQuarantine && s.counted() > own {
			return true
		}
	}
	return false
}

// blamed returns the counted losses of a request of which no other one is the likelier cause.
func (q *Quarantiner) blamed(fingerprint uint64) []loss {
	s := q.suspects[fingerprint]
	if s == nil {
		return nil
	}
	var losses []loss
	for _, l := range s.losses {
		if l.counted && !q.explained(fingerprint, l) {
			losses = append(losses, l)
		}
	}
	return losses
}

// Blamed reports whether losses at a part count against a request, or it is quarantined
// because of losses there, and no other request is the likelier cause.
func (q *Quarantiner) Blamed(run Run) bool {
	if e, ok := q.entries[run.Fingerprint]; ok && e.concerns(run.Part) {
		return true
	}
	for _, l := range q.blamed(run.Fingerprint) {
		if covers(run.Part, l.part) {
			return true
		}
	}
	return false
}
