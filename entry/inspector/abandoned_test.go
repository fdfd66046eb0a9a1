package inspector_test

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"testing"
	"time"

	"jackdawcart.org/core/registrar"
	"jackdawcart.org/entry/inspector"
)

// targetAt is a target that started at a time, at an address of its own.
func targetAt(id string, port uint16, born time.Time) registrar.Record {
	return registrar.Record{Target: registrar.Target{
		ID: id, Service: "s", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), port), Born: born,
	}}
}

// acceptOnce returns a dialer to targets that accept the probe of a request that is given up,
// and refuse all later ones.
func acceptOnce() inspector.Dialer {
	var accepted sync.Map
	return func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		if _, known := accepted.LoadOrStore(address, true); known {
			return refuse(ctx, address)
		}
		return accept(ctx, address)
	}
}

func dontAnswer(context.Context, netip.AddrPort) (net.Conn, error) {
	return nil, os.ErrDeadlineExceeded
}

// A request that was given up counts as the cause if its target is gone soon after,
// however that shows, but not if the target leaves as planned, or is merely silent.
func TestTargetGoneAfterRequestWasGivenUp(t *testing.T) {
	event := func(change registrar.Change, record registrar.Record) func(*inspector.Inspector) {
		return func(i *inspector.Inspector) { i.TargetChanged(registrar.Event{Change: change, Record: record}) }
	}
	born, other := time.Unix(1000, 0), uint64(9)
	cases := []struct {
		name string
		dial inspector.Dialer
		// idle targets answer no other request after the one that is given up.
		idle bool
		// gone tells the inspector what became of the target with an ID and a port.
		gone func(id string, port uint16) func(*inspector.Inspector)
		want bool
	}{
		{"idle connection ends", acceptOnce(), true, func(id string, _ uint16) func(*inspector.Inspector) {
			return func(i *inspector.Inspector) { i.ConnectionEnded(id) }
		}, true},
		{"idle connection of a live target ends", accept, true, func(id string, _ uint16) func(*inspector.Inspector) {
			return func(i *inspector.Inspector) { i.ConnectionEnded(id) }
		}, false},
		{"refuses connections at once", refuse, true, func(string, uint16) func(*inspector.Inspector) {
			return func(*inspector.Inspector) {}
		}, true},
		{"silent", dontAnswer, true, func(id string, _ uint16) func(*inspector.Inspector) {
			return func(i *inspector.Inspector) { i.ConnectionEnded(id) }
		}, false},
		{"registration ends", acceptOnce(), true, func(id string, port uint16) func(*inspector.Inspector) {
			return event(registrar.Removed, targetAt(id, port, born))
		}, true},
		{"another target has the address", accept, false, func(_ string, port uint16) func(*inspector.Inspector) {
			return event(registrar.Added, targetAt("new", port, born))
		}, true},
		{"restarted", accept, false, func(id string, port uint16) func(*inspector.Inspector) {
			return event(registrar.Restarted, targetAt(id, port, born.Add(time.Second)))
		}, true},
		{"idle, then another target has the address", accept, true, func(_ string, port uint16) func(*inspector.Inspector) {
			return event(registrar.Added, targetAt("new", port, born))
		}, true},
		{"silent, then another target has the address", dontAnswer, true, func(_ string, port uint16) func(*inspector.Inspector) {
			return event(registrar.Added, targetAt("new", port, born))
		}, false},
		{"leaves as planned", acceptOnce(), true, func(id string, port uint16) func(*inspector.Inspector) {
			return func(i *inspector.Inspector) {
				i.TargetChanged(registrar.Event{Change: registrar.Drained, Record: targetAt(id, port, born)})
				i.ConnectionEnded(id)
			}
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run(t, 1, c.dial, func(_ *store, vms []*inspector.Inspector) {
				for k, id := range []string{"t1", "t2"} {
					port := uint16(k + 1)
					vms[0].GaveUp(targetAt(id, port, born), poison)
					if !c.idle {
						vms[0].Completed(targetAt(id, port, born), other)
					}
					time.Sleep(500 * time.Millisecond)
					c.gone(id, port)(vms[0])
				}
				time.Sleep(2 * time.Second)
				if got := vms[0].Quarantined(poison) > 0; got != c.want {
					t.Errorf("quarantined: %t, want %t", got, c.want)
				}
			})
		})
	}
}
