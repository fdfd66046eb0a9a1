// Package comparer measures the overhead of the query tier over direct calls to
// targets: the latency of both in one run, and the CPU time and allocations of
// gateways and relays per sub-request.
package comparer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"jackdawcart.org/core/callerapi"
	"jackdawcart.org/core/pooler"
)

const (
	callTimeout = 2 * time.Second
	// directConnections bounds the connections for direct calls to each target.
	directConnections = 8
	maxHits           = 20
	// Range, in nanoseconds, and significant digits of the latency histograms.
	lowestLatency     = int64(10 * time.Microsecond)
	highestLatency    = int64(10 * time.Second)
	significantDigits = 3
)

// Config configures a comparison.
type Config struct {
	Gateway netip.AddrPort
	// Admin lists the admin addresses of the gateways and relays whose resource
	// usage is counted.
	Admin   []netip.AddrPort
	Targets []netip.AddrPort
	Service string
	// Queries is the number of queries sent directly and, again, through the tier.
	Queries int
	// Workers is the number of callers, each with one query at a time.
	Workers int
}

// Quantiles holds latency quantiles.
type Quantiles struct {
	P50 time.Duration
	P99 time.Duration
}

// Report is the result of a comparison.
type Report struct {
	Queries     int
	SubRequests int
	Direct      Quantiles
	Tier        Quantiles
	// Incomplete counts the queries to the tier that failed or got a partial answer.
	Incomplete int
	// CPU is the CPU time of gateways and relays per sub-request, and
	// Allocations the number of their heap allocations per sub-request.
	CPU         time.Duration
	Allocations float64
}

// comparison is the state of one Run.
type comparison struct {
	config   Config
	client   *callerapi.Client
	shards   map[string][]*pooler.Pool
	snapshot string

	mu         sync.Mutex
	direct     *hdrhistogram.Histogram
	tier       *hdrhistogram.Histogram
	incomplete int
}

// Run alternates direct calls and calls through the tier, so that both are
// measured under the same host conditions.
func Run(ctx context.Context, config Config) (*Report, error) {
	client, err := callerapi.NewClient("http://" + config.Gateway.String())
	if err != nil {
		return nil, &Error{Op: "client", Kind: KindUnreachable, Err: err}
	}
	c := &comparison{
		config: config, client: client, shards: make(map[string][]*pooler.Pool),
		direct: hdrhistogram.New(lowestLatency, highestLatency, significantDigits),
		tier:   hdrhistogram.New(lowestLatency, highestLatency, significantDigits),
	}
	if err := c.discover(ctx); err != nil {
		return nil, err
	}
	before, err := readUsage(ctx, config.Admin)
	if err != nil {
		return nil, err
	}
	var workers sync.WaitGroup
	for range config.Workers {
		workers.Go(func() { c.runWorker(ctx) })
	}
	workers.Wait()
	after, err := readUsage(ctx, config.Admin)
	if err != nil {
		return nil, err
	}
	return c.report(before, after), nil
}

// discover finds the newest snapshot and the targets that hold each of its shards.
func (c *comparison) discover(ctx context.Context) error {
	var newest uint64
	for _, addr := range c.config.Targets {
		pool := pooler.New(pooler.Config{Address: addr, Allotment: directConnections})
		status, err := pool.Status(ctx)
		if err != nil {
			return &Error{Op: "discover", Kind: KindUnreachable, Err: err}
		}
		for _, s := range status.Snapshots {
			if s.Sequence < newest {
				continue
			}
			if s.Sequence > newest {
				newest, c.snapshot = s.Sequence, s.ID
				clear(c.shards)
			}
			for _, shard := range s.Held {
				c.shards[shard] = append(c.shards[shard], pool)
			}
		}
	}
	return nil
}

func (c *comparison) runWorker(ctx context.Context) {
	for range c.config.Queries / c.config.Workers {
		if ctx.Err() != nil {
			return
		}
		text := uuid.NewString()
		started := time.Now()
		c.callDirect(ctx, text)
		c.record(c.direct, time.Since(started), true)
		started = time.Now()
		complete := c.callTier(ctx, text)
		c.record(c.tier, time.Since(started), complete)
	}
}

func (c *comparison) record(h *hdrhistogram.Histogram, latency time.Duration, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !complete {
		c.incomplete++
	}
	// The call timeout is within the histogram's range, so RecordValue succeeds.
	_ = h.RecordValue(int64(latency))
}

// callDirect queries a random replica of each shard, as a caller without the
// tier would.
func (c *comparison) callDirect(ctx context.Context, text string) {
	var calls sync.WaitGroup
	deadline := time.Now().Add(callTimeout)
	query := uuid.NewString()
	for shard, pools := range c.shards {
		pool := pools[rand.IntN(len(pools))]
		calls.Go(func() {
			// The latency of a failed call counts too.
			_, _ = pool.Search(ctx, deadline, &pooler.Search{
				QueryID: query, SubID: shard, Shard: shard, Snapshot: c.snapshot, Text: text, Limit: maxHits,
			})
		})
	}
	calls.Wait()
}

// callTier queries through the gateway and reports whether the answer is complete.
func (c *comparison) callTier(ctx context.Context, text string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := c.client.Query(ctx, &callerapi.QueryRequest{
		Services: []string{c.config.Service}, Text: text, Limit: callerapi.NewOptInt(maxHits),
	}, callerapi.QueryParams{JackdawcartCaller: "comparison"})
	return err == nil && answer.Complete
}

func (c *comparison) report(before, after usage) *Report {
	queries := int(c.tier.TotalCount())
	subs := queries * len(c.shards)
	r := &Report{
		Queries: queries, SubRequests: subs, Incomplete: c.incomplete,
		Direct: quantiles(c.direct), Tier: quantiles(c.tier),
	}
	if subs > 0 {
		r.CPU = time.Duration((after.cpu - before.cpu) / float64(subs) * float64(time.Second))
		r.Allocations = (after.allocations - before.allocations) / float64(subs)
	}
	return r
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		P50: time.Duration(h.ValueAtQuantile(50)),
		P99: time.Duration(h.ValueAtQuantile(99)),
	}
}
