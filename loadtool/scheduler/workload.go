// Package scheduler reads workloads and turns them into requests with the
// times at which they are to be sent.
package scheduler

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/tailscale/hujson"

	"jackdawcart.org/core/parser"
)

// Duration is the duration type of service documents.
type Duration = parser.Duration

// Workload is the file that describes one run.
type Workload struct {
	Seed uint64 `json:"seed"`
	// Gateways are the addresses of the callers' interface.
	Gateways []netip.AddrPort `json:"gateways"`
	// Targets are the control addresses of the target stand-ins.
	Targets []netip.AddrPort `json:"targets"`
	// Platform is the address of the platform stand-in.
	Platform netip.AddrPort `json:"platform,omitzero"`
	// TargetsPartial says that the run kills target stand-ins, so that their
	// record cannot be complete.
	TargetsPartial bool          `json:"targets-partial,omitempty"`
	Phases         []Phase       `json:"phases"`
	Mix            []MixEntry    `json:"mix"`
	NonIdempotent  NonIdempotent `json:"non-idempotent,omitzero"`
	Events         []Event       `json:"events,omitempty"`
	// Deadline is that of requests whose mix entry has none.
	Deadline Duration `json:"deadline"`
	// Grace is added to the deadline when an answer is judged as in time: the
	// way between caller and gateway.
	Grace Duration `json:"grace"`
	// Patience is how long after the deadline a caller gives up.
	Patience Duration `json:"patience"`
	// Settle is the time between the last answer and the reading of the
	// targets' records.
	Settle      Duration `json:"settle"`
	Limit       int      `json:"limit"`
	Callers     int      `json:"callers"`
	MaxInFlight int      `json:"max-in-flight"`
	// Capacity is the number of requests per second that the targets can
	// serve, or zero if it is not known.
	Capacity float64 `json:"capacity,omitempty"`
	// GoodCoverage is the coverage from which an answer counts as goodput.
	GoodCoverage float64 `json:"good-coverage"`
}

// Phase is a part of the run with one shape of the offered rate.
type Phase struct {
	Name string   `json:"name"`
	For  Duration `json:"for"`
	// Shape is constant, ramp, sine or square; empty means constant.
	Shape Shape `json:"shape,omitempty"`
	// Rate and Peak are requests per second.
	Rate float64 `json:"rate"`
	Peak float64 `json:"peak,omitempty"`
	// Period is that of a sine or square swing; empty means the whole phase.
	Period Duration `json:"period,omitzero"`
}

// MixEntry is one kind of search in the mix.
type MixEntry struct {
	Weight   float64  `json:"weight"`
	Services []string `json:"services"`
	Priority string   `json:"priority,omitempty"`
	Deadline Duration `json:"deadline,omitzero"`
	Limit    int      `json:"limit,omitempty"`
	// Text is sent unchanged by every request of the entry; without it every
	// request has a text of its own.
	Text string `json:"text,omitempty"`
}

// NonIdempotent describes the requests that must run at most once.
type NonIdempotent struct {
	// Share of all requests.
	Share     float64  `json:"share"`
	Services  []string `json:"services"`
	Operation string   `json:"operation"`
	Deadline  Duration `json:"deadline,omitzero"`
	// KeyShare is the share that uses an idempotency key instead of a ticket.
	KeyShare float64 `json:"key-share,omitempty"`
	// ResendShare is the share that is sent twice at the same time.
	ResendShare float64 `json:"resend-share,omitempty"`
}

// Event posts faults to a control address at a given time.
type Event struct {
	At Duration `json:"at"`
	// To is targets or platform.
	To Receiver `json:"to"`
	// Target is a target's name or a pattern of path.Match.
	Target string          `json:"target,omitempty"`
	Faults json.RawMessage `json:"faults"`
}

// Receiver names the stand-in that an event is for.
type Receiver string

// Receivers of events.
const (
	ToTargets  Receiver = "targets"
	ToPlatform Receiver = "platform"
)

// Load reads a workload from a file of JSON with comments.
func Load(path string) (*Workload, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Op: "load", Kind: KindUnreadable, Err: err}
	}
	return Parse(text)
}

// Parse reads a workload from JSON with comments.
func Parse(text []byte) (*Workload, error) {
	standard, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return nil, &Error{Op: "parse", Kind: KindMalformed, Err: err}
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	w := defaultWorkload()
	if err := decoder.Decode(&w); err != nil {
		return nil, &Error{Op: "parse", Kind: KindMalformed, Err: err}
	}
	if err := w.validate(); err != nil {
		return nil, &Error{Op: "validate", Kind: KindInvalid, Err: err}
	}
	return &w, nil
}

func defaultWorkload() Workload {
	const ms = Duration(time.Millisecond)
	return Workload{
		Deadline: 130 * ms, Grace: 10 * ms, Patience: 2000 * ms, Settle: 500 * ms,
		Limit: 20, Callers: 100, MaxInFlight: 1024, GoodCoverage: 0.99,
	}
}

func (w *Workload) validate() error {
	if len(w.Phases) == 0 || len(w.Mix) == 0 {
		return fmt.Errorf("a workload needs phases and a mix")
	}
	if w.MaxInFlight <= 0 || w.Callers <= 0 || w.Deadline <= 0 || w.Limit <= 0 {
		return fmt.Errorf("max-in-flight, callers, deadline and limit must be above 0")
	}
	for _, p := range w.Phases {
		if err := p.validate(); err != nil {
			return err
		}
	}
	for _, e := range w.Mix {
		if e.Weight <= 0 || len(e.Services) == 0 {
			return fmt.Errorf("an entry of the mix needs a weight and services")
		}
	}
	for _, e := range w.Events {
		if err := e.validate(); err != nil {
			return err
		}
	}
	if n := w.NonIdempotent; n.Share > 0 && (len(n.Services) == 0 || n.Operation == "") {
		return fmt.Errorf("non-idempotent requests need services and an operation")
	}
	return nil
}

func (e *Event) validate() error {
	if e.To != ToTargets && e.To != ToPlatform {
		return fmt.Errorf("event at %s: %q is neither targets nor platform", time.Duration(e.At), e.To)
	}
	if e.To == ToTargets && e.Target == "" {
		return fmt.Errorf("event at %s: needs a target", time.Duration(e.At))
	}
	return nil
}

// ValidateAddresses reports addresses that the run needs and does not have.
func (w *Workload) ValidateAddresses() error {
	if len(w.Gateways) == 0 {
		return &Error{Op: "validate", Kind: KindInvalid, Err: errors.New("no gateway address")}
	}
	for _, e := range w.Events {
		if e.To == ToTargets && len(w.Targets) == 0 || e.To == ToPlatform && !w.Platform.IsValid() {
			err := fmt.Errorf("event at %s: no address of %s", time.Duration(e.At), e.To)
			return &Error{Op: "validate", Kind: KindInvalid, Err: err}
		}
	}
	return nil
}

// TotalDuration returns the time of all phases.
func (w *Workload) TotalDuration() time.Duration {
	total := time.Duration(0)
	for _, p := range w.Phases {
		total += time.Duration(p.For)
	}
	return total
}
