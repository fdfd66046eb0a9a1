// Package describer reads the descriptions of the simulated targets of a
// process, or derives them from service documents.
package describer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"

	"github.com/tailscale/hujson"

	"jackdawcart.org/core/checker"
	"jackdawcart.org/core/container"
	"jackdawcart.org/core/parser"
)

// Description lists the targets of a process.
type Description struct {
	Targets []Target `json:"targets"`
}

// Target describes one simulated target.
type Target struct {
	Name          string          `json:"name"`
	Address       netip.AddrPort  `json:"address"`
	FailureDomain string          `json:"failure-domain"`
	Service       string          `json:"service"`
	Set           string          `json:"set"`
	Slots         int             `json:"slots"`
	Connections   int             `json:"connections"`
	ConnectTime   parser.Duration `json:"connect-time"`
	ServiceTime   ServiceTime     `json:"service-time"`
	ColdStart     ColdStart       `json:"cold-start"`
	// Queue is the maximum number of queued requests; further requests are shed.
	Queue     int        `json:"queue"`
	StatusLag Duration   `json:"status-lag"`
	Snapshots []Snapshot `json:"snapshots"`
	Seed      uint64     `json:"seed"`
}

// Duration is the duration type of service documents.
type Duration = parser.Duration

// ServiceTime is a log-normal distribution of service times. A share of the
// requests, the stragglers, takes longer by a constant factor.
type ServiceTime struct {
	Median          Duration `json:"median"`
	Sigma           float64  `json:"sigma"`
	StragglerShare  float64  `json:"straggler-share"`
	StragglerFactor float64  `json:"straggler-factor"`
}

// ColdStart multiplies service times after a start by a factor that decreases
// to 1.
type ColdStart struct {
	For    Duration `json:"for"`
	Factor float64  `json:"factor"`
}

// Snapshot is one version of the index and the part of it that a target holds.
type Snapshot struct {
	ID       string          `json:"id"`
	Sequence uint64          `json:"sequence"`
	Shards   []checker.Shard `json:"shards"`
	// Held lists the names of the shards that this target holds.
	Held []string `json:"held"`
}

// Load reads a description from a file in JSON with comments.
func Load(path string) (*Description, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Op: "load", Kind: KindUnreadable, Err: err}
	}
	return Parse(text)
}

// Parse reads a description from JSON with comments.
func Parse(text []byte) (*Description, error) {
	standard, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return nil, &Error{Op: "parse", Kind: KindMalformed, Err: err}
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	var d Description
	if err := decoder.Decode(&d); err != nil {
		return nil, &Error{Op: "parse", Kind: KindMalformed, Err: err}
	}
	for i := range d.Targets {
		d.Targets[i].setDefaults()
	}
	if err := d.validate(); err != nil {
		return nil, err
	}
	return &d, nil
}

// Defaults for the fields that a description omits. The median is in nanoseconds.
const (
	defaultSlots             = 2
	defaultConnections       = 25
	defaultMedianServiceTime = Duration(8_000_000)
	defaultSigma             = 0.3
	defaultStragglerFactor   = 10
	defaultQueuePerSlot      = 16
)

func (t *Target) setDefaults() {
	setDefault(&t.Slots, defaultSlots)
	setDefault(&t.Connections, defaultConnections)
	setDefault(&t.Queue, defaultQueuePerSlot*t.Slots)
	setDefault(&t.ServiceTime.Median, defaultMedianServiceTime)
	setDefault(&t.ServiceTime.Sigma, defaultSigma)
	setDefault(&t.ServiceTime.StragglerFactor, defaultStragglerFactor)
	setDefault(&t.ColdStart.Factor, 1)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (d *Description) validate() error {
	names := container.NewSet[string]()
	for _, t := range d.Targets {
		if t.Name == "" || !t.Address.IsValid() {
			return invalid("target %q needs a name and an address", t.Name)
		}
		if names.Has(t.Name) {
			return invalid("target %q is listed twice", t.Name)
		}
		names.Add(t.Name)
		if err := t.validate(); err != nil {
			return err
		}
	}
	return nil
}

func (t *Target) validate() error {
	if t.Slots < 0 || t.Connections < 0 || t.Queue < 0 {
		return invalid("target %q: slots, connections and queue must not be negative", t.Name)
	}
	for _, s := range t.Snapshots {
		if err := s.Validate(); err != nil {
			return invalid("target %q: %w", t.Name, err)
		}
	}
	return nil
}

// Validate returns an error if a shard is listed twice, has no positive weight
// or is held without being in the shard map.
func (s *Snapshot) Validate() error {
	shardNames := container.NewSet[string]()
	for _, shard := range s.Shards {
		if shardNames.Has(shard.Name) || shard.Weight <= 0 {
			return fmt.Errorf("snapshot %q: shard %q is listed twice or has no positive weight", s.ID, shard.Name)
		}
		shardNames.Add(shard.Name)
	}
	for _, name := range s.Held {
		if !shardNames.Has(name) {
			return fmt.Errorf("snapshot %q holds the unknown shard %q", s.ID, name)
		}
	}
	return nil
}

func invalid(format string, args ...any) error {
	return &Error{Op: "validate", Kind: KindInvalid, Err: fmt.Errorf(format, args...)}
}
