package ticketer

import (
	"bytes"
	"container/heap"
	"time"

	"jackdawcart.org/core/messenger/peerpb"
)

// Config holds the identity and the limits of a Table.
type Config struct {
	Node string
	// Incarnation must be different for each start of a node: a second process
	// with the same incarnation could run a ticket of the first.
	Incarnation uint64
	// Lifetime is the time after issue within which a ticket's request can
	// start.
	Lifetime time.Duration
	// Retention is the time for which the outcome is kept after the ticket's
	// expiry, so that a late retry still receives the recorded outcome.
	Retention time.Duration
	// MaxTickets limits the issued tickets and, separately, the adopted
	// answers.
	MaxTickets int
	// MaxPerCaller limits the tickets of each caller, so that one caller cannot
	// fill the table. Zero means that only MaxTickets applies.
	MaxPerCaller int
	// MaxResultBytes limits the total size of the stored results of issued
	// tickets and adopted answers.
	MaxResultBytes int
}

// Table holds the tickets that one incarnation has issued and the answers that
// it has adopted from stopped peers.
type Table struct {
	config           Config
	keys             *Keyring
	start            time.Time
	lastID           uint64
	fenced           bool
	resultBytes      int
	ticketsPerCaller map[string]int
	entries          map[uint64]*entry
	adopted          map[ticketRef]*entry
	removals         removalQueue
}

// ticketRef identifies a ticket across all issuers.
type ticketRef struct {
	node        string
	incarnation uint64
	id          uint64
}

// NewTable returns an empty Table. The time must have a monotonic clock reading.
func NewTable(now time.Time, config Config, keys *Keyring) *Table {
	return &Table{
		config:           config,
		keys:             keys,
		start:            now,
		ticketsPerCaller: make(map[string]int),
		entries:          make(map[uint64]*entry),
		adopted:          make(map[ticketRef]*entry),
	}
}

// SetKeys replaces the keyring when the settings are reloaded.
func (t *Table) SetKeys(keys *Keyring) { t.keys = keys }

// Len returns the number of issued tickets and adopted answers in the table.
func (t *Table) Len() int { return len(t.entries) + len(t.adopted) }

// Issue returns a new ticket. After an error no ticket exists, so its request
// cannot have run.
func (t *Table) Issue(now time.Time, caller string) (string, error) {
	t.Expire(now)
	if t.fenced {
		return "", &Error{Op: "issue", Kind: KindFenced}
	}
	if len(t.entries) >= t.config.MaxTickets || t.callerAtLimit(caller) {
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

// Begin returns the decision on a request with a verified ticket. After
// VerdictRun the process must call Finish exactly once.
func (t *Table) Begin(now time.Time, ticket Ticket, request Fingerprint) Decision {
	if !t.issuedHere(ticket) {
		return decideAdopted(t.adopted[refOf(ticket)], request)
	}
	e := t.entries[ticket.ID]
	if e == nil {
		return Decision{Verdict: VerdictUnknown}
	}
	if e.state == stateFree && !now.Before(e.expires) {
		// Fencing the ticket keeps the refusal true for a later call with an
		// older clock reading.
		e.state = stateFenced
	}
	if e.state == stateFree {
		e.state = stateRunning
		e.request = request
		return Decision{Verdict: VerdictRun}
	}
	return e.decide(request)
}

// Finish records the outcome of a request for which Begin returned VerdictRun.
// It changes nothing and returns false if the ticket is not running.
func (t *Table) Finish(now time.Time, id uint64, outcome peerpb.Outcome, result []byte) bool {
	e := t.entries[id]
	if e == nil || e.state != stateRunning {
		return false
	}
	e.state = stateDone
	e.answer = t.retainResult(Answer{Outcome: outcome, Result: result})
	e.removeAt = later(e.removeAt, now.Add(t.config.Retention))
	heap.Fix(&t.removals, e.index)
	return true
}

// Fence closes all free tickets, stops the issue of new ones, and returns the
// finished and adopted answers, to be handed over. It may be called again after
// running requests have finished; answers returned before never change.
func (t *Table) Fence(now time.Time) []HandedAnswer {
	t.fenced = true
	var finished []HandedAnswer
	for _, e := range t.entries {
		if e.state == stateFree {
			e.state = stateFenced
		}
		if e.state == stateDone && now.Before(e.removeAt) {
			finished = append(finished, e.handover(now))
		}
	}
	for _, e := range t.adopted {
		if now.Before(e.removeAt) {
			finished = append(finished, e.handover(now))
		}
	}
	return finished
}

// Adopt stores the finished answers of a stopped peer and returns how many of
// them the table now holds. The outcomes of the others stay unknown. An answer
// that the table already holds is not replaced.
func (t *Table) Adopt(now time.Time, answers []HandedAnswer) int {
	t.Expire(now)
	held := 0
	for _, h := range answers {
		if t.adopt(now, h) {
			held++
		}
	}
	return held
}

// Expire removes the tickets and answers whose retention has ended. It never
// removes a running ticket.
func (t *Table) Expire(now time.Time) {
	for len(t.removals) > 0 && !now.Before(t.removals[0].removeAt) {
		e := t.removals[0]
		if e.state == stateRunning {
			e.removeAt = now.Add(t.config.Retention)
			heap.Fix(&t.removals, 0)
			continue
		}
		t.remove(e)
	}
}

func (t *Table) add(ticket Ticket) {
	expires := t.start.Add(ticket.Expires)
	e := &entry{
		ticketRef: refOf(ticket),
		caller:    ticket.Caller,
		expires:   expires,
		removeAt:  expires.Add(t.config.Retention),
	}
	t.entries[ticket.ID] = e
	t.ticketsPerCaller[ticket.Caller]++
	heap.Push(&t.removals, e)
}

func (t *Table) adopt(now time.Time, h HandedAnswer) bool {
	ref := ticketRef{h.Node, h.Incarnation, h.ID}
	if _, held := t.adopted[ref]; held {
		return true
	}
	if len(t.adopted) >= t.config.MaxTickets || h.Remaining <= 0 {
		return false
	}
	remaining := min(h.Remaining, t.config.Lifetime+t.config.Retention)
	e := &entry{
		ticketRef: ref,
		adopted:   true,
		state:     stateDone,
		request:   h.Fingerprint,
		removeAt:  now.Add(remaining),
		answer:    t.retainResult(h.Answer),
	}
	t.adopted[ref] = e
	heap.Push(&t.removals, e)
	return true
}

func (t *Table) remove(e *entry) {
	heap.Remove(&t.removals, e.index)
	t.resultBytes -= len(e.answer.Result)
	if e.adopted {
		delete(t.adopted, e.ticketRef)
		return
	}
	delete(t.entries, e.ticketRef.id)
	t.ticketsPerCaller[e.caller]--
	if t.ticketsPerCaller[e.caller] == 0 {
		delete(t.ticketsPerCaller, e.caller)
	}
}

// retainResult returns the answer with a copy of the result, or without the
// result if that would exceed MaxResultBytes.
func (t *Table) retainResult(answer Answer) Answer {
	if t.resultBytes+len(answer.Result) > t.config.MaxResultBytes {
		answer.Result, answer.ResultDropped = nil, true
		return answer
	}
	t.resultBytes += len(answer.Result)
	answer.Result = bytes.Clone(answer.Result)
	return answer
}

func (t *Table) issuedHere(ticket Ticket) bool {
	return ticket.Node == t.config.Node && ticket.Incarnation == t.config.Incarnation
}

func (t *Table) hasAdopted(ticket Ticket) bool {
	_, ok := t.adopted[refOf(ticket)]
	return ok
}

func (t *Table) callerAtLimit(caller string) bool {
	return t.config.MaxPerCaller > 0 && t.ticketsPerCaller[caller] >= t.config.MaxPerCaller
}

func refOf(ticket Ticket) ticketRef {
	return ticketRef{ticket.Node, ticket.Incarnation, ticket.ID}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
