package failuretests_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"jackdawcart.org/core/callerapi"
	"jackdawcart.org/core/checker"
	"jackdawcart.org/failuretests/launcher"
)

// errorResponse is the body of an error response.
type errorResponse struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Outcome string `json:"outcome"`
}

// postRaw posts a body without encoding it and returns the status and the error
// response.
func (d *deployment) postRaw(path, body string) (status int, r errorResponse) {
	d.t.Helper()
	return d.postRawAs("hostile", path, body)
}

// postRawAs is postRaw with the given caller name, or without one if empty.
func (d *deployment) postRawAs(caller, path, body string) (status int, r errorResponse) {
	d.t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+d.Nodes[0].Caller.String()+path, strings.NewReader(body))
	if err != nil {
		d.t.Fatal(err)
	}
	request.Header.Set("Content-Type", "application/json")
	if caller != "" {
		request.Header.Set("Jackdawcart-Caller", caller)
	}
	response, err := d.client.Do(request)
	if err != nil {
		d.t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		d.t.Fatal(err)
	}
	if err := json.Unmarshal(text, &r); err != nil {
		d.t.Errorf("%s: the response %q is not a JSON error: %v", path, text, err)
	}
	return response.StatusCode, r
}

// Guards against an invalid request that reaches a target, or whose error
// response has the wrong code or outcome.
func TestBadRequests(t *testing.T) {
	d := deploy(t, launcher.Options{Nodes: 1, Settings: map[string]any{"max-body-bytes": 8192}})
	const query, execute = "/v1/query", "/v1/execute"
	cases := []struct {
		name, path, body, code string
		status                 int
	}{
		{"no JSON", query, `{"services":`, "malformed", 400},
		{"empty body", query, ``, "malformed", 400},
		{"wrong type", query, `{"services":"library","text":"x"}`, "malformed", 400},
		{"unknown field", query, `{"services":["library"],"text":"x","colour":"red"}`, "malformed", 400},
		{"no service", query, `{"services":[],"text":"x"}`, "malformed", 400},
		{"same service twice", query, `{"services":["library","library"],"text":"x"}`, "malformed", 400},
		{"limit out of range", query, `{"services":["library"],"text":"x","limit":100000}`, "malformed", 400},
		{"bad deadline", query, `{"services":["library"],"text":"x","deadline":"soon"}`, "malformed", 400},
		{"text too long", query, `{"services":["library"],"text":"` + strings.Repeat("x", 5000) + `"}`, "malformed", 400},
		{"body too large", query, `{"services":["library"],"text":"` + strings.Repeat("x", 10000) + `"}`, "too-large", 413},
		{"unknown service", query, `{"services":["attic"],"text":"x"}`, "unknown-service", 404},
		{"deadline too short", query, `{"services":["library"],"text":"x","deadline":"1ms"}`, "deadline-too-late", 400},
		{"negative deadline", query, `{"services":["library"],"text":"x","deadline":"-5s"}`, "deadline-too-late", 400},
		{"neither ticket nor key", execute, `{"service":"library","operation":"issue","payload":"x"}`, "malformed", 400},
		{"ticket and key", execute, `{"ticket":"t","idempotency-key":"k","service":"library","operation":"issue","payload":"x"}`, "malformed", 400},
		{"forged ticket", execute, `{"ticket":"forged","service":"library","operation":"issue","payload":"x"}`, "ticket-invalid", 403},
		{"unknown service of an execution", execute, `{"ticket":"t","service":"attic","operation":"issue","payload":"x"}`, "unknown-service", 404},
		{"body too large for an execution", execute, `{"ticket":"t","service":"library","operation":"issue","payload":"` + strings.Repeat("x", 10000) + `"}`, "too-large", 413},
	}
	for _, test := range cases {
		status, r := d.postRaw(test.path, test.body)
		if status != test.status || r.Code != test.code || r.Outcome != string(callerapi.OutcomeNotRun) {
			t.Errorf("%s: status %d, code %q, outcome %q (%s); want %d, %q, not-run",
				test.name, status, r.Code, r.Outcome, r.Message, test.status, test.code)
		}
	}
	status, r := d.postRawAs("", query, `{"services":["library"],"text":"x"}`)
	if status != http.StatusBadRequest || r.Code != "malformed" || r.Outcome != string(callerapi.OutcomeNotRun) {
		t.Errorf("no caller: status %d, code %q, outcome %q", status, r.Code, r.Outcome)
	}
	if record, _ := d.record(); len(record.Runs) > 0 {
		t.Errorf("invalid requests caused %d runs, such as %+v", len(record.Runs), record.Runs[0])
	}
}

// Guards against a ticket that another caller or a second request can use.
func TestTicketOfAnotherCaller(t *testing.T) {
	d := deploy(t, launcher.Options{})
	c := newCallers(d)
	q := c.newRequest(checker.RequestExecute)
	ticket, err := c.obtainTicket(&q, c.viaGateway(0))
	if err != nil {
		t.Fatal(err)
	}
	byOtherCaller := c.newRequest(checker.RequestExecute)
	for i := range d.Nodes {
		if a := c.executeWithTicket(&byOtherCaller, ticket, c.viaGateway(i)); a.Outcome != checker.OutcomeNotRun || a.Code != string(callerapi.ErrorCodeTicketInvalid) {
			t.Errorf("a request with the ticket of another caller was answered %s %s", a.Outcome, a.Code)
		}
	}
	if a := c.recordAnswer(q, c.executeWithTicket(&q, ticket, c.viaGateway(1))); a.Outcome != checker.OutcomeAnswered {
		t.Errorf("the request of the ticket's owner was answered %s %s", a.Outcome, a.Code)
	}
	other := c.newRequest(checker.RequestExecute)
	other.Caller = q.Caller
	if a := c.executeWithTicket(&other, ticket, c.viaGateway(0)); a.Outcome == checker.OutcomeAnswered {
		t.Errorf("a second request ran under a used ticket")
	}
	if runs := len(d.runsOf(other.Text)) + len(d.runsOf(byOtherCaller.Text)); runs > 0 {
		t.Errorf("%d runs under the ticket of another caller or request", runs)
	}
	c.verify()
}

// Guards against a gateway that exceeds its limit of concurrent queries, or
// whose refusals do not report that the query was not run.
func TestTooManyAtOnce(t *testing.T) {
	d := deploy(t, launcher.Options{Nodes: 1, ServiceTime: 100 * time.Millisecond, Settings: map[string]any{"max-queries": 8}})
	c := newCallers(d)
	const queries = 100
	for range queries {
		c.pending.Go(func() { c.query(c.viaGateway(0)) })
	}
	c.pending.Wait()
	counts := countByOutcome(c.sentAfter(time.Time{}))
	if counts["not-run/"+string(callerapi.ErrorCodeOverloaded)] == 0 {
		t.Errorf("none of %d concurrent queries was refused: %v", queries, counts)
	}
	c.verify()
	d.eventually(failoverBound, "the gateway serves again", func() bool { return c.query(c.viaGateway(0)).Complete })
}

// Guards against slow and half-open connections that hold resources of a gateway
// indefinitely, or prevent it from serving other callers.
func TestSlowCallers(t *testing.T) {
	const headerTimeout, readTimeout = time.Second, 2 * time.Second
	d := deploy(t, launcher.Options{Nodes: 1, Settings: map[string]any{
		"header-timeout": headerTimeout.String(), "read-timeout": readTimeout.String(), "max-caller-connections": 200,
	}})
	c := newCallers(d)
	partialRequests := map[string]string{
		"silent":      "",
		"slow header": "POST /v1/query HTTP/1.1\r\nHost: x\r\n",
		"slow body": "POST /v1/query HTTP/1.1\r\nHost: x\r\nJackdawcart-Caller: slow\r\n" +
			"Content-Type: application/json\r\nContent-Length: 500\r\n\r\n{",
	}
	var slow sync.WaitGroup
	for name, text := range partialRequests {
		for range 20 {
			slow.Go(func() {
				if err := d.expectClosed(text, readTimeout+startBound/4); err != nil {
					t.Errorf("%s: %v", name, err)
				}
			})
		}
	}
	for range 20 {
		if a := c.query(c.viaGateway(0)); !a.Complete {
			t.Errorf("with slow callers connected: %s %s", a.Outcome, a.Code)
		}
	}
	slow.Wait()
	c.verify()
}

// expectClosed opens a connection, sends the start of a request and checks that
// the gateway closes the connection in time.
func (d *deployment) expectClosed(text string, within time.Duration) error {
	conn, err := net.Dial("tcp", d.Nodes[0].Caller.String())
	if err != nil {
		return err
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, text); err != nil {
		return err
	}
	if err := conn.SetReadDeadline(time.Now().Add(within)); err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, bufio.NewReader(conn))
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return fmt.Errorf("the connection is still open after %s", within)
	}
	return nil
}

// Guards against a flood of idle connections that locks out other callers
// permanently.
func TestHalfOpenConnections(t *testing.T) {
	const limit = 50
	d := deploy(t, launcher.Options{Nodes: 1, Settings: map[string]any{
		"header-timeout": "1s", "max-caller-connections": limit,
	}})
	var conns []net.Conn
	for range 2 * limit {
		conn, err := net.Dial("tcp", d.Nodes[0].Caller.String())
		if err != nil {
			continue
		}
		conns = append(conns, conn)
	}
	defer func() {
		for _, conn := range conns {
			conn.Close()
		}
	}()
	c := newCallers(d)
	d.eventually(failoverBound, "a caller is served despite half-open connections", func() bool {
		return c.query(c.viaGateway(0)).Complete
	})
}

// Guards against a process that crashes on invalid data on its session or admin
// port.
func TestGarbageOnSessionPorts(t *testing.T) {
	d := deploy(t, launcher.Options{Nodes: 1})
	c := newCallers(d)
	garbage := bytes.Repeat([]byte{0xff, 0x00, 0x16, 0x03}, 4096)
	n := d.Nodes[0]
	for _, address := range []string{n.Relay.String(), n.Gateway.String(), n.RelayAdmin.String(), n.GatewayAdmin.String()} {
		for _, size := range []int{0, 1, 5, len(garbage)} {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			// The process may close the connection at any byte.
			_, _ = conn.Write(garbage[:size])
			conn.Close()
		}
	}
	for range 20 {
		if a := c.query(c.viaGateway(0)); !a.Complete {
			t.Errorf("after invalid data: %s %s", a.Outcome, a.Code)
		}
	}
	c.verify()
}
