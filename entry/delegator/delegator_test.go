package delegator_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jackdawcart.org/core/registrar"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/entry/delegator"
)

// vms records which VMs were asked.
type vms struct {
	mu      sync.Mutex
	asked   []string
	members []registrar.Member
}

// add starts a VM that takes requests.
func (v *vms) add(t *testing.T, name string, serve http.HandlerFunc) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v.mu.Lock()
		v.asked = append(v.asked, name)
		v.mu.Unlock()
		serve(w, r)
	}))
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	v.members = append(v.members, registrar.Member{Name: name, Domain: "a", RequestAddress: address})
}

// delegate passes a request on with these VMs as neighbours.
func (v *vms) delegate(t *testing.T) (delegator.Outcome, *delegator.Delegator) {
	t.Helper()
	timers := timer.NewService()
	t.Cleanup(timers.Close)
	d := delegator.New(registrar.Member{Name: "vm-self", Domain: "a"}, dial, timers)
	t.Cleanup(d.Close)
	d.SetMembers(v.members)
	outcome := d.Delegate(t.Context(), delegator.Request{
		Method: http.MethodPost, ID: "r-1", Body: []byte("body"), Arrived: time.Now(), Deadline: time.Now().Add(time.Second),
		MaxBodyBytes: 1 << 20, Version: 7,
		Head: func(hop http.Header, _ time.Duration) []byte {
			head := "POST /x HTTP/1.1\r\nHost: x.example\r\nContent-Length: 4\r\n"
			for name := range hop {
				head += fmt.Sprintf("%s: %s\r\n", name, hop.Get(name))
			}
			return []byte(head + "\r\n")
		},
	}, time.Second)
	return outcome, d
}

func dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address.String())
}

func unavailable(w http.ResponseWriter, _ *http.Request) {
	delegator.SetUnavailable(w.Header(), delegator.ReasonCutOff)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// A request must reach a VM that takes it past one that is cut off too and one that is gone,
// and its answer must come back as it is.
func TestNextVMIsAsked(t *testing.T) {
	var v vms
	v.add(t, "vm-cut-off", unavailable)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	v.members = append(v.members, registrar.Member{
		Name: "vm-gone", Domain: "a", RequestAddress: netip.MustParseAddrPort(listener.Addr().String()),
	})
	v.add(t, "vm-serves", func(w http.ResponseWriter, r *http.Request) {
		hop := delegator.TakeHop(r.Header)
		if hop.VM != "vm-self" || hop.MinVersion != 7 {
			t.Errorf("hop %+v, want vm-self and version 7", hop)
		}
		delegator.SetVersion(w.Header(), 9)
		w.Header().Set("Retry-After", "0.5")
		w.WriteHeader(http.StatusTeapot)
		fmt.Fprint(w, "answer")
	})
	outcome, d := v.delegate(t)
	got := []any{outcome.VM, outcome.Reply.Status, string(outcome.Reply.Body), outcome.Reply.Header.Get("Retry-After"), d.Version()}
	if diff := cmp.Diff([]any{"vm-serves", http.StatusTeapot, "answer", "0.5", int64(9)}, got); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
	if version := outcome.Reply.Header.Get("Jackdawcart-Version"); version != "" {
		t.Errorf("the caller would get the header of the hop: %s", version)
	}
}

// A VM that ends the connection after it has taken a request may have run it, so no other
// VM may get it.
func TestLostRequestIsNotPassedOnAgain(t *testing.T) {
	var v vms
	for i := range 3 {
		v.add(t, fmt.Sprintf("vm-%d", i), func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	}
	outcome, _ := v.delegate(t)
	if outcome.VM == "" || outcome.Reply.Err == nil {
		t.Errorf("outcome %+v, want a lost request", outcome)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.asked) != 1 {
		t.Errorf("asked %v, want one VM", v.asked)
	}
}

// Without a VM that takes it, a request has not run.
func TestNoVMTakesRequest(t *testing.T) {
	var v vms
	v.add(t, "vm-1", unavailable)
	v.add(t, "vm-2", unavailable)
	if outcome, _ := v.delegate(t); outcome.VM != "" || outcome.Asked != 2 {
		t.Errorf("outcome %+v, want no VM after two", outcome)
	}
}

// A request that a VM has taken must go to no other one, whatever its kind: both could send it
// to as many targets as its route allows. Idempotent requests that were passed on after a third of
// their time ran on three targets of a shard instead of two (stranded-mixed: 61 requests).
func TestTakenRequestGoesToNoOtherVM(t *testing.T) {
	var v vms
	first, frozen := make(chan struct{}, 1), make(chan struct{})
	first <- struct{}{}
	for i := range 3 {
		v.add(t, fmt.Sprintf("vm-%d", i), func(w http.ResponseWriter, _ *http.Request) {
			select {
			case <-first:
				<-frozen
			default:
				fmt.Fprint(w, "answer")
			}
		})
	}
	// The servers are closed after this, and wait for the request.
	t.Cleanup(func() { close(frozen) })
	outcome, _ := v.delegate(t)
	if outcome.Reply.Err == nil || outcome.Asked != 1 {
		t.Errorf("%d VMs were asked, error %v; want one and no answer", outcome.Asked, outcome.Reply.Err)
	}
}
