package logger

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"

	"jackdawcart.org/core/buffer"
)

// bufferedLines limits the lines that wait to be written: about 400 KB at 200
// bytes a line.
const bufferedLines = 2048

// maxBatchBytes is the size at which a batch of lines is written even if more
// lines are waiting.
const maxBatchBytes = 16 << 10

// Bounded buffers lines that Run writes from its own goroutine, so that a slow
// reader of the log never blocks the process. Lines that do not fit into the
// buffer are dropped and counted.
type Bounded struct {
	ring    *buffer.Ring[[]byte]
	dropped atomic.Int64
}

// NewBounded returns an empty buffer.
func NewBounded() *Bounded { return &Bounded{ring: buffer.NewRing[[]byte](bufferedLines)} }

// Write buffers one line. It never blocks and never fails.
func (b *Bounded) Write(line []byte) (int, error) {
	if !b.ring.Put(append([]byte(nil), line...)) {
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing, because Run writes the
// lines.
func (b *Bounded) Sync() error { return nil }

// Dropped returns the number of dropped lines.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

// Run writes lines to w until the context ends, and then the remaining ones.
func (b *Bounded) Run(ctx context.Context, w io.Writer) {
	var reported int64
	for {
		line, ok := b.ring.Take(ctx)
		batch := line
		for len(batch) < maxBatchBytes {
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
			// A failed write cannot be logged, only counted.
			if _, err := w.Write(batch); err != nil {
				b.dropped.Add(1)
			}
		}
		if !ok && b.ring.Len() == 0 {
			return
		}
	}
}
