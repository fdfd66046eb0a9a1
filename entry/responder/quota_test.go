package responder_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"jackdawcart.org/core/router"
	"jackdawcart.org/entry/quoter"
	"jackdawcart.org/platform/standin"
)

// fakeQuoter admits a number of requests.
type fakeQuoter struct {
	mu       sync.Mutex
	left     int
	taken    []string
	returned []string
}

func (q *fakeQuoter) Take(_ context.Context, w *router.Workspace, _ bool, _ time.Time) quoter.Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.taken = append(q.taken, w.Name)
	q.left--
	return quoter.Verdict{Admitted: q.left >= 0, RetryAfter: 1500 * time.Millisecond}
}

func (q *fakeQuoter) Return(w *router.Workspace) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.returned = append(q.returned, w.Name)
}

// newFixtureWithQuota returns a fixture in which the workspace "red" has a quota.
func newFixtureWithQuota(t *testing.T, objective time.Duration, left int) (*fixture, *fakeQuoter) {
	t.Helper()
	fx := newFixtureWithObjective(t, 0, objective)
	fx.directory.table.SetWorkspaces([]router.Credentials{
		{Workspace: router.Workspace{Name: "red", Rate: 1}, Keys: []router.KeyDigest{router.DigestKey("red-key")}},
		{Workspace: router.Workspace{Name: "blue"}, Keys: []router.KeyDigest{router.DigestKey("blue-key")}},
	})
	q := &fakeQuoter{left: left}
	fx.Quoter = q
	return fx, q
}

// Requests beyond a quota were run. A caller without a quota, and a request that another VM
// has counted, must not be asked for a token.
func TestRequestsBeyondQuotaAreRefused(t *testing.T) {
	fx, q := newFixtureWithQuota(t, time.Second, 1)
	red := []string{"Authorization", "Bearer red-key"}
	check(t, "within", fx.doWith("/often/q", "r1", fx.ServeHTTP, red...).Code, http.StatusOK)
	w := fx.doWith("/often/q", "r2", fx.ServeHTTP, red...)
	check(t, "beyond", w.Code, http.StatusTooManyRequests)
	check(t, "retry", w.Header().Get("Retry-After"), "1.500")
	check(t, "runs", fx.runs("plain", "r2"), 0)
	check(t, "without quota", fx.doWith("/often/q", "r3", fx.ServeHTTP, "Authorization", "Bearer blue-key").Code, http.StatusOK)
	delegated := append([]string{"Jackdawcart-Vm", "vm-2", "Jackdawcart-Version", "1"}, red...)
	check(t, "delegated", fx.doWith("/often/q", "r4", fx.ServeDelegated, delegated...).Code, http.StatusOK)
	check(t, "unknown key", fx.doWith("/often/q", "r5", fx.ServeHTTP, "Authorization", "Bearer other").Code, http.StatusUnauthorized)
	check(t, "taken", q.taken, []string{"red", "red"})
	check(t, "returned", len(q.returned), 0)
}

// The token of a request that has not run was lost to the workspace.
func TestTokenOfUnrunRequestIsReturned(t *testing.T) {
	// The request is given up well before a token is too old to be returned.
	fx, q := newFixtureWithQuota(t, 50*time.Millisecond, 9)
	fx.setBehaviour("plain", standin.Full)
	w := fx.doWith("/often/q", "r1", fx.ServeHTTP, "Authorization", "Bearer red-key")
	check(t, "status", w.Code, http.StatusServiceUnavailable)
	check(t, "returned", q.returned, []string{"red"})
}

// The token of a request that may have run must not be returned.
func TestTokenOfLostRequestIsKept(t *testing.T) {
	fx, q := newFixtureWithQuota(t, time.Second, 9)
	fx.setBehaviour("plain", standin.Hanging)
	w := fx.doWith("/once/q", "r1", fx.ServeHTTP, "Authorization", "Bearer red-key")
	check(t, "status", w.Code, http.StatusGatewayTimeout)
	check(t, "returned", len(q.returned), 0)
}
