package watchcache

import (
	"errors"
	"fmt"

	"bluebellflow/core/event"
)

// Limits on the lists in one message; a peer that sends more is not a bluebellflow node.
const (
	maxKinds   = 64
	maxObjects = 20_000
)

// Object is one object of the store. The cache does not interpret Spec and Status.
type Object struct {
	Name     string `protobuf:"bytes,1,opt,name=name"`
	Revision uint64 `protobuf:"varint,2,opt,name=revision"`
	Spec     []byte `protobuf:"bytes,3,opt,name=spec"`
	Status   []byte `protobuf:"bytes,4,opt,name=status"`
}

// Tombstone records that an object was deleted, at Revision at the latest.
type Tombstone struct {
	Name     string `protobuf:"bytes,1,opt,name=name"`
	Revision uint64 `protobuf:"varint,2,opt,name=revision"`
	Settled  bool   `protobuf:"varint,3,opt,name=settled"` // the kind was settled when the deletion was noticed
}

type (
	// StoreEra says in which era the store answers this node. An era begins when the store has come back from a copy: changes
	// that were acknowledged before may be missing, and their revisions are given out again.
	StoreEra struct {
		event.In
		Era uint64
	}
	// Listed is the whole list of a kind from the store.
	Listed struct {
		event.In
		Kind     string
		Era      uint64
		Revision uint64
		Objects  []Object
	}
	// Updated is a part of a watch: the changes up to a revision.
	Updated struct {
		event.In
		Kind     string
		Era      uint64
		Revision uint64
		Objects  []Object
		Deleted  []string
	}
	// StoreLink says whether the store answers this node for a kind.
	StoreLink struct {
		event.In
		Kind string
		Up   bool
	}
	// Follow asks for Listed and Updated events of a kind from now on. Revision is the one that the cache has reached in an era,
	// 0 for none. AsSource says that other nodes take the changes from this one, so that they must not be late if a watch is
	// lost. A new Follow of a kind replaces the earlier one.
	Follow struct {
		event.Out
		Kind     string
		Era      uint64
		Revision uint64
		AsSource bool
	}
	// Unfollow ends a Follow.
	Unfollow struct {
		event.Out
		Kind string
	}
)

type (
	// EraChanged says that the store has come back from a copy. It precedes the changes of the new era.
	EraChanged struct {
		event.Internal
		Era uint64
	}
	// EraLearned says which era the store is in, when this node learns it for the first time. It precedes the first objects.
	EraLearned struct {
		event.Internal
		Era uint64
	}
	// ObjectChanged says that an object is new or has changed.
	ObjectChanged struct {
		event.Internal
		Kind   string
		Object Object
	}
	// ObjectDeleted says that an object was deleted. Unless Settled is set, the object may have expired while the store
	// was unreachable, and its owner may write it again.
	ObjectDeleted struct {
		event.Internal
		Kind    string
		Name    string
		Settled bool
	}
	// Reachability says that the store has become reachable or unreachable for a kind. It counts as reachable if it
	// answers this node or a peer that has reported so.
	Reachability struct {
		event.Internal
		Kind    string
		Up      bool
		Settled bool // the kind is settled
	}
	// KindLoaded says that a kind has been loaded for the first time.
	KindLoaded struct {
		event.Internal
		Kind string
	}
)

// KindRevision is the revision that the copy of a kind has reached.
type KindRevision struct {
	Kind  string `protobuf:"bytes,1,opt,name=kind"`
	Known uint64 `protobuf:"varint,2,opt,name=known"`
	Kept  uint64 `protobuf:"varint,3,opt,name=kept"` // hash of the objects kept from an earlier era, 0 for none
}

// KnownRevisions tells a peer which revisions the sender's copies have reached.
type KnownRevisions struct {
	Revisions []KindRevision `protobuf:"bytes,1,rep,name=revisions"`
	Poll      bool           `protobuf:"varint,2,opt,name=poll"`    // the sender gets its changes from the receiver
	Reply     bool           `protobuf:"varint,3,opt,name=reply"`   // answers newer revisions; the receiver must not send its own in return
	Settled   bool           `protobuf:"varint,4,opt,name=settled"` // the store answers the sender itself, and its kinds are settled
	Era       uint64         `protobuf:"varint,5,opt,name=era"`     // of the revisions; 0 from earlier releases
}

// PollReply answers a poll; it follows the changes that the polling node lacked.
type PollReply struct {
	Up      bool   `protobuf:"varint,1,opt,name=up"`      // the store answers the sender
	Settled bool   `protobuf:"varint,2,opt,name=settled"` // and all its kinds are settled
	Era     uint64 `protobuf:"varint,3,opt,name=era"`     // 0 from earlier releases
	// Revisions are those of the changes. A node that has not reached them, because a message was lost or too large, cannot rely on
	// the sender.
	Revisions []KindRevision `protobuf:"bytes,4,rep,name=revisions"`
}

// Check reports whether the message is well formed.
func (r PollReply) Check() error { return checkRevisions("poll reply", r.Revisions) }

// Check reports whether the message is well formed.
func (k KnownRevisions) Check() error { return checkRevisions("known revisions", k.Revisions) }

func checkRevisions(message string, revisions []KindRevision) error {
	if len(revisions) > maxKinds {
		return fmt.Errorf("%s: %d kinds", message, len(revisions))
	}
	for _, r := range revisions {
		if r.Kind == "" {
			return fmt.Errorf("%s: revision without a kind", message)
		}
	}
	return nil
}

// ChangeSet carries the changes of a kind since a revision that the receiver has reached, or the whole kind.
type ChangeSet struct {
	Kind     string      `protobuf:"bytes,1,opt,name=kind"`
	Revision uint64      `protobuf:"varint,2,opt,name=revision"`
	Whole    bool        `protobuf:"varint,3,opt,name=whole"`
	Since    uint64      `protobuf:"varint,4,opt,name=since"`
	Objects  []Object    `protobuf:"bytes,5,rep,name=objects"`
	Tombs    []Tombstone `protobuf:"bytes,6,rep,name=tombs"`
	Settled  bool        `protobuf:"varint,7,opt,name=settled"` // the kind is settled at the sender
	Era      uint64      `protobuf:"varint,8,opt,name=era"`     // of the revisions; 0 from earlier releases
	Kept     []Object    `protobuf:"bytes,9,rep,name=kept"`     // newer versions from an earlier era, with revisions of that
	More     bool        `protobuf:"varint,10,opt,name=more"`   // the next part follows
}

// Check reports whether the message is well formed.
func (s ChangeSet) Check() error {
	if s.Kind == "" {
		return errors.New("change set: no kind")
	}
	if len(s.Objects) > maxObjects || len(s.Tombs) > maxObjects || len(s.Kept) > maxObjects {
		return fmt.Errorf("change set of %s: %d objects and %d deletions", s.Kind, len(s.Objects), len(s.Tombs))
	}
	for _, o := range s.Objects {
		if o.Name == "" || o.Revision > s.Revision {
			return fmt.Errorf("change set of %s: object %q at revision %d of %d", s.Kind, o.Name, o.Revision, s.Revision)
		}
	}
	return nil
}
