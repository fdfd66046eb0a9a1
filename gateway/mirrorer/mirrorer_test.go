package mirrorer_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"jackdawcart.org/core/merger"
	"jackdawcart.org/core/parser"
	"jackdawcart.org/core/planner"
	"jackdawcart.org/core/scatterer"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/gateway/mirrorer"
)

// fakeEngine counts queries and answers each with one hit.
type fakeEngine struct {
	queries atomic.Int64
	hit     string
}

// Query returns an answer from the requested set.
func (e *fakeEngine) Query(_ context.Context, r *scatterer.Request) *scatterer.Answer {
	e.queries.Add(1)
	return &scatterer.Answer{
		Complete: true, Hits: []merger.Hit{{Service: "library", ID: e.hit}},
		Services: []scatterer.ServiceAnswer{{Service: "library", Set: r.Set}},
	}
}

func service(mirror *parser.Mirror) *planner.Service {
	return &planner.Service{Document: &parser.Document{Service: "library", Answering: parser.Answering{
		Lead: "old", Mirror: mirror, Deadline: parser.Duration(130 * time.Millisecond),
	}}}
}

func answered(set string) *scatterer.Answer {
	return &scatterer.Answer{
		Hits:     []merger.Hit{{Service: "library", ID: "a"}},
		Services: []scatterer.ServiceAnswer{{Service: "library", Set: set}},
	}
}

// Mirrored queries must stay within the maximum extra load of the document, even
// with a share of 1.
func TestMirrorKeepsExtraLoadCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeEngine{hit: "a"}
		metrics := tally.NewTestScope("", nil)
		m := mirrorer.New(e, timer.NewService(), metrics, zap.NewNop())
		request := &scatterer.Request{Services: []*planner.Service{service(&parser.Mirror{Set: "new", Share: 1, MaxExtraLoad: 0.1})}}
		const queries = 1000
		for range queries {
			m.MirrorAnswered(request, answered("old"))
			synctest.Wait()
		}
		if got := e.queries.Load(); got > queries/10+1 || got < queries/10-1 {
			t.Errorf("%d of %d queries were mirrored, want a tenth", got, queries)
		}
		if got := metrics.Snapshot().Counters()["mirror.equal+service=library"]; got == nil || got.Value() != e.queries.Load() {
			t.Errorf("equal answers were not counted: %v", got)
		}
	})
}

// A query must not be mirrored if no mirror is configured or the mirror set itself
// has answered it.
func TestNoMirrorWithoutNeed(t *testing.T) {
	e := &fakeEngine{}
	m := mirrorer.New(e, timer.NewService(), tally.NoopScope, zap.NewNop())
	m.MirrorAnswered(&scatterer.Request{Services: []*planner.Service{service(nil)}}, answered("old"))
	m.MirrorAnswered(&scatterer.Request{Services: []*planner.Service{service(&parser.Mirror{Set: "new", Share: 1, MaxExtraLoad: 1})}}, answered("new"))
	if got := e.queries.Load(); got != 0 {
		t.Errorf("%d queries were mirrored, want none", got)
	}
}
