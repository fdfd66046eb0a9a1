package evaluator_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"jackdawcart.org/core/evaluator"
)

func ExampleDeployment_Capacity() {
	registro := evaluator.Litoral().Select("registro-campo")
	fmt.Printf("%.0f queries/s\n", registro.Capacity())
	// Output: 686 queries/s
}

// Guards against an oracle whose results differ between two runs of one seed:
// the bound on the slowed p99 is relative to the oracle.
func TestOracleIsDeterministic(t *testing.T) {
	s := evaluator.Slowed(evaluator.Litoral().Select("registro-campo"), seed)
	if diff := cmp.Diff(evaluator.Oracle(s), evaluator.Oracle(s)); diff != "" {
		t.Errorf("two oracle runs of one seed differ:\n%s", diff)
	}
}

// The oracle has full knowledge, so a policy with lower latencies points to a
// fault in the fake targets.
func TestOracleIsLowerBound(t *testing.T) {
	s := evaluator.Healthy(evaluator.Litoral().Select("municipios"), seed)
	best, got := evaluator.Oracle(s), run(t, s, evaluator.Policy())
	if got.P50 < best.P50 || got.P99 < best.P99 {
		t.Errorf("policy %v/%v, oracle %v/%v (p50/p99)", got.P50, got.P99, best.P50, best.P99)
	}
}

// Guards against incomplete answers when a snapshot is replaced while queries run.
func TestReplacedSnapshotKeepsCoverage(t *testing.T) {
	s := evaluator.Replaced(evaluator.Litoral().Select("registro-campo"), seed)
	got := run(t, s, evaluator.Policy())
	if got.Coverage < 1 {
		t.Errorf("coverage %.5f while the snapshot is replaced, want 1", got.Coverage)
	}
	if got.Attempts.Restarts+got.Attempts.Retries == 0 {
		t.Error("no query was retried or restarted, so the scenario does not exercise the replacement")
	}
}

// Cancelling by closing the connection requires a new connection, whose connect
// time must not push the p99 above its limit.
func TestCancelByCloseKeepsTail(t *testing.T) {
	s := evaluator.Healthy(evaluator.Litoral().Select("registro-campo"), seed)
	v := evaluator.Policy()
	v.Cancel = evaluator.CancelByClose
	if got := run(t, s, v); got.P99 > maxP99 {
		t.Errorf("p99 %v when requests are cancelled by closing the connection, want at most %v", got.P99, maxP99)
	}
}
