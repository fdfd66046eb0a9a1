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

// reload puts the settings of both files in force that may change while the process runs. If
// a file cannot be loaded, the previous settings stay in force.
func (e *entry) reload(reason string) {
	e.reloadMu.Lock()
	defer e.reloadMu.Unlock()
	own, err := configurer.Load(e.files.Own)
	if err != nil {
		e.log.Error("cannot load own settings; keeping the previous ones", zap.String("reason", reason), zap.Error(err))
		return
	}
	platform, err := decoder.LoadSettings(e.files.Platform)
	if err != nil {
		e.log.Error("cannot load platform settings; keeping the previous ones", zap.String("reason", reason), zap.Error(err))
		return
	}
	before := *e.inForce.Load()
	after := Settings{Own: own, Platform: platform}
	e.inForce.Store(&after)
	e.apply(before, after)
	e.log.Info("settings reloaded", zap.String("reason", reason), zap.Strings("changed", Changed(before, after)))
	if waiting := NeedRestart(Settings{Own: e.own, Platform: e.platform}, after); len(waiting) > 0 {
		e.log.Warn("changed settings take effect only after a restart", zap.Strings("settings", waiting))
	}
}

// apply puts the settings in force whose effect is not only at a restart.
func (e *entry) apply(before, after Settings) {
	e.setBounds(after.Platform)
	e.reloadQuotas(after.Platform)
	e.logLevel.SetLevel(after.Own.LogLevel)
	e.follower.SetBounds(applyBound(after.Platform), after.Platform.StabilityWindow)
	e.announcer.SetGrace(after.Platform.ShutdownGrace)
	moved := before.Platform.StoreAddress != after.Platform.StoreAddress
	if moved || before.Own.StoreTimeout != after.Own.StoreTimeout {
		e.store.SetAddress(after.Platform.StoreAddress, after.Own.StoreTimeout)
	}
	if moved {
		// Ends the waiting watches, which the former store would not answer any more.
		e.link.Interrupt()
	}
}
