package permit

import (
	"errors"
	"fmt"

	"bluebellflow/core/id"
)

// maxListLen bounds the lists in one message.
const maxListLen = 4096

// Need tells a holder which permits a node still uses, and asks for more.
//
// Permits are numbered by the node: the number of the question in the upper bits, the place in the grant in the lower
// eight. Questions up to Closed take no grant any more, so every permit of such a question that is not in Held is free.
// That makes the message safe to lose, repeat and reorder.
type Need struct {
	Server id.Server `protobuf:"bytes,1,opt,name=server"`
	Start  id.Start  `protobuf:"bytes,2,opt,name=start"`
	Gen    uint64    `protobuf:"varint,3,opt,name=gen"`
	Seq    uint64    `protobuf:"varint,4,opt,name=seq"` // number of the question, 0 for none
	Count  uint64    `protobuf:"varint,5,opt,name=count"`
	Closed uint64    `protobuf:"varint,6,opt,name=closed"`
	Held   []uint64  `protobuf:"varint,7,rep,name=held"`
	Done   uint64    `protobuf:"varint,8,opt,name=done"` // good completions under permits for this start and generation
}

// Check reports whether the message is well formed.
func (n Need) Check() error {
	if n.Server == "" || len(n.Held) > maxListLen || (n.Seq != 0 && n.Closed >= n.Seq) {
		return errors.New("need: bad server, list or question number")
	}
	return nil
}

// Grant answers a question of a node; Count may be zero.
type Grant struct {
	Server id.Server `protobuf:"bytes,1,opt,name=server"`
	Seq    uint64    `protobuf:"varint,2,opt,name=seq"`
	Count  uint64    `protobuf:"varint,3,opt,name=count"`
}

// Check reports whether the message is well formed.
func (g Grant) Check() error {
	if g.Server == "" || g.Seq == 0 || g.Count > maxGrant {
		return fmt.Errorf("grant of %d permits for question %d of server %q", g.Count, g.Seq, g.Server)
	}
	return nil
}

// State says whether a start of a server is warm. States of one start are ordered: a later generation replaces an
// earlier one, and within a generation warm replaces cold. A sign of a cold server begins a new generation.
type State struct {
	Server id.Server `protobuf:"bytes,1,opt,name=server"`
	Start  id.Start  `protobuf:"bytes,2,opt,name=start"`
	Gen    uint64    `protobuf:"varint,3,opt,name=gen"`
	Warm   bool      `protobuf:"varint,4,opt,name=warm"`
}

// Check reports whether the message is well formed.
func (s State) Check() error {
	if s.Server == "" || s.Start == "" {
		return errors.New("state without server or start identity")
	}
	return nil
}

func (s State) newer(old State) bool {
	if s.Gen != old.Gen {
		return s.Gen > old.Gen
	}
	return s.Warm && !old.Warm
}

// Query is a new holder's question to all nodes: which permits of this server do you hold? A node that answers takes no
// grant of an earlier question, and gives up the server if it was the holder itself.
type Query struct {
	Server id.Server `protobuf:"bytes,1,opt,name=server"`
	Seq    uint64    `protobuf:"varint,2,opt,name=seq"`
}

// Check reports whether the message is well formed.
func (q Query) Check() error {
	if q.Server == "" || q.Seq == 0 {
		return errors.New("query without server or number")
	}
	return nil
}

// Holding answers a Query.
type Holding struct {
	Server   id.Server      `protobuf:"bytes,1,opt,name=server"`
	Seq      uint64         `protobuf:"varint,2,opt,name=seq"`
	View     uint64         `protobuf:"fixed64,3,opt,name=view"`   // digest of the view of the node that answers
	Adult    bool           `protobuf:"varint,4,opt,name=adult"`   // the node is older than any permit
	Departed []Process      `protobuf:"bytes,5,rep,name=departed"` // processes that left its view during the last permit lifetime
	Lent     []IssuedPermit `protobuf:"bytes,6,rep,name=lent"`     // what it lent itself as an earlier holder
	States   []State        `protobuf:"bytes,7,rep,name=states"`
	Need     Need           `protobuf:"bytes,8,opt,name=need"`
}

// Check reports whether the message is well formed.
func (h Holding) Check() error {
	if h.Server == "" || len(h.Departed) > maxListLen || len(h.Lent) > maxListLen || len(h.States) > 1 {
		return errors.New("holding: bad server or list")
	}
	for _, s := range h.States {
		if err := s.Check(); err != nil {
			return err
		}
	}
	return h.Need.Check()
}

// Process is one process of a node.
type Process struct {
	Node        id.Node        `protobuf:"bytes,1,opt,name=node"`
	Incarnation id.Incarnation `protobuf:"bytes,2,opt,name=incarnation"`
}

// IssuedPermit is a permit in the hands of a process.
type IssuedPermit struct {
	To     Process `protobuf:"bytes,1,opt,name=to"`
	Number uint64  `protobuf:"varint,2,opt,name=number"`
}
