package soak_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/platform/standin"
)

const (
	// scaleCallers is more than the slots of the servers of a plain service.
	scaleCallers = 24
	// scaleSlowdown makes a plain service take 0.2 s for a request.
	scaleSlowdown = 40
)

// checkScaling lets callers ask for more than the servers of a service can do at the same time, and kills the holder of the
// leases meanwhile. Servers must be ordered and start, within the bounds.
func (h *harness) checkScaling() {
	next := h.Config()
	next.Version++
	for i := range next.Services {
		if next.Services[i].Name == standin.ServiceLoans {
			next.Services[i].Scale = &standin.Scale{Min: 1, Max: 4, BootS: 0.5}
		}
	}
	h.Configure(next)
	for _, s := range h.Servers(standin.ServiceLoans) {
		s.SetFaults(standin.Faults{SlowFactor: scaleSlowdown})
	}
	ctx, stop := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i := range scaleCallers {
		callers.Go(func() {
			rng := rand.New(rand.NewPCG(7, uint64(i)))
			for ctx.Err() == nil {
				h.caller.Do(ctx, h.nodes[rng.IntN(len(h.nodes))].callerAddr, h.newRequest(rng, standin.RouteLook))
			}
		})
	}
	time.Sleep(3 * time.Second) // part of the time for which demand must last
	n := h.holder()
	h.logEvent("kill the holder %s before servers are ordered", n.name)
	h.kill(n)
	h.g.Eventually(func() int { return len(h.Servers(standin.ServiceLoans)) }, 2*eventuallyTimeout, 50*time.Millisecond).Should(BeNumerically(">", len(zones)))
	h.logEvent("ordered %v", h.control.Orders())
	stop()
	callers.Wait()
	h.start(n)
	h.waitReady()
}
