// Package scheduler reads workloads and generates their requests and send times.
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

// Workload describes one run.
type Workload struct {
	Seed uint64 `json:"seed"`
	// Gateways are the caller addresses of the gateways.
	Gateways []netip.AddrPort `json:"gateways"`
	// Targets are the control addresses of the target stand-ins.
	Targets []netip.AddrPort `json:"targets"`
	// Platform is the address of the platform stand-in.
	Platform netip.AddrPort `json:"platform,omitzero"`
	// TargetsPartial declares that the run kills target stand-ins, which leaves
	// the targets' record incomplete.
	TargetsPartial bool          `json:"targets-partial,omitempty"`
	Phases         []Phase       `json:"phases"`
	Mix            []MixEntry    `json:"mix"`
	NonIdempotent  NonIdempotent `json:"non-idempotent,omitzero"`
	Events         []Event       `json:"events,omitempty"`
	// Deadline is the default for requests whose mix entry sets none.
	Deadline Duration `json:"deadline"`
	// Grace is added to the deadline when deciding whether an answer is in
	// time. It covers the network time between caller and gateway.
	Grace Duration `json:"grace"`
	// Patience is the time after the deadline at which a caller gives up.
	Patience Duration `json:"patience"`
	// Settle is the delay between the last answer and reading the targets'
	// records.
	Settle      Duration `json:"settle"`
	Limit       int      `json:"limit"`
	Callers     int      `json:"callers"`
	MaxInFlight int      `json:"max-in-flight"`
	// Capacity is the number of requests per second that the targets can
	// serve, or zero if unknown.
	Capacity float64 `json:"capacity,omitempty"`
	// GoodCoverage is the minimum coverage of an answer that counts as goodput.
	GoodCoverage float64 `json:"good-coverage"`
}

// Phase is a section of the run in which the offered rate has one shape.
type Phase struct {
	Name string   `json:"name"`
	For  Duration `json:"for"`
	// Shape is constant, ramp, sine or square; empty means constant.
	Shape Shape `json:"shape,omitempty"`
	// Rate and Peak are requests per second.
	Rate float64 `json:"rate"`
	Peak float64 `json:"peak,omitempty"`
	// Period is the length of a sine or square cycle; empty means the whole phase.
	Period Duration `json:"period,omitzero"`
}

// MixEntry is one kind of search in the mix.
type MixEntry struct {
	Weight   float64  `json:"weight"`
	Services []string `json:"services"`
	Priority string   `json:"priority,omitempty"`
	Deadline Duration `json:"deadline,omitzero"`
	Limit    int      `json:"limit,omitempty"`
	// Text is sent by every request of the entry. If it is empty, each request
	// has a unique text.
	Text string `json:"text,omitempty"`
}

// NonIdempotent describes the requests that must run at most once.
type NonIdempotent struct {
	// Share is the fraction of all requests.
	Share     float64  `json:"share"`
	Services  []string `json:"services"`
	Operation string   `json:"operation"`
	Deadline  Duration `json:"deadline,omitzero"`
	// KeyShare is the fraction that uses an idempotency key instead of a ticket.
	KeyShare float64 `json:"key-share,omitempty"`
	// ResendShare is the fraction that is sent twice concurrently.
	ResendShare float64 `json:"resend-share,omitempty"`
}

// Event posts faults to a control address at a given time.
type Event struct {
	At Duration `json:"at"`
	// To is targets or platform.
	To Receiver `json:"to"`
	// Target is a target's name or a path.Match pattern.
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
		return fmt.Errorf("the workload needs phases and a mix")
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
			return fmt.Errorf("each mix entry needs a weight above 0 and at least one service")
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
		return fmt.Errorf("event at %s: no target name or pattern", time.Duration(e.At))
	}
	return nil
}

// ValidateAddresses returns an error if an address that the run needs is missing.
func (w *Workload) ValidateAddresses() error {
	if len(w.Gateways) == 0 {
		return &Error{Op: "validate", Kind: KindInvalid, Err: errors.New("no gateway address")}
	}
	for _, e := range w.Events {
		if e.To == ToTargets && len(w.Targets) == 0 || e.To == ToPlatform && !w.Platform.IsValid() {
			err := fmt.Errorf("event at %s: no control address for %s", time.Duration(e.At), e.To)
			return &Error{Op: "validate", Kind: KindInvalid, Err: err}
		}
	}
	return nil
}

// TotalDuration returns the sum of the durations of all phases.
func (w *Workload) TotalDuration() time.Duration {
	total := time.Duration(0)
	for _, p := range w.Phases {
		total += time.Duration(p.For)
	}
	return total
}
