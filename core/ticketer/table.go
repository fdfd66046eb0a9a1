package ticketer

import (
	"bytes"
	"container/heap"
	"time"

	"jackdawcart.org/core/messenger/peerpb"
)

// Config holds the identity and the bounds of a table.
type Config struct {
	Node string
	// Incarnation must never repeat for a node: a second process with the same
	// one could run a ticket of the first.
	Incarnation uint64
	// Lifetime is the time within which a ticket can start its request.
	Lifetime time.Duration
	// Retention is the time after expiry for which the outcome is remembered,
	// so that a late repetition still gets the recorded one.
	Retention time.Duration
	// MaxTickets bounds the issued tickets, and separately the adopted answers.
	MaxTickets int
	// MaxPerCaller bounds the tickets of one caller, so that one cannot use up
	// the table. Zero means no bound of its own.
	MaxPerCaller int
	// MaxResultBytes bounds the results kept, issued and adopted together.
	MaxResultBytes int
}

// Table is the state of the tickets that one incarnation has issued, and of
// the answers it has adopted from stopped peers.
type Table struct {
	config      Config
	keys        *Keyring
	start       time.Time
	lastID      uint64
	fenced      bool
	resultBytes int
	issuedBy    map[string]int
	entries     map[uint64]*entry
	adopted     map[origin]*entry
	due         dueQueue
}

type origin struct {
	node        string
	incarnation uint64
	id          uint64
}

// NewTable returns an empty table. The time must carry a monotonic reading.
func NewTable(now time.Time, config Config, keys *Keyring) *Table {
	return &Table{
		config:   config,
		keys:     keys,
		start:    now,
		issuedBy: make(map[string]int),
		entries:  make(map[uint64]*entry),
		adopted:  make(map[origin]*entry),
	}
}

// SetKeys replaces the keys after a reload of the settings.
func (t *Table) SetKeys(keys *Keyring) { t.keys = keys }

// Len returns the number of tickets and adopted answers that are held.
func (t *Table) Len() int { return len(t.entries) + len(t.adopted) }

// Issue returns a new ticket. An error means that no ticket exists, so the
// request has not run.
func (t *Table) Issue(now time.Time, caller string) (string, error) {
	t.Expire(now)
	if t.fenced {
		return "", &Error{Op: "issue", Kind: KindFenced}
	}
	if len(t.entries) >= t.config.MaxTickets || t.callerIsFull(caller) {
		return "", &Error{Op: "issue", Kind: KindFull}
	}
	expires := now.Sub(t.start) + t.config.Lifetime
	ticket := Ticket{t.config.Node, t.config.Incarnation, t.lastID + 1, expires, caller}
	text, err := t.keys.Encode(ticket)
	if err != nil {
		return "", err
	}
	t.lastID++
	t.add(ticket)
	return text, nil
}

// Verify decodes a ticket and checks its tag and its caller.
func (t *Table) Verify(text, caller string) (Ticket, error) {
	return t.keys.Verify(text, caller)
}

// Begin decides on a request that came with a verified ticket. After
// VerdictRun the process must call Finish exactly once.
func (t *Table) Begin(now time.Time, ticket Ticket, request Fingerprint) Decision {
	if !t.issued(ticket) {
		return decideAdopted(t.adopted[originOf(ticket)], request)
	}
	e := t.entries[ticket.ID]
	if e == nil {
		return Decision{Verdict: VerdictUnknown}
	}
	if e.state == stateFree && !now.Before(e.expires) {
		// Closing it makes the refusal hold for a caller with an older clock
		// reading as well.
		e.state = stateFenced
	}
	if e.state == stateFree {
		e.state = stateRunning
		e.request = request
		return Decision{Verdict: VerdictRun}
	}
	return e.decide(request)
}

// Finish records the end of a request that Begin told to run. It reports false
// when that ticket is not running, and then changes nothing.
func (t *Table) Finish(now time.Time, id uint64, outcome peerpb.Outcome, result []byte) bool {
	e := t.entries[id]
	if e == nil || e.state != stateRunning {
		return false
	}
	e.state = stateDone
	e.answer = t.keep(Answer{Outcome: outcome, Result: result})
	e.forget = later(e.forget, now.Add(t.config.Retention))
	heap.Fix(&t.due, e.index)
	return true
}

// Fence closes every free ticket and the issue of new ones, and returns the
// answers finished so far and those adopted before, to hand over. It may be
// called again when running requests have finished; states that it has
// returned never change.
func (t *Table) Fence(now time.Time) []Handed {
	t.fenced = true
	var finished []Handed
	for _, e := range t.entries {
		if e.state == stateFree {
			e.state = stateFenced
		}
		if e.state == stateDone && now.Before(e.forget) {
			finished = append(finished, e.handed(now))
		}
	}
	for _, e := range t.adopted {
		if now.Before(e.forget) {
			finished = append(finished, e.handed(now))
		}
	}
	return finished
}

// Adopt takes the finished answers of a stopped peer and returns how many it
// holds now. The others stay unknown. An answer already held is not replaced.
func (t *Table) Adopt(now time.Time, answers []Handed) int {
	t.Expire(now)
	held := 0
	for _, h := range answers {
		if t.adopt(now, h) {
			held++
		}
	}
	return held
}

// Expire forgets the tickets and answers whose retention has ended. A running
// ticket is never forgotten.
func (t *Table) Expire(now time.Time) {
	for len(t.due) > 0 && !now.Before(t.due[0].forget) {
		e := t.due[0]
		if e.state == stateRunning {
			e.forget = now.Add(t.config.Retention)
			heap.Fix(&t.due, 0)
			continue
		}
		t.remove(e)
	}
}

func (t *Table) add(ticket Ticket) {
	expires := t.start.Add(ticket.Expires)
	e := &entry{
		origin:  originOf(ticket),
		caller:  ticket.Caller,
		expires: expires,
		forget:  expires.Add(t.config.Retention),
	}
	t.entries[ticket.ID] = e
	t.issuedBy[ticket.Caller]++
	heap.Push(&t.due, e)
}

func (t *Table) adopt(now time.Time, h Handed) bool {
	from := origin{h.Node, h.Incarnation, h.ID}
	if _, held := t.adopted[from]; held {
		return true
	}
	if len(t.adopted) >= t.config.MaxTickets || h.Remaining <= 0 {
		return false
	}
	remaining := min(h.Remaining, t.config.Lifetime+t.config.Retention)
	e := &entry{
		origin:  from,
		adopted: true,
		state:   stateDone,
		request: h.Fingerprint,
		forget:  now.Add(remaining),
		answer:  t.keep(h.Answer),
	}
	t.adopted[from] = e
	heap.Push(&t.due, e)
	return true
}

func (t *Table) remove(e *entry) {
	heap.Remove(&t.due, e.index)
	t.resultBytes -= len(e.answer.Result)
	if e.adopted {
		delete(t.adopted, e.origin)
		return
	}
	delete(t.entries, e.origin.id)
	t.issuedBy[e.caller]--
	if t.issuedBy[e.caller] == 0 {
		delete(t.issuedBy, e.caller)
	}
}

// keep returns the answer with its own copy of the result, or without it when
// there is no room.
func (t *Table) keep(answer Answer) Answer {
	if t.resultBytes+len(answer.Result) > t.config.MaxResultBytes {
		answer.Result, answer.ResultDropped = nil, true
		return answer
	}
	t.resultBytes += len(answer.Result)
	answer.Result = bytes.Clone(answer.Result)
	return answer
}

func (t *Table) issued(ticket Ticket) bool {
	return ticket.Node == t.config.Node && ticket.Incarnation == t.config.Incarnation
}

func (t *Table) hasAdopted(ticket Ticket) bool {
	_, ok := t.adopted[originOf(ticket)]
	return ok
}

func (t *Table) callerIsFull(caller string) bool {
	return t.config.MaxPerCaller > 0 && t.issuedBy[caller] >= t.config.MaxPerCaller
}

func originOf(ticket Ticket) origin {
	return origin{ticket.Node, ticket.Incarnation, ticket.ID}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
