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
		rs  *canary.Rollouts
		now time.Time
	)
	addServers := func(version id.Version, from, to int) {
		for i := from; i < to; i++ {
			rs.Step(now, member.ServerChanged{Server: member.Server{ID: id.Server(fmt.Sprintf("s%d", i)), Pool: "p", Version: version}})
		}
	}
	advance := func(d time.Duration) {
		now = now.Add(d)
		rs.Step(now, event.Tick{})
	}
	chosen := func() id.Version { return rs.Choose(now, "p", 7, "x") }
	BeforeEach(func() {
		rs, now = canary.New(event.Self{Node: "n"}), time.Unix(1000, 0)
	})

	It("keeps its version when more servers of another one appear", func() { // guards against traffic for a version whose results are not compared
		addServers("v1", 0, 3)
		Expect(chosen()).To(BeEmpty())
		advance(5 * time.Second)
		addServers("v2", 3, 10)
		Expect(chosen()).To(Equal(id.Version("v1")))
	})
	It("takes the version of most servers when it starts", func() { // guards against a default version that depends on the order of events
		addServers("v2", 0, 2)
		addServers("v1", 2, 5)
		Expect(chosen()).To(Equal(id.Version("v1")))
		advance(5 * time.Second)
		Expect(chosen()).To(Equal(id.Version("v1")))
	})
	It("takes another version when the default version has gone", func() { // guards against an outage after servers were replaced without a rollout
		addServers("v1", 0, 2)
		advance(5 * time.Second)
		addServers("v2", 2, 4)
		addServers("v3", 4, 5)
		rs.Step(now, member.ServerRemoved{Server: "s0"})
		rs.Step(now, member.ServerChanged{Server: member.Server{ID: "s1", Pool: "p", Version: "v1", Leaving: true}})
		Expect(chosen()).To(Equal(id.Version("v2")))
	})
})

var _ = Describe("a request whose attempt failed", func() {
	It("goes on with the old version while a rollout runs", func() { // guards against one bad request whose retries make a good version look bad
		h := newHarness(1, 3, 3*time.Minute)
		h.world.Run(5 * time.Second)
		s := h.world.Stepper("n1").(stepper)
		Expect(s.Fallback("p")).To(Equal(id.Version("v1")))
		Expect(s.Fallback("other")).To(BeEmpty())
		h.world.Run(3 * time.Minute)
		Expect(s.Fallback("p")).To(BeEmpty())
	})
})
