package informer

import (
	"bufio"
	"net"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"jackdawcart.org/core/placer"
	"jackdawcart.org/entry/informer/informerpb"
	"jackdawcart.org/platform/storer"
)

// wire reads and writes messages on a connection. Each connection carries one
// request at a time, so nothing is multiplexed.
type wire struct {
	net.Conn
	reader   *bufio.Reader
	maxFrame int
}

func newWire(conn net.Conn, maxFrame int) *wire {
	return &wire{Conn: conn, reader: bufio.NewReader(conn), maxFrame: maxFrame}
}

func (w *wire) read(m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: int64(w.maxFrame)}.UnmarshalFrom(w.reader, m)
}

func (w *wire) write(m proto.Message) error {
	_, err := protodelim.MarshalTo(w.Conn, m)
	return err
}

func toItems(items []storer.Item) []*informerpb.Item {
	list := make([]*informerpb.Item, len(items))
	for i, item := range items {
		list[i] = &informerpb.Item{Key: item.Key, Value: item.Value, Revision: item.Revision, Gone: item.Gone}
	}
	return list
}

func fromItems(list []*informerpb.Item) []storer.Item {
	items := make([]storer.Item, len(list))
	for i, item := range list {
		items[i] = storer.Item{Key: item.GetKey(), Value: item.GetValue(), Revision: item.GetRevision(), Gone: item.GetGone()}
	}
	return items
}

func toEvidence(evidence []placer.Evidence) []*informerpb.Evidence {
	list := make([]*informerpb.Evidence, len(evidence))
	for i, e := range evidence {
		list[i] = &informerpb.Evidence{
			Service: e.Service, Target: e.Target, Answered: uint32(e.Answered), Failed: uint32(e.Failed), Latency: float32(e.Latency),
		}
	}
	return list
}

func fromEvidence(list []*informerpb.Evidence) []placer.Evidence {
	evidence := make([]placer.Evidence, len(list))
	for i, e := range list {
		evidence[i] = placer.Evidence{
			Service: e.GetService(), Target: e.GetTarget(),
			Answered: int(e.GetAnswered()), Failed: int(e.GetFailed()), Latency: float64(e.GetLatency()),
		}
	}
	return evidence
}
