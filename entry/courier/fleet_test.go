package courier_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"jackdawcart.org/core/placer"
	"jackdawcart.org/core/registrar"
	"jackdawcart.org/entry/courier"
)

// replica is a target in virtual time. Its connections are pipes in memory.
type replica struct {
	record registrar.Record
	// speed multiplies the time that work takes.
	speed     float64
	meanWork  time.Duration
	slots     chan struct{}
	limit     int
	idle      time.Duration
	pauseFrom time.Time
	noiseFrom time.Time
	rng       *rand.Rand

	mu    sync.Mutex
	conns int
	peak  int
	// opened and reset count new connections, reset ones included.
	opened, reset int
}

// Figures of docs/hard-load.md for targets.
const (
	pauseEvery  = 2400 * time.Millisecond
	pauseLength = 100 * time.Millisecond
	acceptWork  = 6 * time.Millisecond
	noiseLength = 600 * time.Millisecond
	// abandonGrace is that of the responder.
	abandonGrace = 300 * time.Millisecond
	oneWay       = 500 * time.Microsecond
)

// awaitPause waits until the target does not pause.
func (r *replica) awaitPause() {
	if into := time.Since(r.pauseFrom) % pauseEvery; into < pauseLength {
		time.Sleep(pauseLength - into)
	}
}

// work occupies a slot for the time that work takes.
func (r *replica) work(length time.Duration) {
	<-r.slots
	r.awaitPause()
	time.Sleep(length)
	r.awaitPause()
	r.slots <- struct{}{}
}

func (r *replica) requestWork() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	// Noise hits a target for a sixth of the time.
	if now := time.Now(); now.After(r.noiseFrom.Add(noiseLength)) {
		r.noiseFrom = now.Add(time.Duration(r.rng.ExpFloat64() * 5 * float64(noiseLength)))
	} else if now.After(r.noiseFrom) {
		return time.Duration(2.5 * r.speed * r.draw())
	}
	return time.Duration(r.speed * r.draw())
}

func (r *replica) draw() float64 { return float64(r.meanWork) * (0.4 + 0.6*r.rng.ExpFloat64()) }

// accept returns a new connection, which the target closes if it is at its limit.
func (r *replica) accept() net.Conn {
	client, server := net.Pipe()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opened++
	if r.conns >= r.limit {
		r.reset++
		server.Close()
		return client
	}
	r.conns++
	r.peak = max(r.peak, r.conns)
	go func() {
		r.serve(server)
		server.Close()
		r.mu.Lock()
		r.conns--
		r.mu.Unlock()
	}()
	return client
}

func (r *replica) serve(c net.Conn) {
	r.work(acceptWork)
	reader := bufio.NewReader(c)
	for {
		if c.SetReadDeadline(time.Now().Add(r.idle)) != nil {
			return
		}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		time.Sleep(oneWay)
		r.work(r.requestWork())
		time.Sleep(oneWay)
		id := request.Header.Get("Request-Id")
		_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s-%s\r\nKeep-Alive: timeout=%d\r\nContent-Length: 1\r\n\r\nx",
			id, id, int(r.idle.Seconds()))
		if err != nil {
			return
		}
	}
}

// fleet is entry VMs and the replicas of several shards.
type fleet struct {
	vms, domains int
	shards       [][]*replica
	byAddress    map[netip.AddrPort]*replica
	mu           sync.Mutex
	latencies    []time.Duration
	sent         int
	repeats      int
	// countedAfter is the time in which the number of VMs known to each VM grows.
	countedAfter time.Duration
	missing      int
}

// machines are what the VMs run on until they lose power together.
type machines struct {
	fleet *fleet
	off   atomic.Bool
}

func (m *machines) dial(_ context.Context, address netip.AddrPort) (net.Conn, error) {
	time.Sleep(2 * oneWay)
	if m.off.Load() {
		return nil, errors.New("no power")
	}
	return socket{m.fleet.byAddress[address].accept(), m}, nil
}

// socket is a connection of a machine. A target does not learn of a loss of power.
type socket struct {
	net.Conn
	machines *machines
}

func (s socket) Close() error {
	if s.machines.off.Load() {
		return s.SetDeadline(time.Unix(0, 1))
	}
	return s.Conn.Close()
}

func newFleet(vms, domains, shards, limit int, idle, meanWork time.Duration) *fleet {
	f := &fleet{vms: vms, domains: domains, byAddress: make(map[netip.AddrPort]*replica)}
	speeds := []float64{0.8, 1, 1.3}
	for s := range shards {
		var replicas []*replica
		for i := range 3 {
			id := fmt.Sprintf("i-%d-%d", s, i)
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(s), byte(i + 1)}), 80)
			rng := rand.New(rand.NewPCG(5, uint64(3*s+i)))
			r := &replica{
				record: registrar.Record{Target: registrar.Target{
					ID: id, Service: fmt.Sprint("shard-", s), Address: address, Domain: fmt.Sprint("domain-", i%domains), Slots: 4,
				}},
				speed: speeds[rng.IntN(3)], meanWork: meanWork, slots: make(chan struct{}, 4), limit: limit, idle: idle, rng: rng,
				pauseFrom: time.Now().Add(-time.Duration(rng.Int64N(int64(pauseEvery)))),
			}
			for range 4 {
				r.slots <- struct{}{}
			}
			f.byAddress[address] = r
			replicas = append(replicas, r)
		}
		f.shards = append(f.shards, replicas)
	}
	return f
}

// run runs all VMs, with new processes, until they lose power after a time.
func (f *fleet) run(length, objective time.Duration, perSecond float64, processes uint64) {
	m := &machines{fleet: f}
	var all []*courier.Pools
	var vms sync.WaitGroup
	end := time.Now().Add(length)
	byDomain := make(map[string]int)
	for vm := range f.vms {
		byDomain[fmt.Sprint("domain-", vm%f.domains)]++
	}
	for vm := range f.vms {
		p := placer.New(placer.DefaultConfig(), fmt.Sprint("vm-", vm), fmt.Sprint("domain-", vm%f.domains), rand.New(rand.NewPCG(processes, uint64(vm))))
		limits := placer.Limits{
			RepeatRatio: 0.2, RepeatExtra: 348, RepeatWindow: 10 * time.Second,
			EntryVMs: f.vms, Domains: f.domains, VMsByDomain: byDomain,
		}
		p.SetLimits(limits)
		if f.countedAfter > 0 {
			known := limits
			known.EntryVMs, known.Uncounted, known.VMsByDomain = 9, true, nil
			p.SetLimits(known)
			for i := range 10 {
				time.AfterFunc(time.Duration(i+1)*f.countedAfter/10, func() {
					known := limits
					known.EntryVMs = f.vms * (i + 1) / 10
					p.SetLimits(known)
				})
			}
		}
		pools := courier.New(m.dial, courier.Hooks{SetReachable: p.SetReachable})
		for s, replicas := range f.shards {
			v := &sender{
				fleet: f, placer: p, pools: pools, objective: objective,
				rng: rand.New(rand.NewPCG(processes+1, uint64(vm*len(f.shards)+s))),
			}
			for _, r := range replicas {
				v.targets = append(v.targets, r.record)
			}
			for _, t := range v.targets {
				if p.ShouldPreconnect(t.ID, v.targets, replicas[0].limit) {
					pools.Pool(t.ID, t.Address, courier.Options{MaxOpen: p.Connections(replicas[0].limit)}).Preconnect()
				}
			}
			vms.Go(func() { v.run(end, perSecond) })
		}
		all = append(all, pools)
	}
	vms.Wait()
	m.off.Store(true)
	for _, pools := range all {
		pools.Close()
	}
}

// sender sends the sub-requests of one VM to one shard.
type sender struct {
	fleet     *fleet
	placer    *placer.Placer
	pools     *courier.Pools
	objective time.Duration
	rng       *rand.Rand
	targets   []registrar.Record
	requests  int
}

func (v *sender) run(end time.Time, perSecond float64) {
	var calls sync.WaitGroup
	for {
		time.Sleep(time.Duration(v.rng.ExpFloat64() / perSecond * float64(time.Second)))
		if !time.Now().Before(end) {
			break
		}
		v.requests++
		id := fmt.Sprint("r-", v.requests)
		calls.Go(func() { v.call(id) })
	}
	calls.Wait()
}

// call sends a sub-request with hedges and retries until it is answered or its
// objective has passed.
func (v *sender) call(id string) {
	begin := time.Now()
	limit := v.fleet.byAddress[v.targets[0].Address].limit
	deadline := begin.Add(v.objective)
	replies := make(chan courier.Reply, 8)
	var exchanges []*courier.Exchange
	var tried []string
	inFlight, sent, repeats := 0, 0, 0
	var hedgeAt time.Time
	send := func() {
		now := time.Now()
		placed, outcome := v.placer.Place(now, placer.Request{
			Service: v.targets[0].Service, Targets: v.targets, MaxConnections: limit, Avoid: slices.Clone(tried),
			Repeat: len(tried) > 0, Hedge: inFlight > 0, Unbudgeted: len(tried) > 0 && sent == 0,
		})
		if outcome != placer.Placed {
			return
		}
		if sent > 0 {
			repeats++
		}
		tried = append(tried, placed.Record.ID)
		inFlight++
		sent++
		pool := v.pools.Pool(placed.Record.ID, placed.Record.Address, courier.Options{MaxOpen: v.placer.Connections(limit), IdleTimeout: placed.IdleTimeout})
		request := newRequest(id, time.Until(deadline))
		hedgeAt = v.placer.HedgeAt("r", v.objective, placed)
		exchanges = append(exchanges, pool.Send(now, request, func(r courier.Reply) {
			v.placer.Ended(time.Now(), "r", v.objective, placed, r.Result)
			replies <- r
		}))
	}
	send()
	answered := false
	for !answered && time.Now().Before(deadline) {
		wake := deadline
		if len(tried) == 1 && hedgeAt.Before(wake) {
			wake = hedgeAt
		}
		select {
		case r := <-replies:
			inFlight--
			if r.Result == placer.Unsent {
				sent--
			}
			if answered = r.Result == placer.Answered; !answered && len(tried) < 3 {
				send()
			}
		case <-time.After(time.Until(wake)):
			if wake.Before(deadline) {
				before := len(tried)
				send()
				if len(tried) == before {
					hedgeAt = deadline
				}
			}
		}
	}
	for _, e := range exchanges {
		e.Abandon(time.Now(), abandonGrace)
	}
	f := v.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent++
	f.repeats += repeats
	if !answered {
		f.missing++
		return
	}
	f.latencies = append(f.latencies, time.Since(begin))
}

// takeCounts returns the new connections and the resets since the last call, and the most
// connections that a replica had at once.
func (f *fleet) takeCounts() (opened, reset, peak int) {
	for _, r := range f.byAddress {
		r.mu.Lock()
		opened, reset, peak = opened+r.opened, reset+r.reset, max(peak, r.peak)
		r.opened, r.reset, r.peak = 0, 0, r.conns
		r.mu.Unlock()
	}
	return opened, reset, peak
}
