package responder_test

import (
	"encoding/hex"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"jackdawcart.org/core/router"
	"jackdawcart.org/entry/responder"
)

// newFixtureWithWorkspaces returns a fixture with the workspaces "red", whose key is
// "red-key", and "blue", whose key is "blue-key". The route "/often/" is public if open is set.
func newFixtureWithWorkspaces(t *testing.T, open bool) *fixture {
	t.Helper()
	fx := newFixture(t, 0)
	route, _ := fx.directory.table.Match("x.example", "/often/q")
	route.Public = open
	fx.directory.table.SetWorkspaces([]router.Credentials{
		{Workspace: router.Workspace{Name: "red"}, Keys: []router.KeyDigest{router.DigestKey("red-key")}},
		{Workspace: router.Workspace{Name: "blue"}, Keys: []router.KeyDigest{router.DigestKey("blue-key")}},
	})
	return fx
}

// doWith sends a request with headers, given as names and values in turn.
func (fx *fixture) doWith(path, id string, serve http.HandlerFunc, headers ...string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodGet, "http://x.example"+path, http.NoBody)
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "1000")
	for i := 0; i < len(headers); i += 2 {
		request.Header.Add(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	serve(w, request)
	return w
}

// received returns the values of a header in the request that a target of the plain service
// got last.
func (fx *fixture) received(id, name string) []string {
	for _, target := range fx.targets["plain"] {
		if h := target.LastHeader(); h.Get("Request-Id") == id {
			return h.Values(name)
		}
	}
	return nil
}

// Requests whose key no workspace has were served.
func TestRequestsWithoutKnownKeyAreRefused(t *testing.T) {
	fx := newFixtureWithWorkspaces(t, false)
	for name, headers := range map[string][]string{
		"none": nil, "unknown": {"Authorization", "Bearer green-key"}, "empty": {"Authorization", "Bearer "},
		"other scheme": {"Authorization", "Basic red-key"}, "no scheme": {"Authorization", "red-key"},
		"two":  {"Authorization", "Bearer red-key", "Authorization", "Bearer red-key"},
		"long": {"Authorization", "Bearer " + strings.Repeat("k", 1100)}, "digest of a VM": {"Jackdawcart-Key-Digest", strings.Repeat("00", 32)},
		"more than the key": {"Authorization", "Bearer red-key, Bearer blue-key"},
	} {
		check(t, name, fx.doWith("/often/q", "r-"+name, fx.ServeHTTP, headers...).Code, http.StatusUnauthorized)
		check(t, "runs of "+name, fx.runs("plain", "r-"+name), 0)
	}
	check(t, "no route", fx.doWith("/other/q", "r", fx.ServeHTTP).Code, http.StatusNotFound)
	fx.directory.table = nil
	check(t, "no configuration", fx.doWith("/often/q", "r", fx.ServeHTTP).Code, http.StatusServiceUnavailable)
}

// The key of a caller was passed to targets, and they took the caller's word for its workspace.
func TestTargetsLearnWorkspaceAndNotKey(t *testing.T) {
	forged := []string{
		"Authorization", "bearer red-key", "tenant", "blue", "Tenant", "green", "Connection", "keep-alive, Tenant, Authorization",
	}
	fx := newFixtureWithWorkspaces(t, false)
	check(t, "status", fx.doWith("/often/q", "r1", fx.ServeHTTP, forged...).Code, http.StatusOK)
	check(t, "workspace", fx.received("r1", "Tenant"), []string{"red"})
	check(t, "key", len(fx.received("r1", "Authorization")), 0)

	open := newFixtureWithWorkspaces(t, true)
	check(t, "status on a public route", open.doWith("/often/q", "r2", open.ServeHTTP, forged...).Code, http.StatusOK)
	check(t, "workspace on a public route", len(open.received("r2", "Tenant")), 0)
	check(t, "key on a public route", len(open.received("r2", "Authorization")), 0)

	without := newFixture(t, 0)
	check(t, "status without workspaces", without.doWith("/often/q", "r3", without.ServeHTTP, "Authorization", "Bearer k").Code, http.StatusOK)
	check(t, "header without workspaces", without.received("r3", "Authorization"), []string{"Bearer k"})
}

// A VM must authorize a request that another one passes on by its own configuration, in which
// the key may be gone.
func TestDelegatedRequestIsAuthorizedByDigest(t *testing.T) {
	digest := func(key string) []string {
		d := router.DigestKey(key)
		return []string{"Jackdawcart-Vm", "vm-2", "Jackdawcart-Version", "1", "Jackdawcart-Key-Digest", hex.EncodeToString(d[:])}
	}
	fx := newFixtureWithWorkspaces(t, false)
	check(t, "known", fx.doWith("/often/q", "r1", fx.ServeDelegated, digest("blue-key")...).Code, http.StatusOK)
	check(t, "workspace", fx.received("r1", "Tenant"), []string{"blue"})
	check(t, "digest at the target", len(fx.received("r1", "Jackdawcart-Key-Digest")), 0)
	check(t, "taken away", fx.doWith("/often/q", "r2", fx.ServeDelegated, digest("old-key")...).Code, http.StatusUnauthorized)
}

// quarantine refuses the requests of one fingerprint, which the first request sets.
type quarantine struct {
	responder.Inspector
	fingerprint uint64
}

func (q *quarantine) Quarantined(fingerprint uint64) time.Duration {
	if q.fingerprint == 0 {
		q.fingerprint = fingerprint
	}
	if q.fingerprint == fingerprint {
		return time.Second
	}
	return 0
}

// A workspace could have the requests of another one quarantined by crashing targets with an
// equal one.
func TestQuarantineOfOneWorkspaceSparesOthers(t *testing.T) {
	fx := newFixtureWithWorkspaces(t, false)
	fx.Inspector = &quarantine{Inspector: fx.Inspector}
	red, blue := []string{"Authorization", "Bearer red-key"}, []string{"Authorization", "Bearer blue-key"}
	check(t, "crashing workspace", fx.doWith("/often/q", "r1", fx.ServeHTTP, red...).Code, http.StatusServiceUnavailable)
	check(t, "other workspace", fx.doWith("/often/q", "r2", fx.ServeHTTP, blue...).Code, http.StatusOK)
	check(t, "crashing workspace again", fx.doWith("/often/q", "r3", fx.ServeHTTP, red...).Code, http.StatusServiceUnavailable)
}

// A request must reach only targets in the regions of both its route and its workspace.
func TestRequestsStayInTheirRegions(t *testing.T) {
	fx := newFixtureWithWorkspaces(t, false)
	fx.Regions = map[string]string{"a": "north", "b": "south"}
	route, _ := fx.directory.table.Match("x.example", "/often/q")
	red := []string{"Authorization", "Bearer red-key"}
	route.Regions = []string{"south"}
	check(t, "no target in the region", fx.doWith("/often/q", "r1", fx.ServeHTTP, red...).Code, http.StatusServiceUnavailable)
	fx.directory.targets["plain"][1].Domain = "b"
	for i := range 10 {
		check(t, "target in the region", fx.doWith("/often/q", fmt.Sprint("s", i), fx.ServeHTTP, red...).Code, http.StatusOK)
	}
	check(t, "runs elsewhere", fx.targets["plain"][0].TotalRuns(), 0)
}
