package simulator_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"jackdawcart.org/core/checker"
	"jackdawcart.org/targetstandin/describer"
	"jackdawcart.org/targetstandin/simulator"
)

const ms = describer.Duration(time.Millisecond)

// answer has the fields of all answers of the target protocol.
type answer struct {
	Status    int             `json:"-"`
	Code      string          `json:"code"`
	QueryID   string          `json:"query-id"`
	SubID     json.RawMessage `json:"sub-id"`
	Hits      []checker.Hit   `json:"hits"`
	Result    string          `json:"result"`
	State     string          `json:"state"`
	Cancelled bool            `json:"cancelled"`
}

func start(t *testing.T, change func(*describer.Target)) *simulator.Target {
	t.Helper()
	d := describer.Target{
		Name: "campo-1", Service: "campo", Set: "old", Address: netip.MustParseAddrPort("127.0.0.1:0"),
		Slots: 1, Connections: 8, Queue: 4, ServiceTime: describer.ServiceTime{Median: 5 * ms},
		Snapshots: []describer.Snapshot{{
			ID: "campo-old-1", Sequence: 1, Shards: []checker.Shard{{Name: "s0", Weight: 1}, {Name: "s1", Weight: 2}}, Held: []string{"s0"},
		}},
	}
	if change != nil {
		change(&d)
	}
	target, err := simulator.Start(d, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = target.Close() })
	return target
}

func inject(t *testing.T, target *simulator.Target, f simulator.Fault) {
	t.Helper()
	if err := target.Inject(f); err != nil {
		t.Fatal(err)
	}
}

func post(client *http.Client, target *simulator.Target, path, deadline, body string) (answer, error) {
	url := "http://" + target.Description().Address.String() + path
	method := http.MethodPost
	if body == "" {
		method = http.MethodGet
	}
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	if deadline != "" {
		request.Header.Set("Deadline", deadline)
	}
	response, err := client.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	a := answer{Status: response.StatusCode}
	return a, json.NewDecoder(response.Body).Decode(&a)
}

func newClient(t *testing.T) *http.Client {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: 5 * time.Second}
}

func searchBody(queryID, shard, text string) string {
	return fmt.Sprintf(`{"query-id":%q,"sub-id":3,"shard":%q,"snapshot":"campo-old-1","text":%q}`, queryID, shard, text)
}

func mustPost(t *testing.T, target *simulator.Target, path, deadline, body string) answer {
	t.Helper()
	c := newClient(t)
	defer c.CloseIdleConnections()
	a, err := post(c, target, path, deadline, body)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// An answer echoes the query and sub-request IDs unchanged and has the hits that
// the checker expects. The record contains the matching run.
func TestSearchAnswersAndRecords(t *testing.T) {
	target := start(t, nil)
	got := mustPost(t, target, "/v1/search", "1s", searchBody("q1", "s0", "roof"))
	want := answer{Status: 200, QueryID: "q1", SubID: json.RawMessage("3"), Hits: checker.Search("s0", "campo-old-1", "roof", 0)}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	run := target.Record().Runs[0]
	if run.End.Before(run.Start.Add(time.Millisecond)) {
		t.Errorf("run took %v", run.End.Sub(run.Start))
	}
	run.Start, run.End = time.Time{}, time.Time{}
	wantRun := checker.Run{
		Target: "campo-1", Service: "campo", Set: "old", Kind: checker.RunSearch, QueryID: "q1", SubID: "3",
		Shard: "s0", Snapshot: "campo-old-1", Text: "roof", Outcome: checker.RunCompleted,
	}
	if diff := cmp.Diff(wantRun, run); diff != "" {
		t.Error(diff)
	}
}

// Every refusal has an error code and leaves no run in the record; otherwise an
// answer that reports "not run" would be wrong.
func TestRefusalsDoNotRun(t *testing.T) {
	cases := map[string]struct {
		fault    simulator.Fault
		shard    string
		deadline string
		status   int
	}{
		"draining":      {simulator.Fault{Kind: simulator.FaultDrain}, "s0", "", 503},
		"shed":          {simulator.Fault{Kind: simulator.FaultShed}, "s0", "", 503},
		"deadline":      {simulator.Fault{Kind: simulator.FaultStatusLie}, "s0", "-1ms", 504},
		"snapshot-gone": {simulator.Fault{Kind: simulator.FaultRetire, ID: "campo-old-1"}, "s0", "", 409},
		"malformed":     {simulator.Fault{Kind: simulator.FaultStatusLie}, "s0", "soon", 400},
	}
	for code, c := range cases {
		t.Run(code, func(t *testing.T) {
			target := start(t, nil)
			inject(t, target, c.fault)
			got := mustPost(t, target, "/v1/search", c.deadline, searchBody("q1", c.shard, "roof"))
			if diff := cmp.Diff(answer{Status: c.status, Code: code}, got); diff != "" {
				t.Error(diff)
			}
			if runs := target.Record().Runs; len(runs) != 0 {
				t.Errorf("refused request ran: %v", runs)
			}
		})
	}
}

// With one slot, the first request is cancelled while it runs, the second passes
// its deadline in the queue and the third is cancelled in the queue.
func TestQueueDeadlineAndCancel(t *testing.T) {
	target := start(t, func(d *describer.Target) { d.ServiceTime.Median = 10 * describer.Duration(time.Second) })
	answers := make(chan answer, 3)
	got := map[string]string{}
	receiveAnswer := func() {
		a := <-answers
		got[a.QueryID] = a.Code
	}
	for _, q := range []struct{ id, deadline string }{{"q1", ""}, {"q2", "30ms"}, {"q3", ""}} {
		go func() {
			a, _ := post(newClient(t), target, "/v1/search", q.deadline, searchBody(q.id, "s0", q.id))
			a.QueryID = q.id
			answers <- a
		}()
		waitFor(t, func() bool { return len(target.Record().Runs) == 1 })
	}
	receiveAnswer()
	for _, id := range []string{"q3", "q1"} {
		body := fmt.Sprintf(`{"query-id":%q,"sub-id":3}`, id)
		waitFor(t, func() bool { return mustPost(t, target, "/v1/cancel", "", body).Cancelled })
	}
	receiveAnswer()
	receiveAnswer()
	if diff := cmp.Diff(map[string]string{"q1": "cancelled", "q2": "deadline", "q3": "cancelled"}, got); diff != "" {
		t.Error(diff)
	}
	if runs := target.Record().Runs; len(runs) != 1 || !runs[0].Cancelled {
		t.Errorf("want one cancelled run, got %v", runs)
	}
}

// Closing the connection cancels a search, but a started execution completes.
func TestClosedConnection(t *testing.T) {
	target := start(t, func(d *describer.Target) {
		d.Slots = 2
		d.ServiceTime.Median = 400 * ms
	})
	shortTimeoutClient := newClient(t)
	shortTimeoutClient.Timeout = 100 * time.Millisecond
	if _, err := post(shortTimeoutClient, target, "/v1/search", "", searchBody("q1", "s0", "x")); err == nil {
		t.Fatal("search did not time out")
	}
	if _, err := post(shortTimeoutClient, target, "/v1/execute", "", `{"request-id":"r1","operation":"issue","payload":"p"}`); err == nil {
		t.Fatal("execute did not time out")
	}
	outcomes := func() map[checker.RunKind]checker.RunOutcome {
		got := map[checker.RunKind]checker.RunOutcome{}
		for _, r := range target.Record().Runs {
			got[r.Kind] = r.Outcome
		}
		return got
	}
	want := map[checker.RunKind]checker.RunOutcome{checker.RunSearch: checker.RunCancelled, checker.RunExecute: checker.RunCompleted}
	waitFor(t, func() bool { return cmp.Equal(want, outcomes()) })
}

// Connections above the limit are closed. Closing a connection allows a new one.
func TestConnectionLimit(t *testing.T) {
	target := start(t, func(d *describer.Target) { d.Connections = 1 })
	first := dial(t, target)
	waitFor(t, func() bool { return closesNewConn(t, target) })
	_ = first.Close()
	waitFor(t, func() bool { return !closesNewConn(t, target) })
}

// A request with the text of a crash-on fault crashes the whole target, which
// refuses connections and then restarts on the same port.
func TestCrashOnText(t *testing.T) {
	target := start(t, nil)
	inject(t, target, simulator.Fault{Kind: simulator.FaultCrashOn, Text: "poison", For: 500 * ms})
	idle := dial(t, target)
	if _, err := post(newClient(t), target, "/v1/search", "", searchBody("q1", "s0", "poison")); err == nil {
		t.Error("request with the crash-on text was answered")
	}
	waitFor(t, func() bool { return closedByPeer(idle) })
	if c, err := net.Dial("tcp", target.Description().Address.String()); err == nil {
		_ = c.Close()
		t.Error("crashed target accepted a connection")
	}
	waitFor(t, func() bool {
		a, err := post(newClient(t), target, "/v1/search", "", searchBody("q2", "s0", "fine"))
		return err == nil && a.Status == http.StatusOK
	})
	if run := target.Record().Runs[0]; run.Outcome != checker.RunCrashed {
		t.Errorf("run with the crash-on text was not recorded as crashed: %v", run)
	}
}

// A silent fault stops traffic on open connections without closing them; new
// connections are not affected.
func TestSilentConnections(t *testing.T) {
	target := start(t, nil)
	old := newClient(t)
	if _, err := post(old, target, "/v1/status", "", ""); err != nil {
		t.Fatal(err)
	}
	inject(t, target, simulator.Fault{Kind: simulator.FaultSilent})
	old.Timeout = 100 * time.Millisecond
	if a, err := post(old, target, "/v1/status", "", ""); err == nil {
		t.Errorf("silent connection returned an answer: %v", a)
	}
	if a := mustPost(t, target, "/v1/status", "", ""); a.State != "serving" {
		t.Errorf("status over a new connection: %v", a)
	}
}

// Late-answer, crossed-answer and duplicate-answer faults are visible to the
// client.
func TestWrongAnswers(t *testing.T) {
	target := start(t, nil)
	inject(t, target, simulator.Fault{Kind: simulator.FaultLateAnswer, Delay: 50 * ms})
	began := time.Now()
	mustPost(t, target, "/v1/search", "", searchBody("q1", "s0", "one"))
	if took := time.Since(began); took < 50*time.Millisecond {
		t.Errorf("late answer arrived after %v", took)
	}
	inject(t, target, simulator.Fault{Kind: simulator.FaultClear})
	inject(t, target, simulator.Fault{Kind: simulator.FaultCrossedAnswer})
	if a := mustPost(t, target, "/v1/search", "", searchBody("q2", "s0", "two")); a.QueryID != "q1" {
		t.Errorf("crossed answer has query ID %q", a.QueryID)
	}
	inject(t, target, simulator.Fault{Kind: simulator.FaultClear})
	inject(t, target, simulator.Fault{Kind: simulator.FaultDuplicateAnswer})
	if n := countAnswers(t, target, searchBody("q3", "s0", "three")); n != 2 {
		t.Errorf("%d answers on the connection", n)
	}
}

// A status-lag fault delays status changes, a status-lie fault replaces the
// reported state and a slow fault lengthens service times.
func TestStatusAndSlowness(t *testing.T) {
	target := start(t, nil)
	inject(t, target, simulator.Fault{Kind: simulator.FaultStatusLag, Delay: 500 * ms})
	inject(t, target, simulator.Fault{Kind: simulator.FaultDrain})
	if a := mustPost(t, target, "/v1/status", "", ""); a.State != "serving" {
		t.Errorf("state is %q in spite of the status-lag fault", a.State)
	}
	waitFor(t, func() bool { return mustPost(t, target, "/v1/status", "", "").State == "draining" })
	inject(t, target, simulator.Fault{Kind: simulator.FaultStatusLie, State: "starting"})
	if a := mustPost(t, target, "/v1/status", "", ""); a.State != "starting" {
		t.Errorf("state is %q in spite of the status-lie fault", a.State)
	}
	inject(t, target, simulator.Fault{Kind: simulator.FaultClear})
	inject(t, target, simulator.Fault{Kind: simulator.FaultSlow, Factor: 20})
	began := time.Now()
	mustPost(t, target, "/v1/search", "", searchBody("q1", "s0", "x"))
	if took := time.Since(began); took < 95*time.Millisecond {
		t.Errorf("slowed search took %v", took)
	}
}

// A request that finds the queue full is shed before it runs, so that the queue
// does not grow.
func TestShedWhenQueueIsLong(t *testing.T) {
	target := start(t, func(d *describer.Target) {
		d.Queue = 1
		d.ServiceTime.Median = 300 * ms
	})
	codes := make(chan string, 3)
	for i := range 3 {
		go func() {
			a, _ := post(newClient(t), target, "/v1/search", "", searchBody(fmt.Sprint(i), "s0", "x"))
			codes <- a.Code
		}()
	}
	got := map[string]int{<-codes: 1}
	got[<-codes]++
	got[<-codes]++
	if diff := cmp.Diff(map[string]int{"shed": 1, "": 2}, got); diff != "" {
		t.Error(diff)
	}
}

// During a cold start the target is slower and reports the state starting. A
// frozen target delays requests and answers them after it resumes.
func TestColdStartAndFreeze(t *testing.T) {
	target := start(t, func(d *describer.Target) {
		d.ColdStart = describer.ColdStart{For: 10 * describer.Duration(time.Second), Factor: 20}
	})
	if a := mustPost(t, target, "/v1/status", "", ""); a.State != "starting" {
		t.Errorf("state during a cold start is %q", a.State)
	}
	began := time.Now()
	mustPost(t, target, "/v1/search", "", searchBody("q1", "s0", "x"))
	if took := time.Since(began); took < 50*time.Millisecond {
		t.Errorf("search during a cold start took %v", took)
	}
	inject(t, target, simulator.Fault{Kind: simulator.FaultFreeze, For: 200 * ms})
	began = time.Now()
	mustPost(t, target, "/v1/status", "", "")
	if took := time.Since(began); took < 150*time.Millisecond {
		t.Errorf("frozen target answered after %v", took)
	}
}

// The share of stragglers matches the description; otherwise latencies measured
// against the simulator would not be meaningful.
func TestServiceTimes(t *testing.T) {
	target := start(t, func(d *describer.Target) {
		d.Slots = 8
		d.ServiceTime = describer.ServiceTime{Median: 5 * ms, Sigma: 0.3, StragglerShare: 0.2, StragglerFactor: 20}
	})
	var calls sync.WaitGroup
	for worker := range 8 {
		calls.Go(func() {
			c := newClient(t)
			for i := range 25 {
				if _, err := post(c, target, "/v1/search", "", searchBody(fmt.Sprint(worker, i), "s0", "x")); err != nil {
					t.Error(err)
				}
			}
		})
	}
	calls.Wait()
	slow := 0
	for _, r := range target.Record().Runs {
		if r.End.Sub(r.Start) > 50*time.Millisecond {
			slow++
		}
	}
	// Of 200 draws at 0.2, 40 are expected; five standard deviations are 28.
	if slow < 12 || slow > 68 {
		t.Errorf("%d of 200 runs are stragglers", slow)
	}
}

// Invalid faults are rejected, so that nobody relies on a fault that is not
// active.
func TestInjectRejects(t *testing.T) {
	target := start(t, nil)
	for _, f := range []simulator.Fault{{Kind: "typo"}, {Kind: simulator.FaultSlow}, {Kind: simulator.FaultPublish}, {Kind: simulator.FaultDrain, Share: 2}} {
		if err := target.Inject(f); err == nil {
			t.Errorf("invalid fault was accepted: %+v", f)
		}
	}
}

func dial(t *testing.T, target *simulator.Target) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", target.Description().Address.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// closesNewConn reports whether the target closes a new connection. The reset may
// arrive before the dial completes.
func closesNewConn(t *testing.T, target *simulator.Target) bool {
	t.Helper()
	c, err := net.Dial("tcp", target.Description().Address.String())
	if err != nil {
		return true
	}
	defer c.Close()
	return closedByPeer(c)
}

// closedByPeer reports whether the peer closed the connection.
func closedByPeer(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

func countAnswers(t *testing.T, target *simulator.Target, body string) int {
	t.Helper()
	c := dial(t, target)
	fmt.Fprintf(c, "POST /v1/search HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	_ = c.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
	all, _ := io.ReadAll(bufio.NewReader(c))
	return bytes.Count(all, []byte("HTTP/1.1 200 OK"))
}

func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for range 200 {
		if done() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("condition not reached")
}
