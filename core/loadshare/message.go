package loadshare

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellflow/core/cost"
	"bluebellflow/core/id"
)

// Scope is the set of nodes whose work a Digest sums up.
type Scope uint32

const (
	// OneNode is the work of the sender's own attempts.
	OneNode Scope = iota + 1
	// OneDomain is the work of all nodes of the sender's failure domain.
	OneDomain
	// AllDomains is the work of all nodes.
	AllDomains
)

const (
	// maxLoads bounds the servers in a message.
	maxLoads = 8192
	// maxRequests and maxTime bound the work at a server in a message.
	maxRequests = 1 << 20
	maxTime     = time.Hour
	// readUnit and writeUnit are the units of the times in a message. The write time is coarser, because it affects other
	// requests less.
	readUnit  = 5 * time.Millisecond
	writeUnit = 100 * time.Millisecond
)

type (
	// Digest is the work at servers. Servers that it does not list have the same work as before, or none if it is Full.
	Digest struct {
		Scope   Scope  `protobuf:"varint,1,opt,name=scope"`
		Full    bool   `protobuf:"varint,2,opt,name=full"`
		Servers []Load `protobuf:"bytes,3,rep,name=servers"`
	}
	// Load is the work at one server.
	Load struct {
		Server   uint32 `protobuf:"fixed32,1,opt,name=server"` // hash of its name
		Requests uint32 `protobuf:"varint,2,opt,name=requests"`
		Read     uint32 `protobuf:"varint,3,opt,name=read"`  // in units of readUnit
		Write    uint32 `protobuf:"varint,4,opt,name=write"` // in units of writeUnit
	}
)

// Check returns an error if the scope is unknown or a value is out of range.
func (d Digest) Check() error {
	if d.Scope < OneNode || d.Scope > AllDomains {
		return fmt.Errorf("unknown scope %d", d.Scope)
	}
	if len(d.Servers) > maxLoads {
		return fmt.Errorf("%d servers, limit %d", len(d.Servers), maxLoads)
	}
	for _, l := range d.Servers {
		if l.Requests > maxRequests || l.Read > uint32(maxTime/readUnit) || l.Write > uint32(maxTime/writeUnit) {
			return errors.New("work out of range")
		}
	}
	return nil
}

// hashOf returns the hash that identifies a server in messages. The probability that two of 1,900 servers have the same one is
// 1 in 2,400; the sum of their work is then assumed at both.
func hashOf(name id.Server) uint32 { return uint32(xxhash.Sum64String(string(name))) }

// newLoad returns the work at a server for a message.
func newLoad(server uint32, w cost.Work) Load {
	count := func(x, most float64) uint32 { return uint32(min(most, math.Round(max(0, x)))) }
	return Load{
		Server: server, Requests: count(w.Requests, maxRequests),
		Read:  count(float64(w.Read)/float64(readUnit), float64(maxTime/readUnit)),
		Write: count(float64(w.Write)/float64(writeUnit), float64(maxTime/writeUnit)),
	}
}

// work returns the work without that of another message, which is part of it.
func (l Load) work(part Load) cost.Work {
	less := func(a, b uint32) float64 { return max(0, float64(a)-float64(b)) }
	return cost.Work{
		Requests: less(l.Requests, part.Requests),
		Read:     time.Duration(less(l.Read, part.Read) * float64(readUnit)),
		Write:    time.Duration(less(l.Write, part.Write) * float64(writeUnit)),
	}
}

// plus returns the sum of the work, within the range of a message.
func (l Load) plus(o Load) Load {
	return Load{
		Server: o.Server, Requests: min(l.Requests+o.Requests, maxRequests),
		Read: min(l.Read+o.Read, uint32(maxTime/readUnit)), Write: min(l.Write+o.Write, uint32(maxTime/writeUnit)),
	}
}

// idle reports whether there is no work.
func (l Load) idle() bool { return l.Requests == 0 && l.Read == 0 && l.Write == 0 }
