package describer

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"jackdawcart.org/core/checker"
	"jackdawcart.org/core/parser"
)

// Replicas is the number of targets that hold each shard, as far as the set
// has that many targets.
const Replicas = 2

// LoadDocuments derives the targets of every service document in a directory.
// Files that end in .json or .jsonc are documents.
func LoadDocuments(directory string, shards int) (*Description, error) {
	entries, err := os.ReadDir(directory)
	if err != nil {
		return nil, &Error{Op: "load-documents", Kind: KindUnreadable, Err: err}
	}
	d := &Description{}
	for _, entry := range entries {
		if !strings.HasSuffix(entry.Name(), ".json") && !strings.HasSuffix(entry.Name(), ".jsonc") {
			continue
		}
		text, err := os.ReadFile(filepath.Join(directory, entry.Name()))
		if err != nil {
			return nil, &Error{Op: "load-documents", Kind: KindUnreadable, Err: err}
		}
		doc, err := parser.Parse(text)
		if err != nil {
			return nil, &Error{Op: "load-documents", Kind: KindMalformed, Err: fmt.Errorf("%s: %w", entry.Name(), err)}
		}
		d.Targets = append(d.Targets, FromDocument(doc, shards)...)
	}
	if err := d.validate(); err != nil {
		return nil, err
	}
	return d, nil
}

// FromDocument derives the targets of one service. Each set spreads its shards
// over its targets; the result depends on the names alone.
func FromDocument(doc *parser.Document, shards int) []Target {
	var targets []Target
	for _, set := range doc.Sets {
		start := len(targets)
		for _, t := range set.Targets {
			targets = append(targets, fromDocumentTarget(doc.Service, set.Name, t))
		}
		Assign(targets[start:], 1, shards)
	}
	return targets
}

func fromDocumentTarget(service, set string, t parser.Target) Target {
	target := Target{
		Name: t.Name, Address: t.Address, FailureDomain: t.FailureDomain,
		Service: service, Set: set,
		Slots: t.Slots, Connections: t.Connections, ConnectTime: t.ConnectTime,
		Seed: xxhash.Sum64String(t.Name),
	}
	target.setDefaults()
	return target
}

// Assign adds to each target of a set the snapshot of the given sequence. The
// shards are spread evenly in replicas over the targets, in the order of
// a hash of the names, so that a shard's replicas are different targets.
func Assign(targets []Target, sequence uint64, shards int) {
	if len(targets) == 0 {
		return
	}
	snapshots := Spread(targets, sequence, shards)
	for i := range targets {
		targets[i].Snapshots = append(targets[i].Snapshots, snapshots[i])
	}
}

// Spread returns the snapshot of the given sequence as each target of a set
// would hold it. All targets belong to the same service and set.
func Spread(targets []Target, sequence uint64, shards int) []Snapshot {
	id := fmt.Sprintf("%s-%s-%d", targets[0].Service, targets[0].Set, sequence)
	weights := make([]checker.Shard, shards)
	for i := range weights {
		name := fmt.Sprintf("%s-%02d-of-%02d", targets[0].Service, i, shards)
		weights[i] = checker.Shard{Name: name, Weight: shardWeight(name)}
	}
	result := make([]Snapshot, len(targets))
	for i := range result {
		result[i] = Snapshot{ID: id, Sequence: sequence, Shards: weights, Held: []string{}}
	}
	order := replicaOrder(targets)
	for i, shard := range weights {
		for r := range min(Replicas, len(order)) {
			holder := order[(i+r)%len(order)]
			result[holder].Held = append(result[holder].Held, shard.Name)
		}
	}
	return result
}

// replicaOrder returns the indexes of the targets such that neighbours are in
// different failure domains as far as possible, so that one failure domain
// does not hold all replicas of a shard.
func replicaOrder(targets []Target) []int {
	groups := map[string][]int{}
	var domains []string
	for i, t := range targets {
		if len(groups[t.FailureDomain]) == 0 {
			domains = append(domains, t.FailureDomain)
		}
		groups[t.FailureDomain] = append(groups[t.FailureDomain], i)
	}
	slices.Sort(domains)
	for _, group := range groups {
		slices.SortFunc(group, func(a, b int) int { return compareNames(targets[a].Name, targets[b].Name) })
	}
	order := make([]int, 0, len(targets))
	for round := 0; len(order) < len(targets); round++ {
		for _, domain := range domains {
			if round < len(groups[domain]) {
				order = append(order, groups[domain][round])
			}
		}
	}
	return order
}

func compareNames(a, b string) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
}

// shardWeight returns 1 to 4, so that coverage by weight differs from coverage
// by number of shards.
func shardWeight(name string) float64 {
	return float64(1 + xxhash.Sum64String(name)%4)
}
