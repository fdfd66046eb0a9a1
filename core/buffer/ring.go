// Package buffer provides bounded queues between goroutines.
package buffer

import "context"

// Ring is a bounded first-in first-out queue between goroutines.
type Ring[T any] struct {
	values chan T
}

// NewRing returns a ring that holds up to size values.
func NewRing[T any](size int) *Ring[T] {
	return &Ring[T]{values: make(chan T, size)}
}

// Put appends v. It never waits, and returns false when the ring is full.
func (r *Ring[T]) Put(v T) bool {
	select {
	case r.values <- v:
		return true
	default:
		return false
	}
}

// PutWait appends v, waiting for space until the context ends.
func (r *Ring[T]) PutWait(ctx context.Context, v T) bool {
	select {
	case r.values <- v:
		return true
	case <-ctx.Done():
		return false
	}
}

// Take removes and returns the oldest value, waiting for one until the context
// ends.
func (r *Ring[T]) Take(ctx context.Context) (T, bool) {
	select {
	case v := <-r.values:
		return v, true
	case <-ctx.Done():
		var zero T
		return zero, false
	}
}

// TryTake removes and returns the oldest value. It never waits, and returns false
// when the ring is empty.
func (r *Ring[T]) TryTake() (T, bool) {
	select {
	case v := <-r.values:
		return v, true
	default:
		var zero T
		return zero, false
	}
}

// C returns the channel from which values can be received in a select.
func (r *Ring[T]) C() <-chan T { return r.values }

// Len returns the number of values in the ring.
func (r *Ring[T]) Len() int { return len(r.values) }
