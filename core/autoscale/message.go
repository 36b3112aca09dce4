package autoscale

import (
	"errors"
	"fmt"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

const (
	maxNameLength = 256
	// maxPools and maxDomains limit the lists in one message.
	maxPools   = 1024
	maxDomains = 256
	// maxRequests bounds the requests of one node in a message, and maxLoads the loads that it adds up.
	maxRequests = 1 << 20
	maxLoads    = 1 << 40
)

// DomainDemand holds a node's attempts at a pool's servers in a failure domain, and the load that these have reported to it. The domain is empty for attempts at servers
// that are gone.
type DomainDemand struct {
	Domain  id.FailureDomain `protobuf:"bytes,1,opt,name=domain"`
	Running uint64           `protobuf:"varint,2,opt,name=running"` // attempts in progress
	Reports uint64           `protobuf:"varint,3,opt,name=reports"` // loads that servers have reported since the last message
	Load    uint64           `protobuf:"varint,4,opt,name=load"`    // sum of these loads: other requests that run or wait at the server
}

// PoolDemand holds the demand of a node's requests on a pool.
type PoolDemand struct {
	Pool    id.Pool `protobuf:"bytes,1,opt,name=pool"`
	Waiting uint64  `protobuf:"varint,2,opt,name=waiting"` // requests that wait for a server
	// Refused is the expected work, in milliseconds, of requests refused since the start because no server was available.
	Refused uint64         `protobuf:"varint,3,opt,name=refused"`
	Domains []DomainDemand `protobuf:"bytes,4,rep,name=domains"`
}

// Demand tells the leader and the next node in rank the demand of the sender's requests on the pools that may be scaled.
type Demand struct {
	Sent  int64        `protobuf:"varint,1,opt,name=sent"` // nanoseconds since the start of the sender's process
	Pools []PoolDemand `protobuf:"bytes,2,rep,name=pools"`
}

// Check reports whether the message is well formed.
func (d Demand) Check() error {
	if d.Sent < 0 || len(d.Pools) > maxPools {
		return fmt.Errorf("demand: %d pools, or sent at a negative time", len(d.Pools))
	}
	for _, p := range d.Pools {
		if err := p.check(); err != nil {
			return err
		}
	}
	return nil
}

func (p PoolDemand) check() error {
	if p.Pool == "" || len(p.Pool) > maxNameLength || p.Waiting > maxRequests || len(p.Domains) > maxDomains {
		return fmt.Errorf("demand: pool %.80q with %d waiting requests and %d failure domains", p.Pool, p.Waiting, len(p.Domains))
	}
	for _, d := range p.Domains {
		if len(d.Domain) > maxNameLength || d.Running > maxRequests || d.Reports > maxRequests || d.Load > maxLoads {
			return errors.New("demand: failure domain with a value out of range")
		}
	}
	return nil
}

type (
	// Ordered tells the I/O packages, for metrics, that a number of servers is ordered, and whether the service has accepted it.
	Ordered struct {
		event.Out
		Pool     id.Pool
		Domain   id.FailureDomain
		Desired  int
		Accepted bool
	}
	// Measured tells the I/O packages, for metrics, the demand that the leader has measured for a pool.
	Measured struct {
		event.Out
		Pool   id.Pool
		Demand float64 // in requests in progress
	}
)
