package acceptor_test

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"jackdawcart.org/core/acceptor"
)

// failing is a listener whose Accept fails a number of times, as without free file
// descriptors.
type failing struct {
	net.Listener
	failures atomic.Int64
	calls    atomic.Int64
}

func (f *failing) Accept() (net.Conn, error) {
	f.calls.Add(1)
	if f.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return f.Listener.Accept()
}

func newFailing(t *testing.T, failures int64) *failing {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &failing{Listener: inner}
	f.failures.Store(failures)
	return f
}

// A listener that fails for a moment must be used again.
func TestAcceptAfterFailures(t *testing.T) {
	listener := newFailing(t, 3)
	accepted := make(chan struct{}, 1)
	go acceptor.Each(t.Context(), listener, zap.NewNop(), func(conn net.Conn) {
		conn.Close()
		accepted <- struct{}{}
	})
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	select {
	case <-accepted:
	case <-time.After(5 * time.Second):
		t.Error("connection is not accepted after the failures")
	}
}

// A lasting failure must not keep a processor busy, and must not hold up the end.
func TestLastingAcceptFailure(t *testing.T) {
	listener := newFailing(t, 1<<40)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	began := time.Now()
	acceptor.Each(ctx, listener, zap.NewNop(), func(net.Conn) {})
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("ended after %v, want 300ms", took)
	}
	if calls := listener.calls.Load(); calls > 20 {
		t.Errorf("%d calls of Accept in 300ms, want at most 20", calls)
	}
	if _, err := net.Dial("tcp", listener.Addr().String()); cmp.Equal(err, nil) {
		t.Error("listener is still open")
	}
}
