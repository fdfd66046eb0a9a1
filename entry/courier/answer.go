package courier

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"

	"jackdawcart.org/core/placer"
	"jackdawcart.org/platform/decoder"
)

// maxHeadBytes limits the status line and headers of an answer. net/http's parser
// itself reads a head without limit.
const maxHeadBytes = 64 << 10

// maxStatus is the largest status that the protocol has.
const maxStatus = 599

// Memory limits for the bodies of answers.
const (
	// chunkBytes is the size of the pieces in which a long body is read. The first
	// piece of each body doesn't count towards maxLongBodyBytes.
	chunkBytes = 64 << 10
	// maxLongBodyBytes is shared by the bodies of all answers that are being read.
	maxLongBodyBytes = 12 << 20
)

var (
	errHeadTooLong  = fmt.Errorf("head of the answer is longer than %d bytes", maxHeadBytes)
	errAnswerMemory = errors.New("no memory left for the body of the answer")
)

// headReader reads from a connection and fails if the head of an answer is too
// long. Only the goroutine that reads the connection uses it.
type headReader struct {
	raw    net.Conn
	inHead bool
	left   int
}

// beginHead applies the limit to the bytes that follow.
func (r *headReader) beginHead() { r.inHead, r.left = true, maxHeadBytes }

// endHead lifts the limit.
func (r *headReader) endHead() { r.inHead = false }

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	if !r.inHead {
		return r.raw.Read(p)
	}
	if r.left == 0 {
		return 0, errHeadTooLong
	}
	n, err := r.raw.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}

// bodyMemory limits the memory for long bodies of answers across all targets. A
// body may hold as much as is still free, so targets that send without end always
// leave room for the answers of others. Chunks are reused, because those that are
// dropped take up memory until the next garbage collection.
type bodyMemory struct {
	mu    sync.Mutex
	free  int
	spare [][]byte
}

func newBodyMemory() *bodyMemory { return &bodyMemory{free: maxLongBodyBytes} }

// takeChunk returns a chunk for a body that holds a number of other chunks, and false
// if there is no room for it.
func (m *bodyMemory) takeChunk(held int) ([]byte, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if held*chunkBytes+chunkBytes > m.free-chunkBytes {
		return nil, false
	}
	m.free -= chunkBytes
	if last := len(m.spare) - 1; last >= 0 {
		chunk := m.spare[last]
		m.spare = m.spare[:last]
		return chunk, true
	}
	return make([]byte, chunkBytes), true
}

// release takes back the chunks of a body.
func (m *bodyMemory) release(chunks [][]byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.free += len(chunks) * chunkBytes
	for _, chunk := range chunks {
		m.spare = append(m.spare, chunk[:chunkBytes])
	}
}

// readBody reads a body of at most limit bytes. It doesn't close the body, because
// net/http would first read it to its end, which may never come. After an error the
// connection is closed instead.
func readBody(response *http.Response, limit int64, memory *bodyMemory) ([]byte, error) {
	length := response.ContentLength
	switch {
	case response.Body == http.NoBody:
		return nil, nil
	case length > limit:
		return nil, fmt.Errorf("body has %d bytes, limit %d", length, limit)
	case length >= 0 && length <= chunkBytes:
		text := make([]byte, length)
		_, err := io.ReadFull(response.Body, text)
		return text, err
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, chunkBytes))
	if err != nil || len(text) < chunkBytes {
		return text, err
	}
	return readLongBody(text, response.Body, limit, memory)
}

// readLongBody reads the rest of a body in chunks, which are joined only when it is
// complete.
func readLongBody(first []byte, body io.Reader, limit int64, memory *bodyMemory) ([]byte, error) {
	var chunks [][]byte
	size := int64(len(first))
	defer func() { memory.release(chunks) }()
	for {
		chunk, ok := memory.takeChunk(len(chunks))
		if !ok {
			return nil, errAnswerMemory
		}
		n, err := fill(body, chunk)
		chunks = append(chunks, chunk[:n])
		size += int64(n)
		switch {
		case size > limit:
			return nil, fmt.Errorf("body is longer than %d bytes", limit)
		case errors.Is(err, io.EOF):
			return slices.Concat(append([][]byte{first}, chunks...)...), nil
		case err != nil:
			return nil, err
		}
	}
}

// fill reads until the chunk is full. Unlike io.ReadFull it returns io.EOF only at
// the end of the body, and io.ErrUnexpectedEOF only from a body that broke off.
func fill(body io.Reader, chunk []byte) (int, error) {
	n := 0
	for n < len(chunk) {
		k, err := body.Read(chunk[n:])
		n += k
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

func errorReply(err error) Reply {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return Reply{Result: placer.Lost, Err: &Error{Op: "read", Kind: KindTimeout, Err: err}}
	}
	return Reply{Result: placer.Failed, Err: &Error{Op: "read", Kind: KindGarbled, Err: err}}
}

// readAnswer reads the answer to the exchange and skips answers to other
// requests.
func (c *connection) readAnswer(e *Exchange) (reply Reply, reusable bool) {
	for range maxSkippedAnswers {
		c.reader.beginHead()
		response, err := http.ReadResponse(c.buffer, &http.Request{Method: e.request.Method}) //nolint:bodyclose // see readBody
		c.reader.endHead()
		if err != nil {
			return errorReply(err), false
		}
		switch status := response.StatusCode; {
		case status < http.StatusContinue, status == http.StatusSwitchingProtocols, status > maxStatus:
			return errorReply(fmt.Errorf("status %03d is neither informational nor final", status)), false
		case status < http.StatusOK:
			continue
		}
		body, err := readBody(response, e.request.MaxBodyBytes, c.pool.memory)
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
		if !e.request.AnyAnswer {
			reply.Result, reply.Err = classify(reply)
		}
		return reply, e.identifies(reply.Answer) && !response.Close && c.buffer.Buffered() == 0
	}
	return errorReply(errors.New("answers to other requests only")), false
}

// identifies reports whether a late second copy of an answer can be told from the answer to
// the next request on the connection. Answers to health checks have no ID, and neither have
// some refusals of targets. Other entry VMs repeat no answers.
func (e *Exchange) identifies(answer decoder.Answer) bool {
	toOtherVM := e.request.AnyAnswer && e.request.RequestID != ""
	return answer.RequestID != "" || toOtherVM
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
