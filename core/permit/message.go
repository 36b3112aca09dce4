package permit

import (
	"errors"
	"fmt"

	"bluebellflow/core/id"
)

// maxListLen limits the length of each list in a message.
const maxListLen = 4096

// Need tells an issuer which permits a node still holds, and can request more.
//
// The number of a permit consists of the number of the node's request and, in the lower eight bits, the index within
// the grant. A node accepts no more grants for requests up to Closed, so a permit of such a request that is not in Held
// has been returned. The message may therefore be lost, repeated or reordered without harm.
type Need struct {
	Server id.Server `protobuf:"bytes,1,opt,name=server"`
	Start  id.Start  `protobuf:"bytes,2,opt,name=start"`
	Gen    uint64    `protobuf:"varint,3,opt,name=gen"`
	Seq    uint64    `protobuf:"varint,4,opt,name=seq"`    // number of the request, 0 for no request
	Count  uint64    `protobuf:"varint,5,opt,name=count"`  // permits requested
	Closed uint64    `protobuf:"varint,6,opt,name=closed"` // highest request number for which the node accepts no more grants
	Held   []uint64  `protobuf:"varint,7,rep,name=held"`   // numbers of the permits that the node holds
	Done   uint64    `protobuf:"varint,8,opt,name=done"`   // good completions under permits for this start and generation
}

// Check reports whether the message is well formed.
func (n Need) Check() error {
	if n.Server == "" || len(n.Held) > maxListLen || (n.Seq != 0 && n.Closed >= n.Seq) {
		return errors.New("need without server, with too many permits or with a closed request number")
	}
	return nil
}

// Grant issues Count permits, which may be zero, in answer to the request Seq of a node.
type Grant struct {
	Server id.Server `protobuf:"bytes,1,opt,name=server"`
	Seq    uint64    `protobuf:"varint,2,opt,name=seq"`
	Count  uint64    `protobuf:"varint,3,opt,name=count"`
}

// Check reports whether the message is well formed.
func (g Grant) Check() error {
	if g.Server == "" || g.Seq == 0 || g.Count > maxGrant {
		return fmt.Errorf("invalid grant of %d permits for request %d of server %q", g.Count, g.Seq, g.Server)
	}
	return nil
}

// State says whether a start of a server is warm. States of one start are ordered: a later generation replaces an
// earlier one, and within a generation warm replaces cold. A new generation begins when a node finds the server cold.
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

// newer reports whether s replaces old, which belongs to the same start.
func (s State) newer(old State) bool {
	if s.Gen != old.Gen {
		return s.Gen > old.Gen
	}
	return s.Warm && !old.Warm
}

// Query asks every node on behalf of a new issuer which permits of the server it holds or has issued. A node that
// answers accepts no more grants for its earlier requests, and must take over again before it issues permits of the
// server.
type Query struct {
	Server id.Server `protobuf:"bytes,1,opt,name=server"`
	Seq    uint64    `protobuf:"varint,2,opt,name=seq"`
}

// Check reports whether the message is well formed.
func (q Query) Check() error {
	if q.Server == "" || q.Seq == 0 {
		return errors.New("query without server or sequence number")
	}
	return nil
}

// Holding answers a Query with the permits that a node holds, in Need, and those that it has issued.
type Holding struct {
	Server   id.Server      `protobuf:"bytes,1,opt,name=server"`
	Seq      uint64         `protobuf:"varint,2,opt,name=seq"`
	View     uint64         `protobuf:"fixed64,3,opt,name=view"`   // digest of the sender's view
	Adult    bool           `protobuf:"varint,4,opt,name=adult"`   // the sender has run for at least permitLifetime
	Departed []Process      `protobuf:"bytes,5,rep,name=departed"` // processes that left its view within permitLifetime
	Lent     []IssuedPermit `protobuf:"bytes,6,rep,name=lent"`     // permits that it counts as outstanding as an issuer
	States   []State        `protobuf:"bytes,7,rep,name=states"`   // its state of the current start, if any
	Need     Need           `protobuf:"bytes,8,opt,name=need"`
}

// Check reports whether the message is well formed.
func (h Holding) Check() error {
	if h.Server == "" || len(h.Departed) > maxListLen || len(h.Lent) > maxListLen || len(h.States) > 1 {
		return errors.New("holding without server or with too many entries")
	}
	for _, s := range h.States {
		if err := s.Check(); err != nil {
			return err
		}
	}
	return h.Need.Check()
}

// Process identifies one run of a node's process.
type Process struct {
	Node        id.Node        `protobuf:"bytes,1,opt,name=node"`
	Incarnation id.Incarnation `protobuf:"bytes,2,opt,name=incarnation"`
}

// IssuedPermit identifies a permit by the process that it was issued to and its number, see Need.
type IssuedPermit struct {
	To     Process `protobuf:"bytes,1,opt,name=to"`
	Number uint64  `protobuf:"varint,2,opt,name=number"`
}
