// Package merger merges the answers of shards and computes their coverage.
package merger

import (
	"cmp"
	"container/heap"
	"slices"
)

// Hit is one search result.
type Hit struct {
	Service string
	ID      string
	Score   float64
	Title   string
}

// Compare orders hits by descending score, then by service and ID, so that the
// result does not depend on the order in which shards answer.
func Compare(a, b Hit) int {
	return cmp.Or(
		cmp.Compare(b.Score, a.Score),
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.ID, b.ID),
	)
}

// Merge returns the best hits of several lists, at most limit of them, in the
// order of Compare. Of the hits with the same service and ID only the best is
// returned.
func Merge(lists [][]Hit, limit int) []Hit {
	queue := make(listHeap, 0, len(lists))
	for _, list := range lists {
		if len(list) == 0 {
			continue
		}
		if !slices.IsSortedFunc(list, Compare) {
			list = slices.Clone(list)
			slices.SortFunc(list, Compare)
		}
		queue = append(queue, list)
	}
	heap.Init(&queue)
	merged := make([]Hit, 0, limit)
	seen := make(map[hitKey]bool, limit)
	for len(queue) > 0 && len(merged) < limit {
		hit := queue[0][0]
		if key := (hitKey{hit.Service, hit.ID}); !seen[key] {
			seen[key] = true
			merged = append(merged, hit)
		}
		queue.advance()
	}
	return merged
}

type hitKey struct{ service, id string }

// listHeap is a heap of sorted, non-empty lists, ordered by their first hit.
type listHeap [][]Hit

func (h listHeap) Len() int           { return len(h) }
func (h listHeap) Less(i, j int) bool { return Compare(h[i][0], h[j][0]) < 0 }
func (h listHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *listHeap) Push(x any) { *h = append(*h, x.([]Hit)) }

// Pop implements heap.Interface.
func (h *listHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// advance removes the best hit and restores the heap order.
func (h *listHeap) advance() {
	(*h)[0] = (*h)[0][1:]
	if len((*h)[0]) == 0 {
		heap.Pop(h)
		return
	}
	heap.Fix(h, 0)
}
