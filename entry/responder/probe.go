package responder

import (
	"context"
	"net/http"
	"time"

	"jackdawcart.org/entry/courier"
	"jackdawcart.org/platform/decoder"
)

const (
	// probePeriod is the interval between probes of targets during a cut.
	probePeriod = 300 * time.Millisecond
	// probeTimeout is how long the answer to a probe may take.
	probeTimeout = 250 * time.Millisecond
)

// Probe asks one target after the other for its health during each cut, until one answers.
// Nothing else is sent to targets then. It returns when the context ends.
func (r *Responder) Probe(ctx context.Context) {
	for {
		select {
		case <-r.cutBegan:
		case <-ctx.Done():
			return
		}
		for n := 0; r.checkCut(r.Timers.Now()); n++ {
			r.probeTarget(n)
			if !r.Timers.Sleep(ctx, probePeriod) {
				return
			}
		}
	}
}

// probeTarget asks the n-th of all targets in use for its health.
func (r *Responder) probeTarget(n int) {
	table := r.Directory.Table()
	services := table.RoutedServices()
	if len(services) == 0 {
		return
	}
	service, _ := table.Service(services[n%len(services)])
	targets := r.Directory.Targets(service.Name)
	if len(targets) == 0 {
		return
	}
	target := targets[n/len(services)%len(targets)]
	now := r.Timers.Now()
	pool := r.Pools.Pool(target.ID, target.Address, courier.Options{MaxOpen: r.Placer.Connections(service.MaxConnections)})
	pool.Send(now, courier.Request{
		Method: http.MethodGet, Deadline: now.Add(probeTimeout), MaxBodyBytes: r.config.MaxAnswerBytes, AnyAnswer: true,
		Head: func(time.Duration) []byte { return decoder.HealthCheck(service.HealthPath, target.Address) },
	}, func(got courier.Reply) {
		r.heard(got)
		r.observeLeaving(target, got)
		if got.Answer.ColdFor > 0 && !got.Answer.WrongTarget {
			r.Placer.ObserveCold(r.Timers.Now(), target.ID, got.Answer.ColdFor)
		}
	})
}
