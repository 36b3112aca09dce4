package proxy_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/batch"
	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
	"bluebellflow/core/proxy"
)

// newStreamHarness returns a gateway with six model servers.
func newStreamHarness(t *testing.T) *harness {
	h := newLoadedHarness(t)
	for n := 2; n <= 6; n++ {
		h.put(fleet.KindServers, fmt.Sprintf("model-%d", n), fmt.Sprintf("model %d", 20+n), "")
	}
	return h
}

// startStream sends a request of a route, and lets its response begin.
func (h *harness) startStream(route string, pieces ...int) stream {
	ticket := h.arrive(route, func(r *proxy.RequestInfo) {
		r.Patience, r.Fingerprint, r.Pieces = 10*time.Second, 7, pieces
	})
	h.endStages("h1")
	s := stream{ticket, onlyAction[proxy.Forward](h).Server.ID}
	h.step(proxy.Began{Ticket: ticket, Status: http.StatusOK})
	return s
}

// endStages ends the call that was started in the last step, if there is one.
func (h *harness) endStages(handle string) {
	for _, call := range actionsOf[batch.StartCall](h) {
		h.step(batch.CallEnded{Call: call.Call, Outcomes: []batch.Outcome{{Handle: handle}}})
	}
}

// brokenAfter returns the result of a stream that broke off after an event.
func brokenAfter(lastEventID string) proxy.Result {
	return proxy.Result{Fail: event.FailBroken, Status: http.StatusOK, Began: true, CanResume: true, LastEventID: lastEventID}
}

// expectResumed asserts that the last step has sent the rest of a stream to a server that has not sent any of it.
func (h *harness) expectResumed(lastEventID string, before ...id.Server) id.Server {
	f := onlyAction[proxy.Forward](h)
	h.g.ExpectWithOffset(1, f.Resume).To(BeTrue())
	h.g.ExpectWithOffset(1, f.Hold).To(BeFalse(), "an error response would be held back, and delivered in the middle of the stream")
	h.g.ExpectWithOffset(1, f.LastEventID).To(Equal(lastEventID))
	h.g.ExpectWithOffset(1, before).NotTo(ContainElement(f.Server.ID))
	return f.Server.ID
}

// expectAborted asserts that a stream was aborted and is not sent again.
func (h *harness) expectAborted() {
	h.g.ExpectWithOffset(1, actionsOf[proxy.Forward](h)).To(BeEmpty())
	h.g.ExpectWithOffset(1, actionsOf[proxy.Refuse](h)).To(BeEmpty())
	h.g.ExpectWithOffset(1, actionsOf[proxy.Abort](h)).To(HaveLen(1))
	h.g.ExpectWithOffset(1, h.gateway.Open()).To(BeZero())
}

// TestResume guards against the abort of a stream that another server could continue, against continuing it after the wrong
// event, and against more servers than the route allows.
func TestResume(t *testing.T) {
	t.Run("on another server", func(t *testing.T) {
		h := newStreamHarness(t)
		s := h.startStream("chat")
		h.end(s.ticket, brokenAfter("7"))
		h.expectResumed("7", s.server)
		h.step(proxy.Began{Ticket: s.ticket, Status: http.StatusOK})
		h.end(s.ticket, proxy.Result{Status: http.StatusOK, Began: true})
		h.g.Expect(h.gateway.Open()).To(BeZero())
		h.g.Expect(actionsOf[proxy.Abort](h)).To(BeEmpty())
	})
	t.Run("the next server refuses", func(t *testing.T) {
		h := newStreamHarness(t)
		s := h.startStream("chat")
		h.end(s.ticket, brokenAfter("7"))
		next := h.expectResumed("7", s.server)
		h.end(s.ticket, proxy.Result{Fail: event.FailRejected, Status: http.StatusServiceUnavailable})
		h.expectResumed("7", s.server, next)
	})
	t.Run("all servers refuse", func(t *testing.T) {
		h := newStreamHarness(t)
		s := h.startStream("chat")
		h.end(s.ticket, brokenAfter("7"))
		for range 4 {
			onlyAction[proxy.Forward](h)
			h.end(s.ticket, proxy.Result{Fail: event.FailRejected, Status: http.StatusServiceUnavailable})
		}
		h.expectAborted()
	})
	t.Run("twice, if the first server has ended", func(t *testing.T) {
		h := newStreamHarness(t)
		s := h.startStream("chat")
		h.end(s.ticket, brokenAfter("7"))
		next := h.expectResumed("7", s.server)
		h.step(proxy.Began{Ticket: s.ticket, Status: http.StatusOK})
		h.put(fleet.KindServers, string(s.server), "model 30", "")
		h.end(s.ticket, brokenAfter("9"))
		third := h.expectResumed("9", s.server, next)
		h.step(proxy.Began{Ticket: s.ticket, Status: http.StatusOK})
		h.put(fleet.KindServers, string(next), "model 31", "")
		h.put(fleet.KindServers, string(third), "model 32", "")
		h.end(s.ticket, brokenAfter("12"))
		h.expectAborted()
	})
	t.Run("twice, as soon as it is known that a server has ended", func(t *testing.T) {
		h := newStreamHarness(t)
		s := h.startStream("chat")
		h.end(s.ticket, brokenAfter("7"))
		next := h.expectResumed("7", s.server)
		h.end(s.ticket, brokenAfter("7"))
		h.g.Expect(actionsOf[proxy.Forward](h)).To(BeEmpty(), "a third server would run the request")
		h.put(fleet.KindServers, string(next), "model 31", "")
		h.run(100 * time.Millisecond)
		h.expectResumed("7", s.server, next)
	})
	t.Run("twice, if both servers refuse connections", func(t *testing.T) {
		h := newStreamHarness(t)
		s := h.startStream("chat")
		crashed := brokenAfter("7")
		crashed.ConnRefused = true
		h.end(s.ticket, crashed)
		next := h.expectResumed("7", s.server)
		h.end(s.ticket, crashed)
		h.expectResumed("7", s.server, next)
	})
	t.Run("no third server", func(t *testing.T) {
		h := newStreamHarness(t)
		s := h.startStream("chat")
		h.end(s.ticket, brokenAfter("7"))
		h.end(s.ticket, brokenAfter("7"))
		h.run(time.Second)
		h.expectAborted()
	})
	t.Run("with inputs that are made again", func(t *testing.T) {
		h := newStreamHarness(t)
		s := h.startStream("chat", 1)
		h.end(s.ticket, brokenAfter("7"))
		h.g.Expect(actionsOf[proxy.Forward](h)).To(BeEmpty(), "its inputs were released")
		h.endStages("h2")
		h.expectResumed("7", s.server)
		h.g.Expect(onlyAction[proxy.Forward](h).Inputs).To(Equal([]string{"h2"}))
	})
	t.Run("an input is gone again", func(t *testing.T) {
		h := newStreamHarness(t)
		s := h.startStream("chat", 1)
		h.end(s.ticket, brokenAfter("7"))
		h.endStages("h2")
		h.end(s.ticket, proxy.Result{Fail: event.FailRejected, Status: http.StatusConflict, InputsGone: true})
		h.endStages("h3")
		h.expectResumed("7", s.server)
	})
}

// TestNotResumed guards against a stream that is continued although its caller has left, its position is not known, or its
// request may not run again.
func TestNotResumed(t *testing.T) {
	noPosition, late := brokenAfter("7"), brokenAfter("7")
	noPosition.CanResume = false
	late.SinceEvent = 2 * time.Second
	for name, c := range map[string]struct {
		route  string
		after  time.Duration // of the begin
		result proxy.Result
	}{
		"another route":           {"draft", 0, brokenAfter("7")},
		"no position":             {"chat", 0, noPosition},
		"the caller gives up":     {"chat", 0, late},
		"the deadline has passed": {"chat", 10 * time.Second, brokenAfter("7")},
	} {
		t.Run(name, func(t *testing.T) {
			h := newStreamHarness(t)
			s := h.startStream(c.route)
			h.run(c.after)
			h.end(s.ticket, c.result)
			h.expectAborted()
		})
	}
	t.Run("the request crashes servers", func(t *testing.T) {
		h := newStreamHarness(t)
		s := h.startStream("chat")
		for range 3 {
			ticket := h.arrive("lend", func(r *proxy.RequestInfo) { r.Fingerprint = 7 })
			server := onlyAction[proxy.Forward](h).Server.ID
			h.end(ticket, proxy.Result{Fail: event.FailBroken})
			h.restart(server)
		}
		h.end(s.ticket, brokenAfter("7"))
		h.expectAborted()
	})
	t.Run("the retry budget is used up", func(t *testing.T) {
		h := newStreamHarness(t)
		resumed := 0
		for range 120 {
			s := h.startStream("chat")
			h.end(s.ticket, brokenAfter("7"))
			resumed += len(actionsOf[proxy.Forward](h))
		}
		h.g.Expect(resumed).To(And(BeNumerically(">", 10), BeNumerically("<", 120)))
	})
}
