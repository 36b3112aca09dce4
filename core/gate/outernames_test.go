package gate_test

import (
	"errors"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/segmentio/encoding/proto"

	"bluebellflow/core/batch"
	"bluebellflow/core/contain"
	"bluebellflow/core/event"
	"bluebellflow/core/gate"
	"bluebellflow/core/leader"
	"bluebellflow/core/mirror"
	"bluebellflow/core/rollout"
	"bluebellflow/core/typename"
	"bluebellflow/core/wire"
)

// TestOuterNames guards against a renamed Go type that changes the name of a message body in metrics, or of an event or
// an action in errors. A renamed type needs an entry in the table of package typename; the names here stay.
func TestOuterNames(t *testing.T) {
	g := NewWithT(t)
	for name, v := range map[string]any{
		"gate.Arrive":      gate.Arrive{},
		"gate.Left":        gate.Left{},
		"gate.Began":       gate.Began{},
		"gate.Ended":       gate.Ended{},
		"gate.Forward":     gate.Forward{},
		"gate.Deliver":     gate.Deliver{},
		"gate.Refuse":      gate.Refuse{},
		"gate.Cut":         gate.Cut{},
		"gate.Limit":       gate.Limit{},
		"gate.Drain":       gate.Drain{},
		"gate.Close":       gate.Close{},
		"mirror.Listed":    mirror.Listed{},
		"mirror.Updated":   mirror.Updated{},
		"mirror.Link":      mirror.Link{},
		"mirror.Follow":    mirror.Follow{},
		"mirror.Unfollow":  mirror.Unfollow{},
		"batch.Run":        batch.Run{},
		"batch.Ran":        batch.Ran{},
		"batch.FreeFailed": batch.FreeFailed{},
		"batch.Free":       batch.Free{},
	} {
		g.Expect(typename.Of(v)).To(Equal(name))
	}

	codec := gate.Codec()
	registered := map[uint32]string{}
	for _, body := range []event.Body{
		leader.Ping{},
		leader.Pong{},
		mirror.Have{},
		mirror.Supply{},
		mirror.Current{},
		batch.Submit{},
		batch.Done{},
		batch.Failed{},
		batch.Release{},
		batch.Moved{},
		rollout.Report{},
		rollout.Rulings{},
		contain.Crash{},
	} {
		raw, err := codec.Encode(wire.Envelope{}, body)
		g.Expect(err).NotTo(HaveOccurred())
		var env wire.Envelope
		g.Expect(proto.Unmarshal(raw, &env)).To(Succeed())
		registered[env.Kind] = typename.Of(body)
	}
	names := map[uint32]string{
		60: "leader.Ping",
		61: "leader.Pong",
		65: "mirror.Have",
		66: "mirror.Supply",
		67: "mirror.Current",
		70: "batch.Submit",
		71: "batch.Done",
		72: "batch.Failed",
		73: "batch.Release",
		74: "batch.Moved",
		80: "rollout.Report",
		81: "rollout.Rulings",
		82: "contain.Crash",
	}
	g.Expect(registered).To(Equal(names))
	// The codec knows no further kind.
	for kind := range uint32(1000) {
		raw, err := proto.Marshal(wire.Envelope{From: "n", Incarnation: "00112233445566778899aabbccddeeff", Kind: kind})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = codec.Decode(raw)
		_, known := names[kind]
		g.Expect(errors.Is(err, wire.ErrKind)).To(Equal(!known), "kind %d: %v", kind, err)
	}
}
