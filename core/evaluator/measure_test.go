package evaluator_test

import (
	"bytes"
	"os"
	"sync"
	"testing"
	"testing/synctest"

	"jackdawcart.org/core/evaluator"
)

// measureVariable is the environment variable with the path of the file that
// TestMeasure writes.
const measureVariable = "JACKDAWCART_MEASURE"

// seed is the seed of the tests and measurements.
const seed = 1

// run runs a variant in a scenario in virtual time.
func run(t *testing.T, s evaluator.Scenario, v evaluator.Variant) *evaluator.Result {
	t.Helper()
	var result *evaluator.Result
	synctest.Test(t, func(*testing.T) { result = evaluator.Run(s, v) })
	return result
}

type workload struct {
	name       string
	deployment evaluator.Deployment
	// ablated workloads are also measured with each mechanism disabled in turn.
	ablated bool
}

func workloads() []workload {
	litoral, central := evaluator.Litoral(), evaluator.Central()
	return []workload{
		{"litoral: registro-campo", litoral.Select("registro-campo"), true},
		{"litoral: agenda", litoral.Select("agenda"), false},
		{"litoral: certificados", litoral.Select("certificados"), false},
		{"litoral: municipios", litoral.Select("municipios"), false},
		{"nz-central: trackfinder", central.Select("trackfinder"), true},
		{"nz-central: hutbook", central.Select("hutbook"), false},
		{"nz-central: sheetshelf", central.Select("sheetshelf"), false},
		{"nz-central: memberroll", central.Select("memberroll"), false},
		{"nz-central: whole library", central, false},
		{"wide: 74 shards of 3 replicas", evaluator.Wide(), false},
	}
}

func variants(ablated bool) []evaluator.Variant {
	list := []evaluator.Variant{evaluator.Baseline(), evaluator.Policy()}
	if !ablated {
		return list
	}
	for _, mechanism := range evaluator.Mechanisms() {
		list = append(list, evaluator.Without(mechanism))
	}
	return list
}

// TestMeasure writes the result tables of all workloads when the environment
// variable is set.
func TestMeasure(t *testing.T) {
	path := os.Getenv(measureVariable)
	if path == "" {
		t.Logf("%s is not set; no tables are written", measureVariable)
		return
	}
	list := workloads()
	tables := make([]bytes.Buffer, len(list))
	semaphore := make(chan struct{}, 4)
	var running sync.WaitGroup
	for i, w := range list {
		running.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			evaluator.WriteTable(&tables[i], w.name, measure(t, w))
		})
	}
	running.Wait()
	var page bytes.Buffer
	for i := range tables {
		page.Write(tables[i].Bytes())
	}
	if err := os.WriteFile(path, page.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
}

func measure(t *testing.T, w workload) []evaluator.Row {
	d := w.deployment
	scenarios := []evaluator.Scenario{
		evaluator.Healthy(d, seed), evaluator.AtCrest(d, seed), evaluator.Slowed(d, seed),
		evaluator.ReplicaLost(d, seed), evaluator.ColdStart(d, seed),
	}
	var rows []evaluator.Row
	for _, v := range variants(w.ablated) {
		rows = append(rows, row(v.Name, scenarios, func(s evaluator.Scenario) *evaluator.Result { return run(t, s, v) }))
	}
	return append(rows, row("oracle", scenarios, evaluator.Oracle))
}

func row(name string, scenarios []evaluator.Scenario, result func(evaluator.Scenario) *evaluator.Result) evaluator.Row {
	results := make([]*evaluator.Result, len(scenarios))
	for i, s := range scenarios {
		results[i] = result(s)
	}
	return evaluator.Row{
		Variant: name, Healthy: results[0], Crest: results[1], Slowed: results[2], ReplicaLost: results[3], Cold: results[4],
	}
}
