package courier_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jackdawcart.org/core/placer"
	"jackdawcart.org/entry/courier"
)

// target is a server whose answers the test writes byte by byte.
type target struct {
	listener net.Listener
	address  netip.AddrPort
}

// newTarget starts a target that handles each connection with serve.
func newTarget(t *testing.T, serve func(net.Conn, *bufio.Reader)) *target {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return &target{listener: listener, address: netip.MustParseAddrPort(listener.Addr().String())}
}

func dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address.String())
}

func pool(t *testing.T, address netip.AddrPort, limit int) *courier.Pool {
	t.Helper()
	pools := courier.New(dial, courier.Hooks{})
	t.Cleanup(pools.Close)
	return pools.Pool("i-1", address, courier.Options{MaxOpen: limit})
}

func newRequest(id string, timeout time.Duration) courier.Request {
	return courier.Request{
		Method: http.MethodGet, RequestID: id, Deadline: time.Now().Add(timeout), MaxBodyBytes: 1 << 20,
		Head: func(left time.Duration) []byte {
			return fmt.Appendf(nil, "GET / HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", id, left.Milliseconds())
		},
	}
}

// send sends a request and waits for its reply.
func send(t *testing.T, p *courier.Pool, request courier.Request) courier.Reply {
	t.Helper()
	replies := make(chan courier.Reply, 1)
	p.Send(time.Now(), request, func(r courier.Reply) { replies <- r })
	select {
	case r := <-replies:
		return r
	case <-time.After(5 * time.Second):
		t.Fatal("no reply")
		return courier.Reply{}
	}
}

func answer(w io.Writer, id, body string) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s-%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
}

func check(t *testing.T, what string, got, want any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("%s (-want +got):\n%s", what, diff)
	}
}

// The deadline header of a request that was queued for a connection must hold the
// time left when it is written. With the time left when it was queued, targets
// worked for callers that had given up.
func TestDeadlineHeaderIsSetAtWrite(t *testing.T) {
	deadlines := make(chan string, 2)
	tgt := newTarget(t, func(c net.Conn, r *bufio.Reader) {
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			deadlines <- request.Header.Get("Deadline-Ms")
			time.Sleep(300 * time.Millisecond)
			answer(c, request.Header.Get("Request-Id"), "x")
		}
	})
	p := pool(t, tgt.address, 1)
	done := make(chan courier.Reply, 2)
	p.Send(time.Now(), newRequest("first", time.Second), func(r courier.Reply) { done <- r })
	p.Send(time.Now(), newRequest("second", time.Second), func(r courier.Reply) { done <- r })
	<-done
	<-done
	<-deadlines
	var left int
	if _, err := fmt.Sscan(<-deadlines, &left); err != nil || left > 750 {
		t.Fatalf("second request has Deadline-Ms %d, want at most 750", left)
	}
}

// A duplicate answer that arrives late must not be taken for the answer to the
// next request on the connection.
func TestLateSecondAnswer(t *testing.T) {
	tgt := newTarget(t, func(c net.Conn, r *bufio.Reader) {
		last := ""
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			id := request.Header.Get("Request-Id")
			if last != "" {
				answer(c, last, "stale")
			}
			answer(c, id, "fresh-"+id)
			last = id
		}
	})
	p := pool(t, tgt.address, 1)
	for _, id := range []string{"a", "b", "c"} {
		reply := send(t, p, newRequest(id, time.Second))
		check(t, "result", reply.Result, placer.Answered)
		check(t, "body", string(reply.Body), "fresh-"+id)
	}
}

// A target may repeat an answer without an ID, such as that to a health check, when the next
// request arrives. Such a copy was taken for the answer to that request, which then ran twice
// or was reported as not run.
func TestLateCopyOfAnAnswerWithoutID(t *testing.T) {
	healthCheck := newRequest("", time.Second)
	healthCheck.AnyAnswer = true
	for name, first := range map[string]courier.Request{"health check": healthCheck, "refusal": newRequest("refused", time.Second)} {
		t.Run(name, func(t *testing.T) {
			const withoutID = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
			tgt := newTarget(t, func(c net.Conn, r *bufio.Reader) {
				for {
					request, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if id := request.Header.Get("Request-Id"); id == "next" {
						answer(c, id, "fresh")
						continue
					}
					fmt.Fprint(c, withoutID)
					if _, err := r.Peek(1); err != nil {
						return
					}
					fmt.Fprint(c, withoutID)
				}
			})
			p := pool(t, tgt.address, 1)
			check(t, "status of the first answer", send(t, p, first).Status, http.StatusServiceUnavailable)
			check(t, "body of the next answer", string(send(t, p, newRequest("next", time.Second)).Body), "fresh")
		})
	}
}

// Bytes that follow a complete answer belong to no request and must not be read
// as the answer to the next one.
func TestBytesAfterAnAnswer(t *testing.T) {
	tgt := newTarget(t, func(c net.Conn, r *bufio.Reader) {
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			answer(c, request.Header.Get("Request-Id"), "good")
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nServer-Stamp: x\r\nContent-Length: 3\r\n\r\nbad")
		}
	})
	p := pool(t, tgt.address, 1)
	for _, id := range []string{"a", "b"} {
		reply := send(t, p, newRequest(id, time.Second))
		check(t, "body", string(reply.Body), "good")
		time.Sleep(20 * time.Millisecond)
	}
}

// The result of each kind of broken answer must tell whether the request may have
// run, because that decides whether it may be retried.
func TestBrokenAnswers(t *testing.T) {
	cases := []struct {
		name string
		text string
		want placer.Result
	}{
		{"no answer", "", placer.Lost},
		{"half a body", "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Length: 10\r\n\r\nhalf", placer.Failed},
		{"no HTTP", "garbage garbage\r\n\r\n", placer.Failed},
		{"no signature", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", placer.Failed},
		{"encoded", "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx", placer.Failed},
		{"full", "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", placer.Refused},
		{"another target", "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: i-2\r\nContent-Length: 0\r\n\r\n", placer.Refused},
		{"failure", "HTTP/1.1 500 Internal Server Error\r\nServer-Stamp: s\r\nContent-Length: 0\r\n\r\n", placer.Failed},
		{"until the end", "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n\r\nwhole", placer.Answered},
		{"chunked", "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", placer.Answered},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tgt := newTarget(t, func(conn net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err == nil {
					fmt.Fprint(conn, c.text)
				}
			})
			reply := send(t, pool(t, tgt.address, 1), newRequest("a", time.Second))
			check(t, "result", reply.Result, c.want)
		})
	}
}

// A request for which no connection could be opened did not reach the target and
// may be sent to another one, idempotent or not.
func TestUnreachableTarget(t *testing.T) {
	tgt := newTarget(t, func(net.Conn, *bufio.Reader) {})
	tgt.listener.Close()
	reply := send(t, pool(t, tgt.address, 1), newRequest("a", time.Second))
	check(t, "result", reply.Result, placer.Unsent)
}

// A request to a target that accepts it but never answers must end at its
// deadline.
func TestSilentTarget(t *testing.T) {
	tgt := newTarget(t, func(_ net.Conn, r *bufio.Reader) { _, _ = io.Copy(io.Discard, r) })
	began := time.Now()
	reply := send(t, pool(t, tgt.address, 1), newRequest("a", 100*time.Millisecond))
	check(t, "result", reply.Result, placer.Lost)
	if took := time.Since(began); took > 2*time.Second {
		t.Fatalf("request took %v, want at most 2s", took)
	}
}

// The answer to an abandoned request may still arrive within the grace period, so
// that the connection can be reused.
func TestAbandonedAnswerKeepsTheConnection(t *testing.T) {
	connections := make(chan struct{}, 10)
	tgt := newTarget(t, func(c net.Conn, r *bufio.Reader) {
		connections <- struct{}{}
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
			answer(c, request.Header.Get("Request-Id"), "x")
		}
	})
	p := pool(t, tgt.address, 1)
	done := make(chan courier.Reply, 1)
	e := p.Send(time.Now(), newRequest("a", time.Second), func(r courier.Reply) { done <- r })
	time.Sleep(10 * time.Millisecond)
	e.Abandon(time.Now(), 500*time.Millisecond)
	check(t, "late answer", (<-done).Result, placer.Answered)
	check(t, "next answer", send(t, p, newRequest("b", time.Second)).Result, placer.Answered)
	check(t, "connections", len(connections), 1)
}

// Concurrent requests must not open more connections than MaxOpen, the share of
// this process in the connections that the target accepts.
func TestConnectionLimit(t *testing.T) {
	connections := make(chan struct{}, 10)
	tgt := newTarget(t, func(c net.Conn, r *bufio.Reader) {
		connections <- struct{}{}
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
			answer(c, request.Header.Get("Request-Id"), "x")
		}
	})
	p := pool(t, tgt.address, 2)
	done := make(chan courier.Reply, 8)
	for i := range 8 {
		p.Send(time.Now(), newRequest(fmt.Sprint(i), time.Second), func(r courier.Reply) { done <- r })
	}
	for range 8 {
		check(t, "result", (<-done).Result, placer.Answered)
	}
	check(t, "connections", len(connections), 2)
}

// An unreachable target must be dialed in the background until it is back, so that
// no request has to be risked on it.
func TestUnreachableTargetIsRedialed(t *testing.T) {
	states := make(chan bool, 100)
	pools := courier.New(dial, courier.Hooks{SetReachable: func(_ string, up bool) { states <- up }})
	t.Cleanup(pools.Close)
	tgt := newTarget(t, func(_ net.Conn, r *bufio.Reader) { _, _ = io.Copy(io.Discard, r) })
	tgt.listener.Close()
	pools.Pool("i-1", tgt.address, courier.Options{MaxOpen: 1}).Preconnect()
	check(t, "first", <-states, false)
	listener, err := net.Listen("tcp", tgt.address.String())
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	for deadline := time.After(5 * time.Second); ; {
		select {
		case up := <-states:
			if up {
				return
			}
		case <-deadline:
			t.Fatal("target was not reported reachable after it came back")
		}
	}
}

// A target at its connection limit accepts a connection and then resets it. Dialing
// again for each request kept all targets busy with such connections (63154 on a
// day with 86 entry VMs and a limit of 68), and each lost a request.
func TestTargetAtConnectionLimit(t *testing.T) {
	opened := make(chan struct{}, 1000)
	tgt := newTarget(t, func(c net.Conn, _ *bufio.Reader) {
		opened <- struct{}{}
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	})
	reachable := make(chan bool, 1000)
	pools := courier.New(dial, courier.Hooks{SetReachable: func(_ string, up bool) { reachable <- up }})
	t.Cleanup(pools.Close)
	p := pools.Pool("i-1", tgt.address, courier.Options{MaxOpen: 1})
	send(t, p, newRequest("a", time.Second))
	check(t, "reachable", <-reachable, false)
	time.Sleep(time.Second)
	for len(reachable) > 0 {
		check(t, "reachable again", <-reachable, false)
	}
	if n := len(opened); n > 6 {
		t.Fatalf("%d connections opened within a second, want at most 6", n)
	}
}

// A connection with an idle timeout must not stay open after it. When all entry VMs
// lost power, their old connections used up the targets' connection limits until
// the targets closed them as idle, and the connections of the restarted VMs were
// reset until then.
func TestConnectionIsClosedAfterIdleTimeout(t *testing.T) {
	ended := make(chan struct{})
	tgt := newTarget(t, func(c net.Conn, r *bufio.Reader) {
		defer close(ended)
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			answer(c, request.Header.Get("Request-Id"), "x")
		}
	})
	reachable := make(chan bool, 10)
	pools := courier.New(dial, courier.Hooks{SetReachable: func(_ string, up bool) { reachable <- up }})
	t.Cleanup(pools.Close)
	p := pools.Pool("i-1", tgt.address, courier.Options{MaxOpen: 1, IdleTimeout: 100 * time.Millisecond})
	check(t, "result", send(t, p, newRequest("a", time.Second)).Result, placer.Answered)
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("connection is still open after its idle timeout")
	}
	for len(reachable) > 0 {
		check(t, "reachable", <-reachable, true)
	}
}

// A panic in the handling of one answer must not end the process, nor hold up the next
// request to that target.
func TestPanicEndsOneExchange(t *testing.T) {
	tgt := newTarget(t, func(c net.Conn, r *bufio.Reader) {
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			answer(c, request.Header.Get("Request-Id"), "x")
		}
	})
	p := pool(t, tgt.address, 1)
	called := make(chan struct{})
	p.Send(time.Now(), newRequest("a", time.Second), func(courier.Reply) {
		close(called)
		panic("unexpected answer")
	})
	<-called
	check(t, "next answer", send(t, p, newRequest("b", 2*time.Second)).Result, placer.Answered)
}

// A target that has left must not be reported any more: the report made a record of it
// that nothing removed, and that a successor with the same ID inherited.
func TestRetiredTargetIsNotReported(t *testing.T) {
	reports := make(chan bool, 100)
	pools := courier.New(dial, courier.Hooks{SetReachable: func(_ string, up bool) { reports <- up }})
	t.Cleanup(pools.Close)
	tgt := newTarget(t, func(_ net.Conn, r *bufio.Reader) { _, _ = io.Copy(io.Discard, r) })
	tgt.listener.Close()
	p := pools.Pool("i-1", tgt.address, courier.Options{MaxOpen: 1, IdleTimeout: time.Second})
	send(t, p, newRequest("a", time.Second))
	check(t, "before it left", <-reports, false)
	pools.Retire("i-1")
	select {
	case up := <-reports:
		t.Fatalf("reported reachable=%v after it left", up)
	case <-time.After(time.Second):
	}
}
