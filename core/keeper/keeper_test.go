package keeper_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"jackdawcart.org/core/keeper"
)

// fakeStore is a store with a single key that can drop answers and delay writes.
type fakeStore struct {
	mu         sync.Mutex
	value      string
	revision   uint64
	puts       int
	dropAnswer bool          // break the connection after the write
	writeDelay time.Duration // apply the write after the connection broke
}

func (s *fakeStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodGet {
		_ = json.NewEncoder(w).Encode(s.entry())
		return
	}
	var body struct {
		Value    string `json:"value"`
		Expected uint64 `json:"expected-revision"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	s.puts++
	if s.writeDelay > 0 {
		time.AfterFunc(s.writeDelay, func() { s.mu.Lock(); s.write(body.Value); s.mu.Unlock() })
		panic(http.ErrAbortHandler)
	}
	if body.Expected != s.revision {
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(s.entry())
		return
	}
	s.write(body.Value)
	if s.dropAnswer {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(s.entry())
}

func (s *fakeStore) write(value string) { s.value, s.revision = value, s.revision+3 }

func (s *fakeStore) entry() map[string]any {
	return map[string]any{"key": "services/agenda", "value": s.value, "revision": s.revision}
}

func newTestClient(t testing.TB, h http.Handler) *keeper.Client {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	return keeper.NewClient(keeper.Settings{Address: address, CallTimeout: time.Second})
}

var platformAddress = netip.MustParseAddrPort("127.0.0.1:7000")

func newEdit(id string, seenRevision uint64) keeper.Edit {
	value := fmt.Appendf(nil, "{ // by its team\n\"edit\": %q}", id)
	return keeper.Edit{Key: "services/agenda", Value: value, SeenRevision: seenRevision, ID: id}
}

func kindOf(err error) keeper.Kind {
	var failure *keeper.Error
	if errors.As(err, &failure) {
		return failure.Kind
	}
	return ""
}

func ExampleIsTombstone() {
	value := keeper.Tombstone("agenda", "e-17")
	fmt.Println(string(value), keeper.IsTombstone(value))
	// Output: {"service":"agenda","deleted":true,"edit":"e-17"} true
}

// An edit whose answer was lost must be resolved by reading the entry, not written
// again, even if the write takes effect after the connection broke.
func TestEditResolvesLostAnswer(t *testing.T) {
	for name, s := range map[string]*fakeStore{"at once": {dropAnswer: true}, "late": {writeDelay: 300 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			entry, err := newTestClient(t, s).Edit(t.Context(), newEdit("one", 0))
			if err != nil || entry.Revision != 3 {
				t.Fatalf("entry %v, error %v", entry, err)
			}
			if s.puts != 1 {
				t.Fatalf("the edit was written %d times, want once", s.puts)
			}
		})
	}
}

// Of two concurrent edits, the rejected one must return the current entry and
// change nothing.
func TestEditRaceShowsCurrentEntry(t *testing.T) {
	s := &fakeStore{}
	client := newTestClient(t, s)
	won, err := client.Edit(t.Context(), newEdit("one", 0))
	if err != nil {
		t.Fatal(err)
	}
	_, err = client.Edit(t.Context(), newEdit("two", 0))
	var failure *keeper.Error
	if !errors.As(err, &failure) || failure.Kind != keeper.KindConflict {
		t.Fatalf("error %v", err)
	}
	if diff := cmp.Diff(&won, failure.Current); diff != "" {
		t.Fatal(diff)
	}
	if again, err := client.Edit(t.Context(), newEdit("one", 0)); err != nil || again.Revision != won.Revision {
		t.Fatalf("repeated edit: %v, %v", again, err)
	}
}

// A write whose answer was lost must not be reported as refused if another edit
// may have replaced it.
func TestEditReplacedAfterLossStaysUnknown(t *testing.T) {
	s := &fakeStore{dropAnswer: true}
	client := newTestClient(t, overwritingStore{s})
	_, err := client.Edit(t.Context(), newEdit("one", 0))
	var failure *keeper.Error
	if !errors.As(err, &failure) || failure.Kind != keeper.KindUnknownOutcome || failure.Current == nil {
		t.Fatalf("error %v", err)
	}
}

// overwritingStore replaces the entry before each read.
type overwritingStore struct{ *fakeStore }

func (o overwritingStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		o.mu.Lock()
		o.write(`{"edit":"other"}`)
		o.mu.Unlock()
	}
	o.fakeStore.ServeHTTP(w, r)
}

// A write that was not sent, because there was no connection, must not be reported
// as possibly in effect.
func TestPutWithoutConnectionIsUnreachable(t *testing.T) {
	client := keeper.NewClient(keeper.Settings{Address: netip.MustParseAddrPort("127.0.0.1:1")})
	_, err := client.Put(t.Context(), keeper.Write{Key: "k"})
	if kindOf(err) != keeper.KindUnreachable {
		t.Fatal(err)
	}
}

// A value above the limit must be rejected when read and when written.
func TestValueLimit(t *testing.T) {
	large := strings.Repeat("x", keeper.MaxValueBytes+1)
	client := newTestClient(t, &fakeStore{value: large, revision: 1})
	if _, err := client.Get(t.Context(), "services/agenda"); kindOf(err) != keeper.KindTooLarge {
		t.Fatal(err)
	}
	if _, err := client.Put(t.Context(), keeper.Write{Key: "k", Value: []byte(large)}); kindOf(err) != keeper.KindTooLarge {
		t.Fatal(err)
	}
}

// cannedTransport returns the same answer to every request.
type cannedTransport struct {
	status      int
	body        string
	lastRequest *http.Request
}

func (a *cannedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	a.lastRequest = r
	body := io.NopCloser(strings.NewReader(a.body))
	return &http.Response{StatusCode: a.status, Status: http.StatusText(a.status), Body: body}, nil
}

// Paths, watch parameters and lists must match the platform's protocol.
func TestProtocol(t *testing.T) {
	a := &cannedTransport{status: 200, body: `{"revision":9,"entries":[{"key":"services/a","value":"v","revision":7}]}`}
	client := keeper.NewClient(keeper.Settings{Address: platformAddress, Transport: a})
	got, err := client.Watch(t.Context(), "services/", 5, 10*time.Second)
	want := keeper.Listing{Revision: 9, Entries: []keeper.Entry{{Key: "services/a", Value: []byte("v"), Revision: 7}}}
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Fatal(diff, err)
	}
	if q := a.lastRequest.URL.RequestURI(); q != "/v1/watch?after-revision=5&prefix=services%2F&wait=10s" {
		t.Fatal(q)
	}
	a.body = `{"vms":[{"name":"vm1","address":"10.0.0.1","failure-domain":"parana","state":"leaving"}]}`
	vms, err := client.VMs(t.Context())
	if err != nil || len(vms) != 1 || vms[0].State != keeper.VMLeaving {
		t.Fatal(vms, err)
	}
	a.body = `{"id":"l1"}`
	lease, err := client.Grant(t.Context(), time.Second)
	if err != nil || client.Renew(t.Context(), lease) != nil || a.lastRequest.URL.Path != "/v1/leases/l1" {
		t.Fatal(lease, err)
	}
	a.status = http.StatusBadGateway
	if err := client.Renew(t.Context(), lease); kindOf(err) != keeper.KindUnknownOutcome {
		t.Fatal(err)
	}
}

// Any answer must yield a result within the limits of the request or a typed
// error.
func FuzzAnswers(f *testing.F) {
	f.Add(200, `{"key":"k","value":"v","revision":1}`)
	f.Add(409, `{"current":{"key":"k","value":"v","revision":2}}`)
	f.Add(200, `{"revision":1,"entries":[{"key":"k","revision":4}]}`)
	f.Fuzz(func(t *testing.T, status int, body string) {
		client := keeper.NewClient(keeper.Settings{Address: platformAddress, Transport: &cannedTransport{status: status, body: body}})
		ctx := context.Background()
		_, getErr := client.Get(ctx, "k")
		listing, listErr := client.List(ctx, "k")
		_, putErr := client.Put(ctx, keeper.Write{Key: "k"})
		_, vmsErr := client.VMs(ctx)
		for _, err := range []error{getErr, listErr, putErr, vmsErr} {
			if err != nil && kindOf(err) == "" {
				t.Fatalf("untyped error %v", err)
			}
		}
		for _, e := range listing.Entries {
			if !strings.HasPrefix(e.Key, "k") || len(e.Value) > keeper.MaxValueBytes {
				t.Fatalf("entry outside the request: %+v", e)
			}
		}
	})
}
