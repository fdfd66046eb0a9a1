package failuretests_test

import (
	"testing"

	"jackdawcart.org/core/parser"
	"jackdawcart.org/failuretests/launcher"
)

// Guards against requests that fail while a service moves from the old target
// set to the new one and back.
func TestMoveBetweenSets(t *testing.T) {
	d := deploy(t, launcher.Options{Sets: []string{"old", "new"}, Targets: 2})
	d.watchRevisions()
	c := newCallers(d)
	stop := c.startLoad(true)
	steps := []func(*parser.Answering){
		func(a *parser.Answering) { a.Move = &parser.Move{Set: "new", Share: 0.3} },
		func(a *parser.Answering) { a.Move = &parser.Move{Set: "new", Share: 1} },
		func(a *parser.Answering) { a.Lead, a.Fallback = "new", "old" },
		func(a *parser.Answering) { a.Lead, a.Move = "new", &parser.Move{Set: "old", Share: 0.5} },
		func(a *parser.Answering) { a.Lead = "old" },
	}
	for _, step := range steps {
		d.expectExit(exitOK, "apply", "--yes", d.writeDocument("move.json", func(doc *parser.Document) { step(&doc.Answering) }))
		d.eventuallyInForce(d.Nodes)
		c.awaitFullAnswers(startBound, "full answers after the step")
	}
	stop()
	c.expectFullAnswers("the service moved between its sets")
	c.verify()
	bySet := map[string]int{}
	record, _ := d.record()
	for _, r := range record.Runs {
		bySet[r.Set]++
	}
	if bySet["old"] == 0 || bySet["new"] == 0 {
		t.Errorf("runs by set: %v, want runs of both sets", bySet)
	}
}
