package evaluator_test

import (
	"strings"
	"sync"
	"testing"

	"jackdawcart.org/core/evaluator"
)

// The limits are the stated objectives of the query policy.
const (
	maxP99            = evaluator.Deadline
	maxSlowedP99Ratio = 1.3
	maxExtraLoad      = 0.05
	minGoodput        = 0.95
	minLostCoverage   = 0.999
	crestSeeds        = 3
	wideCrestSeeds    = 1
)

// results caches the results of the policy, because several tests check the
// same scenario.
var results struct {
	sync.Mutex
	byScenario map[string]*evaluator.Result
}

// policyResult returns the cached result of the policy in a scenario, and runs
// the scenario first when there is none.
func policyResult(t *testing.T, s evaluator.Scenario) *evaluator.Result {
	t.Helper()
	key := s.Deployment.Name + "/" + s.Name
	results.Lock()
	cached, ok := results.byScenario[key]
	results.Unlock()
	if ok {
		return cached
	}
	result := run(t, s, evaluator.Policy())
	results.Lock()
	defer results.Unlock()
	if results.byScenario == nil {
		results.byScenario = make(map[string]*evaluator.Result)
	}
	results.byScenario[key] = result
	return result
}

// forWorkloads runs check as a subtest for each workload whose name has the prefix.
func forWorkloads(t *testing.T, prefix string, check func(*testing.T, evaluator.Deployment)) {
	t.Helper()
	for _, w := range workloads() {
		if !strings.HasPrefix(w.name, prefix) {
			continue
		}
		t.Run(w.name, func(t *testing.T) {
			t.Parallel()
			check(t, w.deployment)
		})
	}
}

func checkHealthyTail(t *testing.T, d evaluator.Deployment) {
	if got := policyResult(t, evaluator.Healthy(d, seed)); got.P99 > maxP99 {
		t.Errorf("healthy p99 %v, want at most %v", got.P99, maxP99)
	}
}

func checkSlowedTail(t *testing.T, d evaluator.Deployment) {
	s := evaluator.Slowed(d, seed)
	best, got := evaluator.Oracle(s).P99, policyResult(t, s).P99
	if ratio := float64(got) / float64(best); ratio > maxSlowedP99Ratio {
		t.Errorf("slowed p99 %v is %.2f times the oracle's %v, want at most %v times", got, ratio, best, maxSlowedP99Ratio)
	}
}

func checkExtraLoad(t *testing.T, d evaluator.Deployment) {
	for _, s := range []evaluator.Scenario{evaluator.Healthy(d, seed), evaluator.Slowed(d, seed), evaluator.ReplicaLost(d, seed)} {
		if got := policyResult(t, s).ExtraLoad; got > maxExtraLoad {
			t.Errorf("%s: extra load %.4f, want at most %v", s.Name, got, maxExtraLoad)
		}
	}
}

func checkCrest(t *testing.T, d evaluator.Deployment) {
	// The goodput of one crest of three seconds varies by 2% between seeds, so the
	// limit applies to the mean of several. The wide deployment needs only one
	// seed, because it averages over its 74 shards.
	seeds := uint64(crestSeeds)
	if d.Name == evaluator.Wide().Name {
		seeds = wideCrestSeeds
	}
	var goodput float64
	for seedOffset := range seeds {
		got := run(t, evaluator.AtCrest(d, seed+seedOffset), evaluator.Policy())
		goodput += got.Goodput / float64(seeds)
		if got.ExtraLoad > maxExtraLoad {
			t.Errorf("seed %d: extra load at the crest %.4f, want at most %v", seed+seedOffset, got.ExtraLoad, maxExtraLoad)
		}
	}
	if goodput < minGoodput {
		t.Errorf("goodput at the crest %.3f of capacity, want at least %v", goodput, minGoodput)
	}
}

func checkCoverage(t *testing.T, d evaluator.Deployment) {
	if got := policyResult(t, evaluator.Healthy(d, seed)).Coverage; got < 1 {
		t.Errorf("healthy coverage %.5f, want 1", got)
	}
	if got := policyResult(t, evaluator.ReplicaLost(d, seed)).Coverage; got < minLostCoverage {
		t.Errorf("coverage with one replica lost %.5f, want at least %v", got, minLostCoverage)
	}
}

// The tests below guard against a policy that misses one of the objectives. There
// is one test for each objective and deployment, so that a known failure does
// not hide others.

func TestHealthyTailLitoral(t *testing.T) { forWorkloads(t, "litoral", checkHealthyTail) }
func TestHealthyTailCentral(t *testing.T) { forWorkloads(t, "nz-central", checkHealthyTail) }
func TestHealthyTailWide(t *testing.T)    { forWorkloads(t, "wide", checkHealthyTail) }
func TestSlowedTailLitoral(t *testing.T)  { forWorkloads(t, "litoral", checkSlowedTail) }
func TestSlowedTailCentral(t *testing.T)  { forWorkloads(t, "nz-central", checkSlowedTail) }
func TestSlowedTailWide(t *testing.T)     { forWorkloads(t, "wide", checkSlowedTail) }
func TestExtraLoadLitoral(t *testing.T)   { forWorkloads(t, "litoral", checkExtraLoad) }
func TestExtraLoadCentral(t *testing.T)   { forWorkloads(t, "nz-central", checkExtraLoad) }
func TestExtraLoadWide(t *testing.T)      { forWorkloads(t, "wide", checkExtraLoad) }
func TestCrestLitoral(t *testing.T)       { forWorkloads(t, "litoral", checkCrest) }
func TestCrestCentral(t *testing.T)       { forWorkloads(t, "nz-central", checkCrest) }
func TestCrestWide(t *testing.T)          { forWorkloads(t, "wide", checkCrest) }
func TestCoverageLitoral(t *testing.T)    { forWorkloads(t, "litoral", checkCoverage) }
func TestCoverageCentral(t *testing.T)    { forWorkloads(t, "nz-central", checkCoverage) }
func TestCoverageWide(t *testing.T)       { forWorkloads(t, "wide", checkCoverage) }
