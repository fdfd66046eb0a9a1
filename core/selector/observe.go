package selector

import (
	"time"
)

// Started records a request that is sent to a target through a relay. It
// returns the factor by which the load of the target lengthens the request,
// to be passed to Succeeded or Cancelled.
func (s *State) Started(now time.Time, c Candidate, owner string) float64 {
	t := s.statsFor(c.Target)
	factor := loadFactor(t.outstanding(now)+1, c.Slots)
	t.inFlight++
	if o, ok := t.owners[owner]; ok {
		o.sentSinceReport++
	}
	return factor
}

// Succeeded records an answer and its latency. The factor is the one that
// Started returned.
func (s *State) Succeeded(now time.Time, target string, latency time.Duration, factor float64) {
	t := s.statsFor(target)
	t.inFlight = max(t.inFlight-1, 0)
	t.consecutiveFailures = 0
	unloaded := time.Duration(float64(latency) / factor)
	if s.outlier(unloaded) {
		s.recordLate(now, t, unloaded)
		return
	}
	t.consecutiveLate = 0
	t.ejections = 0
	t.ejectedUntil = time.Time{}
	s.observe(now, t, unloaded)
	s.observeTypical(unloaded)
}

// ObserveRemote records answers that other VMs got from a target, with their
// mean latency. Late ones count as one, as a single pause of the target
// delays several.
func (s *State) ObserveRemote(now time.Time, target string, latency time.Duration, answers int) {
	t := s.statsFor(target)
	if s.outlier(latency) {
		s.recordLate(now, t, latency)
		return
	}
	t.consecutiveLate = 0
	for range answers {
		s.observe(now, t, latency)
	}
}

// Weights of a sample in the typical latency of all targets. It falls faster
// than it rises, so that it recovers quickly if the first samples come from a
// slow target.
const (
	typicalRise = 0.02
	typicalFall = 0.2
)

func (s *State) observeTypical(latency time.Duration) {
	if s.typicalLatency == 0 || latency < s.typicalLatency {
		s.typicalLatency = average(s.typicalLatency, latency, typicalFall)
		return
	}
	s.typicalLatency = average(s.typicalLatency, min(latency, 2*s.typicalLatency), typicalRise)
}

// outlier reports whether a latency is far above the typical one of all
// targets.
func (s *State) outlier(latency time.Duration) bool {
	return s.typicalLatency > 0 && float64(latency) > s.config.OutlierFactor*float64(s.typicalLatency)
}

// recordLate records a latency far above the typical one. Several in a row
// eject the target; a single one may be an unusually long request.
func (s *State) recordLate(now time.Time, t *stats, latency time.Duration) {
	s.observe(now, t, latency)
	t.consecutiveLate++
	limit := s.config.EjectAfterLate
	if t.ejections > 0 && s.config.EjectAgainAfterLate > 0 {
		limit = s.config.EjectAgainAfterLate
	}
	if limit > 0 && t.consecutiveLate >= limit {
		s.eject(now, t)
	}
}

// cancelledLatencyFactor is the assumed ratio of the full latency of a
// cancelled request to the time at which it was cancelled.
const cancelledLatencyFactor = 2

// Cancelled records a request that was cancelled after the given time because
// another replica answered first or the query ended. Its full latency is
// unknown, and the elapsed time alone would keep the average near the hedge
// delay.
func (s *State) Cancelled(now time.Time, target string, elapsed time.Duration, factor float64) {
	t := s.statsFor(target)
	t.inFlight = max(t.inFlight-1, 0)
	if unloaded := time.Duration(float64(cancelledLatencyFactor*elapsed) / factor); s.outlier(unloaded) {
		s.recordLate(now, t, unloaded)
	}
}

// Released records the end of a request that says nothing about the health of
// the target.
func (s *State) Released(target string) {
	t := s.statsFor(target)
	t.inFlight = max(t.inFlight-1, 0)
}

// Report records the load of a target as reported by a relay.
func (s *State) Report(now time.Time, target, owner string, load Load) {
	t := s.statsFor(target)
	if t.owners == nil {
		t.owners = make(map[string]*ownerLoad)
	}
	o, ok := t.owners[owner]
	if !ok {
		o = &ownerLoad{}
		t.owners[owner] = o
	}
	o.updateLoad(now, load)
	o.updateLatency(now, load.Latency, loadFactor(t.meanOutstanding(), t.slots))
}

// Failed records a failure. EjectAfterFailures in a row eject the target.
func (s *State) Failed(now time.Time, target string) {
	t := s.statsFor(target)
	t.inFlight = max(t.inFlight-1, 0)
	t.consecutiveFailures++
	if t.consecutiveFailures >= s.config.EjectAfterFailures {
		s.eject(now, t)
	}
}

// eject excludes a target for a period that doubles with each ejection
// without an answer in time between them.
func (s *State) eject(now time.Time, t *stats) {
	t.consecutiveFailures, t.consecutiveLate = 0, 0
	period := s.config.BaseEjectTime << min(t.ejections, 10)
	t.ejections++
	t.ejectedUntil = now.Add(min(period, s.config.MaxEjectTime))
}

func (s *State) observe(now time.Time, t *stats, latency time.Duration) {
	if t.latency > 0 {
		t.latency = s.decayed(now, t.latency, t.sampledAt)
	}
	t.sampledAt = now
	t.latency = average(t.latency, latency, s.config.LatencyWeight)
}

// average adds a sample to a moving average; the first sample initializes it.
func average(mean, sample time.Duration, weight float64) time.Duration {
	if mean == 0 {
		return sample
	}
	return time.Duration(weight*float64(sample) + (1-weight)*float64(mean))
}

func (s *State) statsFor(target string) *stats {
	t, ok := s.targets[target]
	if !ok {
		t = &stats{}
		s.targets[target] = t
	}
	return t
}

// Retain drops the statistics of the targets for which keep returns false.
func (s *State) Retain(keep func(target string) bool) {
	for target := range s.targets {
		if !keep(target) {
			delete(s.targets, target)
		}
	}
}
