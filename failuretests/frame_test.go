package failuretests_test

import (
	"context"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"jackdawcart.org/core/checker"
	"jackdawcart.org/core/loader"
	"jackdawcart.org/core/messenger"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/failuretests/launcher"
)

// futureField is a field number that no message has.
const futureField = 900

// addUnknown gives a message a field that a later version may have.
func addUnknown(message proto.Message) {
	field := protowire.AppendTag(nil, futureField, protowire.BytesType)
	field = protowire.AppendBytes(field, []byte("of a later version"))
	message.ProtoReflect().SetUnknown(field)
}

// unknownFrame is of a kind that a later version may send.
func unknownFrame() *peerpb.Frame {
	frame := &peerpb.Frame{}
	addUnknown(frame)
	return frame
}

// Guards against a relay that cannot work beside a newer version: unknown
// kinds of frames and unknown fields must be ignored.
func TestFramesOfLaterVersion(t *testing.T) {
	d := deploy(t, launcher.Options{Domains: []string{"north"}, Nodes: 1})
	keys, err := loader.NewKeySource(d.KeyFile)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), startBound)
	defer cancel()
	hello := &peerpb.Hello{
		Node: "north-9", Incarnation: 1, FailureDomain: "north", Role: peerpb.Role_ROLE_GATEWAY,
		Protocol: messenger.ProtocolVersion, Version: "later",
	}
	addUnknown(hello)
	session, err := messenger.Dial(ctx, d.Nodes[0].Relay, keys, hello)
	if err != nil {
		t.Fatal(err)
	}
	defer session.Close()
	for i, first := range []bool{true, false} {
		stream, err := session.Open()
		if err != nil {
			t.Fatal(err)
		}
		defer stream.Close()
		id := []string{"unknown-first", "unknown-later"}[i]
		answer := d.searchBeside(ctx, stream, id, first)
		if answer.GetFailure() != peerpb.FailureKind_FAILURE_NONE || answer.GetQueryId() != id {
			t.Errorf("unknown frame first %t: %v", first, answer)
		}
	}
	c := newCallers(d)
	if a := c.query(c.at(0)); !a.Complete {
		t.Errorf("after frames of a later version: %s %s", a.Outcome, a.Code)
	}
	c.verify()
}

// searchBeside sends a search with unknown fields, and unknown frames before
// or around it, and returns its answer.
func (d *deployment) searchBeside(ctx context.Context, stream *messenger.Stream, id string, first bool) *peerpb.SubAnswer {
	d.t.Helper()
	target := d.Document.Sets[0].Targets[0]
	snapshot, shard := d.held(target.Name)
	sub := &peerpb.SubRequest{
		Service: launcher.Service, Target: target.Name, TargetAddress: target.Address.String(), Shard: shard, Snapshot: snapshot,
	}
	addUnknown(sub)
	batch := &peerpb.Batch{QueryId: id, TimeLeft: durationpb.New(2 * time.Second), Text: id, Limit: 5, Subs: []*peerpb.SubRequest{sub}}
	addUnknown(batch)
	frames := []*peerpb.Frame{{Kind: &peerpb.Frame_Batch{Batch: batch}}, unknownFrame()}
	if first {
		frames = append([]*peerpb.Frame{unknownFrame()}, frames...)
	}
	for _, frame := range frames {
		if err := stream.Send(frame); err != nil {
			d.t.Fatal(err)
		}
	}
	stop := context.AfterFunc(ctx, func() { stream.Close() })
	defer stop()
	for {
		frame, err := stream.Receive()
		if err != nil {
			d.t.Errorf("no answer to %s: %v", id, err)
			return nil
		}
		if answer := frame.GetSubAnswer(); answer != nil {
			return answer
		}
	}
}

// held returns a snapshot and a shard that a target holds.
func (d *deployment) held(target string) (snapshot, shard string) {
	d.t.Helper()
	for i := range d.Shards {
		for _, holder := range d.holdersOf(i) {
			if holder == target {
				snapshots := d.snapshots()
				return snapshots[0].Snapshot, snapshots[0].Shards[i].Name
			}
		}
	}
	d.t.Fatalf("%s holds no shard", target)
	return "", ""
}

func (d *deployment) snapshots() []checker.ShardMap {
	record, _ := d.record()
	return record.Maps
}
