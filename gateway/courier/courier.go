// Package courier sends the frames of queries and non-idempotent requests to
// relays and dispatches their answers.
package courier

import (
	"net/netip"
	"sync/atomic"

	"jackdawcart.org/core/messenger"
	"jackdawcart.org/core/messenger/peerpb"
)

// Directory resolves relays to the addresses at which they accept sessions.
type Directory interface {
	RelayAddress(node string) (netip.AddrPort, bool)
}

// Receiver handles the answers of relays.
type Receiver interface {
	Deliver(answer *peerpb.SubAnswer)
	DeliverExecute(answer *peerpb.ExecuteAnswer)
	// Lost is called when the link to a relay has ended, so that outstanding
	// answers will not arrive.
	Lost(relay string)
}

// Courier sends frames to relays by node name.
type Courier struct {
	links     *messenger.Links
	directory Directory
	receiver  Receiver
	ready     atomic.Bool
}

// New returns a courier that uses the links. SetReceiver must be called before the
// first frame is sent.
func New(links *messenger.Links, directory Directory) *Courier {
	c := &Courier{links: links, directory: directory}
	links.SetHandler(c)
	return c
}

// SetReceiver sets the receiver of answers.
func (c *Courier) SetReceiver(receiver Receiver) { c.receiver = receiver }

// Ready reports whether the first links have been opened. It stays true when a
// link is lost later, because other relays take over.
func (c *Courier) Ready() bool {
	if !c.ready.Load() && c.links.Ready() {
		c.ready.Store(true)
	}
	return c.ready.Load()
}

// Send sends a batch to a relay. An error means that nothing was sent.
func (c *Courier) Send(relay string, batch *peerpb.Batch) error {
	return c.send(relay, &peerpb.Frame{Kind: &peerpb.Frame_Batch{Batch: batch}})
}

// Cancel asks a relay to cancel a sub-request. Errors are ignored, because a lost
// cancel only wastes work.
func (c *Courier) Cancel(relay string, cancel *peerpb.Cancel) {
	_ = c.send(relay, &peerpb.Frame{Kind: &peerpb.Frame_Cancel{Cancel: cancel}})
}

// Execute sends a non-idempotent request to a relay. An error means that nothing
// was sent.
func (c *Courier) Execute(relay string, execute *peerpb.Execute) error {
	return c.send(relay, &peerpb.Frame{Kind: &peerpb.Frame_Execute{Execute: execute}})
}

// Preconnect opens the link to a relay ahead of the first batch.
func (c *Courier) Preconnect(relay string) {
	if addr, ok := c.directory.RelayAddress(relay); ok {
		c.links.Preconnect(relay, addr)
	}
}

func (c *Courier) send(relay string, frame *peerpb.Frame) error {
	addr, ok := c.directory.RelayAddress(relay)
	if !ok {
		return &Error{Op: "send", Kind: KindUnreachable, Relay: relay}
	}
	if err := c.links.Send(relay, addr, frame); err != nil {
		return &Error{Op: "send", Kind: KindUnreachable, Relay: relay, Err: err}
	}
	return nil
}

// Received passes an answer to the receiver. Other frames are ignored.
func (c *Courier) Received(_ string, frame *peerpb.Frame) {
	switch kind := frame.Kind.(type) {
	case *peerpb.Frame_SubAnswer:
		c.receiver.Deliver(kind.SubAnswer)
	case *peerpb.Frame_ExecuteAnswer:
		c.receiver.DeliverExecute(kind.ExecuteAnswer)
	}
}

// Lost reports to the receiver that the link to a relay has ended.
func (c *Courier) Lost(relay string) { c.receiver.Lost(relay) }
