package logger

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"

	"jackdawcart.org/core/buffer"
)

// bufferedLines bounds the lines that wait to be written: at 200 bytes a line,
// about 400 KB.
const bufferedLines = 2048

// batchBytes is the size from which collected lines are written.
const batchBytes = 16 << 10

// Bounded writes lines from its own goroutine, so that a slow reader of the
// log never blocks the process. Lines beyond its bound are dropped and counted.
type Bounded struct {
	ring    *buffer.Ring[[]byte]
	dropped atomic.Int64
}

// NewBounded returns a writer without lines.
func NewBounded() *Bounded { return &Bounded{ring: buffer.NewRing[[]byte](bufferedLines)} }

// Write takes one line. It never blocks and never fails.
func (b *Bounded) Write(line []byte) (int, error) {
	if !b.ring.Put(append([]byte(nil), line...)) {
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Sync is part of zap's interface; Run writes without it.
func (b *Bounded) Sync() error { return nil }

// Dropped returns the number of dropped lines.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

// Run writes lines until the context ends, and then those that are left.
func (b *Bounded) Run(ctx context.Context, w io.Writer) {
	var reported int64
	for {
		line, ok := b.ring.Take(ctx)
		batch := line
		for len(batch) < batchBytes {
			more, waiting := b.ring.TryTake()
			if !waiting {
				break
			}
			batch = append(batch, more...)
		}
		if dropped := b.Dropped(); dropped > reported {
			batch = fmt.Appendf(batch, "level=warn msg=\"log lines dropped\" total=%d\n", dropped)
			reported = dropped
		}
		if len(batch) > 0 {
			// A log that cannot be written can only be counted.
			if _, err := w.Write(batch); err != nil {
				b.dropped.Add(1)
			}
		}
		if !ok && b.ring.Len() == 0 {
			return
		}
	}
}
