// Package logger builds the logger of a process, which writes one line of
// key=value pairs per event.
package logger

import (
	"os"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes events of the given level and above to
// standard error.
func New(level zapcore.Level, process, node string) *zap.Logger {
	return NewTo(zapcore.Lock(os.Stderr), level, process, node)
}

// NewTo returns a logger that writes events of the given level and above to w.
func NewTo(w zapcore.WriteSyncer, level zapcore.LevelEnabler, process, node string) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	encoder := zaplogfmt.NewEncoder(config)
	core := zapcore.NewCore(encoder, w, level)
	return zap.New(core).With(zap.String("process", process), zap.String("node", node))
}
