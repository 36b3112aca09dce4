package proxy_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
	"bluebellflow/core/proxy"
)

// TestCrashingRequest guards against a request that crashes one server after another because each retry has a new name,
// and against refusing a different request of the same caller.
func TestCrashingRequest(t *testing.T) {
	h := newLoadedHarness(t)
	for n := range 3 {
		ticket := h.arrive("lend", func(r *proxy.RequestInfo) { r.Fingerprint = 7 })
		server := onlyAction[proxy.Forward](h).Server.ID
		h.end(ticket, proxy.Result{Fail: event.FailBroken})
		h.put(fleet.KindServers, string(server), fmt.Sprintf("loans %d", 10+n), "") // its process has restarted
		h.run(time.Second)
	}
	h.arrive("lend", func(r *proxy.RequestInfo) { r.Fingerprint = 7 })
	refused := onlyAction[proxy.Refuse](h)
	h.g.Expect(refused.Status).To(Equal(http.StatusServiceUnavailable))
	h.g.Expect(refused.After).To(BeNumerically(">", time.Minute))
	h.arrive("lend", func(r *proxy.RequestInfo) { r.Fingerprint = 8 })
	onlyAction[proxy.Forward](h)
}

// arrivePrompt sends a request whose prompt has a part that all requests have, a given one, and one of its own.
func (h *harness) arrivePrompt(fingerprint id.Fingerprint, part uint64) proxy.Ticket {
	return h.arrive("lend", func(r *proxy.RequestInfo) {
		r.Fingerprint = fingerprint
		r.Prompt = []proxy.PromptPart{{ID: 1, Tokens: 800}, {ID: part, Tokens: 400}, {ID: uint64(fingerprint) + 1000, Tokens: 100}}
	})
}

// restart replaces the process of a server.
func (h *harness) restart(server id.Server) {
	h.restarts++
	h.put(fleet.KindServers, string(server), fmt.Sprintf("loans %d", 10+h.restarts), "")
}

const (
	deadly = 2 // a part of a prompt that crashes servers
	sound  = 3
)

// crashServers sends requests that share only the deadly part of their prompts, and crashes the servers that run them.
func (h *harness) crashServers(crashes int) {
	for n := range crashes {
		ticket := h.arrivePrompt(id.Fingerprint(100+n), deadly)
		server := onlyAction[proxy.Forward](h).Server.ID
		h.end(ticket, proxy.Result{Fail: event.FailBroken})
		h.restart(server)
		h.run(time.Second)
	}
}

// stream is a request whose response has begun.
type stream struct {
	ticket proxy.Ticket
	server id.Server
}

// begin sends a request, and lets its response begin.
func (h *harness) begin(fingerprint id.Fingerprint, part uint64) stream {
	ticket := h.arrivePrompt(fingerprint, part)
	s := stream{ticket, onlyAction[proxy.Forward](h).Server.ID}
	h.step(proxy.Began{Ticket: ticket, Status: http.StatusOK})
	return s
}

// breakOff breaks off a response because the process of its server ends.
func (h *harness) breakOff(s stream) {
	h.end(s.ticket, proxy.Result{Fail: event.FailBroken, Began: true})
	h.restart(s.server)
}

// expectForwarded asserts that a request with the sound part is forwarded, and answers it.
func (h *harness) expectForwarded(fingerprint id.Fingerprint) {
	ticket := h.arrivePrompt(fingerprint, sound)
	h.g.ExpectWithOffset(1, actionsOf[proxy.Forward](h)).To(HaveLen(1))
	h.end(ticket, proxy.Result{Status: http.StatusOK})
}

// expectCrashRefusal asserts that the last step has refused a request for good and forwarded none.
func (h *harness) expectCrashRefusal() {
	h.g.ExpectWithOffset(1, actionsOf[proxy.Forward](h)).To(BeEmpty())
	refused := onlyAction[proxy.Refuse](h)
	h.g.ExpectWithOffset(1, refused.Status).To(Equal(http.StatusServiceUnavailable))
	h.g.ExpectWithOffset(1, refused.After).To(BeNumerically(">", time.Minute))
}

// TestCrashingPromptPart guards against requests that crash one server after another because they differ in everything but
// one part of their prompts, and against refusing requests that share only their other parts.
func TestCrashingPromptPart(t *testing.T) {
	t.Run("refused, and sound requests are not", func(t *testing.T) {
		h := newLoadedHarness(t)
		h.expectForwarded(20)
		h.crashServers(3)
		h.arrivePrompt(21, deadly)
		h.expectCrashRefusal()
		h.expectForwarded(22)
	})
	t.Run("the last part belongs to one request", func(t *testing.T) {
		h := newLoadedHarness(t)
		h.crashServers(3)
		h.arrive("lend", func(r *proxy.RequestInfo) { r.Prompt = []proxy.PromptPart{{ID: deadly, Tokens: 100}} })
		onlyAction[proxy.Forward](h)
	})
	t.Run("an error response clears nothing", func(t *testing.T) {
		h := newLoadedHarness(t)
		h.expectForwarded(20)
		h.crashServers(2)
		ticket := h.arrivePrompt(21, deadly)
		h.step(proxy.Began{Ticket: ticket, Status: http.StatusBadRequest})
		h.end(ticket, proxy.Result{Status: http.StatusBadRequest, Began: true})
		h.crashServers(1)
		h.arrivePrompt(22, deadly)
		h.expectCrashRefusal()
	})
	for name, goesOn := range map[string]time.Duration{"at its begin": 0, "after some events": 400 * time.Millisecond, "later": 900 * time.Millisecond} {
		t.Run("a response breaks off "+name, func(t *testing.T) {
			h := newLoadedHarness(t)
			h.expectForwarded(20)
			for n := range 3 {
				other := h.begin(id.Fingerprint(200+n), sound)
				ticket := h.begin(id.Fingerprint(100+n), deadly)
				h.run(goesOn)
				h.breakOff(ticket)
				h.run(time.Second - goesOn)
				h.end(other.ticket, proxy.Result{Status: http.StatusOK, Began: true})
			}
			h.arrivePrompt(21, deadly)
			h.expectCrashRefusal()
			h.expectForwarded(22)
		})
	}
	t.Run("a response that had gone on", func(t *testing.T) {
		h := newLoadedHarness(t)
		for n := range 4 {
			stream := h.begin(id.Fingerprint(100+n), sound)
			h.run(1100 * time.Millisecond)
			h.breakOff(stream)
		}
		h.expectForwarded(20)
	})
	t.Run("a response that goes on clears its keys", func(t *testing.T) {
		h := newLoadedHarness(t)
		for n := range 8 {
			long := h.begin(id.Fingerprint(300+n), sound)
			h.breakOff(h.begin(id.Fingerprint(100+n), sound))
			h.run(1100 * time.Millisecond)
			h.breakOff(long)
		}
		h.expectForwarded(20)
	})
	t.Run("a refused connection tells of the end of a process", func(t *testing.T) {
		h := newLoadedHarness(t)
		h.crashServers(2)
		waiting := map[id.Server]proxy.Ticket{}
		for range 2 {
			ticket := h.arrivePrompt(20, sound)
			waiting[onlyAction[proxy.Forward](h).Server.ID] = ticket
		}
		ticket := h.arrivePrompt(21, deadly)
		server := onlyAction[proxy.Forward](h).Server.ID
		h.end(ticket, proxy.Result{Fail: event.FailBroken})
		h.end(waiting[server], proxy.Result{Fail: event.FailUnsent, ConnRefused: true})
		h.arrivePrompt(22, deadly)
		h.expectCrashRefusal()
	})
	t.Run("waits for its stages", func(t *testing.T) {
		h := newLoadedHarness(t)
		h.crashServers(2)
		h.arrive("draft", func(r *proxy.RequestInfo) {
			r.Pieces, r.Patience = []int{1}, 10*time.Second
			r.Prompt = []proxy.PromptPart{{ID: deadly, Tokens: 100}, {ID: 9, Tokens: 10}}
		})
		ticket := h.arrivePrompt(30, deadly)
		server := onlyAction[proxy.Forward](h).Server.ID
		h.end(ticket, proxy.Result{Fail: event.FailBroken})
		h.restart(server)
		h.expectCrashRefusal()
	})
	t.Run("tried again once", func(t *testing.T) {
		h := newLoadedHarness(t)
		h.crashServers(3)
		h.run(10 * time.Second)
		ticket := h.arrive("look", func(r *proxy.RequestInfo) {
			r.Prompt = []proxy.PromptPart{{ID: deadly, Tokens: 100}, {ID: 9, Tokens: 10}}
		})
		onlyAction[proxy.Forward](h)
		h.arrivePrompt(31, deadly)
		h.expectCrashRefusal()
		h.end(ticket, proxy.Result{Fail: event.FailBroken})
		h.g.Expect(actionsOf[proxy.Forward](h)).To(BeEmpty(), "a trial is not sent to another server")
		h.g.Expect(onlyAction[proxy.Refuse](h).Status).To(Equal(http.StatusBadGateway))
	})
	t.Run("refused before its second send", func(t *testing.T) {
		h := newLoadedHarness(t)
		h.crashServers(2)
		ticket := h.arrive("look", func(r *proxy.RequestInfo) {
			r.Prompt = []proxy.PromptPart{{ID: deadly, Tokens: 100}, {ID: 9, Tokens: 10}}
		})
		server := onlyAction[proxy.Forward](h).Server.ID
		other := h.arrivePrompt(31, deadly)
		otherServer := onlyAction[proxy.Forward](h).Server.ID
		h.end(other, proxy.Result{Fail: event.FailBroken})
		h.restart(otherServer)
		h.g.Expect(server).NotTo(Equal(otherServer))
		h.end(ticket, proxy.Result{Fail: event.FailBroken})
		h.g.Expect(actionsOf[proxy.Forward](h)).To(BeEmpty())
		h.g.Expect(onlyAction[proxy.Refuse](h).Status).To(Equal(http.StatusBadGateway))
	})
}
