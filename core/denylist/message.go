package denylist

import (
	"errors"

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
	// Crash is what nodes of earlier releases report: a request has crashed a process of a server.
	Crash struct {
		Fingerprint uint64    `protobuf:"varint,1,opt,name=print" json:"Print"`
		Server      id.Server `protobuf:"bytes,2,opt,name=server"`
		Start       id.Start  `protobuf:"bytes,3,opt,name=start"`
	}
)

// Check reports a malformed message.
func (b Broken) Check() error { return errors.Join(b.Process.check(), checkKeys(b.Keys)) }

// Check reports a malformed message.
func (e Ended) Check() error { return e.Process.check() }

// Check reports a malformed message.
func (r Responded) Check() error { return checkKeys(r.Keys) }

// Check reports a malformed message.
func (c Crash) Check() error { return Process{c.Server, c.Start}.check() }

func checkKeys(keys []uint64) error {
	if len(keys) > maxKeys {
		return errors.New("too many keys")
	}
	return nil
}
