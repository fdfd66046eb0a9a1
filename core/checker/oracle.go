// Package checker computes the right answers of the stand-in targets and
// checks the record of a run against the guarantees of the query tier.
package checker

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// A shard has at least one hit for every text, so that a shard which is
// claimed as covered always shows in an unlimited answer.
const (
	minHitsPerShard = 2
	hitSpread       = 4
)

// Hit is one search result.
type Hit struct {
	ID    string  `json:"id"`
	Score float64 `json:"score"`
	Title string  `json:"title"`
}

// Search returns the hits of one shard of a snapshot, best first. It is a pure
// function of its arguments; a limit of zero or less returns all hits.
func Search(shard, snapshot, text string, limit int) []Hit {
	seed := digest(shard, snapshot, text)
	count := minHitsPerShard + int(seed%hitSpread)
	hits := make([]Hit, count)
	for i := range hits {
		number := digest(strconv.FormatUint(seed, 16), strconv.Itoa(i))
		id := fmt.Sprintf("%s-%012x", shard, number>>16)
		hits[i] = Hit{ID: id, Score: score(number), Title: "Sheet " + id + " of " + snapshot}
	}
	slices.SortFunc(hits, compareHits)
	if limit > 0 && limit < count {
		hits = hits[:limit]
	}
	return hits
}

// Execute returns the result of a non-idempotent operation.
func Execute(operation, payload string) string {
	return fmt.Sprintf("%s-%016x", operation, digest(operation, payload))
}

// score maps a digest to [0, 1). The 53 bits fit a float64 exactly, so that
// scores survive every encoding unchanged and ties are improbable.
func score(number uint64) float64 {
	const bits = 53
	mixed := number * 0x9e3779b97f4a7c15
	return float64(mixed>>(64-bits)) / (1 << bits)
}

// digest hashes the parts with separators, so that moving a byte from one part
// to the next changes the result.
func digest(parts ...string) uint64 {
	h := xxhash.New()
	for _, part := range parts {
		_, _ = h.WriteString(strconv.Itoa(len(part)))
		_, _ = h.WriteString(":")
		_, _ = h.WriteString(part)
	}
	return h.Sum64()
}

func compareHits(a, b Hit) int {
	return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
}
