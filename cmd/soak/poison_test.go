package soak_test

import (
	"context"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/platform/standin"
)

const (
	// poisonTries is how often the request that crashes servers is sent.
	poisonTries = 20
	// poisonPause is the time between two tries. A crashed server restarts in less.
	poisonPause = 500 * time.Millisecond
	// maxCrashes is how many servers one kind of request may crash: three, and three more until every node refuses it.
	maxCrashes = 6
)

// checkPoisonRequest sends a request that crashes every server that runs it, again and again to different nodes, and
// requests that all differ and crash servers by one part of their prompts.
func (h *harness) checkPoisonRequest() {
	h.checkPoison("content", standin.RouteLend, func(r *standin.Request, _ int) {
		r.Body, r.Query = standin.PoisonBody, "poison"
	})
	h.checkPoison("part", standin.RouteAnswers, func(r *standin.Request, i int) {
		r.Prompt = fmt.Sprintf("aa:100,%s:50,%x:10", standin.PoisonPart, 0x1000+i)
		r.Query = fmt.Sprint("part", i)
	})
}

// checkPoison sends requests of a route that crash the servers. They must be refused after at most maxCrashes crashes, while
// other requests of the route must still be served.
func (h *harness) checkPoison(name, route string, poison func(r *standin.Request, i int)) {
	h.logEvent("poison %s", name)
	crashes, status := 0, 0
	for i := range poisonTries {
		r := h.newRequest(h.rng, route)
		poison(&r, i)
		got := h.caller.Do(context.Background(), h.nodes[i%len(h.nodes)].callerAddr, r)
		crashes += len(h.Recorder.Runs(got.Request))
		status = got.Status
		time.Sleep(poisonPause)
	}
	h.g.Expect(crashes).To(BeNumerically("<=", maxCrashes), "servers that crashed by %s", name)
	h.g.Expect(status).To(Equal(http.StatusServiceUnavailable), name)
	for _, n := range h.nodes {
		h.g.Eventually(func() int {
			return h.caller.Do(context.Background(), n.callerAddr, h.newRequest(h.rng, route)).Status
		},
			eventuallyTimeout, 100*time.Millisecond).Should(Equal(http.StatusOK), n.name)
	}
}
