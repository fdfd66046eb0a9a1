package runner

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/entry/configurer"
	"jackdawcart.org/platform/decoder"
)

// filePeriod is how often the settings files are looked at, as they may change
// without a signal.
const filePeriod = 2 * time.Second

// followFiles reads the settings again when they change.
func (e *entry) followFiles(ctx context.Context) {
	tick := e.timers.Every(filePeriod)
	defer tick.Stop()
	known := e.readFiles()
	for {
		select {
		case <-e.hup:
			known = e.readFiles()
			e.reload("signal")
		case <-tick.C:
			if now := e.readFiles(); now != known {
				known = now
				e.reload("change")
			}
		case <-ctx.Done():
			return
		}
	}
}

// readFiles returns the text of both files; one that cannot be read counts as
// empty and is reported by reload.
func (e *entry) readFiles() string {
	platform, errPlatform := os.ReadFile(e.files.Platform)
	own, errOwn := os.ReadFile(e.files.Own)
	if errPlatform != nil || (e.files.Own != "" && errOwn != nil) {
		e.log.Warn("settings cannot be read", zap.NamedError("platform-error", errPlatform), zap.NamedError("own-error", errOwn))
	}
	return string(platform) + "\x00" + string(own)
}

// reload takes over the settings that may change while the process runs: the
// bounds of repeated work. Mistakes leave the former settings in force.
func (e *entry) reload(reason string) {
	if _, err := configurer.Load(e.files.Own); err != nil {
		e.log.Error("own settings refused, the former stay in force", zap.String("reason", reason), zap.Error(err))
		return
	}
	platform, err := decoder.LoadSettings(e.files.Platform)
	if err != nil {
		e.log.Error("settings of the platform refused, the former stay in force", zap.String("reason", reason), zap.Error(err))
		return
	}
	e.setBounds(platform)
	e.log.Info("settings reloaded", zap.String("reason", reason),
		zap.Float64("repeat-ratio", platform.RepeatRatio), zap.Float64("repeat-extra", platform.RepeatExtra))
}
