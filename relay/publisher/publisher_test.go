package publisher_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/types/known/durationpb"

	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/relay/publisher"
)

// recorder is a Stream that records its frames.
type recorder struct {
	frames []*peerpb.Frame
	broken bool
	closed bool
}

// Send records a frame, or fails if the stream is broken.
func (r *recorder) Send(frame *peerpb.Frame) error {
	if r.broken {
		return errors.New("stream is full")
	}
	r.frames = append(r.frames, frame)
	return nil
}

// Close records that the publisher dropped the subscriber.
func (r *recorder) Close() error {
	r.closed = true
	return nil
}

func (r *recorder) complete() bool {
	for _, f := range r.frames {
		if u := f.GetConfigUpdate(); u != nil && u.Complete && u.StoreRevision > 0 {
			return true
		}
	}
	return false
}

func (r *recorder) targets() []string {
	var names []string
	for _, f := range r.frames {
		for _, s := range f.GetTargetUpdate().GetTargets() {
			names = append(names, s.Relay+"/"+s.Target)
		}
	}
	return names
}

var subscribeAll = &peerpb.Subscribe{Configuration: true, Targets: true, Members: true, Quarantine: true}

// A gateway that subscribes before its relay has a configuration must become ready
// later, so updates after the initial one must be marked complete, too.
func TestEarlySubscriberBecomesReady(t *testing.T) {
	p := publisher.New("east-1")
	early := &recorder{}
	p.Subscribe(early, subscribeAll)
	if early.complete() {
		t.Fatal("empty configuration was marked complete")
	}
	p.PutDocuments([]*peerpb.Document{{Service: "library", Revision: 4}}, 4, time.Now())
	if !early.complete() {
		t.Fatal("update after the first configuration was not marked complete")
	}
	late := &recorder{}
	p.Subscribe(late, subscribeAll)
	if !late.complete() {
		t.Fatal("the first update of a late subscriber was not marked complete")
	}
}

// Relays that subscribe to each other must not forward each other's targets, or
// each state would be sent once for every pair of relays.
func TestOwnTargetsLeavesOutOtherRelays(t *testing.T) {
	p := publisher.New("east-1")
	peer := &recorder{}
	p.Subscribe(peer, &peerpb.Subscribe{Targets: true, OwnTargets: true})
	p.PutTarget(&peerpb.TargetState{Target: "a", Relay: "east-1", Sequence: 1})
	p.PutTarget(&peerpb.TargetState{Target: "b", Relay: "east-2", Sequence: 1})
	if diff := cmp.Diff([]string{"east-1/a"}, peer.targets()); diff != "" {
		t.Errorf("targets (-want +got):\n%s", diff)
	}
}

// A delayed target state must not replace a newer one from the same relay.
func TestOlderTargetStateIsIgnored(t *testing.T) {
	p := publisher.New("east-1")
	p.PutTarget(&peerpb.TargetState{Target: "a", Relay: "east-2", Sequence: 5, Phase: peerpb.TargetPhase_TARGET_PHASE_DRAINING})
	p.PutTarget(&peerpb.TargetState{Target: "a", Relay: "east-2", Sequence: 4, Phase: peerpb.TargetPhase_TARGET_PHASE_SERVING})
	if got := p.Targets()[0].Phase; got != peerpb.TargetPhase_TARGET_PHASE_DRAINING {
		t.Errorf("phase is %v, want that of the newer state", got)
	}
}

// A late subscriber must get the remaining time of a quarantine. With the full
// duration, a gateway would refuse the request after the quarantine has expired.
func TestLateSubscriberGetsTheRestOfAQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := publisher.New("east-1")
		p.PutQuarantine([]*peerpb.QuarantineEntry{
			{Fingerprint: 1, Remaining: durationpb.New(10 * time.Minute)},
			{Fingerprint: 2, Remaining: durationpb.New(time.Minute)},
			{Fingerprint: 3, Remaining: durationpb.New(0)},
		})
		time.Sleep(9 * time.Minute)
		late := &recorder{}
		p.Subscribe(late, subscribeAll)
		got := map[uint64]time.Duration{}
		for _, f := range late.frames {
			for _, e := range f.GetQuarantineUpdate().GetEntries() {
				got[e.Fingerprint] = e.Remaining.AsDuration()
			}
		}
		if diff := cmp.Diff(map[uint64]time.Duration{1: time.Minute, 2: 0, 3: 0}, got); diff != "" {
			t.Errorf("entries (-want +got):\n%s", diff)
		}
	})
}

// A subscriber that does not keep up must be dropped rather than miss changes.
func TestSlowSubscriberIsDropped(t *testing.T) {
	p := publisher.New("east-1")
	slow := &recorder{}
	p.Subscribe(slow, subscribeAll)
	slow.broken = true
	p.PutTarget(&peerpb.TargetState{Target: "a", Relay: "east-1", Sequence: 1})
	if !slow.closed {
		t.Error("stream of a slow subscriber was not closed")
	}
}
