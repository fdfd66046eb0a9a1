package budgeter_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"jackdawcart.org/core/budgeter"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

// open opens a connection and fails the test if it is refused or others are closed for it.
func open(t *testing.T, b *budgeter.Budget, now time.Time) *budgeter.Connection {
	t.Helper()
	c := &budgeter.Connection{}
	if victims, ok := b.Open(now, c); !ok || len(victims) > 0 {
		t.Fatalf("connection opened %v, %d others closed", ok, len(victims))
	}
	return c
}

// Bodies that stop held the budget until their deadlines, and others were refused. The
// connection of a stalled body must be closed for an ordinary one, also if an idle
// connection is older.
func TestStalledBodyIsClosedFirst(t *testing.T) {
	b := budgeter.New(budgeter.Config{MaxBytes: 1000, ConnectionBytes: 10})
	idle := open(t, b, start)
	b.ReserveHead(start, idle, 10)
	b.Completed(start, idle, 0)
	stalled := open(t, b, at(time.Second))
	b.ReserveBody(at(time.Second), stalled, 700)
	ordinary := open(t, b, at(2*time.Second))
	victims, ok := b.ReserveBody(at(2*time.Second), ordinary, 500)
	if !ok || len(victims) != 1 || victims[0] != stalled {
		t.Fatalf("reserved %v, closed %d connections", ok, len(victims))
	}
}

// A running request must not be ended, as its client could not be told whether it has run.
// If all memory is held by running requests, a reservation must fail.
func TestRunningRequestsAreKept(t *testing.T) {
	b := budgeter.New(budgeter.Config{MaxBytes: 1000, ConnectionBytes: 10})
	running := open(t, b, start)
	b.ReserveBody(start, running, 900)
	b.Received(running)
	other := open(t, b, start)
	if victims, ok := b.ReserveBody(at(time.Minute), other, 500); ok || len(victims) > 0 {
		t.Fatalf("reserved %v, closed %d connections", ok, len(victims))
	}
	b.Completed(at(time.Minute), running, 0)
	if _, ok := b.ReserveBody(at(time.Minute), other, 500); !ok {
		t.Fatal("no memory after the running request has ended")
	}
}

// The slowest connection must be refused itself instead of closing quicker ones.
func TestSlowestIsRefused(t *testing.T) {
	b := budgeter.New(budgeter.Config{MaxBytes: 1000, ConnectionBytes: 10})
	slow := open(t, b, start)
	b.ReserveBody(start, slow, 500)
	quick := open(t, b, at(time.Second))
	b.ReserveBody(at(time.Second), quick, 400)
	if victims, ok := b.ReserveBody(at(2*time.Second), slow, 100); ok || len(victims) > 0 {
		t.Fatalf("reserved %v, closed %d connections", ok, len(victims))
	}
}

// A client that does not read a large answer must be closed before idle ones. Its answer
// held memory without a limit.
func TestUnreadAnswerIsClosed(t *testing.T) {
	b := budgeter.New(budgeter.Config{MaxBytes: 1000, ConnectionBytes: 10})
	idle := open(t, b, start)
	b.ReserveHead(start, idle, 10)
	b.Completed(start, idle, 0)
	sending := open(t, b, at(time.Second))
	b.Received(sending)
	b.BeginSending(at(time.Second), sending, 950)
	other := open(t, b, at(2*time.Second))
	victims, ok := b.ReserveHead(at(2*time.Second), other, 100)
	if !ok || len(victims) != 1 || victims[0] != sending {
		t.Fatalf("reserved %v, closed %d connections", ok, len(victims))
	}
}

// A client that stopped after it had been asked to continue, or within a body that no
// handler reads, counted as one whose request runs, and kept its connection while ordinary
// ones were refused.
func TestUnfinishedRequestIsClosedAfterContinue(t *testing.T) {
	b := budgeter.New(budgeter.Config{MaxConnections: 1})
	stalled := open(t, b, start)
	b.ReserveHead(start, stalled, 10)
	b.Received(stalled)
	b.Receiving(stalled)
	b.BeginSending(start, stalled, 0)
	b.EndSending(stalled)
	victims, ok := b.Open(at(time.Second), &budgeter.Connection{})
	if !ok || len(victims) != 1 || victims[0] != stalled {
		t.Fatalf("opened %v, closed %d connections", ok, len(victims))
	}
}

// A crowd of connections without a request used up the descriptors. The oldest of them
// must be closed for a new one, and not the connection that has been served.
func TestConnectionsAreLimited(t *testing.T) {
	b := budgeter.New(budgeter.Config{MaxConnections: 3})
	kept := open(t, b, start)
	b.ReserveHead(start, kept, 10)
	b.Completed(start, kept, 0)
	oldest := open(t, b, at(time.Second))
	open(t, b, at(2*time.Second))
	victims, ok := b.Open(at(3*time.Second), &budgeter.Connection{})
	if !ok || len(victims) != 1 || victims[0] != oldest {
		t.Fatalf("opened %v, closed %d connections", ok, len(victims))
	}
}

// Whatever connections do, the reserved memory must stay within the budget and the quarter
// for connections that are being closed, and nothing may be left when all are closed.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, sending = 10000, 300
		b := budgeter.New(budgeter.Config{MaxBytes: limit, MaxConnections: 20, ConnectionBytes: 100})
		now := start
		var connections []*budgeter.Connection
		unread := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "pause")) * time.Millisecond)
			if len(connections) == 0 || rapid.Bool().Draw(t, "open") {
				c := &budgeter.Connection{}
				if _, ok := b.Open(now, c); ok {
					connections = append(connections, c)
				}
				continue
			}
			i := rapid.IntRange(0, len(connections)-1).Draw(t, "connection")
			c := connections[i]
			switch rapid.IntRange(0, 7).Draw(t, "action") {
			case 0:
				b.ReserveHead(now, c, rapid.IntRange(0, 2000).Draw(t, "bytes"))
			case 1:
				b.ReserveBody(now, c, rapid.IntRange(0, 9000).Draw(t, "bytes"))
			case 2:
				b.Received(c)
			case 3:
				b.BeginSending(now, c, sending)
				unread++
			case 4:
				b.EndSending(c)
			case 5:
				b.Receiving(c)
			case 6:
				b.Completed(now, c, rapid.IntRange(0, 500).Draw(t, "bytes"))
			default:
				b.Close(c)
				b.Close(c)
				connections = append(connections[:i], connections[i+1:]...)
			}
			if n, used := b.Usage(); used > limit+limit/4+unread*sending || n > 25 {
				t.Fatalf("%d connections hold %d bytes", n, used)
			}
		}
		for _, c := range connections {
			b.Close(c)
		}
		if n, used := b.Usage(); n != 0 || used != 0 {
			t.Fatalf("%d connections and %d bytes are left", n, used)
		}
	})
}
