package usage_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/core/proxy"
	"bluebellflow/core/usage"
	"bluebellflow/core/wire"
)

// TestUnknownCounts guards against a restarted receiver that takes the counts of a node for complete although the message
// leaves out what an earlier process knew.
func TestUnknownCounts(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1, 2)
	w.run(5 * time.Second)
	for _, c := range []struct{ since, seq, want uint64 }{{5, 9, 0}, {0, 10, 10}, {8, 11, 11}, {20, 21, 11}} {
		out := w.nodes[0].usage.Step(w.clock(w.nodes[0]), event.Receive{From: "n09", Body: usage.Counts{Seq: c.seq, Since: c.since}})
		g.Expect(out[0].(event.Send).Body.(usage.Ack).Seq).To(Equal(c.want), "%+v", c)
	}
}

// FuzzMessages guards against counts or confirmations of a faulty node that stop the receiver.
func FuzzMessages(f *testing.F) {
	codec := proxy.Codec()
	envelope := wire.Envelope{From: "n01", Incarnation: "00112233445566778899aabbccddeeff"}
	for _, body := range []event.Body{
		usage.Counts{Seq: 2, Sent: 5, Clock: 9, Complete: 3, Windows: []usage.WindowCounts{{Window: 4, Counts: []usage.Count{{Workspace: "w", Requests: 2}}}}},
		usage.Ack{Seq: 2, Sent: 5, Time: 7, Next: 3},
	} {
		raw, err := codec.Encode(envelope, body)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(_ *testing.T, raw []byte) {
		ev, err := codec.Decode(raw)
		if err != nil {
			return
		}
		w := newWorld(1, 2)
		w.run(2 * time.Second)
		w.deliver(w.nodes[0], ev)
		w.deliver(w.nodes[1], ev)
		w.run(200 * time.Millisecond)
	})
}

// TestMessagesAfterPause guards against a leader that takes the clocks in messages which have waited during its pause for
// present ones.
func TestMessagesAfterPause(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1, 3)
	w.run(6 * time.Second)
	shown := epoch.Add(w.now)
	w.now += 4 * time.Second
	n := w.nodes[0]
	for seq := range uint64(4) {
		for _, from := range w.names[1:] {
			n.usage.Step(w.clock(n), event.Receive{From: from, Body: usage.Counts{Seq: 100 + seq, Clock: shown.UnixNano()}})
		}
	}
	w.now += time.Second
	n.usage.Step(w.clock(n), event.Tick{})
	at, ok := n.usage.Now(w.clock(n))
	g.Expect(ok).To(BeTrue())
	g.Expect(at).To(BeNumerically("~", time.Duration(epoch.UnixNano())+w.now, 50*time.Millisecond))
}
