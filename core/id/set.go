package id

import (
	"cmp"
	"maps"
	"slices"
)

// Set is a set of ordered values.
type Set[T cmp.Ordered] map[T]struct{}

// NewSet returns a set with the given members.
func NewSet[T cmp.Ordered](members ...T) Set[T] {
	s := make(Set[T], len(members))
	for _, m := range members {
		s.Add(m)
	}
	return s
}

// Add adds a value to the set.
func (s Set[T]) Add(v T) { s[v] = struct{}{} }

// Delete removes a value from the set.
func (s Set[T]) Delete(v T) { delete(s, v) }

// Has reports whether the value is a member.
func (s Set[T]) Has(v T) bool {
	_, ok := s[v]
	return ok
}

// Sorted returns the members in ascending order. Decisions that iterate over a set use it to stay deterministic.
func (s Set[T]) Sorted() []T { return slices.Sorted(maps.Keys(s)) }
