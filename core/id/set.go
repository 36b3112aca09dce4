package id

import (
	"cmp"
	"maps"
	"slices"
)

// Set is a set of small values.
type Set[T cmp.Ordered] map[T]struct{}

// NewSet returns a set with the given members.
func NewSet[T cmp.Ordered](members ...T) Set[T] {
	s := make(Set[T], len(members))
	for _, m := range members {
		s.Add(m)
	}
	return s
}

// Add puts a value into the set.
func (s Set[T]) Add(v T) { s[v] = struct{}{} }

// Delete takes a value out of the set.
func (s Set[T]) Delete(v T) { delete(s, v) }

// Has reports whether the value is a member.
func (s Set[T]) Has(v T) bool {
	_, ok := s[v]
	return ok
}

// Sorted returns the members in ascending order, so that decisions do not depend on map order.
func (s Set[T]) Sorted() []T { return slices.Sorted(maps.Keys(s)) }
