package proxy_test

import (
	"errors"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/segmentio/encoding/proto"

	"bluebellflow/core/autoscale"
	"bluebellflow/core/batch"
	"bluebellflow/core/denylist"
	"bluebellflow/core/event"
	"bluebellflow/core/leader"
	"bluebellflow/core/loadshare"
	"bluebellflow/core/proxy"
	"bluebellflow/core/rollout"
	"bluebellflow/core/selfreport"
	"bluebellflow/core/typename"
	"bluebellflow/core/usage"
	"bluebellflow/core/watchcache"
	"bluebellflow/core/wire"
)

// TestOuterNames guards against a renamed Go type that changes the name of a message body in metrics, or of an event or
// an action in errors. A renamed type needs an entry in the table of package typename; the names here stay.
func TestOuterNames(t *testing.T) {
	g := NewWithT(t)
	for name, v := range map[string]any{
		"gate.Arrive":      proxy.Arrive{},
		"gate.Left":        proxy.Disconnected{},
		"gate.Began":       proxy.Began{},
		"gate.Ended":       proxy.Ended{},
		"gate.Forward":     proxy.Forward{},
		"gate.Deliver":     proxy.Deliver{},
		"gate.Refuse":      proxy.Refuse{},
		"gate.Cut":         proxy.Abort{},
		"gate.Limit":       proxy.Limit{},
		"gate.Drain":       proxy.Drain{},
		"gate.Close":       proxy.Close{},
		"mirror.Listed":    watchcache.Listed{},
		"mirror.Updated":   watchcache.Updated{},
		"mirror.Link":      watchcache.StoreLink{},
		"mirror.Follow":    watchcache.Follow{},
		"mirror.Unfollow":  watchcache.Unfollow{},
		"batch.Run":        batch.StartCall{},
		"batch.Ran":        batch.CallEnded{},
		"batch.FreeFailed": batch.FreeFailed{},
		"batch.Free":       batch.FreeResults{},
	} {
		g.Expect(typename.Of(v)).To(Equal(name))
	}

	codec := proxy.Codec()
	registered := map[uint32]string{}
	for _, body := range []event.Body{
		leader.Ping{},
		leader.Pong{},
		watchcache.KnownRevisions{},
		watchcache.ChangeSet{},
		watchcache.PollReply{},
		batch.Submit{},
		batch.Done{},
		batch.Failed{},
		batch.Release{},
		batch.Moved{},
		rollout.Report{},
		rollout.Decisions{},
		denylist.Crash{},
		denylist.Broken{},
		denylist.Ended{},
		denylist.Responded{},
		denylist.Trial{},
		denylist.Refused{},
		selfreport.Shared{},
		loadshare.Digest{},
		usage.Counts{},
		usage.Ack{},
		autoscale.Demand{},
	} {
		raw, err := codec.Encode(wire.Envelope{}, body)
		g.Expect(err).NotTo(HaveOccurred())
		var env wire.Envelope
		g.Expect(proto.Unmarshal(raw, &env)).To(Succeed())
		registered[env.Kind] = typename.Of(body)
	}
	names := map[uint32]string{
		60:  "leader.Ping",
		61:  "leader.Pong",
		65:  "mirror.Have",
		66:  "mirror.Supply",
		67:  "mirror.Current",
		70:  "batch.Submit",
		71:  "batch.Done",
		72:  "batch.Failed",
		73:  "batch.Release",
		74:  "batch.Moved",
		80:  "rollout.Report",
		81:  "rollout.Rulings",
		82:  "contain.Crash",
		83:  "denylist.Broken",
		84:  "denylist.Ended",
		85:  "denylist.Responded",
		86:  "denylist.Trial",
		87:  "denylist.Refused",
		88:  "selfreport.Shared",
		100: "loadshare.Digest",
		90:  "usage.Counts",
		91:  "usage.Ack",
		95:  "autoscale.Demand",
	}
	g.Expect(registered).To(Equal(names))
	// The codec knows no further kind.
	for kind := range uint32(1000) {
		raw, err := proto.Marshal(wire.Envelope{From: "n", Incarnation: "00112233445566778899aabbccddeeff", Kind: kind})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = codec.Decode(raw)
		_, known := names[kind]
		g.Expect(errors.Is(err, wire.ErrUnknownKind)).To(Equal(!known), "kind %d: %v", kind, err)
	}
}
