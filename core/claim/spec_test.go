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
	var c *harness
	BeforeEach(func() { c = newHarness(1, 3) })
	AfterEach(func() { Expect(c.violations).To(BeEmpty()) })
	verdict := func(r id.Request) claim.Verdict { return c.decided[r] }

	It("commits a burst in groups", func() { // guards against one update for each request
		for i := range 100 {
			c.send(c.world.Names()[i%3], fmt.Sprint("k", i), 1, time.Second)
		}
		c.world.Run(100 * time.Millisecond)
		Expect(c.verdictCounts[claim.Granted]).To(Equal(100))
		Expect(c.world.Platform.Calls[event.OpPut]).To(BeNumerically("<", 30))
	})

	It("keeps the rate of updates whatever the number of claims", func() { // guards against writes that grow with the load
		const span = 3 * time.Second
		for i := range 3000 {
			c.world.At(time.Duration(i)*time.Millisecond, func() {
				c.send(c.world.Names()[i%3], fmt.Sprint("k", i), 1, 2*time.Second)
			})
		}
		c.world.Run(span)
		// 64 shards, an update each 150 ms, and one more of each at the start.
		Expect(c.world.Platform.Calls[event.OpPut]).To(BeNumerically("<=", 64*(int(span/(150*time.Millisecond))+1)))
		Expect(c.verdictCounts[claim.Granted]).To(BeNumerically(">", 2800))
	})

	It("lets a resend wait for the running request", func() { // guards against an early unknown
		c.world.Network.MaxDelay = time.Millisecond
		first := c.send("n0", "k", 1, 8*time.Second)
		c.world.Run(15 * time.Millisecond)
		again := c.send("n1", "k", 1, 8*time.Second)
		other := c.send("n2", "k", 2, 8*time.Second)
		c.world.Run(2 * time.Second)
		Expect(verdict(first)).To(Equal(claim.Granted))
		Expect(verdict(again)).To(BeElementOf(claim.Recorded, claim.RejectedBefore))
		Expect(verdict(other)).To(Equal(claim.Mismatch))
	})

	It("claims directly when the writers do not answer", func() { // guards against a dead writer that blocks its shard
		c.world.Cut("n0", "n1")
		c.world.Cut("n0", "n2")
		for i := range 8 {
			c.send("n0", fmt.Sprint("k", i), 1, time.Second)
		}
		c.world.Run(300 * time.Millisecond)
		Expect(c.verdictCounts[claim.Granted]).To(Equal(8))
	})

	It("answers outstanding during an outage, and runs one-time keys", func() { // guards against checkouts that stop
		c.world.Platform.Down = true
		keys := c.world.Stepper("n1").(stepper).IssueKeys(c.world.Now, 2)
		own := c.send("n0", "k", 1, 8*time.Second)
		once, direct := c.send("n0", keys[0], 1, 8*time.Second), c.send("n1", keys[1], 1, 8*time.Second)
		forged := c.send("n1", keys[0][:len(keys[0])-1]+"!", 1, time.Second)
		c.world.Run(3 * time.Second)
		Expect(verdict(own)).To(Equal(claim.Outstanding))
		Expect(verdict(once)).To(Equal(claim.Granted))
		Expect(verdict(direct)).To(Equal(claim.Granted))
		Expect(verdict(forged)).To(Equal(claim.NotIssued))
	})

	It("gives a claim back when the grant comes too late", func() { // guards against a key that stays blocked
		c.world.Platform.Latency = 300 * time.Millisecond
		late := c.send("n0", "k", 1, 250*time.Millisecond)
		c.world.Run(3 * time.Second)
		Expect(verdict(late)).To(Equal(claim.Outstanding))
		again := c.send("n1", "k", 1, 8*time.Second)
		c.world.Run(3 * time.Second)
		Expect(verdict(again)).To(Equal(claim.Granted))
	})

	It("forgets claims after the retention", func() { // guards against objects that grow for ever
		c = newHarness(1, 1, claim.WithRetention(time.Minute), claim.WithShards(1))
		for i := range 50 {
			c.send("n0", fmt.Sprint("k", i), 1, time.Second)
		}
		c.world.Run(2 * time.Minute)
		c.send("n0", "later", 1, time.Second)
		c.world.Run(time.Second)
		Expect(len(c.world.Platform.Objects["claims/0"].Value)).To(BeNumerically("<", 150))
	})

	It("keeps its objects and its memory bounded", func() { // guards against a full object that is refused by the platform
		c = newHarness(1, 1, claim.WithMaxObjectSize(4<<10), claim.WithShards(1), claim.WithKeyWindow(8), claim.WithMaxUnrecorded(16))
		for i := range 200 {
			c.send("n0", fmt.Sprint("k", i), 1, time.Second)
			c.world.Run(20 * time.Millisecond)
		}
		Expect(c.verdictCounts[claim.Absent]).To(BeNumerically(">", 0))
		for _, o := range c.world.Platform.History["claims/0"] {
			Expect(len(o.Value)).To(BeNumerically("<=", 4<<10))
		}
		keys := c.world.Stepper("n0").(stepper).IssueKeys(c.world.Now, 9)
		old, young := c.send("n0", keys[0], 1, time.Second), c.send("n0", keys[1], 1, time.Second)
		c.world.Run(time.Second)
		Expect(verdict(old)).To(Equal(claim.Outstanding))
		Expect(verdict(young)).To(Equal(claim.Granted))
	})

	It("answers nothing from a damaged object", func() { // guards against a lost claim that reads as free
		c = newHarness(1, 1, claim.WithShards(1))
		c.world.Platform.Objects["claims/0"] = event.Object{Name: "claims/0", Version: 3, Value: []byte{1, 2, 3}}
		r := c.send("n0", "k", 1, 4*time.Second)
		c.world.Run(5 * time.Second)
		Expect(verdict(r)).To(Equal(claim.Outstanding))
	})

	It("carries its messages over the wire", func() { // guards against a field without a tag
		codec := wire.New(map[uint32]event.Body{1: claim.Acquire{}, 2: claim.Reply{}, 3: claim.Query{}, 4: claim.Outcome{}, 5: claim.Ack{}})
		inc := c.world.Self("n0").Incarnation
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

// FuzzObject guards against a panic, and against a claim that changes when an object is read and written again.
func FuzzObject(f *testing.F) {
	c := newHarness(1, 1, claim.WithShards(1))
	for i := range 5 {
		c.send("n0", fmt.Sprint("k", i), 1, time.Second)
	}
	c.world.Run(time.Second)
	f.Add(c.world.Platform.Objects["claims/0"].Value)
	f.Add([]byte{1})
	f.Fuzz(func(t *testing.T, raw []byte) {
		again, err := claim.Recode(raw)
		if err == nil && !bytes.Equal(again, raw) {
			third, err := claim.Recode(again) // a length may be written in more bytes than needed
			if err != nil || !bytes.Equal(third, again) {
				t.Fatalf("%x became %x, then %x: %v", raw, again, third, err)
			}
		}
	})
}

// BenchmarkDecision measures a claim from Ask to Granted and its record, in one process, over a shard with 5,000 claims.
func BenchmarkDecision(b *testing.B) {
	for _, kind := range []string{"own", "once"} {
		b.Run(kind, func(b *testing.B) {
			self := event.Self{Node: "n0", Incarnation: id.NewIncarnation(rand.New(rand.NewPCG(1, 1))), Rand: rand.New(rand.NewPCG(1, 2))}
			c := claim.New(self, claim.WithShards(1))
			now := time.Unix(1e9, 0)
			c.Step(now, member.ViewChanged{View: &member.View{Nodes: []member.Node{{ID: "n0", Incarnation: self.Incarnation}}}})
			versions := map[string]uint64{}
			var pump func([]event.Action)
			pump = func(actions []event.Action) {
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
					pump(c.Step(now, r))
				}
			}
			batch := func(from, count int) {
				var asks, settles []event.Action
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
				pump(asks)
				for i := from; i < from+count; i++ {
					settles = append(settles, c.RecordOutcome(now, id.Request(fmt.Sprint("r", i)), claim.Done, []byte("ok"))...)
				}
				pump(settles)
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
