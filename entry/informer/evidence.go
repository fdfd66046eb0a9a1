package informer

import (
	"jackdawcart.org/core/placer"
	"jackdawcart.org/core/sharer"
)

// evidenceLog holds the latest batches of evidence and loads of all VMs. Batches are numbered
// consecutively; next is the position after the last one.
type evidenceLog struct {
	maxBatches, maxEvidence int
	next                    uint64
	batches                 []batch
	// evidence is the number of pieces of evidence and of loads in all batches.
	evidence int
}

type batch struct {
	sender   string
	evidence []placer.Evidence
	loads    []sharer.IndexLoad
}

func (l *evidenceLog) add(sender string, evidence []placer.Evidence, loads []sharer.IndexLoad) {
	if len(evidence) == 0 && len(loads) == 0 {
		return
	}
	l.next++
	l.batches = append(l.batches, batch{sender, evidence, loads})
	l.evidence += len(evidence) + len(loads)
	dropped := 0
	for len(l.batches)-dropped > l.maxBatches || l.evidence > l.maxEvidence {
		l.evidence -= len(l.batches[dropped].evidence) + len(l.batches[dropped].loads)
		dropped++
	}
	if dropped > 0 {
		l.batches = append([]batch(nil), l.batches[dropped:]...)
	}
}

// since returns the evidence and the loads that VMs other than sender added from the cursor
// on, merged for each target and each class of requests, and the next cursor.
func (l *evidenceLog) since(cursor uint64, sender string) (merged []placer.Evidence, loads []sharer.IndexLoad, next uint64) {
	available := int(min(l.next-min(cursor, l.next), uint64(len(l.batches))))
	indexes := make(map[string]int)
	positions := make(map[loadKey]int)
	for _, b := range l.batches[len(l.batches)-available:] {
		if b.sender == sender {
			continue
		}
		for _, load := range b.loads {
			loads = addLoad(loads, positions, load)
		}
		for _, e := range b.evidence {
			i, ok := indexes[e.Target]
			if !ok {
				indexes[e.Target] = len(merged)
				merged = append(merged, e)
				continue
			}
			merged[i] = mergeEvidence(merged[i], e)
		}
	}
	return merged, loads, l.next
}

func mergeEvidence(a, b placer.Evidence) placer.Evidence {
	if answered := a.Answered + b.Answered; answered > 0 {
		a.Latency = (a.Latency*float64(a.Answered) + b.Latency*float64(b.Answered)) / float64(answered)
	}
	a.Answered += b.Answered
	a.Failed += b.Failed
	if b.LimitObserved {
		a.LimitObserved, a.Limit = true, b.Limit
	}
	if b.Leaving && (!a.Leaving || b.Born.After(a.Born)) {
		a.Leaving, a.Born = true, b.Born
	}
	return a
}
