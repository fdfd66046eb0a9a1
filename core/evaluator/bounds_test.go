package evaluator_test

import (
	"strings"
	"sync"
	"testing"

	"jackdawcart.org/core/evaluator"
)

// The bounds come from the stated targets, never from a measured figure.
const (
	boundTail         = evaluator.Deadline
	boundSlowedRatio  = 1.3
	boundExtraLoad    = 0.05
	boundGoodput      = 0.95
	boundLostCoverage = 0.999
	crestSeeds        = 3
	wideCrestSeeds    = 1
)

// results keeps the runs of the policy, because several bounds judge the same run.
var results struct {
	sync.Mutex
	byScenario map[string]*evaluator.Result
}

func policyResult(t *testing.T, s evaluator.Scenario) *evaluator.Result {
	t.Helper()
	key := s.Deployment.Name + "/" + s.Name
	results.Lock()
	known, ok := results.byScenario[key]
	results.Unlock()
	if ok {
		return known
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

// forWorkloads judges each workload whose name has the prefix.
func forWorkloads(t *testing.T, prefix string, judge func(*testing.T, evaluator.Deployment)) {
	t.Helper()
	for _, w := range workloads() {
		if !strings.HasPrefix(w.name, prefix) {
			continue
		}
		t.Run(w.name, func(t *testing.T) {
			t.Parallel()
			judge(t, w.deployment)
		})
	}
}

func judgeHealthyTail(t *testing.T, d evaluator.Deployment) {
	if got := policyResult(t, evaluator.Healthy(d, seed)); got.P99 > boundTail {
		t.Errorf("p99 %v, bound %v", got.P99, boundTail)
	}
}

func judgeSlowedTail(t *testing.T, d evaluator.Deployment) {
	s := evaluator.Slowed(d, seed)
	best, got := evaluator.Oracle(s).P99, policyResult(t, s).P99
	if ratio := float64(got) / float64(best); ratio > boundSlowedRatio {
		t.Errorf("p99 %v, %.2f times the oracle's %v, bound %v", got, ratio, best, boundSlowedRatio)
	}
}

func judgeExtraLoad(t *testing.T, d evaluator.Deployment) {
	for _, s := range []evaluator.Scenario{evaluator.Healthy(d, seed), evaluator.Slowed(d, seed), evaluator.ReplicaLost(d, seed)} {
		if got := policyResult(t, s).ExtraLoad; got > boundExtraLoad {
			t.Errorf("%s: extra load %.4f, bound %v", s.Name, got, boundExtraLoad)
		}
	}
}

func judgeCrest(t *testing.T, d evaluator.Deployment) {
	// One swing of three seconds varies by 2% between seeds, so the mean counts.
	// The wide deployment averages over its 74 shards.
	seeds := uint64(crestSeeds)
	if d.Name == evaluator.Wide().Name {
		seeds = wideCrestSeeds
	}
	var goodput float64
	for s := range seeds {
		got := run(t, evaluator.AtCrest(d, seed+s), evaluator.Policy())
		goodput += got.Goodput / float64(seeds)
		if got.ExtraLoad > boundExtraLoad {
			t.Errorf("seed %d: extra load at the crest %.4f, bound %v", seed+s, got.ExtraLoad, boundExtraLoad)
		}
	}
	if goodput < boundGoodput {
		t.Errorf("goodput at the crest %.3f of capacity, bound %v", goodput, boundGoodput)
	}
}

func judgeCoverage(t *testing.T, d evaluator.Deployment) {
	if got := policyResult(t, evaluator.Healthy(d, seed)).Coverage; got < 1 {
		t.Errorf("healthy coverage %.5f, bound 1", got)
	}
	if got := policyResult(t, evaluator.ReplicaLost(d, seed)).Coverage; got < boundLostCoverage {
		t.Errorf("coverage with one replica lost %.5f, bound %v", got, boundLostCoverage)
	}
}

// The tests below guard against a policy that misses a stated target. Each
// stands alone, so that one open miss does not hide the others.

func TestHealthyTailLitoral(t *testing.T) { forWorkloads(t, "litoral", judgeHealthyTail) }
func TestHealthyTailCentral(t *testing.T) { forWorkloads(t, "nz-central", judgeHealthyTail) }
func TestHealthyTailWide(t *testing.T)    { forWorkloads(t, "wide", judgeHealthyTail) }
func TestSlowedTailLitoral(t *testing.T)  { forWorkloads(t, "litoral", judgeSlowedTail) }
func TestSlowedTailCentral(t *testing.T)  { forWorkloads(t, "nz-central", judgeSlowedTail) }
func TestSlowedTailWide(t *testing.T)     { forWorkloads(t, "wide", judgeSlowedTail) }
func TestExtraLoadLitoral(t *testing.T)   { forWorkloads(t, "litoral", judgeExtraLoad) }
func TestExtraLoadCentral(t *testing.T)   { forWorkloads(t, "nz-central", judgeExtraLoad) }
func TestExtraLoadWide(t *testing.T)      { forWorkloads(t, "wide", judgeExtraLoad) }
func TestCrestLitoral(t *testing.T)       { forWorkloads(t, "litoral", judgeCrest) }
func TestCrestCentral(t *testing.T)       { forWorkloads(t, "nz-central", judgeCrest) }
func TestCrestWide(t *testing.T)          { forWorkloads(t, "wide", judgeCrest) }
func TestCoverageLitoral(t *testing.T)    { forWorkloads(t, "litoral", judgeCoverage) }
func TestCoverageCentral(t *testing.T)    { forWorkloads(t, "nz-central", judgeCoverage) }
func TestCoverageWide(t *testing.T)       { forWorkloads(t, "wide", judgeCoverage) }
