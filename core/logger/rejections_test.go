package logger_test

import (
	"errors"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"jackdawcart.org/core/logger"
)

// Rejected input must not fill the log, however much of it there is and however long it is.
func TestRejectionsAreBounded(t *testing.T) {
	core, lines := observer.New(zapcore.WarnLevel)
	counted := 0
	r := logger.NewRejections(zap.New(core), func(string) { counted++ })
	long := strings.Repeat("x", 1<<20)
	for range 1000 {
		r.Add("registration", long, errors.New(long))
	}
	if counted != 1000 || lines.Len() > 10 {
		t.Fatalf("%d counted and %d logged, want 1000 and at most 10", counted, lines.Len())
	}
	for _, field := range lines.All()[0].Context {
		if len(field.String) > 200 {
			t.Errorf("field %s has %d bytes, want at most 200", field.Key, len(field.String))
		}
	}
}
