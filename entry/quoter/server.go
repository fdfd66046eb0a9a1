package quoter

import (
	"context"
	"errors"
	"io"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"jackdawcart.org/core/acceptor"
	"jackdawcart.org/core/granter"
	"jackdawcart.org/entry/quoter/quoterpb"
)

const (
	// spareConns is how many connections may be open beyond two for each VM of the list:
	// VMs that have restarted leave some behind until they are idle.
	spareConns = 16
	connsPerVM = 2
	// maxForwards bounds the requests of one connection that wait for another VM.
	maxForwards = 64
)

// Serve answers other VMs on a listener until the context ends.
func (q *Quoter) Serve(ctx context.Context, listener net.Listener) {
	var goroutines sync.WaitGroup
	defer goroutines.Wait()
	var open atomic.Int32
	acceptor.Each(ctx, listener, q.Log, func(conn net.Conn) {
		q.mu.Lock()
		limit := connsPerVM*len(q.addresses) + spareConns
		q.mu.Unlock()
		if int(open.Load()) >= limit {
			conn.Close()
			q.metrics.refusedConns.Inc(1)
			return
		}
		open.Add(1)
		goroutines.Go(func() {
			defer open.Add(-1)
			defer conn.Close()
			defer context.AfterFunc(ctx, func() { conn.Close() })()
			defer q.logPanic(conn.RemoteAddr())
			q.serveConn(newFrameConn(conn))
		})
	})
}

// logPanic keeps a panic that a message of another VM caused from ending the process. It is
// to be deferred.
func (q *Quoter) logPanic(peer net.Addr) {
	if v := recover(); v != nil {
		q.metrics.panicked.Inc(1)
		q.Log.Error("request for quota panicked", zap.Stringer("peer", peer), zap.Any("panic", v), zap.ByteString("stack", debug.Stack()))
	}
}

func (q *Quoter) serveConn(conn *frameConn) {
	var forwards atomic.Int32
	for {
		var m quoterpb.Request
		err := conn.read(&m, serverIdle)
		if err != nil {
			var network net.Error
			if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, net.ErrClosed) && !errors.As(err, &network) {
				q.malformed(conn, err)
			}
			return
		}
		request, err := fromRequest(&m)
		if err != nil {
			q.malformed(conn, err)
			return
		}
		answer, forward := q.handle(request)
		if forward != nil && forwards.Load() < maxForwards {
			forwards.Add(1)
			id := m.GetId()
			q.send(forward, func(answer granter.Answer, err error) {
				answer = q.forwarded(request, forward, answer, err)
				forwards.Add(-1)
				_ = conn.write(toAnswer(id, answer))
			})
			continue
		}
		if forward != nil {
			answer = granter.Answer{Status: granter.NotGranting}
		}
		if err := conn.write(toAnswer(m.GetId(), answer)); err != nil {
			return
		}
	}
}

func (q *Quoter) malformed(conn *frameConn, err error) {
	q.metrics.malformed.Inc(1)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.events.malformed(q.Now(), conn.RemoteAddr(), &Error{Op: "read", Kind: KindMalformed, Err: err})
}

func (q *Quoter) handle(request granter.Request) (granter.Answer, *granter.Send) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.enabled {
		return granter.Answer{Status: granter.NotGranting}, nil
	}
	now := q.Now()
	answer, forward := q.node.Handle(now, request)
	q.settle(now)
	return answer, forward
}

func (q *Quoter) forwarded(request granter.Request, forward *granter.Send, answer granter.Answer, err error) granter.Answer {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Now()
	answer = q.node.Forwarded(now, request, forward, answer, err == nil)
	q.settle(now)
	return answer
}
