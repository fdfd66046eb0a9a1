// Package container holds small generic value types: sets and options.
package container

import (
	"cmp"
	"maps"
	"slices"
)

// Set is an unordered collection of distinct values.
type Set[T comparable] map[T]struct{}

// NewSet returns a set of the given values.
func NewSet[T comparable](values ...T) Set[T] {
	s := make(Set[T], len(values))
	for _, v := range values {
		s.Add(v)
	}
	return s
}

// Add puts v into the set.
func (s Set[T]) Add(v T) { s[v] = struct{}{} }

// Remove takes v out of the set.
func (s Set[T]) Remove(v T) { delete(s, v) }

// Has reports whether v is in the set.
func (s Set[T]) Has(v T) bool {
	_, ok := s[v]
	return ok
}

// Sorted returns the values of s in ascending order.
func Sorted[T cmp.Ordered](s Set[T]) []T {
	return slices.Sorted(maps.Keys(s))
}

// Option is a value that may be absent.
type Option[T any] struct {
	value   T
	present bool
}

// Some returns an option that holds v.
func Some[T any](v T) Option[T] { return Option[T]{value: v, present: true} }

// None returns an empty option.
func None[T any]() Option[T] { return Option[T]{} }

// Get returns the value and whether it is present.
func (o Option[T]) Get() (T, bool) { return o.value, o.present }

// OrElse returns the value, or fallback when it is absent.
func (o Option[T]) OrElse(fallback T) T {
	if o.present {
		return o.value
	}
	return fallback
}
