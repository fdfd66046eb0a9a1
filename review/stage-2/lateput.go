package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

func init() { cases["lateput"] = playLatePut }

const (
	// lateBy is how long after its arrival a write without an answer is executed; the pages
	// name 1 to 6 s.
	lateBy = 4 * time.Second
	// recovery is the bound recoveryS.
	recovery = 15 * time.Second
)

// lossyStore loses the answers of some transactions and executes them late.
type lossyStore struct {
	stage *Stage
	next  http.Handler

	mu sync.Mutex
	// armed holds the names of the machines whose next transaction is lost.
	armed        map[string]bool
	writes, lost int
}

func (l *lossyStore) arm(vms []*VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writes, l.lost = 0, 0
	for _, vm := range vms {
		l.armed[vm.Name] = true
	}
}

// ServeHTTP implements http.Handler.
func (l *lossyStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// Renewals count as reads.
	if r.Method != http.MethodPost || strings.HasPrefix(r.URL.Path, "/-/kv-keep/") {
		l.next.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	name := writtenName(body)
	l.mu.Lock()
	l.writes++
	lose := l.armed[name]
	delete(l.armed, name)
	if lose {
		l.lost++
	}
	l.mu.Unlock()
	l.stage.Note("store  %s %s, answer lost: %v", r.URL.Path, body, lose)
	if !lose {
		r.Body = io.NopCloser(bytes.NewReader(body))
		l.next.ServeHTTP(w, r)
		return
	}
	time.AfterFunc(lateBy, func() {
		late, answer := httptest.NewRequest(http.MethodPost, r.URL.Path, bytes.NewReader(body)), httptest.NewRecorder()
		l.next.ServeHTTP(answer, late)
		l.stage.Note("store  executes %s %s: %d", r.URL.Path, body, answer.Code)
	})
	panic(http.ErrAbortHandler)
}

// writtenName returns the last part of the first key that a transaction writes, empty for
// other calls.
func writtenName(body []byte) string {
	var t struct {
		PutItems []struct {
			Key string `json:"key"`
		} `json:"putItems"`
	}
	if json.Unmarshal(body, &t) != nil || len(t.PutItems) == 0 {
		return ""
	}
	return t.PutItems[0].Key[strings.LastIndex(t.PutItems[0].Key, "/")+1:]
}

// playLatePut kills all processes; while they start again, the store loses the answer of one
// write of each and executes it 4 s later.
func playLatePut(s *Stage) {
	const key = "pfd4n8hkcaac6dnvhz6p"
	lossy := &lossyStore{stage: s, armed: make(map[string]bool)}
	store := s.ServeStore(func(next http.Handler) http.Handler {
		lossy.next = next
		return lossy
	})
	s.Configure(map[string]any{
		"version": 1, "routes": []any{PlainRoute("/goka902/", "idempotent", "certificados", 2)}, "services": []any{Service("certificados")},
		"tenants": []any{map[string]any{"name": "kami770", "apiKeys": []string{key}, "priority": 0, "ratePerS": 44, "burst": 44}},
	})
	for i := range 3 {
		s.StartBackend(&Backend{ID: fmt.Sprintf("i-%d", i), Service: "certificados", Zone: Zones[i], Work: 10 * time.Millisecond})
	}
	const quotas = "bounds.recoveryS=15\nbounds.quotaWindowS=5\nbounds.quotaOverage=0.1\nbounds.quotaSlack=20\n"
	vms := []*VM{s.NewVM(0, Zones[0], store, quotas), s.NewVM(1, Zones[1], store, quotas)}
	startAll := func() {
		for _, vm := range vms {
			vm.Start()
		}
		for _, vm := range vms {
			vm.WaitReady(10 * time.Second)
		}
	}
	startAll()
	client := s.NewClient()
	n := 0
	// serve sends ten requests a second, less than a quarter of the quota.
	serve := func(length time.Duration) (served, sent int) {
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			n++
			id := fmt.Sprintf("%016x", n)
			s.Note("sent   request %s", id)
			if a := client.Send(vms[n%len(vms)], "GET", "/goka902/2f", id, 2500*time.Millisecond, "", key); a.Status == http.StatusOK {
				served++
			}
			sent++
		}
		return served, sent
	}
	time.Sleep(5 * time.Second)
	served, sent := serve(5 * time.Second)
	s.Note("before: %d of %d requests served", served, sent)
	if s.Trouble {
		lossy.arm(vms)
	}
	for _, vm := range vms {
		vm.Signal(killSignal)
		vm.WaitEnd()
	}
	startAll()
	back := time.Now()
	served, sent = serve(recovery)
	s.Note("during the recovery: %d of %d requests served", served, sent)
	total, ok := 0, 0
	for time.Since(back) < recovery+72*time.Second {
		served, sent = serve(12 * time.Second)
		ok, total = ok+served, total+sent
		s.Note("%.0f s after the start: %d of the last %d requests served; registered machines: %q",
			time.Since(back).Seconds(), served, sent, s.Store.Keys("entry-vms/"))
	}
	lossy.mu.Lock()
	s.Note("%d of %d writes since the start had no answer", lossy.lost, lossy.writes)
	lossy.mu.Unlock()
	s.Note("%d of %d requests sent later than %v after the machines were back were served", ok, total, recovery)
	if ok*4 < total {
		s.Broken("RECOVER: less than a quarter: %d of %d", ok, total)
	}
}
