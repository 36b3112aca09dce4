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
func (h *harness) arrivePrompt(route string, fingerprint id.Fingerprint, part uint64) proxy.Ticket {
	return h.arrive(route, func(r *proxy.RequestInfo) {
		r.Fingerprint = fingerprint
		r.Prompt = []proxy.PromptPart{{ID: 1, Tokens: 800}, {ID: part, Tokens: 400}, {ID: uint64(fingerprint) + 1000, Tokens: 100}}
	})
}

// TestCrashingPromptPart guards against requests that crash one server after another because they differ in everything but
// one part of their prompts, and against refusing requests that share only their other parts.
func TestCrashingPromptPart(t *testing.T) {
	const deadly, sound = 2, 3
	h := newLoadedHarness(t)
	for n := range 3 {
		ticket := h.arrivePrompt("lend", id.Fingerprint(10+n), sound)
		h.end(ticket, proxy.Result{Status: http.StatusOK})
		ticket = h.arrivePrompt("lend", id.Fingerprint(100+n), deadly)
		server := onlyAction[proxy.Forward](h).Server.ID
		h.end(ticket, proxy.Result{Fail: event.FailBroken})
		h.put(fleet.KindServers, string(server), fmt.Sprintf("loans %d", 10+n), "") // its process has restarted
		h.run(time.Second)
	}
	ticket := h.arrivePrompt("lend", 20, sound)
	onlyAction[proxy.Forward](h)
	h.end(ticket, proxy.Result{Status: http.StatusOK})
	h.arrivePrompt("lend", 21, deadly)
	h.g.Expect(actionsOf[proxy.Forward](h)).To(BeEmpty())
	h.g.Expect(onlyAction[proxy.Refuse](h).Status).To(Equal(http.StatusServiceUnavailable))
}
