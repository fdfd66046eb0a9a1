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

// target is a stand-in for a target whose answers the test writes itself.
type target struct {
	listener net.Listener
	address  netip.AddrPort
}

// newTarget serves each connection with the given function.
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
	couriers := courier.New(dial, func(string) {}, func(string, bool) {})
	t.Cleanup(couriers.Close)
	return couriers.Pool("i-1", address, courier.Terms{Limit: limit})
}

func job(id string, patience time.Duration) courier.Job {
	return courier.Job{
		Method: http.MethodGet, RequestID: id, Deadline: time.Now().Add(patience), MaxBody: 1 << 20,
		Head: func(left time.Duration) []byte {
			return fmt.Appendf(nil, "GET / HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", id, left.Milliseconds())
		},
	}
}

// send carries a job and waits for its reply.
func send(t *testing.T, p *courier.Pool, j courier.Job) courier.Reply {
	t.Helper()
	replies := make(chan courier.Reply, 1)
	p.Send(time.Now(), j, func(r courier.Reply) { replies <- r })
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

// A request that waited for a connection must not promise the target the time
// that it had at first: targets worked for callers that had given up.
func TestTimeLeftIsThatOfTheWriting(t *testing.T) {
	patience := make(chan string, 2)
	tgt := newTarget(t, func(c net.Conn, r *bufio.Reader) {
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			patience <- request.Header.Get("Deadline-Ms")
			time.Sleep(300 * time.Millisecond)
			answer(c, request.Header.Get("Request-Id"), "x")
		}
	})
	p := pool(t, tgt.address, 1)
	done := make(chan courier.Reply, 2)
	p.Send(time.Now(), job("first", time.Second), func(r courier.Reply) { done <- r })
	p.Send(time.Now(), job("second", time.Second), func(r courier.Reply) { done <- r })
	<-done
	<-done
	<-patience
	var left int
	if _, err := fmt.Sscan(<-patience, &left); err != nil || left > 750 {
		t.Fatalf("the second request was sent with %d ms, want at most 750", left)
	}
}

// A target's late second answer to one request must not become the answer to
// the next request on the connection.
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
		reply := send(t, p, job(id, time.Second))
		check(t, "result", reply.Result, placer.Answered)
		check(t, "body", string(reply.Body), "fresh-"+id)
	}
}

// Whatever follows a complete answer belongs to no request.
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
		reply := send(t, p, job(id, time.Second))
		check(t, "body", string(reply.Body), "good")
		time.Sleep(20 * time.Millisecond)
	}
}

// How each kind of broken answer counts: whether the request may have run
// decides whether it may be sent again.
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
			reply := send(t, pool(t, tgt.address, 1), job("a", time.Second))
			check(t, "result", reply.Result, c.want)
		})
	}
}

// A request for which no connection could be opened reached nobody and may go
// to another target, whatever its kind.
func TestUnreachableTarget(t *testing.T) {
	tgt := newTarget(t, func(net.Conn, *bufio.Reader) {})
	tgt.listener.Close()
	reply := send(t, pool(t, tgt.address, 1), job("a", time.Second))
	check(t, "result", reply.Result, placer.Unsent)
}

// A target that goes silent costs the request its time, and no longer.
func TestSilentTarget(t *testing.T) {
	tgt := newTarget(t, func(_ net.Conn, r *bufio.Reader) { _, _ = io.Copy(io.Discard, r) })
	began := time.Now()
	reply := send(t, pool(t, tgt.address, 1), job("a", 100*time.Millisecond))
	check(t, "result", reply.Result, placer.Lost)
	if took := time.Since(began); took > 2*time.Second {
		t.Fatalf("took %v", took)
	}
}

// An answer that is given up may still arrive for a moment, so that the
// connection is kept.
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
	e := p.Send(time.Now(), job("a", time.Second), func(r courier.Reply) { done <- r })
	time.Sleep(10 * time.Millisecond)
	e.Abandon(time.Now(), 500*time.Millisecond)
	check(t, "late answer", (<-done).Result, placer.Answered)
	check(t, "next answer", send(t, p, job("b", time.Second)).Result, placer.Answered)
	check(t, "connections", len(connections), 1)
}

// The number of connections to a target stays within the share of the process.
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
		p.Send(time.Now(), job(fmt.Sprint(i), time.Second), func(r courier.Reply) { done <- r })
	}
	for range 8 {
		check(t, "result", (<-done).Result, placer.Answered)
	}
	check(t, "connections", len(connections), 2)
}

// A target that is down is looked for until it is back, so that no request has
// to find out.
func TestTargetIsFoundAgain(t *testing.T) {
	states := make(chan bool, 100)
	couriers := courier.New(dial, func(string) {}, func(_ string, up bool) { states <- up })
	t.Cleanup(couriers.Close)
	tgt := newTarget(t, func(_ net.Conn, r *bufio.Reader) { _, _ = io.Copy(io.Discard, r) })
	tgt.listener.Close()
	couriers.Pool("i-1", tgt.address, courier.Terms{Limit: 1}).Warm()
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
			t.Fatal("the target was not found again")
		}
	}
}

// A target that has no room for one more connection resets it after it was
// opened. Dialing again for each request kept all targets busy with connections
// that they reset (63154 on a day with 86 entry VMs and room for 68), and lost
// a request each time.
func TestTargetWithoutRoomForConnections(t *testing.T) {
	opened := make(chan struct{}, 1000)
	tgt := newTarget(t, func(c net.Conn, _ *bufio.Reader) {
		opened <- struct{}{}
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	})
	reachable := make(chan bool, 1000)
	couriers := courier.New(dial, func(string) {}, func(_ string, up bool) { reachable <- up })
	t.Cleanup(couriers.Close)
	p := couriers.Pool("i-1", tgt.address, courier.Terms{Limit: 1})
	send(t, p, job("a", time.Second))
	check(t, "reachable", <-reachable, false)
	time.Sleep(time.Second)
	for len(reachable) > 0 {
		check(t, "reachable again", <-reachable, false)
	}
	if n := len(opened); n > 6 {
		t.Fatalf("%d connections within a second", n)
	}
}

// A connection that is only lent to this VM must not stay open: after all entry
// VMs lost power, their former connections filled the targets until the targets
// found them idle, and the restarted VMs were reset for that long.
func TestLentConnectionIsClosed(t *testing.T) {
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
	couriers := courier.New(dial, func(string) {}, func(_ string, up bool) { reachable <- up })
	t.Cleanup(couriers.Close)
	p := couriers.Pool("i-1", tgt.address, courier.Terms{Limit: 1, IdleTimeout: 100 * time.Millisecond})
	check(t, "result", send(t, p, job("a", time.Second)).Result, placer.Answered)
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection stays open")
	}
	for len(reachable) > 0 {
		check(t, "reachable", <-reachable, true)
	}
}
