package watchcache

import (
	"cmp"
	"slices"
)

// maxPartBytes is the size from which the changes of a kind are split into several messages. A part exceeds it by less than one object
// of the store, and a message may be four times as large.
const maxPartBytes = 1 << 20

// size returns about the number of bytes of the object in a message.
func (o Object) size() int { return len(o.Name) + len(o.Spec) + len(o.Status) }

// split returns the change set in parts for one message each, in the order in which they have to arrive. A whole kind is not split: a
// node that cannot get it follows the store itself.
func (s ChangeSet) split() []ChangeSet {
	if s.Whole {
		return []ChangeSet{s}
	}
	slices.SortStableFunc(s.Objects, func(a, b Object) int { return cmp.Compare(a.Revision, b.Revision) })
	slices.SortStableFunc(s.Tombs, func(a, b Tombstone) int { return cmp.Compare(a.Revision, b.Revision) })
	var parts []ChangeSet
	for bytes, i := 0, 0; i < len(s.Objects); i++ {
		bytes += s.Objects[i].size()
		if bytes < maxPartBytes || i+1 == len(s.Objects) || s.Objects[i+1].Revision == s.Objects[i].Revision {
			continue
		}
		parts = append(parts, s.cut(i+1))
		bytes, i = 0, -1
	}
	return append(parts, s)
}

// cut removes the first objects, and the deletions before the last of them, and returns them as a part.
func (s *ChangeSet) cut(objects int) ChangeSet {
	end := s.Objects[objects-1].Revision
	tombs := 0
	for tombs < len(s.Tombs) && s.Tombs[tombs].Revision <= end {
		tombs++
	}
	part := *s
	part.Revision, part.Objects, part.Tombs, part.Kept = end, s.Objects[:objects], s.Tombs[:tombs], nil
	part.More = true
	s.Since, s.Objects, s.Tombs = end, s.Objects[objects:], s.Tombs[tombs:]
	return part
}
