package runner_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"jackdawcart.org/platform/standin"
)

// poisonSeeds are played in CI: those that have failed before, with the cause, and others.
var poisonSeeds = []uint64{1, 2}

// poisonSoakTime is how long a seed is played.
const poisonSoakTime = 14 * time.Second

// poisonSoak plays one request that crashes targets, sent again and again to VMs that are
// disturbed meanwhile, beside sound requests. The seed decides everything but the effects.
type poisonSoak struct {
	*fleet
	rng  *rand.Rand
	path string

	mu sync.Mutex
	// copies holds the VM of each copy of the poison request, and when it was sent.
	copies map[string]poisonCopy
	// disturbances holds when VMs, or the store (noVM), were disturbed.
	disturbances []disturbance
}

type poisonCopy struct {
	vm   int
	sent time.Time
}

// noVM stands for the store among the disturbed.
const noVM = -1

type disturbance struct {
	vm         int
	began, end time.Time
}

// A request that crashes targets, in whatever part of the index, at whatever moment of its
// run, however its callers repeat it, and beside whatever faults, must be refused by the VMs
// that are in order later than the stability window after the third crash.
func TestPoisonSoak(t *testing.T) {
	seeds := poisonSeeds
	if text := os.Getenv("JACKDAWCART_POISON_SEEDS"); text != "" {
		var first, last uint64
		if _, err := fmt.Sscanf(text, "%d-%d", &first, &last); err != nil {
			t.Fatal(err)
		}
		seeds = nil
		for seed := first; seed <= last; seed++ {
			seeds = append(seeds, seed)
		}
	}
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { runPoisonSoak(t, seed) })
	}
}

func runPoisonSoak(t *testing.T, seed uint64) {
	t.Helper()
	s := &poisonSoak{fleet: newFleet(t, 3), rng: rand.New(rand.NewPCG(seed, 0)), copies: make(map[string]poisonCopy)}
	poison := s.drawPoison()
	t.Logf("seed %d: %+v", seed, poison)
	s.path = poison.Path
	s.crashOn(poison)
	ctx, cancel := context.WithTimeout(t.Context(), poisonSoakTime)
	defer cancel()
	var running sync.WaitGroup
	for range 1 + s.rng.IntN(3) {
		caller := rand.New(rand.NewPCG(s.rng.Uint64(), 0))
		running.Go(func() { s.repeatPoison(ctx, caller) })
	}
	faults := rand.New(rand.NewPCG(s.rng.Uint64(), 0))
	running.Go(func() { s.disturb(ctx, t, faults) })
	counts := sendSound(t, s.fleet, poisonSoakTime)
	running.Wait()
	s.check(t, counts)
}

// drawPoison draws the part of the index and the moment of the run.
func (s *poisonSoak) drawPoison() standin.Poison {
	path := []string{"/all/poison", "/all/poison", "/often/poison", "/once/poison"}[s.rng.IntN(4)]
	poison := standin.Poison{Path: path}
	if path == "/all/poison" {
		for i := range shardCount {
			if s.rng.IntN(2) == 0 {
				poison.Services = append(poison.Services, fmt.Sprintf("shard-%d", i))
			}
		}
	}
	moments := []time.Duration{0, drawTime(s.rng, 100*time.Millisecond), 700 * time.Millisecond, callerDeadline + drawTime(s.rng, 2*time.Second)}
	poison.After = moments[s.rng.IntN(len(moments))]
	return poison
}

// repeatPoison sends copies of the poison request: some callers leave early, some come back
// at once.
func (s *poisonSoak) repeatPoison(ctx context.Context, rng *rand.Rand) {
	method := http.MethodGet
	if s.path == "/once/poison" {
		method = http.MethodPost
	}
	for n := 0; ctx.Err() == nil; n++ {
		vm, id := rng.IntN(len(s.vms)), fmt.Sprintf("poison-%d-%d", rng.Uint32(), n)
		patience := callerDeadline
		if rng.IntN(3) == 0 {
			patience = 50*time.Millisecond + drawTime(rng, 150*time.Millisecond)
		}
		s.mu.Lock()
		s.copies[id] = poisonCopy{vm, time.Now()}
		s.mu.Unlock()
		attempt, leave := context.WithTimeout(ctx, patience)
		s.trySend(attempt, vm, method, s.path, id)
		leave()
		if rng.IntN(3) > 0 {
			time.Sleep(drawTime(rng, 700*time.Millisecond))
		}
	}
}

func drawTime(rng *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(limit)))
}

// disturb disturbs the store and single VMs, one after the other.
func (s *poisonSoak) disturb(ctx context.Context, t *testing.T, rng *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(drawTime(rng, 5*time.Second))
		d := disturbance{vm: rng.IntN(len(s.vms)+2) - 2, began: time.Now()}
		switch {
		case d.vm < 0:
			d.vm = noVM
			s.store.Refuse(http.StatusServiceUnavailable)
			time.Sleep(drawTime(rng, 3*time.Second))
			s.store.Refuse(0)
		case rng.IntN(2) == 0:
			s.restart(t, d.vm)
		default:
			_ = s.vms[d.vm].process.Signal(syscall.SIGTERM)
			_ = s.vms[d.vm].wait()
			s.restart(t, d.vm)
		}
		d.end = time.Now()
		s.mu.Lock()
		s.disturbances = append(s.disturbances, d)
		s.mu.Unlock()
	}
}

// inTouch reports whether the store and a VM were in order at a time and for the stability
// window before.
func (s *poisonSoak) inTouch(vm int, at time.Time) bool {
	for _, d := range s.disturbances {
		if (d.vm == noVM || d.vm == vm) && at.After(d.began) && at.Before(d.end.Add(stabilityWindow)) {
			return false
		}
	}
	return true
}

func (s *poisonSoak) check(t *testing.T, counts *loadCounts) {
	t.Helper()
	crashes := s.crashTimes()
	late, all := 0, 0
	if len(crashes) >= 3 {
		settled := crashes[2].Add(stabilityWindow)
		for id, c := range s.copies {
			if !c.sent.After(settled) || !s.ran(id) {
				continue
			}
			all++
			if s.inTouch(c.vm, c.sent) {
				late++
			}
		}
	}
	t.Logf("%d targets crashed; %d of %d copies ran late, %d of them through VMs in touch; %d of %d sound requests in quarantine; %d disturbances",
		len(crashes), all, len(s.copies), late, counts.quarantined, counts.sent, len(s.disturbances))
	if late > maxLateRuns {
		t.Errorf("%d copies ran later than %v after the third crash, want %d at most", late, stabilityWindow, maxLateRuns)
	}
	if counts.quarantined > counts.sent/100 {
		t.Errorf("%d of %d sound requests were refused in quarantine", counts.quarantined, counts.sent)
	}
}
