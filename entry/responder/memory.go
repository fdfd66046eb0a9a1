package responder

import (
	"context"
	"errors"
	"io"
)

// Memory is the budget of the connection on which a request arrives.
type Memory interface {
	// Reserve reports whether a request that is being received may take more memory.
	Reserve(bytes int) bool
	// Received records that the request is complete, and reports whether it may run.
	Received() bool
}

// ErrNoMemory means that there is no memory for a request that has not run.
var ErrNoMemory = errors.New("no memory left for the request")

type memoryKey struct{}

// WithMemory returns a context with the memory of a connection.
func WithMemory(ctx context.Context, memory Memory) context.Context {
	return context.WithValue(ctx, memoryKey{}, memory)
}

// MemoryOf returns the memory of a connection, nil if it has no budget.
func MemoryOf(ctx context.Context) Memory {
	memory, _ := ctx.Value(memoryKey{}).(Memory)
	return memory
}

const (
	// firstBodyBytes is the size of the first buffer of a body. Each further one is
	// bodyGrowth times as large, so that a client that announces a long body and sends
	// nothing takes little, and few bytes are copied.
	firstBodyBytes = 4 << 10
	bodyGrowth     = 4
	// copiesOfBody is the number of buffers of the size of a body that a request needs at a
	// time: its own, and a former one or the copy that its fingerprint is taken of.
	copiesOfBody = 2
)

// readAll reads a body whose length is -1 if it is not known. It reserves memory for
// each buffer before it allocates it.
func readAll(body io.Reader, length int64, memory Memory) ([]byte, error) {
	var text []byte
	for {
		if len(text) == cap(text) {
			size := max(bodyGrowth*cap(text), firstBodyBytes)
			// One byte more, so that the end of the body is found without a further buffer.
			if length >= int64(len(text)) {
				size = min(size, int(length)+1)
			}
			if memory != nil && !memory.Reserve(copiesOfBody*(size-cap(text))) {
				return nil, ErrNoMemory
			}
			text = append(make([]byte, 0, size), text...)
		}
		n, err := body.Read(text[len(text):cap(text)])
		text = text[:len(text)+n]
		switch {
		case errors.Is(err, io.EOF):
			if memory != nil && !memory.Received() {
				return nil, ErrNoMemory
			}
			return text, nil
		case err != nil:
			return nil, err
		}
	}
}
