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
	// maxApplyDelay is how long a configuration may take until it is in force everywhere.
	maxApplyDelay = 2 * time.Second
	// maxDrainDelay is how long after it has said that it leaves a server may get work.
	maxDrainDelay = 2 * time.Second
	// prober is the tenant whose key changes with each configuration.
	prober = "prober"
)

// proberKey returns the key that only one version gives to the prober.
func proberKey(version uint64) string { return fmt.Sprintf("key-%d", version) }

// writeNextConfig writes the next configuration.
func (w *harness) writeNextConfig() {
	next := w.Config()
	next.Version++
	next.Tenants = slices.Concat(standin.Example().Tenants, []standin.Tenant{{Name: prober, APIKeys: []string{proberKey(next.Version)}}})
	w.Configure(next)
}

// currentProcess returns the present process of a node.
func (n *node) currentProcess() *exec.Cmd {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd
}

// proberStatus sends a request with the prober's key of a version.
func (w *harness) proberStatus(n *node, rng *rand.Rand, version uint64) int {
	a := w.newRequest(rng, standin.RouteLook)
	a.Tenant, a.Key = prober, proberKey(version)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return w.caller.Do(ctx, n.callerAddr, a).Status
}

// probeVersions asks nodes with the keys of the last versions: a process that has served one version must not serve an older one
// later.
func (w *harness) probeVersions(ctx context.Context, rng *rand.Rand) {
	served := map[*exec.Cmd]uint64{}
	for ctx.Err() == nil {
		n := w.nodes[rng.IntN(len(w.nodes))]
		newest := w.Config().Version
		version := newest - uint64(rng.IntN(int(min(3, newest))))
		process := n.currentProcess()
		if w.proberStatus(n, rng, version) == http.StatusOK && n.currentProcess() == process {
			if version < served[process] {
				w.Recorder.ReportViolation("%s serves version %d after version %d", n.name, version, served[process])
			}
			served[process] = max(served[process], version)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// checkConfigPropagation writes a configuration while nothing is wrong; a little later it is in force on every node.
func (w *harness) checkConfigPropagation() {
	w.writeNextConfig()
	w.logEvent("last configuration")
	time.Sleep(maxApplyDelay)
	version := w.Config().Version
	rng := rand.New(rand.NewPCG(7, 7))
	for _, n := range w.nodes {
		w.g.Expect(w.proberStatus(n, rng, version)).To(Equal(http.StatusOK), "version %d on %s", version, n.name)
		w.g.Expect(w.proberStatus(n, rng, version-1)).To(Equal(http.StatusUnauthorized), "key of version %d on %s", version-1, n.name)
	}
}

// checkServerDrain lets a server say that it leaves: a little later it gets no request.
func (w *harness) checkServerDrain() {
	loans := w.Servers(standin.ServiceLoans)
	leaving := loans[w.rng.IntN(len(loans))]
	leaving.Drain()
	w.logEvent("drain %s", leaving.ID)
	time.Sleep(maxDrainDelay)
	for i := range 40 {
		got := w.caller.Do(context.Background(), w.nodes[i%len(w.nodes)].callerAddr, w.newRequest(w.rng, standin.RouteLook))
		w.g.Expect(got.Status).To(Equal(http.StatusOK), "request %s, %v", got.Request, got.Err)
		for _, ran := range w.Recorder.Runs(got.Request) {
			w.g.Expect(ran.Server).NotTo(Equal(leaving.ID), "request %s", got.Request)
		}
	}
}
