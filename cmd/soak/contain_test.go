package soak_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/platform/standin"
)

const (
	// poisonTries is how often the caller sends the request that crashes servers.
	poisonTries = 20
	// poisonPause is the time between two of them; a server is back earlier.
	poisonPause = 500 * time.Millisecond
	// maxCrashes is how many servers it may crash: three, and three more until every node knows.
	maxCrashes = 6
)

// checkPoisonRequest sends a request that crashes each server which runs it, again and again at any node: it must be refused before
// long, and other requests of its caller must not.
func (w *harness) checkPoisonRequest() {
	w.logEvent("poison")
	poison := w.newRequest(w.rng, standin.RouteLend)
	poison.Body, poison.Query = standin.PoisonBody, "poison"
	crashes, status := 0, 0
	for i := range poisonTries {
		got := w.caller.Do(context.Background(), w.nodes[i%len(w.nodes)].callerAddr, poison)
		crashes += len(w.Recorder.Runs(got.Request))
		status = got.Status
		time.Sleep(poisonPause)
	}
	w.g.Expect(crashes).To(BeNumerically("<=", maxCrashes), "servers that one request crashed")
	w.g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	for _, n := range w.nodes {
		w.g.Eventually(func() int {
			return w.caller.Do(context.Background(), n.callerAddr, w.newRequest(w.rng, standin.RouteLend)).Status
		},
			eventuallyTimeout, 100*time.Millisecond).Should(Equal(http.StatusOK), n.name)
	}
}
