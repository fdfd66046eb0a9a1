package evaluator

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"jackdawcart.org/core/admitter"
)

// The service times of a target are log-normal around a median; a few runs
// take ten times as long for no reason that the tier could see.
const (
	medianWork      = 8 * time.Millisecond
	workSigma       = 0.3
	stragglerShare  = 0.005
	stragglerFactor = 10
)

// arrival is the intended arrival of one query at one gateway.
type arrival struct {
	number   int
	at       time.Duration
	gateway  int
	priority admitter.Priority
}

// meanWork returns the mean service time of a healthy target.
func meanWork() time.Duration {
	mean := float64(medianWork) * math.Exp(workSigma*workSigma/2)
	return time.Duration(mean * (1 + stragglerShare*(stragglerFactor-1)))
}

// arrivals draws the Poisson arrivals of a scenario by thinning, so that the
// rate may change within the run.
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

// drawPriority makes one query in five high and one in five low.
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

// work returns the time that a sub-request needs at a healthy target. The base
// belongs to the sub-request, straggling to its run at one target.
func work(seed uint64, query int, shard, target string) time.Duration {
	rng := rand.New(rand.NewPCG(seed^uint64(query)*0x9e3779b97f4a7c15, xxhash.Sum64String(shard)))
	base := float64(medianWork) * math.Exp(workSigma*rng.NormFloat64())
	run := rand.New(rand.NewPCG(rng.Uint64(), xxhash.Sum64String(target)))
	if run.Float64() < stragglerShare {
		base *= stragglerFactor
	}
	return time.Duration(base)
}
