// Package controller serves the control interface of the simulated targets of
// one process: fault injection and the record of all runs.
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

// Controller injects faults into the targets of one process and collects their
// records.
type Controller struct {
	targets []*simulator.Target
	log     *zap.Logger
}

// New returns a controller for the given targets.
func New(targets []*simulator.Target, log *zap.Logger) *Controller {
	return &Controller{targets: targets, log: log}
}

// FaultRepartition publishes the next snapshot of each matching set with
// a new number of shards, distributed over the matching targets of the set.
const FaultRepartition simulator.FaultKind = "repartition"

// Fault is a fault of individual targets, or a repartition of whole sets.
type Fault struct {
	simulator.Fault
	// Shards is the number of shards after a repartition; zero keeps the current
	// number.
	Shards int `json:"shards,omitempty"`
	// RetireAfter is the delay after which the previous snapshots are retired;
	// zero keeps them.
	RetireAfter describer.Duration `json:"retire-after,omitzero"`
}

type problem struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

type injectAnswer struct {
	Targets []string `json:"targets"`
}

type listedTarget struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure-domain"`
	Service       string `json:"service"`
	Set           string `json:"set"`
}

// Handler returns the HTTP handler of the control interface.
func (c *Controller) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control/{target}", c.handleInject)
	mux.HandleFunc("GET /control/record", c.handleRecord)
	mux.HandleFunc("GET /control/targets", c.handleList)
	return mux
}

const maxBodyBytes = 1 << 20

func (c *Controller) handleInject(rw http.ResponseWriter, r *http.Request) {
	var faults []Fault
	decoder := json.NewDecoder(http.MaxBytesReader(rw, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		writeJSON(rw, http.StatusBadRequest, problem{"malformed", err.Error()})
		return
	}
	pattern := r.PathValue("target")
	targets := c.matchTargets(pattern)
	if len(targets) == 0 {
		writeJSON(rw, http.StatusNotFound, problem{"unknown-target", "no target matches " + pattern})
		return
	}
	if err := validate(faults); err != nil {
		writeJSON(rw, http.StatusBadRequest, problem{"invalid", err.Error()})
		return
	}
	answer := injectAnswer{}
	for _, t := range targets {
		answer.Targets = append(answer.Targets, t.Description().Name)
	}
	for _, f := range faults {
		c.log.Info("fault injected", zap.String("kind", string(f.Kind)), zap.Strings("targets", answer.Targets))
		if err := apply(f, targets); err != nil {
			writeJSON(rw, http.StatusBadRequest, problem{"invalid", err.Error()})
			return
		}
	}
	writeJSON(rw, http.StatusOK, answer)
}

// matchTargets returns the targets whose name matches the path.Match pattern.
func (c *Controller) matchTargets(pattern string) []*simulator.Target {
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
	for _, set := range groupBySet(targets) {
		if err := repartitionSet(f, set); err != nil {
			return err
		}
	}
	return nil
}

func groupBySet(targets []*simulator.Target) [][]*simulator.Target {
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
	var previousIDs []string
	for i, t := range set {
		descriptions[i] = t.Description()
		for _, s := range t.Snapshots() {
			if s.Sequence >= newest.Sequence {
				newest = s
			}
			if !slices.Contains(previousIDs, s.ID) {
				previousIDs = append(previousIDs, s.ID)
			}
		}
	}
	shards := f.Shards
	if shards == 0 {
		shards = len(newest.Shards)
	}
	snapshots := describer.DistributeShards(descriptions, newest.Sequence+1, shards)
	for i, t := range set {
		fault := simulator.Fault{Kind: simulator.FaultPublish, Snapshot: &snapshots[i]}
		if err := t.Inject(fault); err != nil {
			return err
		}
	}
	if f.RetireAfter > 0 {
		time.AfterFunc(time.Duration(f.RetireAfter), func() { retireSnapshots(previousIDs, set) })
	}
	return nil
}

func retireSnapshots(previousIDs []string, set []*simulator.Target) {
	for _, t := range set {
		for _, id := range previousIDs {
			_ = t.Inject(simulator.Fault{Kind: simulator.FaultRetire, ID: id})
		}
	}
}

func (c *Controller) handleRecord(rw http.ResponseWriter, _ *http.Request) {
	writeJSON(rw, http.StatusOK, c.Record())
}

// Record merges the records of all targets. The shard map of a snapshot, which
// the targets of a set share, appears once.
func (c *Controller) Record() checker.TargetRecord {
	merged := checker.TargetRecord{Runs: []checker.Run{}, Maps: []checker.ShardMap{}, Refusals: map[string]int{}}
	seen := map[string]bool{}
	for _, t := range c.targets {
		record := t.Record()
		merged.Runs = append(merged.Runs, record.Runs...)
		for _, m := range record.Maps {
			key := strings.Join([]string{m.Service, m.Set, m.Snapshot}, "/")
			if !seen[key] {
				merged.Maps = append(merged.Maps, m)
			}
			seen[key] = true
		}
		for code, count := range record.Refusals {
			merged.Refusals[code] += count
		}
	}
	return merged
}

func (c *Controller) handleList(rw http.ResponseWriter, _ *http.Request) {
	targets := []listedTarget{}
	for _, t := range c.targets {
		d := t.Description()
		targets = append(targets, listedTarget{d.Name, d.Address.String(), d.FailureDomain, d.Service, d.Set})
	}
	writeJSON(rw, http.StatusOK, targets)
}

func writeJSON(rw http.ResponseWriter, status int, value any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(value)
}
