package runner

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/entry/configurer"
	"jackdawcart.org/platform/decoder"
)

// fileCheckPeriod is how often the settings files are read, because they may change
// without a signal.
const fileCheckPeriod = 2 * time.Second

// watchFiles reloads the settings on a signal and when the files have changed.
func (e *entry) watchFiles(ctx context.Context) {
	tick := e.timers.Every(fileCheckPeriod)
	defer tick.Stop()
	known := e.readFiles()
	for {
		select {
		case <-e.reloadSignals:
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

// readFiles returns the text of both files. It logs a file that cannot be read and
// takes it as empty.
func (e *entry) readFiles() string {
	platform, errPlatform := os.ReadFile(e.files.Platform)
	own, errOwn := os.ReadFile(e.files.Own)
	if errPlatform != nil || (e.files.Own != "" && errOwn != nil) {
		e.log.Warn("cannot read settings files", zap.NamedError("platform-error", errPlatform), zap.NamedError("own-error", errOwn))
	}
	return string(platform) + "\x00" + string(own)
}

// reload applies the settings that may change while the process runs, which are the
// limits that all VMs share, and the bounds of quotas. If a file cannot be loaded, the previous settings stay
// in force.
func (e *entry) reload(reason string) {
	if _, err := configurer.Load(e.files.Own); err != nil {
		e.log.Error("cannot load own settings; keeping the previous ones", zap.String("reason", reason), zap.Error(err))
		return
	}
	platform, err := decoder.LoadSettings(e.files.Platform)
	if err != nil {
		e.log.Error("cannot load platform settings; keeping the previous ones", zap.String("reason", reason), zap.Error(err))
		return
	}
	e.setBounds(platform)
	e.reloadQuotas(platform)
	e.log.Info("settings reloaded", zap.String("reason", reason),
		zap.Float64("repeat-ratio", platform.RepeatRatio), zap.Float64("repeat-extra", platform.RepeatExtra),
		zap.Float64("cold-overage", platform.ColdOverage), zap.Float64("cold-slack", platform.ColdSlack))
}
