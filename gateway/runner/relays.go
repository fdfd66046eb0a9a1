package runner

import (
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/scatterer"
	"jackdawcart.org/gateway/courier"
	"jackdawcart.org/gateway/executor"
	"jackdawcart.org/gateway/responder"
	"jackdawcart.org/gateway/subscriber"
)

// controlView is the control state of a gateway. It is ready once a configuration
// is in force and the links to the relays known by then have been opened.
type controlView struct {
	*subscriber.Subscriber
	courier *courier.Courier
}

// Ready reports whether queries can be answered.
func (c controlView) Ready() bool { return c.Subscriber.Ready() && c.courier.Ready() }

// readiness reports whether callers should use this gateway, or why not.
func readiness(control controlView, handler *responder.Responder) (bool, string) {
	switch {
	case handler.Leaving():
		return false, "stopping"
	case !control.Subscriber.Ready():
		return false, "no configuration in force"
	case !control.Ready():
		return false, "links to relays are being opened"
	default:
		return true, ""
	}
}

// receiver dispatches the answers of relays to the engine and the executor.
type receiver struct {
	engine   *scatterer.Engine
	executor *executor.Executor
}

// Deliver passes on the answer of a sub-request.
func (r receiver) Deliver(answer *peerpb.SubAnswer) { r.engine.Deliver(answer) }

// DeliverExecute passes on the answer of a non-idempotent request.
func (r receiver) DeliverExecute(answer *peerpb.ExecuteAnswer) { r.executor.Deliver(answer) }

// Lost fails the requests in flight at a relay.
func (r receiver) Lost(relay string) {
	r.engine.LostRelay(relay)
	r.executor.LostRelay(relay)
}
