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
	// mostCrashes is how many servers it may crash: three, and three more until every node knows.
	mostCrashes = 6
)

// contains sends a request that crashes each server which runs it, again and again at any node: it must be refused before
// long, and other requests of its caller must not.
func (w *world) contains() {
	w.tell("poison")
	poison := w.ask(w.rng, standin.RouteLend)
	poison.Body, poison.Query = standin.PoisonBody, "poison"
	crashes, status := 0, 0
	for i := range poisonTries {
		got := w.caller.Do(context.Background(), w.nodes[i%len(w.nodes)].callers, poison)
		crashes += len(w.Recorder.Runs(got.Request))
		status = got.Status
		time.Sleep(poisonPause)
	}
	w.g.Expect(crashes).To(BeNumerically("<=", mostCrashes), "servers that one request crashed")
	w.g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	for _, n := range w.nodes {
		w.g.Eventually(func() int {
			return w.caller.Do(context.Background(), n.callers, w.ask(w.rng, standin.RouteLend)).Status
		},
			patience, 100*time.Millisecond).Should(Equal(http.StatusOK), n.name)
	}
}
