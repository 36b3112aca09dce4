package member

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"bluebellflow/core/id"
)

// Sizes of the fixed-width entries of Heartbeat.Relays and Query.Digests, in bytes.
const (
	digestBytes = 8
	relayBytes  = digestBytes + 1
)

// markerBucketCount is the number of hash buckets of the leaving markers. Nodes exchange only the buckets that differ.
const markerBucketCount = 16

// Limits on the lists of one message. No bluebellflow node sends more.
const (
	maxRelays  = 512
	maxRecords = 512
	maxMarkers = 4096
)

// Record is a node's description of itself. Other nodes forward it unchanged.
type Record struct {
	ID            id.Node          `protobuf:"bytes,1,opt,name=id"`
	Incarnation   id.Incarnation   `protobuf:"bytes,2,opt,name=incarnation"`
	Generation    uint64           `protobuf:"varint,3,opt,name=generation"`
	FailureDomain id.FailureDomain `protobuf:"bytes,4,opt,name=domain"`
	Region        id.Region        `protobuf:"bytes,5,opt,name=region"`
	Addr          string           `protobuf:"bytes,6,opt,name=addr"`
	Leaving       bool             `protobuf:"varint,7,opt,name=leaving"`
}

// Check reports whether the record is complete.
func (r Record) Check() error {
	if r.ID == "" || r.FailureDomain == "" {
		return errors.New("node record without ID or failure domain")
	}
	if _, err := netip.ParseAddrPort(r.Addr); err != nil {
		return fmt.Errorf("record of node %s: %w", r.ID, err)
	}
	return r.Incarnation.Check()
}

func (r Record) digest() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{string(r.ID), string(r.Incarnation), string(r.FailureDomain), string(r.Region), r.Addr} {
		_, _ = d.WriteString(s)
		_, _ = d.WriteString("\x00")
	}
	var tail [9]byte
	binary.LittleEndian.PutUint64(tail[:], r.Generation)
	if r.Leaving {
		tail[8] = 1
	}
	_, _ = d.Write(tail[:])
	return d.Sum64()
}

// supersedes reports whether r replaces old. A process raises its generation above those of all earlier processes of the
// node, so that clock differences cannot keep the record of an old process in place.
func (r Record) supersedes(old Record) bool {
	if r.Generation != old.Generation {
		return r.Generation > old.Generation
	}
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	return r.Leaving && !old.Leaving
}

func (r Record) node() Node {
	addr, _ := netip.ParseAddrPort(r.Addr) // validated by Check
	return Node{
		ID: r.ID, Incarnation: r.Incarnation, FailureDomain: r.FailureDomain,
		Region: r.Region, Addr: addr, Leaving: r.Leaving,
	}
}

// LeavingMarker states that a backend server with a given start identity is leaving. It is never withdrawn.
type LeavingMarker struct {
	Server id.Server `protobuf:"bytes,1,opt,name=server"`
	Start  id.Start  `protobuf:"bytes,2,opt,name=start"`
}

func (m LeavingMarker) hash() uint64 { return rendezvous(string(m.Server), string(m.Start)) }

// Heartbeat is the periodic message between nodes. Relays has nine bytes for each relayed node, its record digest and the
// age of its last sign of life, so that the size of a heartbeat does not depend on the length of names.
type Heartbeat struct {
	Seq    uint64          `protobuf:"varint,1,opt,name=seq"`
	Echo   uint64          `protobuf:"varint,2,opt,name=echo"` // highest Seq that the sender received directly from the receiver
	Digest uint64          `protobuf:"fixed64,3,opt,name=digest"`
	Marks  uint64          `protobuf:"fixed64,4,opt,name=marks"` // digest of all leaving markers
	Relays []byte          `protobuf:"bytes,5,opt,name=relays"`
	Self   []Record        `protobuf:"bytes,6,rep,name=self"`   // the sender's record, for a while after it changed
	Recent []LeavingMarker `protobuf:"bytes,7,rep,name=recent"` // markers that the sender learned recently
}

// Check reports whether the heartbeat is well formed.
func (b Heartbeat) Check() error {
	if len(b.Relays)%relayBytes != 0 || len(b.Relays) > maxRelays*relayBytes {
		return fmt.Errorf("heartbeat: invalid length of relays: %d bytes", len(b.Relays))
	}
	if len(b.Self) > 1 {
		return errors.New("heartbeat: more than one record of the sender")
	}
	return errors.Join(checkRecords(b.Self), checkMarkers(b.Recent))
}

// Query requests the records with the given digests and the leaving markers of the buckets that differ.
type Query struct {
	Digests []byte `protobuf:"bytes,1,opt,name=digests"`
	Buckets []byte `protobuf:"bytes,2,opt,name=buckets"` // empty, or the sender's digest of each marker bucket
}

// Check reports whether the query is well formed.
func (q Query) Check() error {
	if len(q.Digests)%digestBytes != 0 || len(q.Digests) > maxRelays*digestBytes {
		return fmt.Errorf("query: invalid length of digests: %d bytes", len(q.Digests))
	}
	if len(q.Buckets) != 0 && len(q.Buckets) != markerBucketCount*digestBytes {
		return fmt.Errorf("query: invalid length of buckets: %d bytes", len(q.Buckets))
	}
	return nil
}

// Update carries node records and leaving markers. It answers a Query or announces new markers.
type Update struct {
	Records []Record        `protobuf:"bytes,1,rep,name=records"`
	Marks   []LeavingMarker `protobuf:"bytes,2,rep,name=marks"`
}

// Check reports whether the update is well formed.
func (u Update) Check() error { return errors.Join(checkRecords(u.Records), checkMarkers(u.Marks)) }

func checkRecords(list []Record) error {
	if len(list) > maxRecords {
		return fmt.Errorf("%d node records in one message", len(list))
	}
	for _, r := range list {
		if err := r.Check(); err != nil {
			return err
		}
	}
	return nil
}

func checkMarkers(list []LeavingMarker) error {
	if len(list) > maxMarkers {
		return fmt.Errorf("%d leaving markers in one message", len(list))
	}
	for _, m := range list {
		if m.Server == "" || m.Start == "" {
			return errors.New("leaving marker without server or start identity")
		}
	}
	return nil
}
