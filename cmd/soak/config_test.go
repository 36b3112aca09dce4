package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os/exec"
	"slices"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/platform/standin"
)

const (
	// maxApplyDelay limits the time until a new configuration is in force on every node.
	maxApplyDelay = 2 * time.Second
	// maxDrainDelay limits the time in which a server still gets requests after it has announced that it drains.
	maxDrainDelay = 2 * time.Second
	// prober is a tenant whose API key changes with each configuration.
	prober = "prober"
)

// proberKey returns the prober's API key in a version of the configuration. No other version accepts it.
func proberKey(version uint64) string { return fmt.Sprintf("key-%d", version) }

// writeNextConfig writes the next version of the configuration to the store, with changes.
func (h *harness) writeNextConfig(changes ...func(*standin.Config)) {
	next := h.Config()
	next.Version++
	next.Tenants = slices.Concat(standin.Example().Tenants, []standin.Tenant{{Name: prober, APIKeys: []string{proberKey(next.Version)}}})
	for _, change := range changes {
		change(&next)
	}
	h.Configure(next)
}

// currentProcess returns the current process of a node.
func (n *node) currentProcess() *exec.Cmd {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd
}

// proberStatus sends a request with the prober's key of a version and returns the status of the response.
func (h *harness) proberStatus(n *node, rng *rand.Rand, version uint64) int {
	r := h.newRequest(rng, standin.RouteLook)
	r.Tenant, r.Key = prober, proberKey(version)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return h.caller.Do(ctx, n.callerAddr, r).Status
}

// probeVersions sends requests with the keys of recent versions to random nodes until the context ends, and checks that no
// process serves an older version after a newer one.
func (h *harness) probeVersions(ctx context.Context, rng *rand.Rand) {
	served := map[*exec.Cmd]uint64{}
	for ctx.Err() == nil {
		n := h.nodes[rng.IntN(len(h.nodes))]
		newest := h.Config().Version
		version := newest - uint64(rng.IntN(int(min(3, newest))))
		process := n.currentProcess()
		if h.proberStatus(n, rng, version) == http.StatusOK && n.currentProcess() == process {
			if version < served[process] {
				h.Recorder.ReportViolation("%s serves version %d after version %d", n.name, version, served[process])
			}
			served[process] = max(served[process], version)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// checkConfigPropagation writes a configuration while there are no faults, and checks that it is in force on every node
// after maxApplyDelay.
func (h *harness) checkConfigPropagation() {
	h.writeNextConfig()
	h.logEvent("last configuration")
	time.Sleep(maxApplyDelay)
	version := h.Config().Version
	rng := rand.New(rand.NewPCG(7, 7))
	for _, n := range h.nodes {
		h.g.Expect(h.proberStatus(n, rng, version)).To(Equal(http.StatusOK), "version %d on %s", version, n.name)
		h.g.Expect(h.proberStatus(n, rng, version-1)).To(Equal(http.StatusUnauthorized), "key of version %d on %s", version-1, n.name)
	}
}

// checkServerDrain drains a server and checks that it gets no requests after maxDrainDelay.
func (h *harness) checkServerDrain() {
	loans := h.Servers(standin.ServiceLoans)
	draining := loans[h.rng.IntN(len(loans))]
	draining.Drain()
	h.logEvent("drain %s", draining.ID)
	time.Sleep(maxDrainDelay)
	for i := range 40 {
		got := h.caller.Do(context.Background(), h.nodes[i%len(h.nodes)].callerAddr, h.newRequest(h.rng, standin.RouteLook))
		h.g.Expect(got.Status).To(Equal(http.StatusOK), "request %s, %v", got.Request, got.Err)
		for _, run := range h.Recorder.Runs(got.Request) {
			h.g.Expect(run.Server).NotTo(Equal(draining.ID), "request %s", got.Request)
		}
	}
}
