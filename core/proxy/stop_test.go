package proxy_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/batch"
	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/proxy"
)

const (
	draftTime = 7 * time.Second        // from the send to the end of a draft
	lookTime  = 100 * time.Millisecond // of a lookup
)

// serve serves a request of a route without its stages, which takes some time.
func (h *harness) serve(route string, took time.Duration) {
	ticket := h.arrive(route, func(r *proxy.RequestInfo) { r.Patience = time.Minute })
	onlyAction[proxy.Forward](h)
	h.run(took)
	h.end(ticket, proxy.Result{Status: http.StatusOK, Began: true})
}

// newTimedHarness returns a gateway that has measured how long drafts and lookups take.
func newTimedHarness(t *testing.T) *harness {
	h := newLoadedHarness(t)
	for range 30 {
		h.serve("draft", draftTime)
		h.serve("look", lookTime)
	}
	return h
}

// expectRefused asserts that the last step refused a request, which may be sent again at once, and forwarded none.
func (h *harness) expectRefused(why string) {
	h.g.ExpectWithOffset(1, actionsOf[proxy.Forward](h)).To(BeEmpty(), why)
	refused := onlyAction[proxy.Refuse](h)
	h.g.ExpectWithOffset(1, refused.Status).To(Equal(http.StatusServiceUnavailable), why)
	h.g.ExpectWithOffset(1, refused.After).To(And(BeNumerically(">", 0), BeNumerically("<=", time.Second)), why)
}

// TestStopLongRequests guards against a stopping node that takes or forwards a request which cannot end before the node
// exits, so that its caller gets neither a complete response nor a refusal.
func TestStopLongRequests(t *testing.T) {
	draft := func(r *proxy.RequestInfo) { r.Patience = time.Minute }
	t.Run("arrives", func(t *testing.T) {
		h := newTimedHarness(t)
		h.step(event.Stop{})
		h.arrive("draft", draft)
		onlyAction[proxy.Forward](h)
		h.run(2 * time.Second)
		h.arrive("draft", draft)
		h.expectRefused("5.7 s are left for 7 s")
		h.arrive("look", nil)
		onlyAction[proxy.Forward](h)
	})
	t.Run("its stages last too long", func(t *testing.T) {
		h := newTimedHarness(t)
		h.arrive("draft", func(r *proxy.RequestInfo) { r.Pieces, r.Patience = []int{1}, time.Minute })
		onlyAction[batch.StartCall](h) // never ends
		h.step(event.Stop{})
		h.run(500 * time.Millisecond)
		h.g.Expect(actionsOf[proxy.Refuse](h)).To(BeEmpty(), "7.2 s are left for 7 s")
		h.run(500 * time.Millisecond)
		h.expectRefused("6.7 s are left for 7 s")
	})
	t.Run("its server was not reached, and there is another", func(t *testing.T) {
		h := newTimedHarness(t)
		h.put(fleet.KindServers, "model-2", "model 5", "")
		ticket := h.arrive("draft", draft)
		onlyAction[proxy.Forward](h)
		h.step(event.Stop{})
		h.run(2 * time.Second)
		h.end(ticket, proxy.Result{Fail: event.FailUnsent})
		h.expectRefused("5.7 s are left for 7 s")
	})
	t.Run("arrives when the load balancer sends no more", func(t *testing.T) {
		h := newLoadedHarness(t)
		ticket := h.arrive("lend", nil)
		h.step(event.Stop{})
		h.run(3 * time.Second)
		h.arrive("look", nil) // on a connection that was accepted before
		h.expectRefused("the node is about to exit")
		h.end(ticket, proxy.Result{Status: http.StatusOK})
		h.step(proxy.Closed{})
		onlyAction[event.Exit](h)
	})
}

// TestStopUnsafeRequests guards against a stopping node that takes an unsafe request because such requests are short as a rule, and
// exits before this one has ended, so that its caller cannot know whether it has run.
func TestStopUnsafeRequests(t *testing.T) {
	for name, c := range map[string]struct {
		after, patience time.Duration
		taken           bool
	}{
		"certainly ends":           {time.Second, time.Minute, true},      // 6.7 s are left, and the route's timeout is 6 s
		"may last too long":        {2 * time.Second, time.Minute, false}, // 5.7 s are left
		"its deadline comes first": {2 * time.Second, 5 * time.Second, true},
		"late in the grace period": {6 * time.Second, time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newLoadedHarness(t)
			for range 30 {
				h.serve("renew", lookTime)
			}
			h.arrive("look", nil) // keeps the node from exiting
			h.step(event.Stop{})
			h.run(c.after)
			h.arrive("renew", func(r *proxy.RequestInfo) { r.Patience = c.patience })
			if !c.taken {
				h.expectRefused("it may be cut")
				return
			}
			onlyAction[proxy.Forward](h)
		})
	}
}

// TestStopFewMeasurements guards against a stopping node that refuses requests which it could serve, because it has measured
// few of a route, one took long, or they end earlier by their own deadline.
func TestStopFewMeasurements(t *testing.T) {
	expectForwarded := func(h *harness, patience time.Duration) {
		h.step(event.Stop{})
		h.arrive("draft", func(r *proxy.RequestInfo) { r.Patience = patience })
		h.g.ExpectWithOffset(1, actionsOf[proxy.Forward](h)).To(HaveLen(1))
	}
	t.Run("few measurements", func(t *testing.T) {
		h := newLoadedHarness(t)
		h.serve("draft", 3*time.Second)
		h.serve("draft", 3*time.Second)
		expectForwarded(h, time.Minute)
	})
	t.Run("one took long", func(t *testing.T) {
		h := newLoadedHarness(t)
		for range 100 {
			h.serve("draft", 100*time.Millisecond)
		}
		h.serve("draft", 9*time.Second)
		for range 4 {
			h.serve("draft", 100*time.Millisecond)
		}
		expectForwarded(h, time.Minute)
	})
	t.Run("its deadline comes first", func(t *testing.T) {
		h := newLoadedHarness(t)
		for range 30 {
			h.serve("draft", 9*time.Second)
		}
		expectForwarded(h, 5*time.Second)
	})
}
