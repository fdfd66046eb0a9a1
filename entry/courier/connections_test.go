package courier_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"jackdawcart.org/entry/courier"
)

// 142 entry VMs share the 121 connections of each replica of a shard. The replicas must
// reset none: neither in calm, nor when all VMs restart after a loss of power and count
// each other anew while the replicas still count the former connections. With one idle
// timeout for all rates of use, and without one until the VMs had been counted, they
// reached the limit, and each reset led to further attempts.
func TestNoConnectionIsResetAtTheLimit(t *testing.T) {
	for _, c := range []struct {
		perSecond float64
		processes int
	}{{0.9, 2}, {1.5, 1}} {
		t.Run(fmt.Sprintf("%v requests a second", c.perSecond), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const targetIdle = 15 * time.Second
				f := newFleet(142, 3, 2, 121, targetIdle, 12*time.Millisecond)
				f.countedAfter = 2 * time.Second
				for i := range c.processes {
					f.run(20*time.Second, 40*time.Millisecond, c.perSecond, uint64(1+i))
					opened, reset, peak := f.takeCounts()
					t.Logf("processes %d: %d requests so far, %d repeats, %d missing; %d connections opened, peak %d", i, f.sent, f.repeats, f.missing, opened, peak)
					if reset > 0 {
						t.Errorf("processes %d: %d of %d new connections reset", i, reset, opened)
					}
				}
				time.Sleep(2 * targetIdle)
			})
		})
	}
}

// Idle connections that the options no longer allow must be closed, not only the ones that
// are used again.
func TestIdleConnectionsFollowTheOptions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 1, 1, 121, time.Minute, 5*time.Millisecond)
		m := &machines{fleet: f}
		pools := courier.New(m.dial, courier.Hooks{})
		defer pools.Close()
		r := f.shards[0][0]
		pool := func(o courier.Options) *courier.Pool { return pools.Pool(r.record.ID, r.record.Address, o) }
		open := func() int {
			synctest.Wait()
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.conns
		}
		for i := range 4 {
			pool(courier.Options{MaxOpen: 4}).Send(time.Now(), newRequest(fmt.Sprint("r-", i), time.Second), func(courier.Reply) {})
		}
		time.Sleep(time.Second)
		check(t, "open connections", open(), 4)
		pool(courier.Options{MaxOpen: 2})
		check(t, "open connections beyond the new limit", open(), 2)
		pool(courier.Options{MaxOpen: 2, IdleTimeout: 300 * time.Millisecond})
		time.Sleep(time.Second)
		check(t, "open connections after the new idle timeout", open(), 0)
	})
}
