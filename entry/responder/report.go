package responder

import (
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/core/forwarder"
	"jackdawcart.org/core/placer"
	"jackdawcart.org/core/quarantiner"
)

// slowShare is the part of a route's latency objective from which the answer of a
// shard is logged as slow. Faster answers cannot make a request late.
const slowShare = 0.5

// maxListedSubRequests limits the sub-requests in a log line.
const maxListedSubRequests = 12

// fingerprintField returns the field that tells equal requests. It matters only if
// targets may be lost under the request.
func (c *call) fingerprintField() zap.Field {
	if !c.broken.Load() {
		return zap.Skip()
	}
	return zap.String("fingerprint", quarantiner.FormatFingerprint(c.fingerprint))
}

// field returns the field that names the workspace of a request.
func (c caller) field() zap.Field {
	if c.workspace == nil {
		return zap.Skip()
	}
	return zap.String("workspace", c.workspace.Name)
}

// field returns the field that names the VM which has passed a request on.
func (h hop) field() zap.Field {
	if !h.delegated {
		return zap.Skip()
	}
	return zap.String("for-vm", h.VM)
}

// ifSet returns a field that is left out if its value is false.
func ifSet(name string, value bool) zap.Field {
	if !value {
		return zap.Skip()
	}
	return zap.Bool(name, value)
}

// nonZero returns a field that is left out if its value is zero.
func nonZero(name string, value int) zap.Field {
	if value == 0 {
		return zap.Skip()
	}
	return zap.Int(name, value)
}

// logEnd writes the log line that summarizes a request.
func (c *call) logEnd(decision forwarder.Decision, status int, took time.Duration) {
	c.responder.log.Info("request ended",
		zap.String("request", c.id), c.fingerprintField(), ifSet("crashed", c.crashed), ifSet("stopped", c.stopped),
		zap.String("route", c.route.Name), c.caller.field(), zap.Int64("version", c.table.Version),
		zap.Stringer("verdict", decision), zap.Int("status", status), zap.Duration("took", took),
		zap.Duration("aim", c.route.LatencyObjective), zap.Int("shards", len(c.services)), zap.Int("missing", c.query.Missing()),
		zap.Int("hedges", c.hedges), zap.Int("retries", c.retries), zap.Int("remote", c.remote),
		zap.Int("no-target", c.query.PlacementFailures().NoTarget), zap.Int("no-budget", c.query.PlacementFailures().NoBudget),
		c.hop.field(), nonZero("limited", c.query.PlacementFailures().Limited),
		zap.Bool("caller-left", c.callerLeft), zap.String("troubles", c.troubles(c.arrived.Add(took))))
}

// troubles lists the sub-requests that failed, were slow or are still open at the
// end: shard, target, why and when it was sent, how long it took and its result.
func (c *call) troubles(end time.Time) string {
	var list []string
	slow := time.Duration(slowShare * float64(c.route.LatencyObjective))
	for _, s := range c.subRequests {
		open := s.ended.IsZero()
		if !open && s.result == placer.Answered && s.ended.Sub(c.arrived) < slow {
			continue
		}
		if len(list) == maxListedSubRequests {
			list = append(list, "...")
			break
		}
		outcome, ended := "open", end
		if !open {
			outcome, ended = s.result.String(), s.ended
		}
		text := fmt.Sprintf("%s/%s %s +%s %s %s", c.services[s.shard], s.target, s.reason,
			s.sent.Sub(c.arrived).Round(time.Millisecond), ended.Sub(s.sent).Round(time.Millisecond), outcome)
		if s.detail != "" {
			text += " " + s.detail
		}
		list = append(list, text)
	}
	return strings.Join(list, "; ")
}
