package runner_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"jackdawcart.org/core/granter"
	"jackdawcart.org/platform/standin"
)

const quotaKey = "key-of-the-workspace-red"

// Callers that send three times the quota of a workspace through three VMs had all their
// requests run. The runs must stay within the bound of the platform in each window, also when
// the keeper is killed and started again, and the quota must not be left unused.
func TestQuotaIsKept(t *testing.T) {
	const (
		rate, burst = 20.0, 10.0
		window      = 5 * time.Second
		bound       = (rate*5+burst)*1.1 + 20
		interval    = 16 * time.Millisecond
		warmUp      = 8 * time.Second
		steady      = 10 * time.Second
		killed      = 12 * time.Second
	)
	fx := newFleetWithSettings(t, 3, func(_ int, fx *fleet) http.Handler { return fx.store },
		"bounds.quotaWindowS=5\nbounds.quotaOverage=0.1\nbounds.quotaSlack=20\n")
	fx.store.Configure(standin.Configuration{
		Version: 2, Shards: shardCount, LatencyObjective: 500 * time.Millisecond, MinShardShare: 0.75,
		Workspaces: []standin.Workspace{{Name: "red", Keys: []string{quotaKey}, Rate: rate, Burst: burst}, {Name: "free", Keys: []string{"free-key"}}},
	})
	// Until the configuration is in force everywhere, requests are served without a key.
	for vm := range fx.vms {
		for fx.do(t, vm, http.MethodGet, "/often/q", "configured") != http.StatusUnauthorized {
			time.Sleep(20 * time.Millisecond)
		}
	}
	began := time.Now()
	var mu sync.Mutex
	var running sync.WaitGroup
	statuses := make(map[int]int)
	running.Go(func() {
		for n := 0; time.Since(began) < warmUp+steady+killed; n++ {
			running.Go(func() {
				status, header := fx.sendWithKey(t, n%len(fx.vms), quotaKey, fmt.Sprint("q", n))
				mu.Lock()
				defer mu.Unlock()
				statuses[status]++
				if status == http.StatusTooManyRequests && header.Get("Retry-After") == "" {
					t.Error("429 without Retry-After")
				}
			})
			time.Sleep(interval)
		}
	})
	time.Sleep(warmUp + steady)
	fx.restart(t, quotaKeeper(len(fx.vms), "red"))
	running.Wait()
	for _, vm := range []int{0, 1, 2} {
		status, _ := fx.sendWithKey(t, vm, "free-key", fmt.Sprint("free", vm))
		if status != http.StatusOK {
			t.Errorf("workspace without a quota: status %d", status)
		}
	}
	var arrivals []time.Time
	for _, target := range fx.running() {
		if target.Service == standin.PlainService {
			arrivals = append(arrivals, target.Arrivals()...)
		}
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	most := mostWithin(arrivals, began, window)
	inSteady := 0
	for _, at := range arrivals {
		if since := at.Sub(began); since >= warmUp && since < warmUp+steady {
			inSteady++
		}
	}
	t.Logf("at most %d of %.0f in a window, %d in %v, statuses %v", most, bound, inSteady, steady, statuses)
	if float64(most) > bound {
		t.Errorf("%d requests in a window, want at most %.0f", most, bound)
	}
	if want := 0.9 * rate * steady.Seconds(); float64(inSteady) < want {
		t.Errorf("%d requests in %v, want at least %.0f", inSteady, steady, want)
	}
	if statuses[http.StatusTooManyRequests] == 0 {
		t.Error("no request was refused")
	}
	if strings.Contains(fx.logs(t), quotaKey) {
		t.Error("a log has the key")
	}
}

// quotaKeeper returns the index of the VM that is the keeper of a workspace.
func quotaKeeper(vms int, workspace string) int {
	members := make([]granter.Member, vms)
	for i := range members {
		members[i] = granter.Member{Name: fmt.Sprintf("vm-%d", i), Domain: domain(i)}
	}
	return slices.Index(members, granter.NewList(members).Keeper(workspace))
}

// sendWithKey sends a request with a key and returns the status and headers of the answer; 0
// if there is none.
func (fx *fleet) sendWithKey(t *testing.T, vm int, key, id string) (int, http.Header) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+fx.vms[vm].callers+"/often/q", http.NoBody)
	if err != nil {
		t.Error(err)
		return 0, nil
	}
	request.Host = "x.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "1500")
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		// The VM has been killed.
		return 0, nil
	}
	response.Body.Close()
	return response.StatusCode, response.Header
}
