// Package controller serves the control address of the stand-in targets of
// one process: faults and the record of everything that ran.
package controller

import (
	"encoding/json"
	"errors"
	"net/http"
	"path"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/core/checker"
	"jackdawcart.org/targetstandin/describer"
	"jackdawcart.org/targetstandin/simulator"
)

// Controller drives the targets of one process.
type Controller struct {
	targets []*simulator.Target
	log     *zap.Logger
}

// New returns a controller of the given targets.
func New(targets []*simulator.Target, log *zap.Logger) *Controller {
	return &Controller{targets: targets, log: log}
}

// FaultRepartition publishes the next snapshot of each matching set with
// another number of shards; it is spread over the matching targets of the set.
const FaultRepartition simulator.FaultKind = "repartition"

// Fault is a fault of one target, or one that concerns whole sets.
type Fault struct {
	simulator.Fault
	// Shards is the number of shards after a repartition; zero keeps it.
	Shards int `json:"shards,omitempty"`
	// RetireAfter is when the former snapshots go; zero keeps them.
	RetireAfter describer.Duration `json:"retire-after,omitzero"`
}

type problem struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

type injected struct {
	Targets []string `json:"targets"`
}

type listed struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure-domain"`
	Service       string `json:"service"`
	Set           string `json:"set"`
}

// Handler returns the control interface.
func (c *Controller) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control/{target}", c.inject)
	mux.HandleFunc("GET /control/record", c.record)
	mux.HandleFunc("GET /control/targets", c.list)
	return mux
}

const maxBody = 1 << 20

func (c *Controller) inject(rw http.ResponseWriter, r *http.Request) {
	var faults []Fault
	decoder := json.NewDecoder(http.MaxBytesReader(rw, r.Body, maxBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		write(rw, http.StatusBadRequest, problem{"malformed", err.Error()})
		return
	}
	pattern := r.PathValue("target")
	targets := c.match(pattern)
	if len(targets) == 0 {
		write(rw, http.StatusNotFound, problem{"unknown-target", "no target matches " + pattern})
		return
	}
	if err := validate(faults); err != nil {
		write(rw, http.StatusBadRequest, problem{"invalid", err.Error()})
		return
	}
	answer := injected{}
	for _, t := range targets {
		answer.Targets = append(answer.Targets, t.Description().Name)
	}
	for _, f := range faults {
		c.log.Info("fault injected", zap.String("kind", string(f.Kind)), zap.Strings("targets", answer.Targets))
		if err := apply(f, targets); err != nil {
			write(rw, http.StatusBadRequest, problem{"invalid", err.Error()})
			return
		}
	}
	write(rw, http.StatusOK, answer)
}

// match returns the targets whose name fits the pattern of path.Match.
func (c *Controller) match(pattern string) []*simulator.Target {
	var matching []*simulator.Target
	for _, t := range c.targets {
		if ok, err := path.Match(pattern, t.Description().Name); ok && err == nil {
			matching = append(matching, t)
		}
	}
	return matching
}

func validate(faults []Fault) error {
	for _, f := range faults {
		if f.Kind == FaultRepartition {
			if f.Shards < 0 {
				return errors.New("controller: repartition: shards must not be negative")
			}
			continue
		}
		if err := f.Validate(); err != nil {
			return err
		}
	}
	return nil
}

func apply(f Fault, targets []*simulator.Target) error {
	if f.Kind == FaultRepartition {
		return repartition(f, targets)
	}
	for _, t := range targets {
		if err := t.Inject(f.Fault); err != nil {
			return err
		}
	}
	return nil
}

func repartition(f Fault, targets []*simulator.Target) error {
	for _, set := range bySet(targets) {
		if err := repartitionSet(f, set); err != nil {
			return err
		}
	}
	return nil
}

func bySet(targets []*simulator.Target) [][]*simulator.Target {
	sets := map[string][]*simulator.Target{}
	for _, t := range targets {
		d := t.Description()
		key := d.Service + "/" + d.Set
		sets[key] = append(sets[key], t)
	}
	result := make([][]*simulator.Target, 0, len(sets))
	for _, set := range sets {
		result = append(result, set)
	}
	return result
}

func repartitionSet(f Fault, set []*simulator.Target) error {
	descriptions := make([]describer.Target, len(set))
	var newest describer.Snapshot
	var former []string
	for i, t := range set {
		descriptions[i] = t.Description()
		for _, s := range t.Snapshots() {
			if s.Sequence >= newest.Sequence {
				newest = s
			}
			if !slices.Contains(former, s.ID) {
				former = append(former, s.ID)
			}
		}
	}
	shards := f.Shards
	if shards == 0 {
		shards = len(newest.Shards)
	}
	snapshots := describer.Spread(descriptions, newest.Sequence+1, shards)
	for i, t := range set {
		fault := simulator.Fault{Kind: simulator.FaultPublish, Snapshot: &snapshots[i]}
		if err := t.Inject(fault); err != nil {
			return err
		}
	}
	if f.RetireAfter > 0 {
		time.AfterFunc(time.Duration(f.RetireAfter), func() { retire(former, set) })
	}
	return nil
}

func retire(former []string, set []*simulator.Target) {
	for _, t := range set {
		for _, id := range former {
			_ = t.Inject(simulator.Fault{Kind: simulator.FaultRetire, ID: id})
		}
	}
}

func (c *Controller) record(rw http.ResponseWriter, _ *http.Request) {
	write(rw, http.StatusOK, c.Record())
}

// Record returns everything that the targets ran.
func (c *Controller) Record() checker.TargetRecord {
	all := checker.TargetRecord{Runs: []checker.Run{}, Maps: []checker.ShardMap{}, Refusals: map[string]int{}}
	seen := map[string]bool{}
	for _, t := range c.targets {
		record := t.Record()
		all.Runs = append(all.Runs, record.Runs...)
		for _, m := range record.Maps {
			key := strings.Join([]string{m.Service, m.Set, m.Snapshot}, "/")
			if !seen[key] {
				all.Maps = append(all.Maps, m)
			}
			seen[key] = true
		}
		for code, count := range record.Refusals {
			all.Refusals[code] += count
		}
	}
	return all
}

func (c *Controller) list(rw http.ResponseWriter, _ *http.Request) {
	targets := []listed{}
	for _, t := range c.targets {
		d := t.Description()
		targets = append(targets, listed{d.Name, d.Address.String(), d.FailureDomain, d.Service, d.Set})
	}
	write(rw, http.StatusOK, targets)
}

func write(rw http.ResponseWriter, status int, value any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(value)
}
