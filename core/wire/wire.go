package wire

import (
	"errors"
	"fmt"
	"reflect"

	"github.com/segmentio/encoding/proto"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

// MaxMessage bounds an encoded message in bytes. A peer that announces more is cut off, so that a
// damaged length prefix cannot exhaust the memory of a small VM.
const MaxMessage = 4 << 20

// ErrUnknownKind means that a well-formed message has a kind that this release does not know, as happens while
// VMs are replaced by ones of a newer release; the message is dropped and the session goes on.
var ErrUnknownKind = errors.New("unknown kind")

// Envelope is what travels between two nodes.
type Envelope struct {
	From        id.Node        `protobuf:"bytes,1,opt,name=from"`
	Incarnation id.Incarnation `protobuf:"bytes,2,opt,name=incarnation"`
	Revision    id.Revision    `protobuf:"varint,3,opt,name=revision"`
	Domains     uint64         `protobuf:"varint,4,opt,name=domains"`
	Kind        uint32         `protobuf:"varint,5,opt,name=kind"`
	Body        []byte         `protobuf:"bytes,6,opt,name=body"`
}

// Codec encodes and decodes messages with a fixed set of body types.
type Codec struct {
	kinds map[reflect.Type]uint32
	types map[uint32]reflect.Type
}

// New returns a codec for the given bodies; the keys are the numbers on the wire and never change their meaning.
func New(bodies map[uint32]event.Body) *Codec {
	c := &Codec{kinds: map[reflect.Type]uint32{}, types: map[uint32]reflect.Type{}}
	for kind, body := range bodies {
		t := reflect.TypeOf(body)
		c.kinds[t] = kind
		c.types[kind] = t
	}
	return c
}

// Encode returns the bytes of a message; env.Kind and env.Body are filled in from body.
func (c *Codec) Encode(env Envelope, body event.Body) ([]byte, error) {
	kind, ok := c.kinds[reflect.TypeOf(body)]
	if !ok {
		return nil, fmt.Errorf("encode message: body type %T is not registered", body)
	}
	raw, err := proto.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", body, err)
	}
	env.Kind = kind
	env.Body = raw
	out, err := proto.Marshal(env)
	if err != nil {
		return nil, fmt.Errorf("encode envelope of %T: %w", body, err)
	}
	if len(out) > MaxMessage {
		return nil, fmt.Errorf("encode %T: %d bytes, limit %d", body, len(out), MaxMessage)
	}
	return out, nil
}

// Decode reads a message and checks the envelope and the body.
func (c *Codec) Decode(raw []byte) (event.Receive, error) {
	var env Envelope
	if err := proto.Unmarshal(raw, &env); err != nil {
		return event.Receive{}, fmt.Errorf("decode envelope: %w", err)
	}
	if env.From == "" {
		return event.Receive{}, fmt.Errorf("decode envelope: no sender")
	}
	if err := env.Incarnation.Check(); err != nil {
		return event.Receive{}, fmt.Errorf("decode envelope from %s: %w", env.From, err)
	}
	t, ok := c.types[env.Kind]
	if !ok {
		return event.Receive{}, fmt.Errorf("decode envelope from %s: %w %d", env.From, ErrUnknownKind, env.Kind)
	}
	value := reflect.New(t)
	if err := reserve(env.Body, value.Elem()); err != nil {
		return event.Receive{}, fmt.Errorf("decode %s from %s: %w", t, env.From, err)
	}
	if err := proto.Unmarshal(env.Body, value.Interface()); err != nil {
		return event.Receive{}, fmt.Errorf("decode %s from %s: %w", t, env.From, err)
	}
	body, ok := value.Elem().Interface().(event.Body)
	if !ok {
		return event.Receive{}, fmt.Errorf("decode %s: not a message body", t)
	}
	if err := body.Check(); err != nil {
		return event.Receive{}, fmt.Errorf("check %s from %s: %w", t, env.From, err)
	}
	return event.Receive{
		From: env.From, Incarnation: env.Incarnation,
		Revision: env.Revision, Domains: env.Domains, Body: body,
	}, nil
}
