package proxy_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
	"bluebellflow/core/proxy"
	"bluebellflow/core/selfreport"
	"bluebellflow/core/watchcache"
)

// TestConnLimit guards against more connections to a server than this node's share, of which a long queue leaves less, against
// refusing a request that another server or a short wait would have served, and against a refusal that does not say that the
// request has not run. The servers accept eight connections each, and three other nodes may have joined unseen.
func TestConnLimit(t *testing.T) {
	h := newLoadedHarness(t)
	h.step(watchcache.Updated{Kind: fleet.KindServers, Revision: 30, Objects: []watchcache.Object{
		{Name: "desk-1", Revision: 29, Spec: []byte("desk 5")}, {Name: "desk-2", Revision: 30, Spec: []byte("desk 6")},
	}})
	sent := map[id.Server][]proxy.Ticket{}
	for range 4 {
		ticket := h.arrive("stamp", nil)
		server := onlyAction[proxy.Forward](h).Server.ID
		sent[server] = append(sent[server], ticket)
	}
	h.g.Expect(sent["desk-1"]).To(HaveLen(2))
	queued := selfreport.Report{Load: selfreport.Load{Running: 6, Waiting: 7, Slots: 6}, LoadKnown: true}
	h.arrive("stamp", nil)
	h.g.Expect(onlyAction[proxy.ConnLimited](h).Outcome).To(Equal(proxy.ConnLimitWaited))
	h.end(sent["desk-1"][0], proxy.Result{Status: http.StatusOK, Report: queued})
	h.run(50 * time.Millisecond)
	h.g.Expect(actionsOf[proxy.Forward](h)).To(BeEmpty(), "one connection is this node's share of a long queue's server")
	h.end(sent["desk-2"][0], proxy.Result{Status: http.StatusOK})
	h.run(30 * time.Millisecond)
	f := onlyAction[proxy.Forward](h)
	h.g.Expect(f.Server.ID).To(Equal(id.Server("desk-2")))
	h.g.Expect(f.Conns.Conns).To(Equal(2))
	h.g.Expect(onlyAction[proxy.ConnLimited](h).Outcome).To(Equal(proxy.ConnLimitMoved))
	h.arrive("stamp", nil)
	h.run(200 * time.Millisecond)
	h.g.Expect(onlyAction[proxy.ConnLimited](h).Outcome).To(Equal(proxy.ConnLimitRefused))
	h.g.Expect(onlyAction[proxy.Refuse](h).Status).To(Equal(http.StatusServiceUnavailable))
	h.g.Expect(onlyAction[proxy.Refuse](h).After).To(BeNumerically(">", 0))
}
