package courier

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"jackdawcart.org/core/placer"
	"jackdawcart.org/platform/decoder"
)

// readBufferBytes is large enough for the head and the body of most answers.
const readBufferBytes = 4 << 10

// maxSkippedAnswers limits the answers to other requests that are skipped
// while waiting for an answer.
const maxSkippedAnswers = 4

// singleWriteBytes is the size up to which a body is sent in a single write,
// together with the head.
const singleWriteBytes = 4 << 10

// connection is an open connection to a target. Its own goroutine reads
// continuously, so that a close or an unexpected byte is noticed while the
// connection is idle.
//
// It doesn't use net/http's client, which would accept a duplicate answer that
// arrives late as the answer to the next request on the connection. Answers are
// still parsed by net/http.
type connection struct {
	pool   *Pool
	raw    net.Conn
	buffer *bufio.Reader

	// The fields below are guarded by the pool's mutex.
	exchange      *Exchange
	reusableUntil time.Time
	usedAt        time.Time
	openedAt      time.Time
	used          bool
	dropped       bool
}

func newConnection(p *Pool, raw net.Conn) *connection {
	return &connection{pool: p, raw: raw, buffer: bufio.NewReaderSize(raw, readBufferBytes), openedAt: time.Now()}
}

// setReadDeadline sets the deadline for reads; the zero time removes it.
func (c *connection) setReadDeadline(t time.Time) {
	// SetReadDeadline fails only on a closed connection, which the reader reports.
	_ = c.raw.SetReadDeadline(t)
}

// write sends the request of the exchange. A request of which no byte could be
// written did not reach the target. The head is built here because a request that
// was queued for a connection has less time left than when it was queued.
func (c *connection) write(e *Exchange) {
	_ = c.raw.SetWriteDeadline(e.request.Deadline)
	n, err := c.writeAll(e.request.Head(time.Until(e.request.Deadline)), e.request.Body)
	if err == nil {
		c.pool.mu.Lock()
		if e.state == writing {
			e.state = reading
		}
		c.pool.mu.Unlock()
		return
	}
	result := placer.Lost
	if n == 0 {
		result = placer.Unsent
	}
	c.fail(e, result, &Error{Op: "write", Kind: KindClosed, Err: err})
}

func (c *connection) writeAll(head, body []byte) (int64, error) {
	if len(body) == 0 {
		n, err := c.raw.Write(head)
		return int64(n), err
	}
	buffers := net.Buffers{head, body}
	return buffers.WriteTo(c.raw)
}

// read handles answers until the connection is closed.
func (c *connection) read() {
	for {
		_, err := c.buffer.Peek(1)
		e := c.current()
		if e == nil {
			c.closeIdle(err)
			return
		}
		if err != nil {
			c.failRead(e, err)
			return
		}
		reply, reusable := c.readAnswer(e)
		if !c.finish(e, reply, reusable) {
			return
		}
	}
}

func (c *connection) current() *Exchange {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.exchange
}

// closeIdle closes an idle connection after its idle timeout, after the target
// closed it, or after bytes arrived that belong to no request.
func (c *connection) closeIdle(err error) {
	c.pool.mu.Lock()
	refused := c.newAndUnused() && !errors.Is(err, os.ErrDeadlineExceeded)
	c.pool.drop(c)
	c.pool.mu.Unlock()
	if refused {
		c.pool.refused(&Error{Op: "read", Kind: KindClosed, Err: errClosedBeforeAnswer})
	}
}

// maxRefusalAge is the age up to which a connection that closed without an answer
// counts as refused by the target; an older one was idle for too long.
const maxRefusalAge = time.Second

// newAndUnused reports whether the connection was opened less than maxRefusalAge
// ago and has received no answer yet.
func (c *connection) newAndUnused() bool {
	return !c.used && !c.dropped && time.Since(c.openedAt) < maxRefusalAge
}

func (c *connection) failRead(e *Exchange, err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.pool.mu.Lock()
		c.pool.dropUnusedSince(e.sent)
		c.pool.mu.Unlock()
		c.fail(e, placer.Lost, &Error{Op: "read", Kind: KindTimeout, Err: err})
		return
	}
	c.fail(e, placer.Lost, &Error{Op: "read", Kind: KindClosed, Err: err})
}

// fail ends an exchange that got no answer and closes the connection.
func (c *connection) fail(e *Exchange, result placer.Result, err error) {
	c.pool.mu.Lock()
	refused := c.newAndUnused()
	c.pool.drop(c)
	pending := e.state != ended
	e.state = ended
	c.exchange = nil
	c.pool.mu.Unlock()
	if refused {
		c.pool.refused(err)
	}
	if pending {
		c.pool.count("lost")
		e.done(Reply{Result: result, Err: err})
	}
}

// readAnswer reads the answer to the exchange and skips answers to other
// requests.
func (c *connection) readAnswer(e *Exchange) (reply Reply, reusable bool) {
	for range maxSkippedAnswers {
		response, err := http.ReadResponse(c.buffer, &http.Request{Method: e.request.Method})
		if err != nil {
			return errorReply(err), false
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		body, err := readBody(response, e.request.MaxBodyBytes)
		if err != nil {
			return errorReply(err), false
		}
		reply = Reply{
			Status: response.StatusCode, Header: response.Header, Body: body,
			Answer: decoder.ParseAnswerHeader(response.StatusCode, response.Header),
		}
		if id := reply.Answer.RequestID; id != "" && id != e.request.RequestID {
			continue
		}
		reply.Result, reply.Err = classify(reply)
		return reply, !response.Close && c.buffer.Buffered() == 0
	}
	return errorReply(errors.New("answers to other requests only")), false
}

func readBody(response *http.Response, limit int64) ([]byte, error) {
	defer response.Body.Close()
	if response.Body == http.NoBody {
		return nil, nil
	}
	if length := response.ContentLength; length >= 0 && length <= limit {
		text := make([]byte, length)
		_, err := io.ReadFull(response.Body, text)
		return text, err
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err == nil && int64(len(text)) > limit {
		err = fmt.Errorf("body is longer than %d bytes", limit)
	}
	return text, err
}

func errorReply(err error) Reply {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return Reply{Result: placer.Lost, Err: &Error{Op: "read", Kind: KindTimeout, Err: err}}
	}
	return Reply{Result: placer.Failed, Err: &Error{Op: "read", Kind: KindGarbled, Err: err}}
}

// classify returns the result for an answer that was read completely.
func classify(r Reply) (placer.Result, error) {
	switch {
	case r.Answer.NotRun:
		return placer.Refused, nil
	case r.Answer.Encoded:
		return placer.Failed, &Error{Op: "read", Kind: KindGarbled, Err: errors.New("the body is encoded")}
	case r.Status >= http.StatusInternalServerError:
		return placer.Failed, nil
	case r.Status < http.StatusMultipleChoices && r.Answer.Stamp == "":
		return placer.Failed, &Error{Op: "read", Kind: KindGarbled, Err: errors.New("success without a signature")}
	default:
		return placer.Answered, nil
	}
}

// finish ends an exchange and reports whether the connection stays open.
func (c *connection) finish(e *Exchange, reply Reply, reusable bool) bool {
	now := time.Now()
	c.pool.mu.Lock()
	pending := e.state != ended
	// A target may answer before it has read a long body. The next request must
	// not follow the rest of that body on the same connection.
	written := e.state != writing || len(e.request.Body) <= singleWriteBytes
	e.state = ended
	c.exchange = nil
	c.used, c.usedAt = true, now
	c.reusableUntil = time.Time{}
	if keep := reply.Answer.KeepAliveTimeout; keep > 0 {
		c.reusableUntil = now.Add(time.Duration(keepAliveShare * float64(keep)))
	}
	var next *Exchange
	if reusable && written {
		next = c.pool.release(now, c)
	} else {
		c.pool.drop(c)
	}
	alive := !c.dropped
	c.pool.mu.Unlock()
	if pending {
		e.done(reply)
	}
	if next != nil {
		c.write(next)
	}
	return alive
}
