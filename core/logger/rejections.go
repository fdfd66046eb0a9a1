package logger

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// rejectionPeriod and rejectionLines bound the lines about rejected input: anyone may
	// write to the store, as fast as it accepts writes.
	rejectionPeriod = 10 * time.Second
	rejectionLines  = 5
	// maxRejectedText bounds what a line repeats of rejected input, in bytes.
	maxRejectedText = 160
)

// Rejections counts input from outside the process that was rejected, and logs some of it.
// It is safe for concurrent use.
type Rejections struct {
	log   *zap.Logger
	count func(kind string)
}

// NewRejections returns a record of rejected input that calls count, which may be nil, with
// the kind of each.
func NewRejections(log *zap.Logger, count func(kind string)) *Rejections {
	if count == nil {
		count = func(string) {}
	}
	return &Rejections{
		log: log.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
			return zapcore.NewSamplerWithOptions(core, rejectionPeriod, rejectionLines, 0)
		})),
		count: count,
	}
}

// Add records that input of a kind, such as the value of a key, was rejected for a reason.
func (r *Rejections) Add(kind, key string, reason error) {
	r.count(kind)
	r.log.Warn("input rejected: "+kind, zap.String("key", truncate(key)), zap.String("reason", truncate(reason.Error())))
}

func truncate(text string) string {
	if len(text) <= maxRejectedText {
		return text
	}
	return text[:maxRejectedText] + "..."
}
