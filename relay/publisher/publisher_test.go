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

// recorder keeps the frames that a subscriber gets.
type recorder struct {
	frames []*peerpb.Frame
	broken bool
	closed bool
}

// Send keeps a frame.
func (r *recorder) Send(frame *peerpb.Frame) error {
	if r.broken {
		return errors.New("stream is full")
	}
	r.frames = append(r.frames, frame)
	return nil
}

// Close notes that the publisher gave the subscriber up.
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

var everything = &peerpb.Subscribe{Configuration: true, Targets: true, Members: true, Quarantine: true}

// A gateway that subscribes before its relay has a configuration stayed not
// ready for ever, because only the first update was marked complete.
func TestEarlySubscriberBecomesReady(t *testing.T) {
	p := publisher.New("east-1")
	early := &recorder{}
	p.Subscribe(early, everything)
	if early.complete() {
		t.Fatal("an empty configuration was marked complete")
	}
	p.PutDocuments([]*peerpb.Document{{Service: "library", Revision: 4}}, 4, time.Now())
	if !early.complete() {
		t.Fatal("no update was marked complete")
	}
	late := &recorder{}
	p.Subscribe(late, everything)
	if !late.complete() {
		t.Fatal("the first update of a late subscriber was not marked complete")
	}
}

// Relays that follow each other must not pass on each other's targets, or each
// state would be sent once for every pair of relays.
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

// A report that arrives late must not replace a newer one of the same relay.
func TestOlderReportIsIgnored(t *testing.T) {
	p := publisher.New("east-1")
	p.PutTarget(&peerpb.TargetState{Target: "a", Relay: "east-2", Sequence: 5, Phase: peerpb.TargetPhase_TARGET_PHASE_DRAINING})
	p.PutTarget(&peerpb.TargetState{Target: "a", Relay: "east-2", Sequence: 4, Phase: peerpb.TargetPhase_TARGET_PHASE_SERVING})
	if got := p.Targets()[0].Phase; got != peerpb.TargetPhase_TARGET_PHASE_DRAINING {
		t.Errorf("phase is %v", got)
	}
}

// A gateway that subscribed late got a quarantine at its full length again, also
// after it was over, and refused the request for that time.
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
		p.Subscribe(late, everything)
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
	p.Subscribe(slow, everything)
	slow.broken = true
	p.PutTarget(&peerpb.TargetState{Target: "a", Relay: "east-1", Sequence: 1})
	if !slow.closed {
		t.Error("the stream of a full subscriber stayed open")
	}
}
