package failuretests_test

import (
	"testing"

	"jackdawcart.org/core/parser"
	"jackdawcart.org/failuretests/launcher"
)

// Guards against a request that fails while a service moves from the old set
// of targets to the new one and back.
func TestMoveBetweenSets(t *testing.T) {
	d := deploy(t, launcher.Options{Sets: []string{"old", "new"}, Targets: 2})
	d.watchRevisions()
	c := newCallers(d)
	stop := c.load(true)
	steps := []func(*parser.Answering){
		func(a *parser.Answering) { a.Move = &parser.Move{Set: "new", Share: 0.3} },
		func(a *parser.Answering) { a.Move = &parser.Move{Set: "new", Share: 1} },
		func(a *parser.Answering) { a.Lead, a.Fallback = "new", "old" },
		func(a *parser.Answering) { a.Lead, a.Move = "new", &parser.Move{Set: "old", Share: 0.5} },
		func(a *parser.Answering) { a.Lead = "old" },
	}
	for _, step := range steps {
		d.expect(exitOK, "apply", "--yes", d.write("move.json", func(doc *parser.Document) { step(&doc.Answering) }))
		d.eventuallyInForce(d.Nodes)
		c.steady(startBound, "full answers after the step")
	}
	stop()
	c.allAnswered("the service moved between its sets")
	c.verify()
	bySet := map[string]int{}
	record, _ := d.record()
	for _, r := range record.Runs {
		bySet[r.Set]++
	}
	if bySet["old"] == 0 || bySet["new"] == 0 {
		t.Errorf("runs by set: %v, want some of both", bySet)
	}
}
