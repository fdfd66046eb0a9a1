package controller_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"jackdawcart.org/core/parser"
	"jackdawcart.org/targetstandin/controller"
	"jackdawcart.org/targetstandin/describer"
	"jackdawcart.org/targetstandin/simulator"
)

func startSet(t *testing.T) (*controller.Controller, []*simulator.Target) {
	t.Helper()
	doc := &parser.Document{Service: "agenda", Sets: []parser.Set{{Name: "old"}}}
	for i := range 3 {
		doc.Sets[0].Targets = append(doc.Sets[0].Targets, parser.Target{
			Name: fmt.Sprintf("agenda-%d", i), Address: netip.MustParseAddrPort("127.0.0.1:0"),
		})
	}
	var targets []*simulator.Target
	for _, d := range describer.FromDocument(doc, 4) {
		target, err := simulator.Start(d, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = target.Close() })
		targets = append(targets, target)
	}
	return controller.New(targets, zap.NewNop()), targets
}

func postFaults(c *controller.Controller, target, body string) (int, string) {
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "/control/"+target, strings.NewReader(body))
	c.Handler().ServeHTTP(recorder, request)
	return recorder.Code, strings.TrimSpace(recorder.Body.String())
}

// A repartition publishes the same shard map to all targets of the set. The
// record keeps the previous map, which the checker needs.
func TestRepartition(t *testing.T) {
	c, targets := startSet(t)
	code, body := postFaults(c, "agenda-*", `[{"kind":"repartition","shards":6}]`)
	if code != http.StatusOK {
		t.Fatal(code, body)
	}
	held := 0
	for _, target := range targets {
		snapshots := target.Snapshots()
		newest := snapshots[len(snapshots)-1]
		if newest.ID != "agenda-old-2" || len(newest.Shards) != 6 {
			t.Errorf("newest snapshot is %+v", newest)
		}
		held += len(newest.Held)
	}
	if held != 6*describer.ReplicasPerShard {
		t.Errorf("targets hold %d shard replicas", held)
	}
	sizes := map[string]int{}
	for _, m := range c.Record().Maps {
		sizes[m.Snapshot] += len(m.Shards)
	}
	if diff := cmp.Diff(map[string]int{"agenda-old-1": 4, "agenda-old-2": 6}, sizes); diff != "" {
		t.Error(diff)
	}
}

// An invalid fault list is rejected as a whole: none of its faults takes effect.
func TestInjectRejects(t *testing.T) {
	c, targets := startSet(t)
	cases := []struct {
		target, body string
		code         int
	}{
		{"agenda-9", `[]`, http.StatusNotFound},
		{"agenda-0", `{}`, http.StatusBadRequest},
		{"agenda-0", `[{"kind":"slow","factr":3}]`, http.StatusBadRequest},
		{"agenda-0", `[{"kind":"retire","id":"agenda-old-1"},{"kind":"typo"}]`, http.StatusBadRequest},
	}
	for _, tc := range cases {
		if code, body := postFaults(c, tc.target, tc.body); code != tc.code {
			t.Errorf("target %s, faults %s: status %d, body %s", tc.target, tc.body, code, body)
		}
	}
	if len(targets[0].Snapshots()) != 1 {
		t.Error("part of a rejected fault list took effect")
	}
}
