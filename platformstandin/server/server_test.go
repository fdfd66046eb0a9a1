package server_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"jackdawcart.org/platformstandin/server"
	"jackdawcart.org/platformstandin/storer"
)

type platform struct {
	*server.Server
	url string
}

func start(t *testing.T, limits server.Limits, vmLag time.Duration) platform {
	t.Helper()
	s := server.New(storer.New(), limits, vmLag, zap.NewNop())
	httpServer := httptest.NewServer(s.Handler())
	t.Cleanup(httpServer.Close)
	return platform{s, httpServer.URL}
}

// call returns the status and body of the answer, or "no answer" if the call
// fails.
func (p platform) call(method, path, body string) string {
	request, err := http.NewRequest(method, p.url+path, strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return "no answer"
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return fmt.Sprintf("%d %s", response.StatusCode, text)
}

func (p platform) fetchRecord(t *testing.T) server.Record {
	t.Helper()
	var record server.Record
	body := strings.TrimPrefix(p.call(http.MethodGet, "/control/record", ""), "200 ")
	if err := json.Unmarshal([]byte(body), &record); err != nil {
		t.Fatal(err)
	}
	return record
}

func (p platform) inject(t *testing.T, faults string) {
	t.Helper()
	if got := p.call(http.MethodPost, "/control", faults); got != "204 " {
		t.Fatal(got)
	}
}

// Clients depend on the exact form of the answers, which is the published
// platform protocol.
func TestProtocol(t *testing.T) {
	p := start(t, server.Limits{}, 0)
	steps := []struct{ method, path, body, want string }{
		{"PUT", "/v1/kv/services/a", `{"value":"x","expected-revision":0}`, `200 {"key":"services/a","value":"x","revision":1}`},
		{"PUT", "/v1/kv/services/a", `{"value":"y"}`, `409 {"code":"revision-mismatch","message":"storer: put: revision-mismatch","key":"services/a","value":"x","revision":1}`},
		{"GET", "/v1/kv/services/a", "", `200 {"key":"services/a","value":"x","revision":1}`},
		{"GET", "/v1/kv/services/b", "", `404 {"code":"not-found","message":"storer: get: not-found"}`},
		{"GET", "/v1/kv?prefix=services/", "", `200 {"revision":1,"entries":[{"key":"services/a","value":"x","revision":1}]}`},
		{"GET", "/v1/watch?prefix=services/&after-revision=1&wait=20ms", "", `200 {"revision":1,"entries":[]}`},
		{"POST", "/v1/leases", `{"ttl":"10s"}`, `200 {"id":"lease-1","ttl":"10s"}`},
		{"PUT", "/v1/leases/lease-1", "", `200 {"id":"lease-1","ttl":"10s"}`},
		{"PUT", "/v1/leases/lease-2", "", `404 {"code":"lease-expired","message":"storer: renew: lease-expired"}`},
		{"GET", "/v1/vms", "", `200 {"vms":[]}`},
	}
	for _, step := range steps {
		if diff := cmp.Diff(step.want, p.call(step.method, step.path, step.body)); diff != "" {
			t.Errorf("%s %s: %s", step.method, step.path, diff)
		}
	}
	want := map[string]int{"put": 2, "get": 2, "list": 1, "watch": 1, "lease-grant": 1, "lease-renew": 2, "vms": 1}
	if diff := cmp.Diff(want, p.fetchRecord(t).Calls); diff != "" {
		t.Error(diff)
	}
}

// A write whose answer is lost takes effect nevertheless.
func TestLostAnswer(t *testing.T) {
	p := start(t, server.Limits{}, 0)
	p.inject(t, `[{"kind":"lose-answer"}]`)
	if got := p.call("PUT", "/v1/kv/k", `{"value":"x"}`); got != "no answer" {
		t.Error(got)
	}
	if got := p.call("GET", "/v1/kv/k", ""); got != `200 {"key":"k","value":"x","revision":1}` {
		t.Error(got)
	}
	if n := p.fetchRecord(t).LostAnswers; n != 1 {
		t.Errorf("record counts %d lost answers, want 1", n)
	}
}

// An outage refuses calls, including a watch that is already waiting. A silent
// outage blocks calls until it expires.
func TestOutageAndSlowness(t *testing.T) {
	p := start(t, server.Limits{}, 0)
	watch := make(chan string)
	go func() { watch <- p.call("GET", "/v1/watch?wait=1s", "") }()
	for p.fetchRecord(t).Calls["watch"] == 0 {
		time.Sleep(time.Millisecond)
	}
	p.inject(t, `[{"kind":"outage","for":"3s"}]`)
	const down = `503 {"code":"outage","message":"the platform is down"}`
	if got := p.call("GET", "/v1/vms", ""); got != down {
		t.Error(got)
	}
	if got := <-watch; got != down {
		t.Error(got)
	}
	p.inject(t, `[{"kind":"clear"},{"kind":"outage","silent":true,"for":"100ms"},{"kind":"slow","delay":"50ms"}]`)
	began := time.Now()
	if got := p.call("GET", "/v1/vms", ""); got != `200 {"vms":[]}` {
		t.Error(got)
	}
	if took := time.Since(began); took < 90*time.Millisecond {
		t.Errorf("call during a silent outage took %v", took)
	}
}

// Changes of the VM list become visible after the lag, calls above the rate limit
// get an error code and invalid faults are rejected.
func TestVMLagAndRateLimit(t *testing.T) {
	p := start(t, server.Limits{WritesPerSecond: 1}, 500*time.Millisecond)
	const live = `{"vms":[{"name":"vm-1","address":"127.0.0.1:1","failure-domain":"rosario","state":"live"}]}`
	leaving := strings.Replace(live, `"live"`, `"leaving"`, 1)
	for _, body := range []string{live, leaving} {
		if got := p.call("POST", "/control/vms", body); got != "204 " {
			t.Fatal(got)
		}
	}
	if got := p.call("GET", "/v1/vms", ""); got != "200 "+live {
		t.Errorf("VM list changed before the lag: %s", got)
	}
	time.Sleep(510 * time.Millisecond)
	if got := p.call("GET", "/v1/vms", ""); got != "200 "+leaving {
		t.Errorf("VM list is out of date after the lag: %s", got)
	}
	p.call("PUT", "/v1/kv/a", `{"value":"x"}`)
	if got := p.call("PUT", "/v1/kv/b", `{"value":"x"}`); !strings.HasPrefix(got, `429 {"code":"overloaded"`) {
		t.Error(got)
	}
	for _, body := range []string{`[{"kind":"typo"}]`, `[{"kind":"slow"}]`, `{}`} {
		if got := p.call("POST", "/control", body); !strings.HasPrefix(got, "400 ") {
			t.Errorf("%s: %s", body, got)
		}
	}
}
