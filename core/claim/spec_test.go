package claim_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bluebellflow/core/claim"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/member"
	"bluebellflow/core/wire"
)

func TestClaim(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "claim")
}

var _ = Describe("claims", func() {
	var h *harness
	BeforeEach(func() { h = newHarness(1, 3) })
	AfterEach(func() { Expect(h.violations).To(BeEmpty()) })
	verdict := func(r id.Request) claim.Verdict { return h.decided[r] }

	It("commits a burst in groups", func() { // guards against one update for each request
		for i := range 100 {
			h.send(h.world.Nodes()[i%3], fmt.Sprint("k", i), 1, time.Second)
		}
		h.world.Run(100 * time.Millisecond)
		Expect(h.verdictCounts[claim.Granted]).To(Equal(100))
		Expect(h.world.Platform.Calls[event.OpPut]).To(BeNumerically("<", 30))
	})

	It("bounds the rate of updates regardless of the number of claims", func() { // guards against a write rate that grows with the load
		const span = 3 * time.Second
		for i := range 3000 {
			h.world.AfterFunc(time.Duration(i)*time.Millisecond, func() {
				h.send(h.world.Nodes()[i%3], fmt.Sprint("k", i), 1, 2*time.Second)
			})
		}
		h.world.Run(span)
		// 64 shards with an update every 150 ms, and one more for each shard at the start.
		Expect(h.world.Platform.Calls[event.OpPut]).To(BeNumerically("<=", 64*(int(span/(150*time.Millisecond))+1)))
		Expect(h.verdictCounts[claim.Granted]).To(BeNumerically(">", 2800))
	})

	It("lets a resend wait for the running request", func() { // guards against the answer outstanding while the request still runs
		h.world.Network.MaxDelay = time.Millisecond
		first := h.send("n0", "k", 1, 8*time.Second)
		h.world.Run(15 * time.Millisecond)
		again := h.send("n1", "k", 1, 8*time.Second)
		other := h.send("n2", "k", 2, 8*time.Second)
		h.world.Run(2 * time.Second)
		Expect(verdict(first)).To(Equal(claim.Granted))
		Expect(verdict(again)).To(BeElementOf(claim.Recorded, claim.RejectedBefore))
		Expect(verdict(other)).To(Equal(claim.Mismatch))
	})

	It("claims directly when the writers do not answer", func() { // guards against an unreachable writer that blocks its shard
		h.world.Cut("n0", "n1")
		h.world.Cut("n0", "n2")
		for i := range 8 {
			h.send("n0", fmt.Sprint("k", i), 1, time.Second)
		}
		h.world.Run(300 * time.Millisecond)
		Expect(h.verdictCounts[claim.Granted]).To(Equal(8))
	})

	It("answers outstanding during an outage, and grants one-time keys", func() { // guards against one-time keys that need the platform
		h.world.Platform.Down = true
		keys := h.world.Stepper("n1").(stepper).IssueKeys(h.world.Now, 2)
		own := h.send("n0", "k", 1, 8*time.Second)
		forwarded, direct := h.send("n0", keys[0], 1, 8*time.Second), h.send("n1", keys[1], 1, 8*time.Second)
		forged := h.send("n1", keys[0][:len(keys[0])-1]+"!", 1, time.Second)
		h.world.Run(3 * time.Second)
		Expect(verdict(own)).To(Equal(claim.Outstanding))
		Expect(verdict(forwarded)).To(Equal(claim.Granted))
		Expect(verdict(direct)).To(Equal(claim.Granted))
		Expect(verdict(forged)).To(Equal(claim.NotIssued))
	})

	It("gives a claim up when the grant comes after the deadline", func() { // guards against a key that stays blocked
		h.world.Platform.Latency = 300 * time.Millisecond
		late := h.send("n0", "k", 1, 250*time.Millisecond)
		h.world.Run(3 * time.Second)
		Expect(verdict(late)).To(Equal(claim.Outstanding))
		again := h.send("n1", "k", 1, 8*time.Second)
		h.world.Run(3 * time.Second)
		Expect(verdict(again)).To(Equal(claim.Granted))
	})

	It("forgets claims after the retention", func() { // guards against objects that grow without bound
		h = newHarness(1, 1, claim.WithRetention(time.Minute), claim.WithShards(1))
		for i := range 50 {
			h.send("n0", fmt.Sprint("k", i), 1, time.Second)
		}
		h.world.Run(2 * time.Minute)
		h.send("n0", "later", 1, time.Second)
		h.world.Run(time.Second)
		Expect(len(h.world.Platform.Objects["claims/0"].Value)).To(BeNumerically("<", 150))
	})

	It("keeps its objects and its memory bounded", func() { // guards against an object that exceeds the platform's limit
		h = newHarness(1, 1, claim.WithMaxObjectSize(4<<10), claim.WithShards(1), claim.WithKeyWindow(8), claim.WithMaxUnrecorded(16))
		for i := range 200 {
			h.send("n0", fmt.Sprint("k", i), 1, time.Second)
			h.world.Run(20 * time.Millisecond)
		}
		Expect(h.verdictCounts[claim.Absent]).To(BeNumerically(">", 0))
		for _, o := range h.world.Platform.History["claims/0"] {
			Expect(len(o.Value)).To(BeNumerically("<=", 4<<10))
		}
		keys := h.world.Stepper("n0").(stepper).IssueKeys(h.world.Now, 9)
		expired, usable := h.send("n0", keys[0], 1, time.Second), h.send("n0", keys[1], 1, time.Second)
		h.world.Run(time.Second)
		Expect(verdict(expired)).To(Equal(claim.Outstanding))
		Expect(verdict(usable)).To(Equal(claim.Granted))
	})

	It("grants nothing from a malformed object", func() { // guards against unreadable claims that count as absent
		h = newHarness(1, 1, claim.WithShards(1))
		h.world.Platform.Objects["claims/0"] = event.Object{Name: "claims/0", Version: 3, Value: []byte{1, 2, 3}}
		r := h.send("n0", "k", 1, 4*time.Second)
		h.world.Run(5 * time.Second)
		Expect(verdict(r)).To(Equal(claim.Outstanding))
	})

	It("carries its messages over the wire", func() { // guards against a field without a protobuf tag
		codec := wire.New(map[uint32]event.Body{1: claim.Acquire{}, 2: claim.Reply{}, 3: claim.Query{}, 4: claim.Outcome{}, 5: claim.Ack{}})
		inc := h.world.Self("n0").Incarnation
		for _, body := range []event.Body{
			claim.Acquire{Request: "r", Workspace: "w", Key: "k", Print: 1 << 63, Left: -5},
			claim.Reply{Request: "r", Verdict: claim.Recorded, Result: []byte("x"), Omitted: true, Node: "n", Incarnation: inc, Held: "h"},
			claim.Query{Request: "r", Held: "h", Incarnation: inc},
			claim.Outcome{Request: "r", Workspace: "w", Key: "k", State: claim.Done, Result: []byte("x"), Omitted: true},
			claim.Ack{Request: "r", State: claim.NotDispatched, OK: true},
		} {
			raw, err := codec.Encode(wire.Envelope{From: "n", Incarnation: inc}, body)
			Expect(err).NotTo(HaveOccurred())
			got, err := codec.Decode(raw)
			Expect(err).NotTo(HaveOccurred())
			Expect(got.Body).To(Equal(body))
		}
	})
})

// FuzzObject guards against a panic, and against a claim that changes when an object is decoded and encoded again.
func FuzzObject(f *testing.F) {
	h := newHarness(1, 1, claim.WithShards(1))
	for i := range 5 {
		h.send("n0", fmt.Sprint("k", i), 1, time.Second)
	}
	h.world.Run(time.Second)
	f.Add(h.world.Platform.Objects["claims/0"].Value)
	f.Add([]byte{1})
	f.Fuzz(func(t *testing.T, raw []byte) {
		again, err := claim.Recode(raw)
		if err == nil && !bytes.Equal(again, raw) {
			third, err := claim.Recode(again) // a varint length may have more bytes than needed
			if err != nil || !bytes.Equal(third, again) {
				t.Fatalf("%x became %x, then %x: %v", raw, again, third, err)
			}
		}
	})
}

// BenchmarkDecision measures one claim from Ask to its recorded outcome, in one process, with 5,000 claims in the shard.
func BenchmarkDecision(b *testing.B) {
	for _, kind := range []string{"own", "once"} {
		b.Run(kind, func(b *testing.B) {
			self := event.Self{Node: "n0", Incarnation: id.NewIncarnation(rand.New(rand.NewPCG(1, 1))), Rand: rand.New(rand.NewPCG(1, 2))}
			c := claim.New(self, claim.WithShards(1))
			now := time.Unix(1e9, 0)
			c.Step(now, member.ViewChanged{View: &member.View{Nodes: []member.Node{{ID: "n0", Incarnation: self.Incarnation}}}})
			versions := map[string]uint64{}
			var answerCalls func([]event.Action)
			answerCalls = func(actions []event.Action) {
				for _, a := range actions {
					call, ok := a.(event.PlatformCall)
					if !ok {
						continue
					}
					r := event.PlatformResult{Call: call, Code: event.CodeNotFound}
					if call.Op == event.OpPut {
						versions[call.Name]++
						r.Code, r.Objects = event.CodeOK, []event.Object{{Name: call.Name, Version: versions[call.Name]}}
					}
					answerCalls(c.Step(now, r))
				}
			}
			batch := func(from, count int) {
				var asks, outcomes []event.Action
				now = now.Add(time.Millisecond)
				for i := from; i < from+count; i++ {
					key := fmt.Sprint("key", i)
					if kind == "once" {
						key = c.IssueKeys(now, 1)[0]
					}
					asks = append(asks, c.Ask(now, claim.Request{
						ID: id.Request(fmt.Sprint("r", i)), Workspace: "w", Key: key, Fingerprint: 1, Deadline: now.Add(time.Second),
					})...)
				}
				answerCalls(asks)
				for i := from; i < from+count; i++ {
					outcomes = append(outcomes, c.RecordOutcome(now, id.Request(fmt.Sprint("r", i)), claim.Done, []byte("ok"))...)
				}
				answerCalls(outcomes)
			}
			batch(0, 5000)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				batch(1e6+i, 1)
			}
		})
	}
}
