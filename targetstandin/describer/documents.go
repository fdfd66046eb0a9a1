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

// ReplicasPerShard is the number of targets that hold each shard. In a smaller
// set, every target holds every shard.
const ReplicasPerShard = 2

// LoadDocuments derives targets from all service documents in a directory, which
// are the files with the extension .json or .jsonc.
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

// FromDocument derives the targets of one service. The shards of each set are
// distributed over its targets deterministically by the names and failure domains.
func FromDocument(doc *parser.Document, shards int) []Target {
	var targets []Target
	for _, set := range doc.Sets {
		start := len(targets)
		for _, t := range set.Targets {
			targets = append(targets, fromDocumentTarget(doc.Service, set.Name, t))
		}
		AddSnapshots(targets[start:], 1, shards)
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

// AddSnapshots adds the snapshot with the given sequence number to each target of
// a set. The replicas of the shards are distributed evenly over the targets, and
// those of one shard are on different targets. The order of the targets depends on
// their failure domains and on a hash of their names.
func AddSnapshots(targets []Target, sequence uint64, shards int) {
	if len(targets) == 0 {
		return
	}
	snapshots := DistributeShards(targets, sequence, shards)
	for i := range targets {
		targets[i].Snapshots = append(targets[i].Snapshots, snapshots[i])
	}
}

// DistributeShards returns, for each target of a set, the snapshot with the given
// sequence number and the shards that the target holds. All targets must belong to
// the same service and set.
func DistributeShards(targets []Target, sequence uint64, shards int) []Snapshot {
	id := fmt.Sprintf("%s-%s-%d", targets[0].Service, targets[0].Set, sequence)
	shardMap := make([]checker.Shard, shards)
	for i := range shardMap {
		name := fmt.Sprintf("%s-%02d-of-%02d", targets[0].Service, i, shards)
		shardMap[i] = checker.Shard{Name: name, Weight: shardWeight(name)}
	}
	snapshots := make([]Snapshot, len(targets))
	for i := range snapshots {
		snapshots[i] = Snapshot{ID: id, Sequence: sequence, Shards: shardMap, Held: []string{}}
	}
	order := replicaOrder(targets)
	for i, shard := range shardMap {
		for r := range min(ReplicasPerShard, len(order)) {
			holder := order[(i+r)%len(order)]
			snapshots[holder].Held = append(snapshots[holder].Held, shard.Name)
		}
	}
	return snapshots
}

// replicaOrder returns the indexes of the targets, ordered so that adjacent ones
// are in different failure domains where possible. One failure domain then does
// not hold all replicas of a shard.
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
		slices.SortFunc(group, func(a, b int) int { return compareNameHashes(targets[a].Name, targets[b].Name) })
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

// compareNameHashes orders names by their hash, and by the names on a collision.
func compareNameHashes(a, b string) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
}

// shardWeight derives a weight from 1 to 4 from the name. Unequal weights make
// coverage by weight differ from coverage by number of shards.
func shardWeight(name string) float64 {
	return float64(1 + xxhash.Sum64String(name)%4)
}
