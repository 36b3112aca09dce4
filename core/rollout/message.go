package rollout

import (
	"errors"
	"time"

	"bluebellflow/core/id"
)

// Limits on messages from peers.
const (
	maxParts = 64
	maxText  = 256
	maxSpan  = int64(24 * time.Hour)
	// maxResults limits the results in one report on an order.
	maxResults = 1000
)

var errTooManyOrders = errors.New("rollout: too many orders")

// checkOrder returns an error for fields that are malformed or out of range.
func checkOrder(name string, target id.Version, age, share int64, reason string) error {
	switch {
	case name == "" || len(name) > maxText || target == "" || len(target) > maxText:
		return errors.New("rollout: malformed name or target of an order")
	case age < 0 || age > maxSpan || share < 0 || share > fullShare || len(reason) > maxText:
		return errors.New("rollout: age, share or reason of an order out of range")
	}
	return nil
}

// OrderReport is a node's report on one order.
type OrderReport struct {
	Name    string     `protobuf:"bytes,1,opt,name=name"`
	Target  id.Version `protobuf:"bytes,2,opt,name=target"`
	Age     int64      `protobuf:"varint,3,opt,name=age"`   // nanoseconds since a node first learned of the order
	Share   int64      `protobuf:"varint,4,opt,name=share"` // that the node applies, in thousandths
	Open    int64      `protobuf:"varint,5,opt,name=open"`  // requests in progress at servers of other versions
	Stopped bool       `protobuf:"varint,6,opt,name=stopped"`
	Reason  string     `protobuf:"bytes,7,opt,name=reason"`
	First   int64      `protobuf:"varint,8,opt,name=first"` // number of the first result below, from 0 on
	Results []Result   `protobuf:"bytes,9,rep,name=results"`
	State   int64      `protobuf:"varint,10,opt,name=state"` // known to the node
}

// Result is the result of one request.
type Result struct {
	Route  id.Pipeline `protobuf:"bytes,1,opt,name=route"`
	Took   int64       `protobuf:"varint,2,opt,name=took"` // nanoseconds
	Load   int64       `protobuf:"varint,3,opt,name=load"` // attempts in flight at the server when the request was sent
	Age    int64       `protobuf:"varint,4,opt,name=age"`  // nanoseconds since the request ended
	Failed bool        `protobuf:"varint,5,opt,name=failed"`
	Cold   bool        `protobuf:"varint,6,opt,name=cold"`
	New    bool        `protobuf:"varint,7,opt,name=new"` // of the ordered version
	// Rejected is set if the server did not run the request.
	Rejected bool `protobuf:"varint,8,opt,name=rejected"`
}

func (r Result) check() error {
	if len(r.Route) > maxText || r.Took < 0 || r.Took > maxSpan || r.Load < 0 || r.Age < 0 || r.Age > maxSpan {
		return errors.New("rollout: result out of range")
	}
	return nil
}

// Report is a node's report to the leader.
type Report struct {
	Parts []OrderReport `protobuf:"bytes,1,rep,name=parts"`
}

// Check reports a malformed message.
func (r Report) Check() error {
	if len(r.Parts) > maxParts {
		return errTooManyOrders
	}
	for _, p := range r.Parts {
		if err := checkOrder(p.Name, p.Target, p.Age, p.Share, p.Reason); err != nil {
			return err
		}
		if p.State < 0 || p.State > int64(RolledBack) || p.Open < 0 || p.First < 0 || len(p.Results) > maxResults {
			return errors.New("rollout: report out of range")
		}
		for _, res := range p.Results {
			if err := res.check(); err != nil {
				return err
			}
		}
	}
	return nil
}

// Decision is the leader's decision about one order.
type Decision struct {
	Name    string     `protobuf:"bytes,1,opt,name=name"`
	Target  id.Version `protobuf:"bytes,2,opt,name=target"`
	Age     int64      `protobuf:"varint,3,opt,name=age"`   // nanoseconds since a node first learned of the order
	Share   int64      `protobuf:"varint,4,opt,name=share"` // in thousandths
	Stopped bool       `protobuf:"varint,5,opt,name=stopped"`
	Reason  string     `protobuf:"bytes,6,opt,name=reason"`
	Next    int64      `protobuf:"varint,7,opt,name=next"` // number of the first result that the node should send next
}

// Decisions answers Report.
type Decisions struct {
	Parts []Decision `protobuf:"bytes,1,rep,name=parts"`
}

// Check reports a malformed message.
func (r Decisions) Check() error {
	if len(r.Parts) > maxParts {
		return errTooManyOrders
	}
	for _, p := range r.Parts {
		if err := checkOrder(p.Name, p.Target, p.Age, p.Share, p.Reason); err != nil {
			return err
		}
		if p.Next < 0 {
			return errors.New("rollout: result number out of range")
		}
	}
	return nil
}
