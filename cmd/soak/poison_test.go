package soak_test

import (
	"context"
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
	// maxCrashes is how many servers the request may crash: three, and three more until every node refuses it.
	maxCrashes = 6
)

// checkPoisonRequest sends a request that crashes every server that runs it, again and again to different nodes. It must
// be refused after at most maxCrashes crashes, while other requests of the same caller must still be served.
func (h *harness) checkPoisonRequest() {
	h.logEvent("poison")
	poison := h.newRequest(h.rng, standin.RouteLend)
	poison.Body, poison.Query = standin.PoisonBody, "poison"
	crashes, status := 0, 0
	for i := range poisonTries {
		got := h.caller.Do(context.Background(), h.nodes[i%len(h.nodes)].callerAddr, poison)
		crashes += len(h.Recorder.Runs(got.Request))
		status = got.Status
		time.Sleep(poisonPause)
	}
	h.g.Expect(crashes).To(BeNumerically("<=", maxCrashes), "servers that one request crashed")
	h.g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	for _, n := range h.nodes {
		h.g.Eventually(func() int {
			return h.caller.Do(context.Background(), n.callerAddr, h.newRequest(h.rng, standin.RouteLend)).Status
		},
			eventuallyTimeout, 100*time.Millisecond).Should(Equal(http.StatusOK), n.name)
	}
}
