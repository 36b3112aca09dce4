package denylist

import (
	"errors"
	"time"

	"bluebellflow/core/id"
)

const (
	maxNameLength = 256
	// maxKeys limits the keys in one message.
	maxKeys = 64
)

// Process identifies one start of a server.
type Process struct {
	Server id.Server `protobuf:"bytes,1,opt,name=server"`
	Start  id.Start  `protobuf:"bytes,2,opt,name=start"`
}

func (p Process) check() error {
	if p.Server == "" || len(p.Server) > maxNameLength || len(p.Start) > maxNameLength {
		return errors.New("server missing, or server or start too long")
	}
	return nil
}

type (
	// Broken reports to other nodes that an attempt with some keys broke off at a server.
	Broken struct {
		Process Process  `protobuf:"bytes,1,opt,name=process"`
		Keys    []uint64 `protobuf:"varint,2,rep,name=keys"`
	}
	// Ended reports to other nodes that a server's process has ended after attempts had broken off there.
	Ended struct {
		Process Process `protobuf:"bytes,1,opt,name=process"`
	}
	// Responded reports to other nodes that requests with some keys got a response.
	Responded struct {
		Keys []uint64 `protobuf:"varint,1,rep,name=keys"`
	}
	// Trial reports to other nodes that a request with some refused keys is being tried.
	Trial struct {
		Keys []uint64 `protobuf:"varint,1,rep,name=keys"`
	}
	// Refused tells a node that does not know it that a key is refused. Its times are in nanoseconds.
	Refused struct {
		Key        uint64 `protobuf:"varint,1,opt,name=key"`
		Age        int64  `protobuf:"varint,2,opt,name=age"` // of the last crash
		TrialIn    int64  `protobuf:"varint,3,opt,name=in"`  // time until the next trial
		TrialDelay int64  `protobuf:"varint,4,opt,name=delay"`
	}
	// Crash is what nodes of earlier releases report: a request has crashed a process of a server.
	Crash struct {
		Fingerprint uint64    `protobuf:"varint,1,opt,name=print" json:"Print"`
		Server      id.Server `protobuf:"bytes,2,opt,name=server"`
		Start       id.Start  `protobuf:"bytes,3,opt,name=start"`
	}
)

// Check returns an error if the process or the keys are malformed.
func (b Broken) Check() error { return errors.Join(b.Process.check(), checkKeys(b.Keys)) }

// Check returns an error if the process is malformed.
func (e Ended) Check() error { return e.Process.check() }

// Check returns an error if there are too many keys.
func (r Responded) Check() error { return checkKeys(r.Keys) }

// Check returns an error if there are too many keys.
func (t Trial) Check() error { return checkKeys(t.Keys) }

// Check returns an error if a time is negative or longer than a refusal.
func (r Refused) Check() error {
	for _, d := range []int64{r.Age, r.TrialIn, r.TrialDelay} {
		if d < 0 || time.Duration(d) > refusalDuration {
			return errors.New("time out of range")
		}
	}
	return nil
}

// Check returns an error if the server or the start is malformed.
func (c Crash) Check() error { return Process{c.Server, c.Start}.check() }

func checkKeys(keys []uint64) error {
	if len(keys) > maxKeys {
		return errors.New("too many keys")
	}
	return nil
}
