package informer

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"net"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"jackdawcart.org/core/logger"
	"jackdawcart.org/core/pacer"
	"jackdawcart.org/core/placer"
	"jackdawcart.org/core/quarantiner"
	"jackdawcart.org/entry/informer/informerpb"
	"jackdawcart.org/platform/storer"
)

// messageConn reads and writes length-delimited messages. A connection carries one
// request at a time, so messages need no request ID.
type messageConn struct {
	net.Conn
	reader          *bufio.Reader
	maxMessageBytes int
}

func newMessageConn(conn net.Conn, maxMessageBytes int) *messageConn {
	return &messageConn{Conn: conn, reader: bufio.NewReader(conn), maxMessageBytes: maxMessageBytes}
}

// memory is the budget of a connection that other VMs open.
type memory interface {
	// Reserve reports whether a message that is being received may take more memory.
	Reserve(bytes int) bool
	// Received records that the message is complete, and reports whether it may be used.
	Received() bool
	// Completed records that the message has been answered.
	Completed()
}

const (
	// maxRequestBytes limits a request. It has room for evidence of some thousand targets.
	maxRequestBytes = 512 << 10
	// maxExpansion is the largest ratio of a decoded message to its encoding: an empty
	// element of a list takes two bytes, and about a hundred when decoded.
	maxExpansion = 50
)

var errNoMemory = errors.New("no memory left for the message")

// readRequest reads a message for which there may be no memory. The memory is reserved
// before it is allocated.
func (c *messageConn) readRequest(m proto.Message, budget memory) error {
	size, err := binary.ReadUvarint(c.reader)
	if err != nil {
		return err
	}
	if size > maxRequestBytes {
		return &protodelim.SizeTooLargeError{Size: size, MaxSize: maxRequestBytes}
	}
	if !budget.Reserve(int(size)) {
		return errNoMemory
	}
	text := make([]byte, size)
	if _, err := io.ReadFull(c.reader, text); err != nil {
		return err
	}
	if !budget.Reserve(maxExpansion*int(size)) || !budget.Received() {
		return errNoMemory
	}
	return proto.Unmarshal(text, m)
}

func (c *messageConn) read(m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: int64(c.maxMessageBytes)}.UnmarshalFrom(c.reader, m)
}

func (c *messageConn) write(m proto.Message) error {
	_, err := protodelim.MarshalTo(c.Conn, m)
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

func toReports(reports []quarantiner.Report) []*informerpb.Report {
	list := make([]*informerpb.Report, len(reports))
	for i, r := range reports {
		list[i] = &informerpb.Report{Fingerprint: r.Fingerprint, Target: r.Target, Parts: r.Parts}
	}
	return list
}

func fromReports(list []*informerpb.Report) []quarantiner.Report {
	reports := make([]quarantiner.Report, len(list))
	for i, r := range list {
		reports[i] = quarantiner.Report{Fingerprint: r.GetFingerprint(), Target: r.GetTarget(), Parts: r.GetParts()}
	}
	return reports
}

func toEvidence(evidence []placer.Evidence) []*informerpb.Evidence {
	list := make([]*informerpb.Evidence, len(evidence))
	for i, e := range evidence {
		list[i] = &informerpb.Evidence{
			Service: e.Service, Target: e.Target, Answered: uint32(e.Answered), Failed: uint32(e.Failed), Latency: float32(e.Latency),
			Limit: toLimit(e),
		}
		if e.Leaving {
			list[i].LeavingBorn = timestamppb.New(e.Born)
		}
	}
	return list
}

// fromEvidence returns the evidence of another VM, without what is invalid.
func fromEvidence(list []*informerpb.Evidence, rejections *logger.Rejections) []placer.Evidence {
	evidence := make([]placer.Evidence, 0, len(list))
	for _, e := range list {
		if err := checkEvidence(e); err != nil {
			rejections.Add("evidence", e.GetTarget(), err)
			continue
		}
		next := placer.Evidence{
			Service: e.GetService(), Target: e.GetTarget(),
			Answered: int(e.GetAnswered()), Failed: int(e.GetFailed()), Latency: float64(e.GetLatency()),
			LimitObserved: e.GetLimit() != nil, Limit: fromLimit(e.GetLimit()),
		}
		if born := e.GetLeavingBorn(); born.IsValid() {
			next.Leaving, next.Born = true, born.AsTime()
		}
		evidence = append(evidence, next)
	}
	return evidence
}

// maxNameBytes bounds the names in evidence, which is kept for other VMs. No target or service
// has a name of half that length.
const maxNameBytes = 256

func checkEvidence(e *informerpb.Evidence) error {
	switch {
	case e.GetService() == "" || e.GetTarget() == "":
		return errors.New("no service or no target")
	case len(e.GetService()) > maxNameBytes || len(e.GetTarget()) > maxNameBytes:
		return fmt.Errorf("a name is longer than %d bytes", maxNameBytes)
	case !isCount(float64(e.GetLatency())):
		return fmt.Errorf("latency is %g", e.GetLatency())
	case !isCount(e.GetLimit().GetPerSecond()):
		return fmt.Errorf("limit is %g", e.GetLimit().GetPerSecond())
	default:
		return nil
	}
}

// isCount reports whether a number is finite and not negative.
func isCount(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }

func toLimit(e placer.Evidence) *informerpb.Limit {
	switch {
	case !e.LimitObserved:
		return nil
	case !e.Limit.Named:
		return &informerpb.Limit{}
	default:
		return &informerpb.Limit{PerSecond: &e.Limit.PerSecond}
	}
}

func fromLimit(l *informerpb.Limit) pacer.Limit {
	if l == nil || l.PerSecond == nil {
		return pacer.Limit{}
	}
	return pacer.Limit{Named: true, PerSecond: l.GetPerSecond()}
}
