package ticketer_test

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"jackdawcart.org/core/container"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/ticketer"
)

var config = ticketer.Config{
	Lifetime: 10 * time.Second, Retention: 10 * time.Second,
	MaxTickets: 5, MaxPerCaller: 3, MaxResultBytes: 8,
}

func newTable(now time.Time, node string, incarnation uint64) *ticketer.Table {
	c := config
	c.Node, c.Incarnation = node, incarnation
	keys, _ := ticketer.NewKeyring([]byte("key"))
	return ticketer.NewTable(now, c, keys)
}

func issue(t *testing.T, table *ticketer.Table, now time.Time, caller string) ticketer.Ticket {
	t.Helper()
	text, issued := table.Issue(now, caller)
	ticket, verified := table.Verify(text, caller)
	if err := errors.Join(issued, verified); err != nil {
		t.Fatal(err)
	}
	return ticket
}

// Memory must stay within its limits whatever callers request and however long
// requests run, and a dropped result must not be returned as an empty one.
func TestTableBounds(t *testing.T) {
	now := time.Now()
	table := newTable(now, "gw-1", 1)
	errFull := &ticketer.Error{Kind: ticketer.KindFull}
	var tickets []ticketer.Ticket
	for _, caller := range []string{"a", "a", "a", "b", "b"} {
		tickets = append(tickets, issue(t, table, now, caller))
	}
	if _, err := table.Issue(now, "c"); !errors.Is(err, errFull) {
		t.Errorf("ticket beyond the maximum: got %v, want %v", err, errFull)
	}
	runTicket := func(ticket ticketer.Ticket, result string) bool {
		table.Begin(now, ticket, ticketer.Fingerprint{})
		table.Finish(now, ticket.ID, peerpb.Outcome_OUTCOME_RAN, []byte(result))
		return table.Begin(now, ticket, ticketer.Fingerprint{}).Answer.ResultDropped
	}
	dropped := []bool{runTicket(tickets[0], "nine byte"), runTicket(tickets[1], "five."), runTicket(tickets[2], "five.")}
	if diff := cmp.Diff([]bool{true, false, true}, dropped); diff != "" {
		t.Errorf("dropped results differ (-want +got):\n%s", diff)
	}
	table.Begin(now, tickets[3], ticketer.Fingerprint{})
	now = now.Add(time.Minute)
	if table.Expire(now); table.Len() != 1 {
		t.Errorf("got %d tickets after expiry, want the running one", table.Len())
	}
	if got := table.Begin(now, tickets[0], ticketer.Fingerprint{}).Verdict; got != ticketer.VerdictUnknown {
		t.Errorf("removed ticket: got %s, want unknown", got)
	}
	if runTicket(issue(t, table, now, "a"), "eight...") {
		t.Error("the bytes of removed results still count against MaxResultBytes")
	}
	issue(t, table, now, "a")
	issue(t, table, now, "a")
	if _, err := table.Issue(now, "a"); !errors.Is(err, errFull) {
		t.Errorf("ticket beyond the caller's maximum: got %v, want %v", err, errFull)
	}
}

// A ticket refused as expired must stay refused for a goroutine that read the
// clock earlier; otherwise the request runs after it was reported as not run.
func TestExpiredTicketStaysClosed(t *testing.T) {
	now := time.Now()
	table := newTable(now, "gw-1", 1)
	ticket := issue(t, table, now, "a")
	for _, at := range []time.Time{now.Add(config.Lifetime), now} {
		if got := table.Begin(at, ticket, ticketer.Fingerprint{}).Verdict; got != ticketer.VerdictRefused {
			t.Errorf("got %s, want refused", got)
		}
	}
}

// A repeated handover must neither change an answer nor use more memory, and an
// adopted answer must be handed over again when this gateway stops.
func TestAdoptKeepsFirstAnswer(t *testing.T) {
	now := time.Now()
	table := newTable(now, "gw-1", 1)
	first := ticketer.HandedAnswer{
		Node: "gw-2", Incarnation: 4, ID: 5, Remaining: time.Second,
		Answer: ticketer.Answer{Outcome: peerpb.Outcome_OUTCOME_RAN, Result: []byte("a")},
	}
	second := first
	second.Answer.Result = []byte("b")
	table.Adopt(now, []ticketer.HandedAnswer{first, second})
	if diff := cmp.Diff([]ticketer.HandedAnswer{first}, table.Fence(now)); diff != "" {
		t.Errorf("answers differ (-want +got):\n%s", diff)
	}
	if table.Expire(now.Add(time.Second)); table.Len() != 0 {
		t.Error("an adopted answer remains after its expiry")
	}
}

// A gateway that forwards to itself loops, and one that decides on the ticket of
// an ended incarnation can run the request twice.
func TestRoute(t *testing.T) {
	now := time.Now()
	ticket := ticketer.Ticket{Node: "gw-1", Incarnation: 1, ID: 5}
	other, noIssuer := newTable(now, "gw-2", 1), container.None[uint64]()
	got := []ticketer.Route{
		newTable(now, "gw-1", 1).Route(ticket, container.Some(uint64(1))),
		newTable(now, "gw-1", 2).Route(ticket, container.Some(uint64(1))),
		other.Route(ticket, container.Some(uint64(0))),
		other.Route(ticket, container.Some(uint64(1))),
		other.Route(ticket, container.Some(uint64(2))),
		other.Route(ticket, noIssuer),
	}
	other.Adopt(now, []ticketer.HandedAnswer{{Node: "gw-1", Incarnation: 1, ID: 5, Remaining: time.Second}})
	got = append(got, other.Route(ticket, noIssuer))
	want := []ticketer.Route{"here", "gone", "forward", "forward", "gone", "gone", "here"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("routes differ (-want +got):\n%s", diff)
	}
	successor, _ := ticketer.Successor("gw-1", 1, []string{"gw-1", "gw-2"}).Get()
	if successor != "gw-2" {
		t.Errorf("got successor %q, want the other live gateway", successor)
	}
}

type attempt struct {
	ticket  ticketer.Ticket
	request ticketer.Fingerprint
}

// Guards against a second run, a refusal of a request that has run or runs later,
// and an answer that changes. The steps are those of models/ticket.pml.
func TestTicketStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, incarnation := time.Now(), uint64(1)
		issuer, peer := newTable(now, "gw-1", 1), newTable(now, "gw-2", 1)
		var tickets []ticketer.Ticket
		var handedOver []ticketer.HandedAnswer
		ran, refused := map[ticketer.Ticket]attempt{}, map[attempt]bool{}
		answers, runningTickets := map[ticketer.Ticket]string{}, map[uint64]ticketer.Ticket{}
		expires, fenced := map[ticketer.Ticket]time.Time{}, false
		begin := func(t *rapid.T, table *ticketer.Table, at time.Time) {
			if len(tickets) == 0 {
				t.Skip("no ticket yet")
			}
			a := attempt{rapid.SampledFrom(tickets).Draw(t, "ticket"), ticketer.Fingerprint{rapid.Byte().Draw(t, "request") % 2}}
			d := table.Begin(at, a.ticket, a.request)
			firstAttempt, hasRun := ran[a.ticket]
			switch d.Verdict {
			case ticketer.VerdictRun:
				if hasRun || refused[a] || table != issuer {
					t.Fatalf("ticket %d runs: ran before %v, refused before %v", a.ticket.ID, hasRun, refused[a])
				}
				if fenced || !at.Before(expires[a.ticket]) {
					t.Fatalf("ticket %d runs after the fence or its expiry", a.ticket.ID)
				}
				ran[a.ticket], runningTickets[a.ticket.ID] = a, a.ticket
			case ticketer.VerdictRefused:
				if hasRun && firstAttempt == a {
					t.Fatalf("ticket %d is refused as not run after its run", a.ticket.ID)
				}
				refused[a] = true
			case ticketer.VerdictWait:
				if _, ok := runningTickets[a.ticket.ID]; !ok || firstAttempt != a {
					t.Fatalf("ticket %d waits, but its request is not running", a.ticket.ID)
				}
			case ticketer.VerdictKnown:
				if firstAttempt != a || string(d.Answer.Result) != answers[a.ticket] && !d.Answer.ResultDropped {
					t.Fatalf("ticket %d has answer %q, want %q", a.ticket.ID, d.Answer.Result, answers[a.ticket])
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"issue": func(t *rapid.T) {
				if text, err := issuer.Issue(now, "a"); err == nil {
					ticket, _ := issuer.Verify(text, "a")
					tickets = append(tickets, ticket)
					expires[ticket] = now.Add(config.Lifetime)
				}
			},
			"begin":         func(t *rapid.T) { begin(t, issuer, now) },
			"begin delayed": func(t *rapid.T) { begin(t, issuer, now.Add(-5*time.Second)) },
			"begin at peer": func(t *rapid.T) { begin(t, peer, now) },
			"finish": func(t *rapid.T) {
				id := rapid.Uint64Range(0, 5).Draw(t, "id")
				ticket, running := runningTickets[id]
				result := rapid.StringN(0, 4, 4).Draw(t, "result")
				if issuer.Finish(now, id, peerpb.Outcome_OUTCOME_RAN, []byte(result)) != running {
					t.Fatalf("Finish(%d) did not report %v", id, running)
				}
				if running {
					answers[ticket] = result
					delete(runningTickets, id)
				}
			},
			"fence":     func(*rapid.T) { handedOver, fenced = append(handedOver, issuer.Fence(now)...), true },
			"hand over": func(*rapid.T) { peer.Adopt(now, handedOver) },
			"advance":   func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(1, 12).Draw(t, "s")) * time.Second) },
			"restart": func(*rapid.T) {
				incarnation++
				issuer, fenced = newTable(now, "gw-1", incarnation), false
				clear(runningTickets)
			},
		})
	})
}
