package issuer

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"jackdawcart.org/core/callerapi"
	"jackdawcart.org/core/messenger"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/ticketer"
)

// maxHandoverBytes is the size of answers at which a handover frame is full. The
// last answer may exceed it by the largest result, 1 MiB, and the frame is still
// below messenger.MaxFrameSize.
const maxHandoverBytes = 512 << 10

// forward sends a request to another gateway. It returns neither an answer nor
// an error if that gateway did not answer, because the request may have run
// there.
func (i *Issuer) forward(ctx context.Context, addr netip.AddrPort, request Request) (*peerpb.ExecuteAnswer, error) {
	// A copy, because the stream may still hold the frame when the request is
	// forwarded to a successor.
	execute := proto.CloneOf(request.Execute)
	execute.TimeLeft = durationOf(request.Deadline.Sub(i.config.Timers.Now()))
	frame := &peerpb.Frame{Kind: &peerpb.Frame_TicketForward{TicketForward: &peerpb.TicketForward{
		Ticket: request.Ticket, Caller: request.Caller, Execute: execute,
	}}}
	reply, err := i.exchange(ctx, addr, request.Deadline, frame)
	if err != nil {
		i.config.Log.Warn("ticket issuer did not answer", zap.Stringer("issuer", addr), zap.Error(err))
		return nil, nil
	}
	answer := reply.GetExecuteAnswer()
	if answer == nil {
		return nil, nil
	}
	if answer.Code != "" {
		return nil, &Error{
			Op: "execute", Kind: callerapi.ErrorCode(answer.Code), Outcome: answer.Outcome, Message: answer.Message,
		}
	}
	return answer, nil
}

// forwardToSuccessor sends the request to the gateway that received the answers
// of a stopped issuer.
func (i *Issuer) forwardToSuccessor(ctx context.Context, ticket ticketer.Ticket, request Request) (*peerpb.ExecuteAnswer, error) {
	successor, ok := ticketer.Successor(ticket.Node, ticket.Incarnation, i.config.Directory.Gateways()).Get()
	if !ok || successor == i.config.Table.Node {
		return unknownAnswer(requestID(ticket)), nil
	}
	_, addr, ok := i.config.Directory.Gateway(successor)
	if !ok {
		return unknownAnswer(requestID(ticket)), nil
	}
	answer, err := i.forward(ctx, addr, request)
	if answer == nil && err == nil {
		return unknownAnswer(requestID(ticket)), nil
	}
	return answer, err
}

// exchange sends a frame on a new stream and returns the reply.
func (i *Issuer) exchange(ctx context.Context, addr netip.AddrPort, deadline time.Time, frame *peerpb.Frame) (*peerpb.Frame, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	session, err := i.config.Sessions.Session(ctx, addr)
	if err != nil {
		return nil, err
	}
	stream, err := session.Open()
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { stream.Close() })
	defer stop()
	if err := stream.Send(frame); err != nil {
		return nil, err
	}
	return stream.Receive()
}

// Serve answers forwarded tickets and handovers on a stream of another gateway.
func (i *Issuer) Serve(ctx context.Context, _ *peerpb.Hello, stream *messenger.Stream) {
	for {
		frame, err := stream.Receive()
		if err != nil {
			return
		}
		var reply *peerpb.Frame
		switch kind := frame.Kind.(type) {
		case *peerpb.Frame_TicketForward:
			reply = i.serveForward(ctx, kind.TicketForward)
		case *peerpb.Frame_TicketHandover:
			reply = i.adopt(kind.TicketHandover)
		default:
			continue
		}
		if stream.Send(reply) != nil {
			return
		}
	}
}

// serveForward answers a forwarded ticket and never forwards it again, so that
// two gateways with different membership views cannot cause a forwarding loop.
func (i *Issuer) serveForward(ctx context.Context, forward *peerpb.TicketForward) *peerpb.Frame {
	answer := &peerpb.ExecuteAnswer{}
	i.mu.Lock()
	ticket, err := i.table.Verify(forward.Ticket, forward.Caller)
	i.mu.Unlock()
	if err != nil {
		err = ticketError("execute", err)
	} else {
		answer, err = i.execute(ctx, ticket, Request{
			Ticket: forward.Ticket, Caller: forward.Caller, Execute: forward.Execute,
			Deadline: i.config.Timers.Now().Add(forward.Execute.GetTimeLeft().AsDuration()),
		})
	}
	if failure, ok := err.(*Error); ok { //nolint:errorlint // Only this package's own error comes from execute.
		answer = &peerpb.ExecuteAnswer{Outcome: failure.Outcome, Code: string(failure.Kind), Message: failure.Message}
	}
	return &peerpb.Frame{Kind: &peerpb.Frame_ExecuteAnswer{ExecuteAnswer: answer}}
}

// handOver sends each finished answer to the successor of its issuer, to which the
// other gateways will forward the ticket.
func (i *Issuer) handOver(ctx context.Context, answers []ticketer.HandedAnswer) error {
	bySuccessor := make(map[string][]*peerpb.HandedAnswer)
	for _, a := range answers {
		successor, ok := ticketer.Successor(a.Node, a.Incarnation, i.otherGateways()).Get()
		if !ok {
			return &Error{Op: "hand-over", Kind: callerapi.ErrorCodeUnavailable, Message: "no other gateway is live"}
		}
		bySuccessor[successor] = append(bySuccessor[successor], handedAnswerToProto(a))
	}
	var failures error
	for successor, handed := range bySuccessor {
		failures = errors.Join(failures, i.sendAnswers(ctx, successor, handed))
	}
	return failures
}

// otherGateways returns the live gateways except this one.
func (i *Issuer) otherGateways() []string {
	return slices.DeleteFunc(i.config.Directory.Gateways(), func(node string) bool {
		return node == i.config.Table.Node
	})
}

func (i *Issuer) sendAnswers(ctx context.Context, successor string, handed []*peerpb.HandedAnswer) error {
	_, addr, ok := i.config.Directory.Gateway(successor)
	if !ok {
		return &Error{Op: "hand-over", Kind: callerapi.ErrorCodeUnavailable, Message: "address of " + successor + " is unknown"}
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = i.config.Timers.Now().Add(5 * time.Second)
	}
	for _, chunk := range chunksOf(handed) {
		frame := &peerpb.Frame{Kind: &peerpb.Frame_TicketHandover{TicketHandover: &peerpb.TicketHandover{Answers: chunk}}}
		if _, err := i.exchange(ctx, addr, deadline, frame); err != nil {
			return err
		}
	}
	i.config.Log.Info("answers handed over", zap.String("to", successor), zap.Int("answers", len(handed)))
	return nil
}

// chunksOf splits answers into one chunk for each frame.
func chunksOf(handed []*peerpb.HandedAnswer) [][]*peerpb.HandedAnswer {
	var chunks [][]*peerpb.HandedAnswer
	size := maxHandoverBytes
	for _, answer := range handed {
		if size >= maxHandoverBytes {
			chunks, size = append(chunks, nil), 0
		}
		last := len(chunks) - 1
		chunks[last] = append(chunks[last], answer)
		size += proto.Size(answer)
	}
	return chunks
}

// adopt stores the answers of a stopped gateway and acknowledges them. An answer
// with a fingerprint of the wrong length is skipped.
func (i *Issuer) adopt(handover *peerpb.TicketHandover) *peerpb.Frame {
	answers := make([]ticketer.HandedAnswer, 0, len(handover.Answers))
	for _, a := range handover.Answers {
		if len(a.Fingerprint) != len(ticketer.Fingerprint{}) {
			continue
		}
		answers = append(answers, ticketer.HandedAnswer{
			Node: a.Node, Incarnation: a.Incarnation, ID: a.Id,
			Fingerprint: ticketer.Fingerprint(a.Fingerprint),
			Remaining:   a.Remaining.AsDuration(),
			Answer:      ticketer.Answer{Outcome: a.Outcome, Result: a.Result, ResultDropped: a.ResultDropped},
		})
	}
	i.mu.Lock()
	held := i.table.Adopt(i.config.Timers.Now(), answers)
	i.mu.Unlock()
	return &peerpb.Frame{Kind: &peerpb.Frame_TicketHandoverAck{
		TicketHandoverAck: &peerpb.TicketHandoverAck{Held: uint32(held)},
	}}
}

func handedAnswerToProto(a ticketer.HandedAnswer) *peerpb.HandedAnswer {
	return &peerpb.HandedAnswer{
		Node: a.Node, Incarnation: a.Incarnation, Id: a.ID,
		Fingerprint: a.Fingerprint[:], Remaining: durationOf(a.Remaining),
		Outcome: a.Answer.Outcome, Result: a.Answer.Result, ResultDropped: a.Answer.ResultDropped,
	}
}
