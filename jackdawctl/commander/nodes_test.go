package commander_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"jackdawcart.org/core/adminapi"
	"jackdawcart.org/core/parser"
	"jackdawcart.org/jackdawctl/commander"
)

// newNode starts a server for the views of one process and returns its address.
func newNode(t *testing.T, views map[string]any) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		view, ok := views[r.URL.Path]
		if !ok || (r.URL.Path == adminapi.PathExplain && r.URL.RawQuery == "query-id=lost") {
			writeJSON(w, http.StatusNotFound, adminapi.Failure{Code: "not-found", Message: "no such record"})
			return
		}
		writeJSON(w, http.StatusOK, view)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Every view must be printed as text and as JSON.
func TestViews(t *testing.T) {
	origin := adminapi.Origin{Node: "rosario-1", Process: "relay", FailureDomain: "rosario"}
	node := newNode(t, map[string]any{
		adminapi.PathTargets: adminapi.Targets{Origin: origin, Targets: []adminapi.Target{
			{Service: "agenda-01", Set: "old", Name: "a", State: adminapi.TargetEjected, Reason: "slow", LatencyP99: parser.Duration(time.Second)},
			{Service: "agenda-02", Set: "old", Name: "b", State: adminapi.TargetServing},
		}},
		adminapi.PathConfiguration: adminapi.Configuration{
			Origin: origin, Revision: 40, NewestKnownRevision: 42, Age: parser.Duration(3 * time.Second), Source: adminapi.SourcePeer,
			Services: []adminapi.Service{{Service: "agenda-01", Revision: 40, Edit: "marta/1"}},
		},
		adminapi.PathQuarantine: adminapi.Quarantine{Origin: origin, Entries: []adminapi.QuarantineEntry{
			{Fingerprint: "00ff", Service: "agenda-01", LostTargets: []string{"a", "b"}, Refused: 7},
		}},
		adminapi.PathExplain: adminapi.Explain{
			Origin: origin, Service: "agenda-01", Caller: "brigade-7", Set: "new", SetReason: "caller is below the share",
			Shards:   []adminapi.ShardChoice{{Shard: "s1", Replicas: []adminapi.ReplicaChoice{{Target: "a", Reason: "ejected"}}}},
			Answered: &adminapi.Answered{QueryID: "q1", Attempts: []adminapi.Attempt{{Shard: "s1", Cause: adminapi.CauseHedge}}},
		},
	})
	s := newSession(t)
	for line, want := range map[string]string{
		"targets":                           "agenda-02",
		"targets --service agenda-01":       "slow",
		"configuration":                     "rosario-1 relay rosario 40 2 3s peer false 1",
		"configuration --service agenda-01": "marta/1",
		"quarantine":                        "00ff agenda-01 - a,b",
		"explain --service agenda-01 --caller brigade-7": "not usable: ejected",
		"explain --query-id q1":                          "attempt 0 (hedge)",
	} {
		args := append([]string{"--node", node}, strings.Fields(line)...)
		out, _ := s.run(commander.ExitOK, args...)
		wantText(t, strings.Join(strings.Fields(out), " "), want)
		out, _ = s.run(commander.ExitOK, append([]string{"--output", "json"}, args...)...)
		wantText(t, out, `"node": "rosario-1"`)
	}
	out, _ := s.run(commander.ExitOK, "--node", node, "targets", "--state", "ejected")
	if strings.Contains(out, "agenda-02") {
		t.Errorf("a target in another state is shown:\n%s", out)
	}
	s.run(commander.ExitNotFound, "--node", node, "explain", "--query-id", "lost")
}

// A relay doesn't serve the explain view, which must not count as a failure of the
// node.
func TestNotServed(t *testing.T) {
	gateway := newNode(t, map[string]any{adminapi.PathExplain: adminapi.Explain{Set: "new"}})
	relay := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusNotFound, adminapi.Failure{Code: adminapi.CodeNotServed})
	}))
	defer relay.Close()
	nodes := gateway + "," + relay.Listener.Addr().String()
	s := newSession(t)
	s.run(commander.ExitOK, "--node", nodes, "explain", "--service", "agenda-01", "--caller", "brigade-7")
}

// If nodes don't answer, the command must name them and exit with a code of its own.
func TestNodesPartial(t *testing.T) {
	closed := httptest.NewServer(nil)
	down := closed.Listener.Addr().String()
	closed.Close()
	node := newNode(t, map[string]any{adminapi.PathMembers: adminapi.Members{
		Origin: adminapi.Origin{Node: "rosario-1"},
		Members: []adminapi.Member{
			{Node: "rosario-2", State: adminapi.MemberAlive, AdminAddress: netip.MustParseAddrPort(down)},
			{Node: "rosario-3", State: adminapi.MemberDead, Gateways: []adminapi.Gateway{{Ready: true}, {}}},
		},
	}})
	s := newSession(t)
	out, _ := s.run(commander.ExitOK, "--node", node, "nodes")
	wantText(t, out, "rosario-3", "dead", "1/2")
	_, errs := s.run(commander.ExitPartial, "--node", node, "--discover", "nodes")
	wantText(t, errs, down, "1 of 2 processes gave no answer")
	s.run(commander.ExitUnreachable, "--node", down, "nodes")
}
