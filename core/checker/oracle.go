// Package checker computes the expected answers of the stand-in targets and
// checks the record of a load test against the guarantees of the query tier.
package checker

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Every shard has at least minHitsPerShard hits for every text, so that each
// covered shard contributes to an answer without a limit.
const (
	minHitsPerShard = 2
	hitCountRange   = 4
)

// Hit is one search result.
type Hit struct {
	ID    string  `json:"id"`
	Score float64 `json:"score"`
	Title string  `json:"title"`
}

// Search returns the hits of one shard of a snapshot, best first. It is a pure
// function of its arguments. A limit of zero or less returns all hits.
func Search(shard, snapshot, text string, limit int) []Hit {
	seed := digest(shard, snapshot, text)
	count := minHitsPerShard + int(seed%hitCountRange)
	hits := make([]Hit, count)
	for i := range hits {
		hash := digest(strconv.FormatUint(seed, 16), strconv.Itoa(i))
		id := fmt.Sprintf("%s-%012x", shard, hash>>16)
		hits[i] = Hit{ID: id, Score: score(hash), Title: "Sheet " + id + " of " + snapshot}
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

// score maps a digest to [0, 1). A float64 represents the 53 bits exactly, so
// that scores survive every encoding unchanged and ties are improbable.
func score(hash uint64) float64 {
	const bits = 53
	mixed := hash * 0x9e3779b97f4a7c15
	return float64(mixed>>(64-bits)) / (1 << bits)
}

// digest hashes the parts with their lengths, so that moving a byte from one part
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
