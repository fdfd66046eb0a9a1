package informer

import "jackdawcart.org/core/placer"

// ledger holds the last evidence of the VMs, each batch under a number that
// grows by one.
type ledger struct {
	max     int
	next    uint64
	batches []batch
}

type batch struct {
	from     string
	evidence []placer.Evidence
}

func (l *ledger) add(from string, evidence []placer.Evidence) {
	if len(evidence) == 0 {
		return
	}
	l.next++
	l.batches = append(l.batches, batch{from, evidence})
	if len(l.batches) > l.max {
		l.batches = append([]batch(nil), l.batches[len(l.batches)-l.max:]...)
	}
}

// since returns what others than the given VM have added from a number on, as
// one piece for each target, and the number to go on from.
func (l *ledger) since(number uint64, from string) (merged []placer.Evidence, next uint64) {
	known := int(min(l.next-min(number, l.next), uint64(len(l.batches))))
	place := make(map[string]int)
	for _, b := range l.batches[len(l.batches)-known:] {
		if b.from == from {
			continue
		}
		for _, e := range b.evidence {
			i, ok := place[e.Target]
			if !ok {
				place[e.Target] = len(merged)
				merged = append(merged, e)
				continue
			}
			merged[i] = join(merged[i], e)
		}
	}
	return merged, l.next
}

func join(a, b placer.Evidence) placer.Evidence {
	if answered := a.Answered + b.Answered; answered > 0 {
		a.Latency = (a.Latency*float64(a.Answered) + b.Latency*float64(b.Answered)) / float64(answered)
	}
	a.Answered += b.Answered
	a.Failed += b.Failed
	return a
}
