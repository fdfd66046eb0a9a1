package quoter_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"jackdawcart.org/core/granter"
	"jackdawcart.org/core/registrar"
	"jackdawcart.org/core/router"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/entry/quoter"
)

var bounds = granter.Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// limitedWorkspace has a quota of which one VM gets no reserve.
var limitedWorkspace = &router.Workspace{Name: "red", Rate: 20, Burst: 10}

// vm is a quoter with its listener. Its clock can be moved on.
type vm struct {
	*quoter.Quoter
	member   registrar.Member
	listener net.Listener
	stop     context.CancelFunc
	scope    tally.TestScope
	logs     *observer.ObservedLogs
}

type fleet struct {
	vms   []*vm
	ahead atomic.Int64
}

func (f *fleet) now() time.Time { return quoter.BootTime().Add(time.Duration(f.ahead.Load())) }

func newFleet(t testing.TB, size int) *fleet {
	t.Helper()
	f := &fleet{}
	var members []registrar.Member
	for i := range size {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		core, logs := observer.New(zapcore.DebugLevel)
		v := &vm{listener: listener, scope: tally.NewTestScope("", nil), logs: logs}
		v.member = registrar.Member{Name: fmt.Sprintf("vm-%d", i), Domain: "a", QuotaAddress: netip.MustParseAddrPort(listener.Addr().String())}
		v.Quoter = quoter.New(bounds, quoter.Dependencies{
			Self: v.member, Dial: dial, Timers: timer.NewService(), Now: f.now, Scope: v.scope, Log: zap.New(core),
		})
		members = append(members, v.member)
		f.vms = append(f.vms, v)
		ctx, cancel := context.WithCancel(context.Background())
		served, ran := make(chan struct{}), make(chan struct{})
		go func() { defer close(served); v.Serve(ctx, listener) }()
		go func() { defer close(ran); v.Run(ctx) }()
		v.stop = func() { cancel(); v.Close(); <-served; <-ran }
		t.Cleanup(v.stop)
	}
	for _, v := range f.vms {
		v.SetWorkspaces([]*router.Workspace{limitedWorkspace})
		v.SetMembers(members)
	}
	return f
}

func dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address.String())
}

// awaitGrants waits until a VM is admitted by another one.
func (f *fleet) awaitGrants(t *testing.T, v *vm) {
	t.Helper()
	for deadline := time.Now().Add(8 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if verdict := v.take(t); verdict.Admitted && verdict.Source != "reserve" {
			return
		}
	}
	t.Fatal("no grant within 8 s of the start")
}

func (v *vm) take(t *testing.T) quoter.Verdict {
	t.Helper()
	return v.Take(t.Context(), limitedWorkspace, false, time.Now().Add(time.Second))
}

// byRole returns the keeper and another VM.
func (f *fleet) byRole() (keeper, other *vm) {
	members := make([]granter.Member, len(f.vms))
	for i, v := range f.vms {
		members[i] = granter.Member{Name: v.member.Name, Domain: "a"}
	}
	name := granter.NewList(members).Keeper(limitedWorkspace.Name).Name
	for _, v := range f.vms {
		if v.member.Name == name {
			keeper = v
		} else {
			other = v
		}
	}
	return keeper, other
}

// Tokens must come from the keeper through a connection, and what exceeds the quota must be
// refused with the time at which there are tokens again.
func TestTokensOfAnotherVM(t *testing.T) {
	f := newFleet(t, 2)
	_, other := f.byRole()
	f.awaitGrants(t, other)
	admitted, refused := 0, 0
	for range 200 {
		verdict := other.take(t)
		switch {
		case verdict.Admitted:
			admitted++
		case verdict.RetryAfter <= 0:
			t.Error("refused without a time")
		default:
			refused++
		}
	}
	if refused == 0 || admitted > 60 {
		t.Errorf("%d admitted and %d refused at once, want at most 60 admitted", admitted, refused)
	}
	lines := other.logs.FilterMessage("workspace denied").Len()
	if lines != 1 {
		t.Errorf("%d lines for one denial", lines)
	}
}

// A workspace without a quota must cause no message and no wait.
func TestWithoutQuota(t *testing.T) {
	f := newFleet(t, 2)
	for _, w := range []*router.Workspace{nil, {Name: "free"}} {
		if verdict := f.vms[0].Take(t.Context(), w, false, time.Now()); !verdict.Admitted || verdict.Source != "unlimited" {
			t.Errorf("%v: %+v", w, verdict)
		}
	}
}

// A token that is returned must serve the next request.
func TestReturnedTokenIsUsed(t *testing.T) {
	f := newFleet(t, 2)
	_, other := f.byRole()
	f.awaitGrants(t, other)
	for other.take(t).Admitted {
		continue
	}
	other.Return(limitedWorkspace)
	if verdict := other.take(t); !verdict.Admitted || verdict.Source != "credit" {
		t.Errorf("after a return: %+v", verdict)
	}
}

// A message that cannot be read must end its connection only.
func TestMalformedMessages(t *testing.T) {
	f := newFleet(t, 2)
	keeper, other := f.byRole()
	f.awaitGrants(t, other)
	for name, bytes := range map[string]string{
		"text": "GET / HTTP/1.1\r\n\r\n", "huge length": "\xff\xff\xff\xff\x0f", "empty": "\x00", "not a message": "\x03\xff\xff\xff",
		"negative rate": "\x10\x10\x01\x1a\x01v\x2a\x01w\x31\x00\x00\x00\x00\x00\x00\xf0\xbf",
	} {
		conn, err := net.Dial("tcp", keeper.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
		_, _ = conn.Write([]byte(bytes))
		if n, err := conn.Read(make([]byte, 10)); err == nil {
			t.Errorf("%s: answered with %d bytes", name, n)
		}
		conn.Close()
	}
	f.awaitGrants(t, other)
	if n := keeper.logs.FilterMessage("malformed message about quotas").Len(); n == 0 {
		t.Error("no line")
	}
}

// A VM that accepts connections and never answers must delay a request only until the time
// for an answer ends, and the next ones not at all.
func TestSilentKeeper(t *testing.T) {
	const askTime = 80 * time.Millisecond
	f := newFleet(t, 3)
	keeper, other := f.byRole()
	f.awaitGrants(t, other)
	// The members are known under an address where nothing answers.
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	members := make([]registrar.Member, len(f.vms))
	for i, v := range f.vms {
		members[i] = v.member
		if v == keeper {
			members[i].QuotaAddress = netip.MustParseAddrPort(silent.Addr().String())
		}
	}
	other.SetMembers(members)
	f.ahead.Add(int64(3 * time.Second))
	began := time.Now()
	other.take(t)
	if took := time.Since(began); took < askTime {
		t.Errorf("the first request waited %v, want at least %v", took, askTime)
	}
	if s, ok := other.scope.Snapshot().Counters()["quota_messages+outcome=unanswered"]; !ok || s.Value() == 0 {
		t.Error("no unanswered message counted")
	}
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	time.Sleep(1100 * time.Millisecond)
	began = time.Now()
	other.Take(cancelled, limitedWorkspace, false, time.Now().Add(time.Second))
	if took := time.Since(began); took > askTime/2 {
		t.Errorf("a request whose caller has left waited %v", took)
	}
}

// Tokens from before a suspension must not be used after it.
func TestCreditEndsWithSuspension(t *testing.T) {
	f := newFleet(t, 2)
	_, other := f.byRole()
	f.awaitGrants(t, other)
	for range 30 {
		other.take(t)
		time.Sleep(20 * time.Millisecond)
	}
	f.ahead.Add(int64(time.Minute))
	if verdict := other.take(t); verdict.Source == "credit" {
		t.Errorf("after a suspension: %+v", verdict)
	}
}
