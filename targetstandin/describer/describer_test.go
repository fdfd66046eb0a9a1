package describer_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"jackdawcart.org/core/parser"
	"jackdawcart.org/targetstandin/describer"
)

func ExampleParse() {
	d, err := describer.Parse([]byte(`{
		// One target with defaults.
		"targets": [{"name": "agenda-1", "address": "127.0.0.1:7001", "service": "agenda", "set": "old"}]
	}`))
	fmt.Println(d.Targets[0].Slots, d.Targets[0].Connections, err)
	// Output: 2 25 <nil>
}

// Unknown fields and inconsistent descriptions are rejected and not ignored.
func TestParseRejects(t *testing.T) {
	cases := map[string]string{
		"unknown field": `{"targets":[{"name":"a","address":"127.0.0.1:1","slotz":2}]}`,
		"needs a name":  `{"targets":[{"address":"127.0.0.1:1"}]}`,
		"twice":         `{"targets":[{"name":"a","address":"127.0.0.1:1"},{"name":"a","address":"127.0.0.1:2"}]}`,
		"unknown shard": `{"targets":[{"name":"a","address":"127.0.0.1:1","snapshots":[{"id":"1","held":["s"]}]}]}`,
	}
	for wantText, text := range cases {
		if _, err := describer.Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), wantText) {
			t.Errorf("want an error with %q, got %v", wantText, err)
		}
	}
}

// The derived shard maps are deterministic, and the replicas of a shard are in
// different failure domains.
func TestFromDocument(t *testing.T) {
	doc := &parser.Document{Service: "agenda", Sets: []parser.Set{{Name: "old"}}}
	for i, domain := range []string{"rosario", "santa-fe", "parana"} {
		target := parser.Target{Name: fmt.Sprintf("agenda-%d", i), FailureDomain: domain}
		doc.Sets[0].Targets = append(doc.Sets[0].Targets, target)
	}
	targets := describer.FromDocument(doc, 8)
	if diff := cmp.Diff(targets, describer.FromDocument(doc, 8), cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
		t.Error(diff)
	}
	holders := map[string]map[string]bool{}
	for _, target := range targets {
		for _, shard := range target.Snapshots[0].Held {
			if holders[shard] == nil {
				holders[shard] = map[string]bool{}
			}
			holders[shard][target.FailureDomain] = true
		}
	}
	for _, shard := range targets[0].Snapshots[0].Shards {
		if len(holders[shard.Name]) != describer.ReplicasPerShard {
			t.Errorf("shard %s is held in %d failure domains", shard.Name, len(holders[shard.Name]))
		}
	}
}
