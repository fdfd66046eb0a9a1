package evaluator

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"jackdawcart.org/core/admitter"
)

// The service times of a target are log-normal around a median. A small share of
// executions are stragglers, which take ten times as long and which the tier
// cannot predict.
const (
	medianServiceTime = 8 * time.Millisecond
	serviceTimeSigma  = 0.3
	stragglerShare    = 0.005
	stragglerFactor   = 10
)

// arrival is the intended arrival of one query at a gateway.
type arrival struct {
	number   int
	at       time.Duration
	gateway  int
	priority admitter.Priority
}

// meanServiceTime returns the mean service time of a healthy target.
func meanServiceTime() time.Duration {
	mean := float64(medianServiceTime) * math.Exp(serviceTimeSigma*serviceTimeSigma/2)
	return time.Duration(mean * (1 + stragglerShare*(stragglerFactor-1)))
}

// arrivals draws the Poisson arrivals of a scenario by thinning, because the rate
// may change within the run.
func arrivals(s Scenario) []arrival {
	rng := rand.New(rand.NewPCG(s.Seed, 1))
	peak := s.Load
	if s.Crest != nil {
		peak = max(peak, s.Crest.Load)
	}
	capacity := s.Deployment.Capacity()
	gateways := len(s.Deployment.FailureDomains) * s.Deployment.VMsPerDomain
	var list []arrival
	var at time.Duration
	for {
		at += time.Duration(rng.ExpFloat64() / (peak * capacity) * float64(time.Second))
		if at >= s.length() {
			return list
		}
		if rng.Float64()*peak >= s.loadAt(at) {
			continue
		}
		list = append(list, arrival{number: len(list), at: at, gateway: rng.IntN(gateways), priority: drawPriority(rng)})
	}
}

// drawPriority returns high and low priority for one query in five each, and
// normal priority for the others.
func drawPriority(rng *rand.Rand) admitter.Priority {
	switch rng.IntN(5) {
	case 0:
		return admitter.High
	case 1:
		return admitter.Low
	default:
		return admitter.Normal
	}
}

// serviceTime returns the time that a sub-request takes at a healthy target. Its
// base is the same at every target, while straggling is drawn for each target.
func serviceTime(seed uint64, query int, shard, target string) time.Duration {
	subRequestRNG := rand.New(rand.NewPCG(seed^uint64(query)*0x9e3779b97f4a7c15, xxhash.Sum64String(shard)))
	base := float64(medianServiceTime) * math.Exp(serviceTimeSigma*subRequestRNG.NormFloat64())
	targetRNG := rand.New(rand.NewPCG(subRequestRNG.Uint64(), xxhash.Sum64String(target)))
	if targetRNG.Float64() < stragglerShare {
		base *= stragglerFactor
	}
	return time.Duration(base)
}
