package ticketer

import "time"

// state is the state of one ticket. The only transitions are from free to
// running to done, and from free to fenced.
type state uint8

const (
	stateFree state = iota
	stateRunning
	stateDone
	// stateFenced means that the request has not run and never will.
	stateFenced
)

type entry struct {
	ticketRef ticketRef
	caller    string
	adopted   bool
	state     state
	request   Fingerprint
	answer    Answer
	expires   time.Time
	// removeAt is the time at which the entry is removed, index its position
	// in the removal queue.
	removeAt time.Time
	index    int
}

// decide returns the decision on a request for a ticket that is not free.
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

// decideAdopted returns the decision of a process that did not issue the ticket:
// the adopted answer, or VerdictUnknown if there is none.
func decideAdopted(e *entry, request Fingerprint) Decision {
	if e == nil {
		return Decision{Verdict: VerdictUnknown}
	}
	return e.decide(request)
}

func (e *entry) handover(now time.Time) HandedAnswer {
	return HandedAnswer{
		Node:        e.ticketRef.node,
		Incarnation: e.ticketRef.incarnation,
		ID:          e.ticketRef.id,
		Fingerprint: e.request,
		Remaining:   e.removeAt.Sub(now),
		Answer:      e.answer,
	}
}

// removalQueue is a heap of entries in the order of their removal.
type removalQueue []*entry

// Len returns the number of entries.
func (q removalQueue) Len() int { return len(q) }

// Less orders the entries by removal time.
func (q removalQueue) Less(i, j int) bool { return q[i].removeAt.Before(q[j].removeAt) }

// Swap exchanges two entries.
func (q removalQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push appends an entry, for container/heap.
func (q *removalQueue) Push(x any) {
	e := x.(*entry)
	e.index = len(*q)
	*q = append(*q, e)
}

// Pop removes and returns the last entry, for container/heap.
func (q *removalQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return e
}
