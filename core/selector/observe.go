package selector

import (
	"time"
)

// Started counts a request sent to a target through a relay. It returns the
// factor by which the load of the target lengthens the request, which is to be
// given back at its end.
func (s *State) Started(now time.Time, c Candidate, owner string) float64 {
	t := s.get(c.Target)
	factor := crowding(t.outstanding(now)+1, c.Slots)
	t.inFlight++
	if o, ok := t.owners[owner]; ok {
		o.sent++
	}
	return factor
}

// Succeeded counts an answer and its latency, of which the given factor is due
// to the load of the target.
func (s *State) Succeeded(now time.Time, target string, latency time.Duration, factor float64) {
	t := s.get(target)
	t.inFlight = max(t.inFlight-1, 0)
	t.failures = 0
	alone := time.Duration(float64(latency) / factor)
	if s.outlier(alone) {
		s.countLate(now, t, alone)
		return
	}
	t.late = 0
	t.ejections = 0
	t.ejectedUntil = time.Time{}
	s.observe(now, t, alone)
	s.observeTypical(alone)
}

// Heard counts answers of a target to others, of the given mean latency. Late
// ones count as one, as a single pause of the target makes several late.
func (s *State) Heard(now time.Time, target string, latency time.Duration, answers int) {
	t := s.get(target)
	if s.outlier(latency) {
		s.countLate(now, t, latency)
		return
	}
	t.late = 0
	for range answers {
		s.observe(now, t, latency)
	}
}

// Weights of a sample in the latency of all targets. It falls faster than it
// rises, so that a slow target, if asked first, does not set it for long.
const (
	typicalRise = 0.02
	typicalFall = 0.2
)

func (s *State) observeTypical(latency time.Duration) {
	if s.typical == 0 || latency < s.typical {
		s.typical = average(s.typical, latency, typicalFall)
		return
	}
	s.typical = average(s.typical, min(latency, 2*s.typical), typicalRise)
}

// outlier reports whether a latency is far above that of all targets.
func (s *State) outlier(latency time.Duration) bool {
	return s.typical > 0 && float64(latency) > s.config.OutlierFactor*float64(s.typical)
}

// countLate takes a latency far above the others into account. Several in a
// row set the target aside; one alone is a straggler.
func (s *State) countLate(now time.Time, t *stats, latency time.Duration) {
	s.observe(now, t, latency)
	t.late++
	bound := s.config.EjectLate
	if t.ejections > 0 && s.config.EjectAgain > 0 {
		bound = s.config.EjectAgain
	}
	if bound > 0 && t.late >= bound {
		s.eject(now, t)
	}
}

// lateFactor turns the time after which a request was given up into an
// estimate of the latency that it would have had.
const lateFactor = 2

// Cancelled counts a request that was given up after the given time, because
// another replica answered first or because the query ended. The true latency
// is never seen, so the time alone would keep the average near the hedge delay.
func (s *State) Cancelled(now time.Time, target string, elapsed time.Duration, factor float64) {
	t := s.get(target)
	t.inFlight = max(t.inFlight-1, 0)
	if alone := time.Duration(float64(lateFactor*elapsed) / factor); s.outlier(alone) {
		s.countLate(now, t, alone)
	}
}

// Released counts the end of a request that says nothing about the target's health.
func (s *State) Released(target string) {
	t := s.get(target)
	t.inFlight = max(t.inFlight-1, 0)
}

// Report takes over a relay's view of a target.
func (s *State) Report(now time.Time, target, owner string, load Load) {
	t := s.get(target)
	if t.owners == nil {
		t.owners = make(map[string]*ownerLoad)
	}
	o, ok := t.owners[owner]
	if !ok {
		o = &ownerLoad{}
		t.owners[owner] = o
	}
	o.report(now, load)
	o.reportLatency(now, load.Latency, crowding(t.usual(), t.slots))
}

// Failed counts a failure; several in a row set the target aside.
func (s *State) Failed(now time.Time, target string) {
	t := s.get(target)
	t.inFlight = max(t.inFlight-1, 0)
	t.failures++
	if t.failures >= s.config.EjectAfter {
		s.eject(now, t)
	}
}

// eject sets a target aside, for longer each time that it fails again.
func (s *State) eject(now time.Time, t *stats) {
	t.failures, t.late = 0, 0
	period := s.config.EjectFor << min(t.ejections, 10)
	t.ejections++
	t.ejectedUntil = now.Add(min(period, s.config.EjectMax))
}

func (s *State) observe(now time.Time, t *stats, latency time.Duration) {
	if t.latency > 0 {
		t.latency = s.faded(now, t.latency, t.sampled)
	}
	t.sampled = now
	t.latency = average(t.latency, latency, s.config.LatencyWeight)
}

// average adds a sample to a moving average that begins with the first one.
func average(mean, sample time.Duration, weight float64) time.Duration {
	if mean == 0 {
		return sample
	}
	return time.Duration(weight*float64(sample) + (1-weight)*float64(mean))
}

func (s *State) get(target string) *stats {
	t, ok := s.targets[target]
	if !ok {
		t = &stats{}
		s.targets[target] = t
	}
	return t
}

// Retain forgets every target that keep does not report.
func (s *State) Retain(keep func(target string) bool) {
	for target := range s.targets {
		if !keep(target) {
			delete(s.targets, target)
		}
	}
}
