// Package parser reads service documents, which state which targets serve a
// service and how its queries are answered.
package parser

import (
	"encoding/json"
	"net/netip"
	"time"
)

// Document describes one service. Its team owns and edits it.
type Document struct {
	Service   string    `json:"service"`
	Team      string    `json:"team"`
	Sets      []Set     `json:"sets"`
	Answering Answering `json:"answering"`
	// Edit identifies the edit that wrote this document, so that an operator
	// whose write lost its answer can tell whether the write took effect.
	Edit string `json:"edit,omitempty"`
	// Deleted marks a tombstone, which has a service and an edit only.
	Deleted bool `json:"deleted,omitempty"`
}

// tombstone is the stored form of a deleted service.
type tombstone struct {
	Service string `json:"service"`
	Deleted bool   `json:"deleted"`
	Edit    string `json:"edit,omitempty"`
}

// Set is a group of targets that together serve the service, such as the old
// or the new system.
type Set struct {
	Name    string   `json:"name"`
	Targets []Target `json:"targets"`
}

// Target is one back end.
type Target struct {
	Name          string         `json:"name"`
	Address       netip.AddrPort `json:"address"`
	FailureDomain string         `json:"failure-domain"`
	// Slots is the number of requests that the target runs at once.
	Slots int `json:"slots"`
	// Connections is the number of connections that the target accepts.
	Connections int      `json:"connections"`
	ConnectTime Duration `json:"connect-time"`
}

// Answering states how queries of the service are answered.
type Answering struct {
	// Lead names the set that answers callers which are not moved.
	Lead string `json:"lead"`
	// Move sends a share of the callers to another set.
	Move *Move `json:"move,omitempty"`
	// Fallback names the set that answers when the chosen one has no target.
	Fallback        string   `json:"fallback,omitempty"`
	Mirror          *Mirror  `json:"mirror,omitempty"`
	Deadline        Duration `json:"deadline"`
	MinimumCoverage float64  `json:"minimum-coverage"`
	// Priority is one of the constants PriorityHigh, PriorityNormal and
	// PriorityLow.
	Priority string `json:"priority"`
	// HedgeBudget is the share of sub-requests that may be sent again as
	// hedges or retries.
	HedgeBudget float64 `json:"hedge-budget"`
}

// Priorities of a service.
const (
	PriorityHigh   = "high"
	PriorityNormal = "normal"
	PriorityLow    = "low"
)

// Move sends a share of the callers to another set.
type Move struct {
	Set   string  `json:"set"`
	Share float64 `json:"share"`
}

// Mirror repeats a share of the queries on another set and compares answers.
type Mirror struct {
	Set          string  `json:"set"`
	Share        float64 `json:"share"`
	MaxExtraLoad float64 `json:"max-extra-load"`
}

// Duration is a time.Duration written as a string such as "130ms".
type Duration time.Duration

// MarshalText writes d in the form of time.Duration.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads the form of time.Duration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return &Error{Op: "parse-duration", Kind: KindMalformed, Err: err}
	}
	*d = Duration(parsed)
	return nil
}

// Set returns the set of the given name.
func (d *Document) Set(name string) (*Set, bool) {
	for i := range d.Sets {
		if d.Sets[i].Name == name {
			return &d.Sets[i], true
		}
	}
	return nil, false
}

// Encode returns the document as indented JSON, and a tombstone without the
// fields that it does not have.
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
