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

// A reference that changes between two runs of one seed would move the bounds.
func TestOracleRepeats(t *testing.T) {
	s := evaluator.Slowed(evaluator.Litoral().Select("registro-campo"), seed)
	if diff := cmp.Diff(evaluator.Oracle(s), evaluator.Oracle(s)); diff != "" {
		t.Errorf("two oracle runs of one seed differ:\n%s", diff)
	}
}

// A policy that beats the oracle would show a fault in the fakes.
func TestOracleIsLowerBound(t *testing.T) {
	s := evaluator.Healthy(evaluator.Litoral().Select("municipios"), seed)
	best, got := evaluator.Oracle(s), run(t, s, evaluator.Policy())
	if got.P50 < best.P50 || got.P99 < best.P99 {
		t.Errorf("policy %v/%v, oracle %v/%v (p50/p99)", got.P50, got.P99, best.P50, best.P99)
	}
}

// Replacing the snapshot while queries run must leave no answer incomplete.
func TestReplacedSnapshotKeepsCoverage(t *testing.T) {
	s := evaluator.Replaced(evaluator.Litoral().Select("registro-campo"), seed)
	got := run(t, s, evaluator.Policy())
	if got.Coverage < 1 {
		t.Errorf("coverage %.5f while the snapshot is replaced, want 1", got.Coverage)
	}
	if got.Attempts.Restarts+got.Attempts.Retries == 0 {
		t.Error("no query met the replacement, the scenario tests nothing")
	}
}

// A cancel that loses the connection must not cost more than the bound allows.
func TestCancelByCloseKeepsTail(t *testing.T) {
	s := evaluator.Healthy(evaluator.Litoral().Select("registro-campo"), seed)
	v := evaluator.Policy()
	v.Cancel = evaluator.CancelByClose
	if got := run(t, s, v); got.P99 > boundTail {
		t.Errorf("p99 %v when requests are cancelled by closing, bound %v", got.P99, boundTail)
	}
}
