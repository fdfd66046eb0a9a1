// Package courier carries the frames of queries and executes to relays and
// hands their answers on.
package courier

import (
	"net/netip"
	"sync/atomic"

	"jackdawcart.org/core/messenger"
	"jackdawcart.org/core/messenger/peerpb"
)

// Directory knows where relays accept sessions.
type Directory interface {
	RelayAddress(node string) (netip.AddrPort, bool)
}

// Receiver takes what relays answer.
type Receiver interface {
	Deliver(answer *peerpb.SubAnswer)
	DeliverExecute(answer *peerpb.ExecuteAnswer)
	// Lost is told when the link to a relay has ended, so that its answers
	// will not come.
	Lost(relay string)
}

// Courier sends to relays by name.
type Courier struct {
	links     *messenger.Links
	directory Directory
	receiver  Receiver
	ready     atomic.Bool
}

// New returns a courier over the links. SetReceiver must follow.
func New(links *messenger.Links, directory Directory) *Courier {
	c := &Courier{links: links, directory: directory}
	links.SetHandler(c)
	return c
}

// SetReceiver names the receiver of answers.
func (c *Courier) SetReceiver(receiver Receiver) { c.receiver = receiver }

// Ready reports whether the first links have been opened. The later loss of a
// link does not take it back, because other relays serve meanwhile.
func (c *Courier) Ready() bool {
	if !c.ready.Load() && c.links.Ready() {
		c.ready.Store(true)
	}
	return c.ready.Load()
}

// Send hands a batch to a relay. An error means that nothing was sent.
func (c *Courier) Send(relay string, batch *peerpb.Batch) error {
	return c.send(relay, &peerpb.Frame{Kind: &peerpb.Frame_Batch{Batch: batch}})
}

// Cancel asks a relay to give up a sub-request; a lost cancel only costs work.
func (c *Courier) Cancel(relay string, cancel *peerpb.Cancel) {
	_ = c.send(relay, &peerpb.Frame{Kind: &peerpb.Frame_Cancel{Cancel: cancel}})
}

// Execute hands a non-idempotent request to a relay. An error means that
// nothing was sent.
func (c *Courier) Execute(relay string, execute *peerpb.Execute) error {
	return c.send(relay, &peerpb.Frame{Kind: &peerpb.Frame_Execute{Execute: execute}})
}

// Warm opens the link to a relay ahead of the first batch.
func (c *Courier) Warm(relay string) {
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

// Received hands an answer on; other frames are ignored.
func (c *Courier) Received(_ string, frame *peerpb.Frame) {
	switch kind := frame.Kind.(type) {
	case *peerpb.Frame_SubAnswer:
		c.receiver.Deliver(kind.SubAnswer)
	case *peerpb.Frame_ExecuteAnswer:
		c.receiver.DeliverExecute(kind.ExecuteAnswer)
	}
}

// Lost passes on that the link to a relay has ended.
func (c *Courier) Lost(relay string) { c.receiver.Lost(relay) }
