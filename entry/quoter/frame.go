package quoter

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"jackdawcart.org/core/granter"
	"jackdawcart.org/entry/quoter/quoterpb"
)

const (
	// maxMessageBytes bounds a message, which is little more than the name of a workspace.
	maxMessageBytes = 16 << 10
	// readBufferBytes is enough for a few messages; a VM has up to two connections to each of
	// the others.
	readBufferBytes = 512
	// writeTimeout ends a connection whose other end reads nothing.
	writeTimeout = 100 * time.Millisecond
	// maxTokens bounds the numbers of tokens and credit in a message.
	maxTokens = 1 << 20
	// maxRate bounds rates and bursts in a message.
	maxRate = 1e9
)

// frameConn reads and writes length-delimited messages. Several goroutines may write.
type frameConn struct {
	net.Conn
	reader *bufio.Reader
	mu     sync.Mutex
}

func newFrameConn(conn net.Conn) *frameConn {
	return &frameConn{Conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes)}
}

// read reads a message; after the given time without one it fails.
func (c *frameConn) read(m proto.Message, idle time.Duration) error {
	// This fails only on a closed connection, which the read below reports.
	_ = c.SetReadDeadline(time.Now().Add(idle))
	return protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}.UnmarshalFrom(c.reader, m)
}

// write writes a message, and closes the connection if that fails.
func (c *frameConn) write(m proto.Message) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := protodelim.MarshalTo(c.Conn, m); err != nil {
		c.Close()
		return err
	}
	return nil
}

func toRequest(id uint64, r granter.Request) *quoterpb.Request {
	return &quoterpb.Request{
		Id: id, Kind: quoterpb.Kind(r.Kind), Vm: r.From.Name, Domain: r.From.Domain,
		Workspace: r.Workspace.Name, Rate: r.Workspace.Rate, Burst: r.Workspace.Burst,
		Wanted: uint32(r.Wanted), Extra: uint32(r.Extra), Held: uint32(r.Held), Target: r.Target,
		Returning: r.Returning,
	}
}

func fromRequest(m *quoterpb.Request) (granter.Request, error) {
	r := granter.Request{
		Kind: granter.Kind(m.GetKind()), From: granter.Member{Name: m.GetVm(), Domain: m.GetDomain()},
		Workspace: granter.Workspace{Name: m.GetWorkspace(), Limit: granter.Limit{Rate: m.GetRate(), Burst: m.GetBurst()}},
		Wanted:    int(min(m.GetWanted(), maxTokens)), Extra: int(min(m.GetExtra(), maxTokens)), Held: int(min(m.GetHeld(), maxTokens)),
		Target: m.GetTarget(), Returning: m.GetReturning(),
	}
	asks := r.Kind == granter.AskKeeper || r.Kind == granter.AskDeputy || r.Kind == granter.Claim
	switch {
	case r.From.Name == "":
		return r, errors.New("no VM")
	case asks && r.Workspace.Name == "":
		return r, errors.New("no workspace")
	case !isQuantity(r.Workspace.Rate) || !isQuantity(r.Workspace.Burst):
		return r, errors.New("rate or burst out of range")
	}
	return r, nil
}

// isQuantity rejects negative and huge numbers, and NaN.
func isQuantity(v float64) bool { return v >= 0 && v <= maxRate }

func toAnswer(id uint64, a granter.Answer) *quoterpb.Answer {
	m := &quoterpb.Answer{Id: id, Status: quoterpb.Status(a.Status), Credit: uint32(a.Credit), Share: a.Share}
	if a.RetryAfter > 0 {
		m.RetryAfter = durationpb.New(a.RetryAfter)
	}
	if a.Spread > 0 {
		m.Spread = durationpb.New(a.Spread)
	}
	return m
}

func fromAnswer(m *quoterpb.Answer) granter.Answer {
	a := granter.Answer{
		Status: granter.Status(m.GetStatus()), Credit: int(min(m.GetCredit(), maxTokens)),
		RetryAfter: m.GetRetryAfter().AsDuration(), Spread: m.GetSpread().AsDuration(),
	}
	// The comparison leaves out NaN.
	if share := m.GetShare(); share > 0 {
		a.Share = share
	}
	return a
}
