package canary_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bluebellflow/core/canary"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/member"
)

var _ = Describe("a pool without a rollout", func() {
	var (
		m   *canary.Rollouts
		now time.Time
	)
	appear := func(version id.Version, from, to int) {
		for i := from; i < to; i++ {
			m.Step(now, member.ServerChanged{Server: member.Server{ID: id.Server(fmt.Sprintf("s%d", i)), Pool: "p", Version: version}})
		}
	}
	pass := func(d time.Duration) {
		now = now.Add(d)
		m.Step(now, event.Tick{})
	}
	chosen := func() id.Version { return m.Choose(now, "p", 7, "x") }
	BeforeEach(func() {
		m, now = canary.New(event.Self{Node: "n"}), time.Unix(1000, 0)
	})

	It("keeps its version when more servers of another appear", func() { // guards against traffic for a version that no rollout watches
		appear("v1", 0, 3)
		Expect(chosen()).To(BeEmpty())
		pass(5 * time.Second)
		appear("v2", 3, 10)
		Expect(chosen()).To(Equal(id.Version("v1")))
	})
	It("takes the version of most servers when it starts", func() { // guards against an order of events that decides
		appear("v2", 0, 2)
		appear("v1", 2, 5)
		Expect(chosen()).To(Equal(id.Version("v1")))
		pass(5 * time.Second)
		Expect(chosen()).To(Equal(id.Version("v1")))
	})
	It("takes another version when its own has gone", func() { // guards against an outage after servers were replaced without a rollout
		appear("v1", 0, 2)
		pass(5 * time.Second)
		appear("v2", 2, 4)
		appear("v3", 4, 5)
		m.Step(now, member.ServerRemoved{Server: "s0"})
		m.Step(now, member.ServerChanged{Server: member.Server{ID: "s1", Pool: "p", Version: "v1", Leaving: true}})
		Expect(chosen()).To(Equal(id.Version("v2")))
	})
})

var _ = Describe("a request whose attempt failed", func() {
	It("goes on with the old version while a rollout runs", func() { // guards against one bad request that convicts a version
		c := newHarness(1, 3, 3*time.Minute)
		c.world.Run(5 * time.Second)
		s := c.world.Stepper("n1").(stepper)
		Expect(s.Fallback("p")).To(Equal(id.Version("v1")))
		Expect(s.Fallback("other")).To(BeEmpty())
		c.world.Run(3 * time.Minute)
		Expect(s.Fallback("p")).To(BeEmpty())
	})
})
