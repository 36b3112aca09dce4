package loadshare_test

import (
	"testing"
	"time"

	"github.com/segmentio/encoding/proto"

	"bluebellflow/core/event"
	"bluebellflow/core/loadshare"
	"bluebellflow/core/proxy"
	"bluebellflow/core/wire"
)

// FuzzDigest guards against a message that crashes a node, or makes it report negative or endless work.
func FuzzDigest(f *testing.F) {
	for _, d := range []loadshare.Digest{
		{Scope: loadshare.OneNode, Full: true, Servers: []loadshare.Load{{Server: 7, Requests: 2, Read: 30, Write: 4}}},
		{Scope: loadshare.AllDomains, Servers: []loadshare.Load{{Server: 1 << 31, Requests: 1 << 20}, {Server: 1 << 31}}},
	} {
		raw, err := proto.Marshal(d)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		message, err := proto.Marshal(wire.Envelope{From: "node-3", Incarnation: "00112233445566778899aabbccddeeff", Kind: 100, Body: raw})
		if err != nil {
			t.Fatal(err)
		}
		received, err := proxy.Codec().Decode(message)
		if err != nil {
			return
		}
		c := newCluster(t, 6, 2)
		n := c.nodes[0]
		for range 2 {
			c.step(n, received)
			c.run(time.Second, func() { c.step(n, event.Tick{}) })
		}
		for name, w := range n.remote {
			if w.Requests < 0 || w.Requests > 1<<20 || w.Read < 0 || w.Read > time.Hour || w.Write < 0 || w.Write > time.Hour {
				t.Fatalf("%s: %+v", name, w)
			}
		}
	})
}
