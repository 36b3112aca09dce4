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

// Object is one object of the store. The mirror does not look into Spec and Status.
type Object struct {
	Name     string `protobuf:"bytes,1,opt,name=name"`
	Revision uint64 `protobuf:"varint,2,opt,name=revision"`
	Spec     []byte `protobuf:"bytes,3,opt,name=spec"`
	Status   []byte `protobuf:"bytes,4,opt,name=status"`
}

// Tombstone says that an object was deleted, and at which revision at the latest.
type Tombstone struct {
	Name     string `protobuf:"bytes,1,opt,name=name"`
	Revision uint64 `protobuf:"varint,2,opt,name=revision"`
	Settled  bool   `protobuf:"varint,3,opt,name=settled"` // the store had answered for a while when it was noticed
}

type (
	// Listed is a whole list of a kind.
	Listed struct {
		event.In
		Kind     string
		Revision uint64
		Objects  []Object
	}
	// Updated is a part of a watch: what has changed up to a revision.
	Updated struct {
		event.In
		Kind     string
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
	// Follow asks for Listed and Updated events of a kind from now on. A revision above 0 says how far the kind is known.
	Follow struct {
		event.Out
		Kind     string
		Revision uint64
	}
	// Unfollow ends Follow.
	Unfollow struct {
		event.Out
		Kind string
	}
)

type (
	// ObjectChanged says that an object is new or has changed.
	ObjectChanged struct {
		event.Internal
		Kind   string
		Object Object
	}
	// ObjectDeleted says that an object was deleted. Unless Settled is set, the object may have lapsed while the store was away,
	// and its owner may write it again.
	ObjectDeleted struct {
		event.Internal
		Kind    string
		Name    string
		Settled bool
	}
	// Reachability says that the store has begun or ceased to answer for a kind, to this node or to one that tells it so.
	Reachability struct {
		event.Internal
		Kind    string
		Up      bool
		Settled bool // it has answered somebody for SettleTime
	}
	// KindLoaded says that a kind is known for the first time.
	KindLoaded struct {
		event.Internal
		Kind string
	}
)

// KindRevision is how far a copy of a kind reaches.
type KindRevision struct {
	Kind  string `protobuf:"bytes,1,opt,name=kind"`
	Known uint64 `protobuf:"varint,2,opt,name=known"`
}

// KnownRevisions tells a peer how far the sender's copies reach.
type KnownRevisions struct {
	Revisions []KindRevision `protobuf:"bytes,1,rep,name=revisions"`
	Poll      bool           `protobuf:"varint,2,opt,name=poll"`    // the sender takes its changes from the receiver
	Reply     bool           `protobuf:"varint,3,opt,name=reply"`   // the receiver has told more; the sender wants no Have back
	Settled   bool           `protobuf:"varint,4,opt,name=settled"` // the store has answered the sender itself for a while
}

// PollReply answers a poll after the changes that the sender lacked.
type PollReply struct {
	Up      bool `protobuf:"varint,1,opt,name=up"`      // the store answers the sender
	Settled bool `protobuf:"varint,2,opt,name=settled"` // and has done so for a while
}

// Check accepts every answer.
func (PollReply) Check() error { return nil }

// Check reports whether the message is well formed.
func (h KnownRevisions) Check() error {
	if len(h.Revisions) > maxKinds {
		return fmt.Errorf("have: %d kinds", len(h.Revisions))
	}
	for _, r := range h.Revisions {
		if r.Kind == "" {
			return errors.New("have: revision without a kind")
		}
	}
	return nil
}

// ChangeSet carries what has changed in a kind since a revision that the receiver has, or the whole kind.
type ChangeSet struct {
	Kind     string      `protobuf:"bytes,1,opt,name=kind"`
	Revision uint64      `protobuf:"varint,2,opt,name=revision"`
	Whole    bool        `protobuf:"varint,3,opt,name=whole"`
	Since    uint64      `protobuf:"varint,4,opt,name=since"`
	Objects  []Object    `protobuf:"bytes,5,rep,name=objects"`
	Tombs    []Tombstone `protobuf:"bytes,6,rep,name=tombs"`
	Settled  bool        `protobuf:"varint,7,opt,name=settled"` // the store has answered the sender for a while
}

// Check reports whether the message is well formed.
func (s ChangeSet) Check() error {
	if s.Kind == "" {
		return errors.New("supply: no kind")
	}
	if len(s.Objects) > maxObjects || len(s.Tombs) > maxObjects {
		return fmt.Errorf("supply of %s: %d objects and %d deletions", s.Kind, len(s.Objects), len(s.Tombs))
	}
	for _, o := range s.Objects {
		if o.Name == "" || o.Revision > s.Revision {
			return fmt.Errorf("supply of %s: object %q at revision %d of %d", s.Kind, o.Name, o.Revision, s.Revision)
		}
	}
	return nil
}
