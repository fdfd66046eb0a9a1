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

// unknownFieldNumber is a field number that no message defines.
const unknownFieldNumber = 900

// addUnknown adds an unknown field to a message, like one of a later version.
func addUnknown(message proto.Message) {
	field := protowire.AppendTag(nil, unknownFieldNumber, protowire.BytesType)
	field = protowire.AppendBytes(field, []byte("of a later version"))
	message.ProtoReflect().SetUnknown(field)
}

// unknownFrame returns a frame of an unknown kind, like one of a later version.
func unknownFrame() *peerpb.Frame {
	frame := &peerpb.Frame{}
	addUnknown(frame)
	return frame
}

// Guards against a relay that fails on messages of a later version. It must
// ignore unknown kinds of frames and unknown fields.
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
	for i, unknownFirst := range []bool{true, false} {
		stream, err := session.Open()
		if err != nil {
			t.Fatal(err)
		}
		defer stream.Close()
		id := []string{"unknown-first", "unknown-later"}[i]
		answer := d.searchWithUnknownFrames(ctx, stream, id, unknownFirst)
		if answer.GetFailure() != peerpb.FailureKind_FAILURE_NONE || answer.GetQueryId() != id {
			t.Errorf("unknown frame first %t: %v", unknownFirst, answer)
		}
	}
	c := newCallers(d)
	if a := c.query(c.viaGateway(0)); !a.Complete {
		t.Errorf("after frames of a later version: %s %s", a.Outcome, a.Code)
	}
	c.verify()
}

// searchWithUnknownFrames sends a search with unknown fields, followed by an
// unknown frame and, with unknownFirst set, preceded by one. It returns the
// answer.
func (d *deployment) searchWithUnknownFrames(ctx context.Context, stream *messenger.Stream, id string, unknownFirst bool) *peerpb.SubAnswer {
	d.t.Helper()
	target := d.Document.Sets[0].Targets[0]
	snapshot, shard := d.heldShard(target.Name)
	sub := &peerpb.SubRequest{
		Service: launcher.Service, Target: target.Name, TargetAddress: target.Address.String(), Shard: shard, Snapshot: snapshot,
	}
	addUnknown(sub)
	batch := &peerpb.Batch{QueryId: id, TimeLeft: durationpb.New(2 * time.Second), Text: id, Limit: 5, Subs: []*peerpb.SubRequest{sub}}
	addUnknown(batch)
	frames := []*peerpb.Frame{{Kind: &peerpb.Frame_Batch{Batch: batch}}, unknownFrame()}
	if unknownFirst {
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

// heldShard returns a snapshot and a shard of it that a target holds.
func (d *deployment) heldShard(target string) (snapshot, shard string) {
	d.t.Helper()
	for i := range d.Shards {
		for _, holder := range d.shardHolders(i) {
			if holder == target {
				shardMaps := d.shardMaps()
				return shardMaps[0].Snapshot, shardMaps[0].Shards[i].Name
			}
		}
	}
	d.t.Fatalf("%s holds no shard", target)
	return "", ""
}

func (d *deployment) shardMaps() []checker.ShardMap {
	record, _ := d.record()
	return record.Maps
}
