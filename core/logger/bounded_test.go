package logger_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"jackdawcart.org/core/logger"
)

// Guards against a log reader that stalls: it must neither block the process nor
// let its memory grow, and dropped lines must be counted and reported.
func TestBoundedDropsAndReports(t *testing.T) {
	b := logger.NewBounded()
	const lines = 5000
	began := time.Now()
	for range lines {
		if _, err := b.Write([]byte("level=info msg=x\n")); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(began); took > time.Second {
		t.Fatalf("writing without a reader took %v", took)
	}
	dropped := b.Dropped()
	if dropped == 0 {
		t.Fatal("no line was dropped although the buffer is full")
	}
	ctx, stop := context.WithCancel(t.Context())
	stop()
	var out bytes.Buffer
	b.Run(ctx, &out)
	if got := int64(strings.Count(out.String(), "msg=x\n")); got != lines-dropped {
		t.Fatalf("%d lines written, want %d", got, lines-dropped)
	}
	if !strings.Contains(out.String(), "log lines dropped") {
		t.Fatal("the output does not report the dropped lines")
	}
}
