package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/member"
	"bluebellflow/core/permit"
	"bluebellflow/core/route"
	"bluebellflow/core/simulation"
)

// TestUnreachable guards against attempts on servers of a domain that is cut off, which would hang until the deadline.
func TestUnreachable(t *testing.T) {
	g := NewWithT(t)
	now := simulation.Epoch
	r := route.New(event.Self{Node: "n", FailureDomain: "near", Rand: rand.New(rand.NewPCG(1, 1))},
		route.WithBaselines(string(permit.NoPermit)))
	report := func(name id.Server) {
		r.Step(now, event.LoadReport{Server: name, Start: "s", At: now, Limit: 8})
	}
	for i := range 6 {
		d := id.FailureDomain("near")
		if i >= 1 {
			d = "far"
		}
		name := id.Server(fmt.Sprintf("s%d", i))
		r.Step(now, member.ServerChanged{Server: member.Server{ID: name, Pool: "gen", FailureDomain: d, Start: "s"}})
		report(name)
	}
	r.Step(now, pools)
	unreachable := func(actions []event.Action) []id.Server {
		var out []id.Server
		for _, a := range actions {
			if u, ok := a.(route.Unreachable); ok {
				out = append(out, u.Server)
			}
		}
		return out
	}
	last := id.Attempt(0)
	chosen := func() id.Server {
		last++
		c, _ := r.Place(now, last, route.Query{Pool: "gen"})
		g.Expect(c.Decision).To(Equal(route.Chosen))
		r.End(now, last, route.Outcome{Kind: route.Cancelled})
		return c.Server.ID
	}
	now = now.Add(time.Second)
	g.Expect(unreachable(r.Step(now, event.LoadQueryFailed{Server: "s1"}))).To(ConsistOf(id.Server("s1")), "one lost query is no cut")
	now = now.Add(time.Second)
	g.Expect(unreachable(r.Step(now, event.LoadQueryFailed{Server: "s2"}))).To(ConsistOf(
		id.Server("s2"), id.Server("s3"), id.Server("s4"), id.Server("s5")))
	for range 20 {
		g.Expect(chosen()).To(Equal(id.Server("s0")))
	}
	r.Step(now, event.LoadQueryFailed{Server: "s0"})
	g.Expect(chosen()).NotTo(BeEmpty(), "with nothing else left, a server that may be unreachable is tried")
	now = now.Add(time.Second)
	report("s4")
	g.Expect(chosen()).To(Equal(id.Server("s4")))
}
