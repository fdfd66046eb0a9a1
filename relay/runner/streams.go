package runner

import (
	"context"

	"jackdawcart.org/core/messenger"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/relay/controller"
	"jackdawcart.org/relay/forwarder"
	"jackdawcart.org/relay/publisher"
)

// streamRouter dispatches each stream by the kind of its first frame.
type streamRouter struct {
	publisher  *publisher.Publisher
	forwarder  *forwarder.Forwarder
	controller *controller.Controller
}

func (s streamRouter) serve(ctx context.Context, peer *peerpb.Hello, stream *messenger.Stream) {
	first, err := stream.Receive()
	// Skip frames of unknown kinds, which a later version may send.
	for err == nil && first.Kind == nil {
		first, err = stream.Receive()
	}
	if err != nil {
		return
	}
	switch kind := first.Kind.(type) {
	case *peerpb.Frame_Subscribe:
		s.subscribe(peer, stream, kind.Subscribe)
	case *peerpb.Frame_Batch, *peerpb.Frame_Cancel, *peerpb.Frame_Execute:
		s.forwarder.Serve(ctx, peer, stream, first)
	default:
		s.controller.Serve(peer, stream, first)
	}
}

// subscribe serves a subscriber until its stream ends.
func (s streamRouter) subscribe(peer *peerpb.Hello, stream *messenger.Stream, wanted *peerpb.Subscribe) {
	defer s.controller.RegisterGateway(peer)()
	s.publisher.Subscribe(stream, wanted)
	defer s.publisher.Unsubscribe(stream)
	for {
		if _, err := stream.Receive(); err != nil {
			return
		}
	}
}
