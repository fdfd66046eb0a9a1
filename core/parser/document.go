// Package parser parses service documents, which define the targets of a service
// and how its queries are answered.
package parser

import (
	"encoding/json"
	"net/netip"
	"time"
)

// Document configures one service. It is owned and edited by the service's team.
type Document struct {
	Service   string    `json:"service"`
	Team      string    `json:"team"`
	Sets      []Set     `json:"sets"`
	Answering Answering `json:"answering"`
	// Edit identifies the edit that wrote this document, so that an operator who
	// received no response to a write can tell whether it took effect.
	Edit string `json:"edit,omitempty"`
	// Deleted marks a tombstone, which has only a service and an edit.
	Deleted bool `json:"deleted,omitempty"`
}

// tombstone is the stored form of a deleted service.
type tombstone struct {
	Service string `json:"service"`
	Deleted bool   `json:"deleted"`
	Edit    string `json:"edit,omitempty"`
}

// Set is a group of targets that together serve the service, such as the old or
// the new system during a migration.
type Set struct {
	Name    string   `json:"name"`
	Targets []Target `json:"targets"`
}

// Target is one server that runs requests of the service.
type Target struct {
	Name          string         `json:"name"`
	Address       netip.AddrPort `json:"address"`
	FailureDomain string         `json:"failure-domain"`
	// Slots is the number of requests that the target runs concurrently.
	Slots int `json:"slots"`
	// Connections is the number of connections that the target accepts.
	Connections int      `json:"connections"`
	ConnectTime Duration `json:"connect-time"`
}

// Answering configures how queries of the service are answered.
type Answering struct {
	// Lead names the set that answers all callers that Move does not send to
	// another set.
	Lead string `json:"lead"`
	// Move is nil when the lead set answers all callers.
	Move *Move `json:"move,omitempty"`
	// Fallback names the set that answers when the selected set has no target.
	Fallback        string   `json:"fallback,omitempty"`
	Mirror          *Mirror  `json:"mirror,omitempty"`
	Deadline        Duration `json:"deadline"`
	MinimumCoverage float64  `json:"minimum-coverage"`
	// Priority is one of the constants PriorityHigh, PriorityNormal and
	// PriorityLow.
	Priority string `json:"priority"`
	// HedgeBudget is the maximum ratio of hedges and retries to sub-requests.
	HedgeBudget float64 `json:"hedge-budget"`
}

// Priorities of a service.
const (
	PriorityHigh   = "high"
	PriorityNormal = "normal"
	PriorityLow    = "low"
)

// Move routes a share of the callers to a set other than the lead set.
type Move struct {
	Set   string  `json:"set"`
	Share float64 `json:"share"`
}

// Mirror repeats a share of the queries on another set and compares the answers.
type Mirror struct {
	Set          string  `json:"set"`
	Share        float64 `json:"share"`
	MaxExtraLoad float64 `json:"max-extra-load"`
}

// Duration is a time.Duration that is encoded as a string such as "130ms".
type Duration time.Duration

// MarshalText formats d like time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses text with time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return &Error{Op: "parse-duration", Kind: KindMalformed, Err: err}
	}
	*d = Duration(parsed)
	return nil
}

// Set returns the set with the given name.
func (d *Document) Set(name string) (*Set, bool) {
	for i := range d.Sets {
		if d.Sets[i].Name == name {
			return &d.Sets[i], true
		}
	}
	return nil, false
}

// Encode returns the document as indented JSON. A tombstone is encoded with its
// own fields only.
func (d *Document) Encode() ([]byte, error) {
	var value any = d
	if d.Deleted {
		value = tombstone{Service: d.Service, Deleted: true, Edit: d.Edit}
	}
	body, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return nil, &Error{Op: "encode", Kind: KindMalformed, Err: err}
	}
	return append(body, '\n'), nil
}
