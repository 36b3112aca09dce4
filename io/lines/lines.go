package lines

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/typename"
)

// maxLineBytes is the maximum size of one event in bytes; the largest object of the platform fits in base64.
const maxLineBytes = 16 << 20

// Decider is the decision logic that Run drives.
type Decider interface {
	Step(now time.Time, ev event.Event) []event.Action
	Next() time.Time
}

// Line is one event or action. Type is its name from typename.Of, such as "event.Arrive".
type Line struct {
	At    time.Time `json:"at"`
	Type  string    `json:"type"`
	Value any       `json:"value"`
}

// typedValue is an encoded value with the name of its type.
type typedValue struct {
	Type  string          `json:"type"`
	Value json.RawMessage `json:"value"`
}

// Registry maps names to the types of events and message bodies.
type Registry struct {
	events map[string]reflect.Type
	bodies map[string]reflect.Type
}

// New returns a registry of the events of package event that a pipe may carry, the given operator commands and the given
// message bodies.
func New(commands []event.Event, bodies []event.Body) *Registry {
	r := &Registry{events: map[string]reflect.Type{}, bodies: map[string]reflect.Type{}}
	events := []event.Event{
		event.RequestArrived{},
		event.CallerDisconnected{},
		event.AttemptOutput{},
		event.AttemptDone{},
		event.AttemptFailed{},
		event.LoadReport{},
		event.CacheUpdate{},
		event.Receive{},
		event.PeerLink{},
		event.PlatformResult{},
		event.ObjectChanged{},
		event.VMList{},
		event.OrderResult{},
		event.Tick{},
		event.Stop{},
	}
	for _, ev := range append(events, commands...) {
		r.events[typename.Of(ev)] = reflect.TypeOf(ev)
	}
	for _, body := range bodies {
		r.bodies[typename.Of(body)] = reflect.TypeOf(body)
	}
	return r
}

// decodeStrict decodes one JSON value and rejects fields that the type does not have.
func decodeStrict(raw []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more than one value")
	}
	return nil
}

// Decode decodes an event and its time.
func (r *Registry) Decode(raw []byte) (time.Time, event.Event, error) {
	var line struct {
		At time.Time `json:"at"`
		typedValue
	}
	if err := decodeStrict(raw, &line); err != nil {
		return time.Time{}, nil, fmt.Errorf("decode line: %w", err)
	}
	if line.At.IsZero() {
		return time.Time{}, nil, errors.New("decode line: no time")
	}
	t, known := r.events[line.Type]
	if !known {
		return time.Time{}, nil, fmt.Errorf("decode line: unknown event %q", line.Type)
	}
	if t == reflect.TypeFor[event.Receive]() {
		ev, err := r.decodeReceive(line.Value)
		return line.At, ev, err
	}
	value := reflect.New(t)
	if len(line.Value) > 0 {
		if err := decodeStrict(line.Value, value.Interface()); err != nil {
			return time.Time{}, nil, fmt.Errorf("decode %s: %w", line.Type, err)
		}
	}
	ev, ok := value.Elem().Interface().(event.Event)
	if !ok {
		return time.Time{}, nil, fmt.Errorf("decode %s: not an event", line.Type)
	}
	return line.At, ev, nil
}

// decodeReceive decodes an event.Receive, whose body carries the name of its own type.
func (r *Registry) decodeReceive(raw []byte) (event.Event, error) {
	var message struct {
		From        id.Node
		Incarnation id.Incarnation
		Revision    id.Revision
		Domains     uint64
		Body        typedValue
	}
	if err := decodeStrict(raw, &message); err != nil {
		return nil, fmt.Errorf("decode event.Receive: %w", err)
	}
	t, known := r.bodies[message.Body.Type]
	if !known {
		return nil, fmt.Errorf("decode event.Receive: unknown body %q", message.Body.Type)
	}
	value := reflect.New(t)
	if err := decodeStrict(message.Body.Value, value.Interface()); err != nil {
		return nil, fmt.Errorf("decode %s: %w", message.Body.Type, err)
	}
	body, ok := value.Elem().Interface().(event.Body)
	if !ok {
		return nil, fmt.Errorf("decode %s: not a message body", message.Body.Type)
	}
	if err := body.Check(); err != nil {
		return nil, fmt.Errorf("check %s: %w", message.Body.Type, err)
	}
	return event.Receive{
		From: message.From, Incarnation: message.Incarnation, Revision: message.Revision, Domains: message.Domains, Body: body,
	}, nil
}

// Encode encodes an action as a line.
func Encode(at time.Time, a event.Action) ([]byte, error) {
	line := Line{At: at, Type: typename.Of(a), Value: a}
	if send, ok := a.(event.Send); ok {
		raw, err := json.Marshal(send.Body)
		if err != nil {
			return nil, fmt.Errorf("encode %s: %w", typename.Of(send.Body), err)
		}
		line.Value = struct {
			To   id.Node
			Body typedValue
		}{send.To, typedValue{Type: typename.Of(send.Body), Value: raw}}
	}
	raw, err := json.Marshal(line)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", typename.Of(a), err)
	}
	return raw, nil
}

// Run passes each event of the input to the decision logic and writes the resulting actions and the time of the next timer.
func (r *Registry) Run(d Decider, in io.Reader, out io.Writer) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	w := bufio.NewWriter(out)
	var last time.Time
	for number := 1; scanner.Scan(); number++ {
		if len(bytes.TrimSpace(scanner.Bytes())) == 0 {
			continue
		}
		at, ev, err := r.Decode(scanner.Bytes())
		if err == nil && at.Before(last) {
			err = fmt.Errorf("time goes back from %s to %s", last.Format(time.RFC3339Nano), at.Format(time.RFC3339Nano))
		}
		if err != nil {
			return errors.Join(fmt.Errorf("line %d: %w", number, err), w.Flush())
		}
		last = at
		if err := step(d, at, ev, w); err != nil {
			return err
		}
		raw, err := json.Marshal(Line{At: at, Type: "next", Value: d.Next()})
		if err != nil {
			return err
		}
		if _, err := w.Write(append(raw, '\n')); err != nil {
			return err
		}
		// The process at the other end of the pipe waits for the actions before it sends the next event.
		if err := w.Flush(); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read events: %w", err)
	}
	return nil
}

// step passes an event, and the internal events that follow from it, to the decision logic and writes the other actions.
func step(d Decider, at time.Time, ev event.Event, w io.Writer) error {
	for _, a := range d.Step(at, ev) {
		if internal, ok := event.IsInternal(a); ok {
			if err := step(d, at, internal, w); err != nil {
				return err
			}
			continue
		}
		raw, err := Encode(at, a)
		if err != nil {
			return err
		}
		if _, err := w.Write(append(raw, '\n')); err != nil {
			return err
		}
	}
	return nil
}
