package runner

import (
	"context"
	"net"
	"sync"

	"go.uber.org/zap"

	"jackdawcart.org/core/granter"
	"jackdawcart.org/core/registrar"
	"jackdawcart.org/entry/quoter"
	"jackdawcart.org/platform/decoder"
)

func quotaBounds(platform decoder.Settings) granter.Bounds {
	return granter.Bounds{Window: platform.QuotaWindow, Overage: platform.QuotaOverage, Slack: platform.QuotaSlack}
}

// assembleQuotas creates the quoter if the platform has bounds for quotas, and returns the VM
// with the address that it announces.
func (e *entry) assembleQuotas(self registrar.Member) registrar.Member {
	if e.platform.QuotaWindow <= 0 {
		return self
	}
	self.QuotaAddress = e.port(e.own.QuotaPort)
	e.quoter = quoter.New(quotaBounds(e.platform), quoter.Dependencies{
		Self: self, Dial: dial, Timers: e.timers, Now: quoter.BootTime, Scope: e.metrics.Scope, Log: e.log,
	})
	return self
}

// startQuotas serves the other VMs until the context ends.
func (e *entry) startQuotas(tasks context.Context, running *sync.WaitGroup) error {
	if e.quoter == nil {
		return nil
	}
	listener, err := net.Listen("tcp", e.port(e.own.QuotaPort).String())
	if err != nil {
		return err
	}
	running.Go(func() { e.quoter.Serve(tasks, listener) })
	running.Go(func() { e.quoter.Run(tasks) })
	return nil
}

// reloadQuotas applies changed bounds. Quotas that the process started without need a restart.
func (e *entry) reloadQuotas(platform decoder.Settings) {
	switch {
	case e.quoter != nil:
		e.quoter.SetBounds(quotaBounds(platform))
	case platform.QuotaWindow > 0:
		e.log.Warn("bounds of quotas take effect at the next start", zap.Duration("window", platform.QuotaWindow))
	}
}
