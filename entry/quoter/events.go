package quoter

import (
	"net"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"jackdawcart.org/core/granter"
)

type metrics struct {
	outcomes                                    map[string]tally.Counter
	answered, unanswered                        tally.Counter
	returned, malformed, panicked, refusedConns tally.Counter
}

// Outcomes of requests of callers.
const (
	outcomeCredit     = "credit"
	outcomeGranted    = "granted"
	outcomeDeputy     = "deputy"
	outcomeReserve    = "reserve"
	outcomeDenied     = "denied"
	outcomeUnanswered = "unanswered"
)

func newMetrics(scope tally.Scope) metrics {
	tagged := func(name, outcome string) tally.Counter {
		return scope.Tagged(map[string]string{"outcome": outcome}).Counter(name)
	}
	m := metrics{
		outcomes: make(map[string]tally.Counter), answered: tagged("quota_messages", "answered"), unanswered: tagged("quota_messages", "unanswered"),
		returned: scope.Counter("quota_returned"), malformed: scope.Counter("quota_messages_malformed"),
		panicked: scope.Counter("quota_messages_panicked"), refusedConns: scope.Counter("quota_connections_refused"),
	}
	for _, outcome := range []string{outcomeCredit, outcomeGranted, outcomeDeputy, outcomeReserve, outcomeDenied, outcomeUnanswered} {
		m.outcomes[outcome] = tagged("quota_decisions", outcome)
	}
	return m
}

// sent counts a message to another VM.
func (m metrics) sent(err error) {
	if err == nil {
		m.answered.Inc(1)
	} else {
		m.unanswered.Inc(1)
	}
}

// outcomeOf returns the outcome that a decision is counted as.
func outcomeOf(step granter.Step) string {
	switch {
	case step.Admitted && step.Source == granter.SourceCredit:
		return outcomeCredit
	case step.Admitted && step.Source == granter.SourceKeeper:
		return outcomeGranted
	case step.Admitted && step.Source == granter.SourceDeputy:
		return outcomeDeputy
	case step.Admitted:
		return outcomeReserve
	case step.Source == granter.SourceReserve:
		return outcomeUnanswered
	default:
		return outcomeDenied
	}
}

// record counts a decision and logs the begin and end of denials.
func (q *Quoter) record(workspace string, step granter.Step) {
	outcome := outcomeOf(step)
	q.metrics.outcomes[outcome].Inc(1)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.events.decided(q.Now(), workspace, outcome)
}

const (
	// denialEnd is the time without a denial after which a denial has ended.
	denialEnd = 5 * time.Second
	// maxLines bounds the lines in each linePeriod.
	maxLines   = 40
	linePeriod = 10 * time.Second
)

// events writes a bounded number of log lines. It is not safe for concurrent use.
type events struct {
	log     *zap.Logger
	denials map[string]*denial
	began   time.Time
	lines   int
	dropped int
}

// denial is a period in which requests of a workspace are refused.
type denial struct {
	began, last time.Time
	refused     int
	// logged is set if the begin was logged.
	logged bool
}

func newEvents(log *zap.Logger) events { return events{log: log, denials: make(map[string]*denial)} }

// mayLog reports whether one more line may be written.
func (e *events) mayLog(now time.Time) bool {
	if now.Sub(e.began) >= linePeriod {
		if e.dropped > 0 {
			e.log.Warn("lines about quotas dropped", zap.Int("lines", e.dropped))
		}
		e.began, e.lines, e.dropped = now, 0, 0
	}
	if e.lines >= maxLines {
		e.dropped++
		return false
	}
	e.lines++
	return true
}

func (e *events) decided(now time.Time, workspace, outcome string) {
	d, denying := e.denials[workspace]
	if outcome == outcomeDenied || outcome == outcomeUnanswered {
		if !denying {
			d = &denial{began: now, logged: e.mayLog(now)}
			e.denials[workspace] = d
			if d.logged {
				e.log.Info("workspace denied", zap.String("workspace", workspace), zap.String("outcome", outcome))
			}
		}
		d.last = now
		d.refused++
		return
	}
	if denying && now.Sub(d.last) >= denialEnd {
		delete(e.denials, workspace)
		if d.logged {
			e.log.Info("workspace no longer denied", zap.String("workspace", workspace),
				zap.Duration("took", d.last.Sub(d.began)), zap.Int("refused", d.refused))
		}
	}
}

// keep drops what is known of workspaces that have no quota any more.
func (e *events) keep(limits map[string]granter.Limit) {
	for name := range e.denials {
		if _, ok := limits[name]; !ok {
			delete(e.denials, name)
		}
	}
}

func (e *events) roles(now time.Time, changes []granter.RoleChange) {
	for _, c := range changes {
		if !e.mayLog(now) {
			continue
		}
		role := "keeper"
		if c.Deputy {
			role = "deputy"
		}
		e.log.Info("quota role", zap.String("workspace", c.Workspace), zap.String("role", role), zap.Bool("granting", c.Granting))
	}
}

func (e *events) malformed(now time.Time, peer net.Addr, err error) {
	if e.mayLog(now) {
		e.log.Warn("malformed message about quotas", zap.Stringer("peer", peer), zap.Error(err))
	}
}
