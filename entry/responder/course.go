package responder

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"jackdawcart.org/core/forwarder"
	"jackdawcart.org/core/merger"
	"jackdawcart.org/core/placer"
	"jackdawcart.org/core/router"
	"jackdawcart.org/entry/courier"
	"jackdawcart.org/platform/decoder"
)

// course is the course of one request from its arrival to its answer.
type course struct {
	responder *Responder
	table     *router.Table
	route     *router.Route
	services  []string
	id        string
	arrived   time.Time
	deadline  time.Time
	body      []byte

	query     *forwarder.Query
	line      []byte
	head      decoder.TargetHeader
	method    string
	replies   chan *reply
	exchanges []*courier.Exchange
	parts     []courier.Reply
	// failure is the last answer of a target that reports a failure.
	failure *courier.Reply
	hedges  int
	retries int
	// remote counts the sub-requests to other failure domains.
	remote int
	left   bool
	// sendings is kept for the log line at the end.
	sendings []sending
}

// sending is one sub-request as the log shows it.
type sending struct {
	shard, attempt int
	target         string
	reason         string
	sent, ended    time.Time
	result         placer.Result
	detail         string
}

type reply struct {
	shard, attempt int
	target         string
	reply          courier.Reply
}

// lagsInAnAnswer is how often the lag of the process is part of a caller's wait
// besides the course itself: at the reading and at the writing.
const lagsInAnAnswer = 2

// run sends the request and waits until it can be answered.
func (c *course) run(ctx context.Context, request *http.Request) forwarder.Decision {
	r := c.responder
	c.method = request.Method
	c.line = []byte(request.Method + " " + request.RequestURI + " HTTP/1.1\r\n")
	c.head = decoder.NewTargetHeader(request.Host, request.Header, c.body)
	c.replies = make(chan *reply, len(c.services)*(max(c.route.MaxAttempts, 1)+r.config.Query.MaxUnsentAttempts))
	config := r.config.Query
	// The request was read late and its answer will be written late.
	config.CallerTime += lagsInAnAnswer * r.lag.Estimate()
	c.query = forwarder.New(config, r.Placer, r.Beliefs, c.table, c.route, c.services, c.arrived, c.deadline)
	c.sendings = make([]sending, 0, len(c.services)+len(c.services)/4)
	c.exchanges = make([]*courier.Exchange, 0, cap(c.sendings))
	c.parts = make([]courier.Reply, 0, len(c.services))
	defer c.abandon()
	now := r.Timers.Now()
	c.send(now, c.query.Start(now))
	next := c.query.NextWake()
	wake := r.Timers.After(next.Sub(now))
	defer wake.Stop()
	for {
		now = r.Timers.Now()
		if verdict := c.query.Decide(now); verdict != forwarder.Waiting {
			return verdict
		}
		if at := c.query.NextWake(); !at.Equal(next) {
			next = at
			wake.Reset(max(at.Sub(now), 0))
		}
		select {
		case got := <-c.replies:
			c.receive(got)
		case <-wake.C:
			now = r.Timers.Now()
			r.lag.Observe(now.Sub(next))
			c.send(now, c.query.Wake(now))
			next = time.Time{}
		case <-ctx.Done():
			c.left = true
			return forwarder.TimedOut
		}
	}
}

func (c *course) send(now time.Time, sends []forwarder.Send) {
	for _, s := range sends {
		switch {
		case s.Reason == "hedge":
			c.hedges++
		case s.Attempt > 0:
			c.retries++
		}
		c.dispatch(now, s)
	}
}

func (c *course) dispatch(now time.Time, s forwarder.Send) {
	r := c.responder
	record := s.Placement.Record
	service, _ := c.table.Service(record.Service)
	if record.Domain != r.Domain {
		c.remote++
	}
	// The course may have ended when the request is written or answered, so the
	// functions use nothing of it but what does not change.
	line, common := c.line, c.head
	job := courier.Job{
		Method: c.method, RequestID: c.id, Body: c.body, Deadline: c.deadline, MaxBody: r.config.MaxPart,
		Head: func(left time.Duration) []byte {
			head := make([]byte, 0, len(line)+len(common)+headRoom)
			return common.AppendFor(append(head, line...), record.ID, left)
		},
	}
	c.sendings = append(c.sendings, sending{shard: s.Shard, attempt: s.Attempt, target: record.ID, reason: s.Reason, sent: now})
	terms := courier.Terms{Limit: r.Placer.Connections(service.MaxConnections), IdleTimeout: s.Placement.IdleTimeout}
	pool := r.Couriers.Pool(record.ID, record.Address, terms)
	route, aim, replies := c.route.Name, c.route.LatencyObjective, c.replies
	exchange := pool.Send(now, job, func(got courier.Reply) {
		r.Placer.Ended(r.Timers.Now(), route, aim, s.Placement, got.Result)
		replies <- &reply{shard: s.Shard, attempt: s.Attempt, target: record.ID, reply: got}
	})
	c.exchanges = append(c.exchanges, exchange)
}

// headRoom holds the headers that differ between targets.
const headRoom = 96

func (c *course) receive(got *reply) {
	now := c.responder.Timers.Now()
	result := got.reply.Result
	if result == placer.Answered && c.route.Gathers() && !isPart(got.reply) {
		result = placer.Failed
	}
	c.note(got, result, now)
	if result == placer.Answered {
		if c.query.Answered(got.shard, got.attempt) {
			c.parts = append(c.parts, got.reply)
		}
		return
	}
	if result == placer.Failed && got.reply.Err == nil {
		c.failure = &got.reply
	}
	if got.reply.Answer.WrongTarget {
		c.responder.Vacated(got.target)
	}
	c.send(now, c.query.Failed(now, got.shard, got.attempt, result))
}

// isPart reports whether a target's answer is a success for its shard.
func isPart(r courier.Reply) bool {
	return r.Status >= http.StatusOK && r.Status < http.StatusMultipleChoices && r.Answer.Stamp != ""
}

func (c *course) note(got *reply, result placer.Result, now time.Time) {
	for i := range c.sendings {
		s := &c.sendings[i]
		if s.shard != got.shard || s.attempt != got.attempt {
			continue
		}
		s.ended, s.result = now, result
		switch {
		case got.reply.Err != nil:
			s.detail = got.reply.Err.Error()
		case result != placer.Answered:
			s.detail = strconv.Itoa(got.reply.Status)
		}
	}
}

// abandon gives up what is still in flight.
func (c *course) abandon() {
	grace := c.responder.config.Late
	if c.left {
		grace = c.responder.config.Gone
	}
	now := c.responder.Timers.Now()
	for _, e := range c.exchanges {
		e.Abandon(now, grace)
	}
}

// write answers the caller and returns the status.
func (c *course) write(w http.ResponseWriter, verdict forwarder.Decision) int {
	status := http.StatusBadGateway
	switch verdict {
	case forwarder.Complete, forwarder.Partial:
		return c.writeSuccess(w)
	case forwarder.NotRun:
		status = http.StatusServiceUnavailable
		decoder.SetRetryAfter(w.Header(), forwarder.RetryAfter(c.route.LatencyObjective))
	case forwarder.FailedMaybeRun:
		if c.failure != nil && !c.route.Gathers() {
			return c.writeAnswer(w, *c.failure)
		}
	default:
		status = http.StatusGatewayTimeout
	}
	writeBody(w, status, nil)
	return status
}

func (c *course) writeSuccess(w http.ResponseWriter) int {
	if !c.route.Gathers() {
		return c.writeAnswer(w, c.parts[0])
	}
	stamps := make([]string, len(c.parts))
	bodies := make([][]byte, len(c.parts))
	for i, part := range c.parts {
		stamps[i], bodies[i] = part.Answer.Stamp, part.Body
	}
	decoder.SetCoverage(w.Header(), stamps, c.query.Missing())
	writeBody(w, http.StatusOK, merger.Records(bodies, c.route.MaxRecords))
	return http.StatusOK
}

// writeAnswer passes a target's answer on unchanged.
func (c *course) writeAnswer(w http.ResponseWriter, answer courier.Reply) int {
	decoder.CopyAnswer(w.Header(), answer.Header)
	writeBody(w, answer.Status, answer.Body)
	return answer.Status
}
