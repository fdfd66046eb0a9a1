package ticketer

import "time"

// state is the state of one ticket. It only changes forwards: from free to
// running to done, or from free to fenced.
type state uint8

const (
	stateFree state = iota
	stateRunning
	stateDone
	// stateFenced means that the request has not run and never will.
	stateFenced
)

type entry struct {
	origin  origin
	caller  string
	adopted bool
	state   state
	request Fingerprint
	answer  Answer
	expires time.Time
	// forget is the time at which the entry is removed, index its place in the
	// queue of removals.
	forget time.Time
	index  int
}

// decide returns the verdict on a request for a ticket that is not free.
func (e *entry) decide(request Fingerprint) Decision {
	switch {
	case e.state == stateFenced:
		return Decision{Verdict: VerdictRefused}
	case e.request != request:
		return Decision{Verdict: VerdictRefused}
	case e.state == stateRunning:
		return Decision{Verdict: VerdictWait}
	}
	return Decision{Verdict: VerdictKnown, Answer: e.answer}
}

// decideAdopted returns the verdict of a process that did not issue the
// ticket: the adopted answer, or that the outcome is unknown.
func decideAdopted(e *entry, request Fingerprint) Decision {
	if e == nil {
		return Decision{Verdict: VerdictUnknown}
	}
	return e.decide(request)
}

func (e *entry) handed(now time.Time) Handed {
	return Handed{
		Node:        e.origin.node,
		Incarnation: e.origin.incarnation,
		ID:          e.origin.id,
		Fingerprint: e.request,
		Remaining:   e.forget.Sub(now),
		Answer:      e.answer,
	}
}

// dueQueue is a heap of entries, ordered by the time of their removal.
type dueQueue []*entry

// Len returns the number of entries.
func (q dueQueue) Len() int { return len(q) }

// Less orders the entries by the time of their removal.
func (q dueQueue) Less(i, j int) bool { return q[i].forget.Before(q[j].forget) }

// Swap exchanges two entries.
func (q dueQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push appends an entry.
func (q *dueQueue) Push(x any) {
	e := x.(*entry)
	e.index = len(*q)
	*q = append(*q, e)
}

// Pop removes the last entry.
func (q *dueQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return e
}
