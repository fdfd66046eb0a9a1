package responder

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"jackdawcart.org/core/forwarder"
	"jackdawcart.org/core/merger"
	"jackdawcart.org/core/placer"
	"jackdawcart.org/core/router"
	"jackdawcart.org/entry/courier"
	"jackdawcart.org/platform/decoder"
)

// call is one request of a caller, from its arrival to its answer.
type call struct {
	responder *Responder
	table     *router.Table
	route     *router.Route
	services  []string
	id        string
	arrived   time.Time
	deadline  time.Time
	body      []byte
	// fingerprint is the same for equal requests.
	fingerprint uint64
	hop         hop
	caller      caller
	// rank is the order in which requests are admitted, 0 first.
	rank int
	// admittedAt is when the request took a token of the quota of its workspace, zero if it
	// needed none.
	admittedAt time.Time

	query       *forwarder.Query
	requestLine []byte
	head        decoder.TargetHeader
	method      string
	replies     chan *reply
	exchanges   []*courier.Exchange
	parts       []courier.Reply
	// failure is the last answer in which a target reported a failure.
	failure *courier.Reply
	hedges  int
	retries int
	// remote counts the sub-requests to other failure domains.
	remote     int
	callerLeft bool
	// stopped is set if the request ended because the process stops.
	stopped bool
	// broken is set once the connection to a target ended before it had run the request to
	// its end, also after the call.
	broken atomic.Bool
	// crashed is set once a target is known to have crashed under the request.
	crashed bool
	// subRequests holds every sub-request for the log line at the end.
	subRequests []subRequest
}

// subRequest is what the log shows of a sub-request.
type subRequest struct {
	shard, attempt int
	target         string
	reason         string
	sent, ended    time.Time
	result         placer.Result
	// paused is set if the target refused and asked for a pause.
	paused bool
	detail string
}

// lagsPerAnswer is how often the scheduling lag of the process delays a request
// outside of run: when it is read and when its answer is written.
const lagsPerAnswer = 2

// hopTime is the part of the latency objective that is reserved for the path through the VM
// which has passed a request on, and for its work.
const hopTime = 4 * time.Millisecond

// run sends the sub-requests and waits until the request can be answered.
func (c *call) run(ctx context.Context, request *http.Request) forwarder.Decision {
	r := c.responder
	c.encode(request)
	c.replies = make(chan *reply, repliesPerAttempt*len(c.services)*(max(c.route.MaxAttempts, 1)+r.config.Query.MaxUnsentAttempts))
	config := r.config.Query
	// The lag delayed the reading of the request and will delay writing the answer.
	config.CallerTime += lagsPerAnswer * r.lag.Estimate()
	if c.hop.delegated {
		config.CallerTime += hopTime
	}
	c.query = forwarder.New(config, r.Placer, c.directory(), c.table, c.route, c.services, c.arrived, c.deadline)
	c.query.TryFirst(r.Inspector.SuspectedParts(c.fingerprint))
	c.subRequests = make([]subRequest, 0, len(c.services)+len(c.services)/4)
	c.exchanges = make([]*courier.Exchange, 0, cap(c.subRequests))
	c.parts = make([]courier.Reply, 0, len(c.services))
	defer c.abandon()
	now := r.Timers.Now()
	c.send(now, c.query.Start(now))
	next := c.query.NextWake()
	wake := r.Timers.After(next.Sub(now))
	defer wake.Stop()
	for {
		now = r.Timers.Now()
		if decision := c.query.Decide(now); decision != forwarder.Waiting {
			return decision
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
		case <-r.answersDue.Done():
			c.stopped = true
			return c.query.Finish()
		case <-ctx.Done():
			c.callerLeft = true
			return forwarder.TimedOut
		}
	}
}

// encode sets the parts of the request that are the same for every target.
func (c *call) encode(request *http.Request) {
	c.method = request.Method
	c.requestLine = []byte(request.Method + " " + request.RequestURI + " HTTP/1.1\r\n")
	c.head = decoder.NewTargetHeader(request.Host, request.Header, c.body, c.caller.identity())
}

func (c *call) send(now time.Time, sends []forwarder.Send) {
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

func (c *call) dispatch(now time.Time, s forwarder.Send) {
	r := c.responder
	record := s.Placement.Record
	service, _ := c.table.Service(record.Service)
	if record.Domain != r.Domain {
		c.remote++
	}
	// The call may have ended by the time the sub-request is written or answered,
	// so the closures below use only values that no longer change.
	requestLine, common := c.requestLine, c.head
	request := courier.Request{
		Method: c.method, RequestID: c.id, Body: c.body, Deadline: c.deadline, MaxBodyBytes: r.config.MaxAnswerBytes,
		Head: func(left time.Duration) []byte {
			head := make([]byte, 0, len(requestLine)+len(common)+perTargetHeadBytes)
			return common.AppendFor(append(head, requestLine...), record.ID, left)
		},
	}
	c.subRequests = append(c.subRequests, subRequest{shard: s.Shard, attempt: s.Attempt, target: record.ID, reason: s.Reason, sent: now})
	options := courier.Options{MaxOpen: r.Placer.Connections(service.MaxConnections), IdleTimeout: s.Placement.IdleTimeout}
	pool := r.Pools.Pool(record.ID, record.Address, options)
	route, latencyObjective, replies := c.route.Name, c.route.LatencyObjective, c.replies
	fingerprint, broken := c.fingerprint, &c.broken
	r.Detector.Sent(now, record.ID)
	exchange := pool.Send(now, request, func(got courier.Reply) {
		r.heard(got)
		r.Placer.Ended(r.Timers.Now(), route, latencyObjective, s.Placement, got.Result)
		r.observeWord(s.Placement, got)
		answer := reply{shard: s.Shard, attempt: s.Attempt, target: record.ID, reply: got}
		switch {
		case got.Result != placer.Answered && got.Broken():
			broken.Store(true)
			answer.fate = unexplained
			replies <- &answer
			r.Inspector.Broke(record, fingerprint, func(hasCrashed bool) {
				explained := answer
				explained.fate = fateOf(hasCrashed)
				replies <- &explained
			})
			return
		case got.GivenUp():
			r.Inspector.GaveUp(record, fingerprint)
		case got.Result == placer.Answered:
			r.Inspector.Completed(record, fingerprint)
		}
		replies <- &answer
	})
	c.exchanges = append(c.exchanges, exchange)
}

// perTargetHeadBytes is enough for the headers that differ between targets.
const perTargetHeadBytes = 96

func (c *call) receive(got *reply) {
	now := c.responder.Timers.Now()
	switch got.fate {
	case unexplained:
		c.query.Broke()
		c.recordResult(got, got.reply.Result, now)
		return
	case alive, crashed:
		c.crashed = c.crashed || got.fate == crashed
		c.send(now, c.query.Explained(now, got.shard, got.attempt, got.fate == crashed))
		return
	case notBroken:
	}
	result := got.reply.Result
	if result == placer.Answered && c.route.Gathers() && !isPart(got.reply) {
		result = placer.Failed
	}
	c.recordResult(got, result, now)
	if result == placer.Answered {
		first, sends := c.query.Answered(now, got.shard, got.attempt)
		if first {
			c.parts = append(c.parts, got.reply)
		}
		c.send(now, sends)
		return
	}
	if result == placer.Failed && got.reply.Err == nil {
		c.failure = &got.reply
	}
	if got.reply.Answer.WrongTarget {
		c.responder.OnVacated(got.target)
	}
	c.send(now, c.query.Failed(now, got.shard, got.attempt, result))
}

// isPart reports whether a target's answer is a signed success, which counts as the
// answer of its shard.
func isPart(r courier.Reply) bool {
	return r.Status >= http.StatusOK && r.Status < http.StatusMultipleChoices && r.Answer.Stamp != ""
}

func (c *call) recordResult(got *reply, result placer.Result, now time.Time) {
	for i := range c.subRequests {
		s := &c.subRequests[i]
		if s.shard != got.shard || s.attempt != got.attempt {
			continue
		}
		s.ended, s.result, s.paused = now, result, got.reply.Answer.Pause > 0
		switch {
		case got.reply.Err != nil:
			s.detail = got.reply.Err.Error()
		case result != placer.Answered:
			s.detail = strconv.Itoa(got.reply.Status)
		}
	}
}

// abandon abandons the sub-requests that have not ended.
func (c *call) abandon() {
	grace := c.responder.config.AbandonGrace
	if c.callerLeft {
		grace = c.responder.config.CallerLeftGrace
	}
	now := c.responder.Timers.Now()
	for _, e := range c.exchanges {
		e.Abandon(now, grace)
	}
}

// write writes the answer to the caller and returns its status.
func (c *call) write(w http.ResponseWriter, decision forwarder.Decision) int {
	status := http.StatusBadGateway
	switch decision {
	case forwarder.Complete, forwarder.Partial:
		return c.writeSuccess(w)
	case forwarder.NotRun:
		status = http.StatusServiceUnavailable
		decoder.SetRetryAfter(w.Header(), c.retryAfter())
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

func (c *call) writeSuccess(w http.ResponseWriter) int {
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

// writeAnswer forwards a target's answer unchanged.
func (c *call) writeAnswer(w http.ResponseWriter, answer courier.Reply) int {
	decoder.CopyAnswerHeader(w.Header(), answer.Header)
	writeBody(w, answer.Status, answer.Body)
	return answer.Status
}

// retryAfter returns when the caller of a request that has not run may try again. If the
// limits of targets, or the pauses that they want, left no room, a retry at once would find
// none either.
func (c *call) retryAfter() time.Duration {
	if c.query.PlacementFailures().Limited == 0 {
		return forwarder.RetryAfter(c.route.LatencyObjective)
	}
	return max(c.query.RetryAt().Sub(c.responder.Timers.Now()), 0) + retryAfterOverload(c.route.LatencyObjective)
}
