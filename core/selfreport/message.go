package selfreport

import (
	"errors"
	"math"

	"bluebellflow/core/id"
)

const (
	maxNameLength = 256
	// rateUnit is the unit of Shared.Rate in requests per second.
	rateUnit = 0.001
)

// Shared tells other nodes what a server has said of itself that concerns all of them.
type Shared struct {
	Server  id.Server `protobuf:"bytes,1,opt,name=server"`
	Start   id.Start  `protobuf:"bytes,2,opt,name=start"`
	Limited bool      `protobuf:"varint,3,opt,name=limited"`
	Rate    uint64    `protobuf:"varint,4,opt,name=rate"` // in units of rateUnit
	Leaving bool      `protobuf:"varint,5,opt,name=leaving"`
}

// Check returns an error if the server or the start is malformed.
func (m Shared) Check() error {
	if m.Server == "" || len(m.Server) > maxNameLength || len(m.Start) > maxNameLength {
		return errors.New("server missing, or server or start too long")
	}
	return nil
}

func (m Shared) process() Process { return Process{m.Server, m.Start} }

func (m Shared) report() Report {
	return Report{Limited: m.Limited, Rate: float64(m.Rate) * rateUnit, Leaving: m.Leaving}
}

// newShared returns the message about a process. A rate that is too large for it is no limit in practice.
func newShared(p Process, r Report) Shared {
	rate := min(math.Round(r.Rate/rateUnit), math.MaxUint32)
	return Shared{Server: p.Server, Start: p.Start, Limited: r.Limited, Rate: uint64(rate), Leaving: r.Leaving}
}
