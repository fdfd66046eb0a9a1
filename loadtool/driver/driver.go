// Package driver sends the requests of a workload in an open loop and collects
// the records of callers and targets.
package driver

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/core/buffer"
	"jackdawcart.org/core/callerapi"
	"jackdawcart.org/core/checker"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/loadtool/scheduler"
)

// Run is the result of running a workload.
type Run struct {
	Workload *scheduler.Workload `json:"workload"`
	Start    time.Time           `json:"start"`
	Record   checker.Record      `json:"record"`
	// Notes lists failures of the load tool itself.
	Notes []string `json:"notes,omitempty"`
}

// Codes that the load tool records for requests without a gateway's answer.
const (
	// CodeNotSent means that all senders were busy and the queue was full.
	CodeNotSent = "not-sent"
	// CodeNoAnswer means that the caller gave up waiting.
	CodeNoAnswer = "no-answer"
	// CodeConnection means that the connection could not be opened or broke.
	CodeConnection = "connection"
)

// Driver runs one workload.
type Driver struct {
	workload    *scheduler.Workload
	log         *zap.Logger
	clock       *timer.Service
	clients     []*callerapi.Client
	control     *http.Client
	nextGateway atomic.Uint64
	queue       *buffer.Ring[scheduler.Arrival]
	pending     sync.WaitGroup
	counters    counters

	mu     sync.Mutex
	record checker.Record
	notes  []string
}

// queueSize bounds the requests that wait for a free sender. The time in the
// queue counts as latency.
const queueSize = 1 << 16

// New returns a driver for the workload.
func New(workload *scheduler.Workload, clock *timer.Service, log *zap.Logger) (*Driver, error) {
	if err := workload.ValidateAddresses(); err != nil {
		return nil, fmt.Errorf("driver: new: %w", err)
	}
	d := &Driver{
		workload: workload, log: log, clock: clock,
		control: &http.Client{Timeout: controlTimeout},
		queue:   buffer.NewRing[scheduler.Arrival](queueSize),
	}
	transport := &http.Transport{MaxIdleConnsPerHost: workload.MaxInFlight, IdleConnTimeout: time.Minute}
	for _, address := range workload.Gateways {
		client, err := callerapi.NewClient("http://"+address.String(), callerapi.WithClient(&http.Client{Transport: transport}))
		if err != nil {
			return nil, fmt.Errorf("driver: new: %w", err)
		}
		d.clients = append(d.clients, client)
	}
	return d, nil
}

// startDelay gives the senders time to start before the first request is due.
const startDelay = 20 * time.Millisecond

// Run sends all requests, waits for their answers and reads the targets'
// records. It returns early with an error if the context ends.
func (d *Driver) Run(ctx context.Context) (*Run, error) {
	start := d.clock.Now().Add(startDelay)
	background, stop := context.WithCancel(ctx)
	defer stop()
	for range d.workload.MaxInFlight {
		go d.runSender(background)
	}
	go d.showProgress(background)
	eventsDone := make(chan struct{})
	go func() {
		defer close(eventsDone)
		d.postEvents(background, start)
	}()
	d.dispatch(ctx, start)
	if !d.waitForAnswers(ctx) {
		return nil, fmt.Errorf("driver: run: %w", ctx.Err())
	}
	<-eventsDone
	d.sleepUntil(ctx, d.clock.Now().Add(time.Duration(d.workload.Settle)))
	d.readTargetRecords(ctx, start)
	d.mu.Lock()
	defer d.mu.Unlock()
	return &Run{Workload: d.workload, Start: start, Record: d.record, Notes: d.notes}, nil
}

// dispatch queues each request for the senders when it is due. It never waits
// for a sender, so slow answers do not reduce the offered rate.
func (d *Driver) dispatch(ctx context.Context, start time.Time) {
	runName := strconv.FormatInt(start.UnixMilli(), 36)
	for a := range d.workload.Arrivals(runName) {
		if !d.sleepUntil(ctx, start.Add(a.Offset)) {
			return
		}
		d.counters.offered.Add(1)
		a.Request.Intended = start.Add(a.Offset)
		d.pending.Add(1)
		if !d.queue.Put(a) {
			d.counters.notSent.Add(1)
			d.recordAnswer(a.Request, checker.Answer{Outcome: checker.OutcomeNotRun, Code: CodeNotSent})
			d.pending.Done()
		}
	}
}

// sleepUntil waits until the given time. It returns false if the context ended.
func (d *Driver) sleepUntil(ctx context.Context, at time.Time) bool {
	wait := at.Sub(d.clock.Now())
	if wait <= 0 {
		return ctx.Err() == nil
	}
	due := d.clock.After(wait)
	defer due.Stop()
	select {
	case <-due.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (d *Driver) waitForAnswers(ctx context.Context) bool {
	done := make(chan struct{})
	go func() {
		d.pending.Wait()
		close(done)
	}()
	select {
	case <-done:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// runSender sends queued requests, one at a time, until the context ends.
func (d *Driver) runSender(ctx context.Context) {
	for {
		a, ok := d.queue.Take(ctx)
		if !ok {
			return
		}
		d.counters.inFlight.Add(1)
		d.send(ctx, a)
		d.counters.inFlight.Add(-1)
		d.pending.Done()
	}
}

// recordAnswer adds a request and its answer to the record.
func (d *Driver) recordAnswer(q checker.Request, a checker.Answer) {
	a.Request = q.ID
	a.At = d.clock.Now()
	d.counters.count(a.Outcome)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record.Requests = append(d.record.Requests, q)
	d.record.Answers = append(d.record.Answers, a)
}

// addNote logs a failure of the load tool and adds it to the run's notes.
func (d *Driver) addNote(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	d.log.Warn(text)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.notes = append(d.notes, text)
}
