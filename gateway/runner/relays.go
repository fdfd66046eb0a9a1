package runner

import (
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/scatterer"
	"jackdawcart.org/gateway/courier"
	"jackdawcart.org/gateway/executor"
	"jackdawcart.org/gateway/responder"
	"jackdawcart.org/gateway/subscriber"
)

// controlView is ready once a configuration is in force and the links to the
// relays that are known by then have been opened.
type controlView struct {
	*subscriber.Subscriber
	courier *courier.Courier
}

// Ready reports whether queries can be answered.
func (c controlView) Ready() bool { return c.Subscriber.Ready() && c.courier.Ready() }

func ready(control controlView, respond *responder.Responder) (bool, string) {
	switch {
	case respond.Leaving():
		return false, "stopping"
	case !control.Subscriber.Ready():
		return false, "no configuration in force"
	case !control.Ready():
		return false, "links to relays are being opened"
	default:
		return true, ""
	}
}

// receiver hands the answers of relays to the parts that wait for them.
type receiver struct {
	engine   *scatterer.Engine
	executor *executor.Executor
}

// Deliver hands on the answer of a sub-request.
func (r receiver) Deliver(answer *peerpb.SubAnswer) { r.engine.Deliver(answer) }

// DeliverExecute hands on the answer of a non-idempotent request.
func (r receiver) DeliverExecute(answer *peerpb.ExecuteAnswer) { r.executor.Deliver(answer) }

// Lost fails what was in flight at a relay.
func (r receiver) Lost(relay string) {
	r.engine.LostRelay(relay)
	r.executor.LostRelay(relay)
}
