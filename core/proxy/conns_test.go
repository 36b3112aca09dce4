package proxy_test

import (
	"net/http"
	"testing"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
	"bluebellflow/core/proxy"
	"bluebellflow/core/selfreport"
	"bluebellflow/core/watchcache"

	. "github.com/onsi/gomega"
)

// newConnsHarness returns a gateway with two servers that accept eight connections each, of which two are its share, as three
// other nodes may have joined unseen.
func newConnsHarness(t *testing.T) *harness {
	h := newLoadedHarness(t)
	h.step(watchcache.Updated{Kind: fleet.KindServers, Revision: 30, Objects: []watchcache.Object{
		{Name: "desk-1", Revision: 29, Spec: []byte("desk 5")}, {Name: "desk-2", Revision: 30, Spec: []byte("desk 6")},
	}})
	return h
}

// expectOutcomes asserts what became of the requests of the recorded steps that met the limit of connections.
func (h *harness) expectOutcomes(want ...proxy.ConnLimitOutcome) {
	var got []proxy.ConnLimitOutcome
	for _, a := range actionsOf[proxy.ConnLimited](h) {
		got = append(got, a.Outcome)
	}
	h.g.ExpectWithOffset(1, got).To(Equal(want))
}

// TestConnLimit guards against more connections to a server than this node's share, against refusing a request that another
// server or a short wait would have served, and against a refusal that does not say that the request has not run.
func TestConnLimit(t *testing.T) {
	h := newConnsHarness(t)
	sent := map[id.Server][]proxy.Ticket{}
	for range 4 {
		ticket := h.arrive("stamp", nil)
		f := onlyAction[proxy.Forward](h)
		h.g.Expect(f.Conns.Conns).To(Equal(2))
		sent[f.Server.ID] = append(sent[f.Server.ID], ticket)
	}
	h.g.Expect(sent["desk-1"]).To(HaveLen(2))
	h.arrive("stamp", nil)
	h.expectOutcomes(proxy.ConnLimitWaited)
	h.run(50 * time.Millisecond)
	h.end(sent["desk-2"][0], proxy.Result{Status: http.StatusOK})
	h.run(30 * time.Millisecond)
	h.g.Expect(onlyAction[proxy.Forward](h).Server.ID).To(Equal(id.Server("desk-2")))
	h.expectOutcomes(proxy.ConnLimitMoved)
	h.arrive("stamp", nil)
	h.run(200 * time.Millisecond)
	h.expectOutcomes(proxy.ConnLimitRefused)
	refused := onlyAction[proxy.Refuse](h)
	h.g.Expect(refused.Status).To(Equal(http.StatusServiceUnavailable))
	h.g.Expect(refused.After).To(BeNumerically(">", 0))
}

// TestConnLimitOfLoadedServer guards against using the whole share at a server with a long queue, and against keeping a node to
// its share at a server that has hardly any requests.
func TestConnLimitOfLoadedServer(t *testing.T) {
	for name, c := range map[string]struct {
		load selfreport.Load
		want int // attempts at one server
	}{
		"long queue": {selfreport.Load{Running: 6, Waiting: 7, Slots: 6}, 1},
		"short one":  {selfreport.Load{Running: 6, Waiting: 1, Slots: 6}, 2},
		"idle":       {selfreport.Load{Running: 1, Slots: 6}, 4},
	} {
		t.Run(name, func(t *testing.T) {
			h := newConnsHarness(t)
			for range 2 { // one at each server
				h.end(h.arrive("stamp", nil), proxy.Result{Status: http.StatusOK, Report: selfreport.Report{Load: c.load, LoadKnown: true}})
			}
			sends := map[id.Server]int{}
			for range 10 {
				h.arrive("stamp", nil)
				for _, f := range actionsOf[proxy.Forward](h) {
					sends[f.Server.ID]++
				}
			}
			h.g.Expect(sends).To(HaveKeyWithValue(id.Server("desk-1"), c.want))
		})
	}
}

// TestResetBeforeWrite guards against 502 for a request whose connections were all reset before anything was written.
func TestResetBeforeWrite(t *testing.T) {
	h := newConnsHarness(t)
	ticket := h.arrive("stamp", nil)
	for range 2 {
		h.g.Expect(actionsOf[proxy.Forward](h)).To(HaveLen(1))
		h.end(ticket, proxy.Result{Fail: event.FailUnsent, Detail: "reset"})
	}
	h.run(200 * time.Millisecond)
	h.g.Expect(onlyAction[proxy.Refuse](h).Status).To(Equal(http.StatusServiceUnavailable))
}
