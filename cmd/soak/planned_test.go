package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/platform/standin"
)

const (
	// keptCallers is the number of callers of each node that keep their connections.
	keptCallers = 8
	// maxThinkTime bounds the pause between two requests on a connection.
	maxThinkTime = 400 * time.Millisecond
	// shortIdle and longIdle are the limits for idle connections between which configurations change.
	shortIdle, longIdle = 200 * time.Millisecond, 15 * time.Second
	// readSlack is how long after its last byte a request may be unread when its connection is closed.
	readSlack = 200 * time.Millisecond
	// grace is the grace period of the nodes.
	grace = 6 * time.Second
	// takenAfterStop is how long after SIGTERM a node may get requests that it cannot complete within its grace period.
	takenAfterStop = 3 * time.Second
)

// TestPlannedSoak is the part of TestSoak without faults: signals and configurations under callers that keep their connections.
func TestPlannedSoak(t *testing.T) {
	seeds := []uint64{}
	for i := range *seedCount {
		seeds = append(seeds, *firstSeed+uint64(i))
	}
	runSeeds(t, seeds, func(t *testing.T, program string, seed uint64) {
		h := newHarness(t, program, seed)
		h.allowReturns(time.Hour)
		h.waitReady()
		h.checkPlannedWork(seed, *soakSpan)
		h.g.Expect(h.Recorder.Violations()).To(BeEmpty())
		h.g.Expect(h.unexpectedExits).To(BeEmpty(), "processes that exited by themselves")
	})
}

// plannedWork is the stops and configurations that are done under callers that keep their connections.
type plannedWork struct {
	mu       sync.Mutex
	stops    map[string][]time.Time // times of SIGTERM by the address of the node
	attempts []*standin.Attempt     // without a complete answer
	answered int                    // requests with one
	refused  int                    // requests with another status
}

// checkPlannedWork sends signals to nodes and changes the configuration, in series and overlapping, while callers go on to use their
// connections. Each request that a node has read must get an answer.
func (h *harness) checkPlannedWork(seed uint64, span time.Duration) {
	work := &plannedWork{stops: map[string][]time.Time{}}
	pauses := standin.WatchPauses()
	defer pauses.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { h.changeIdleTimeouts(ctx, rand.New(rand.NewPCG(seed, 500))) })
	for i, n := range h.nodes {
		group.Go(func() { h.signalNode(ctx, work, n, rand.New(rand.NewPCG(seed, uint64(600+i)))) })
		for j := range keptCallers {
			group.Go(func() { h.keepConns(ctx, work, n, rand.New(rand.NewPCG(seed, uint64(700+keptCallers*i+j)))) })
		}
	}
	group.Wait()
	h.waitReady()
	h.t.Logf("planned work: %d answered, %d refused, %d connections closed", work.answered, work.refused, len(work.attempts))
	lost := []string{}
	for _, a := range work.attempts {
		if a.Lost(readSlack+pauses.Within(a.LastByte, a.Ended)) && !work.excused(a) {
			lost = append(lost, fmt.Sprintf("%s of %s at %s: %v %s after its last byte, %d runs",
				a.Request, a.Sent.Route.Name, a.Sent.NodeAddr, a.Err, a.Ended.Sub(a.LastByte), len(a.Runs())))
		}
	}
	h.g.Expect(lost).To(BeEmpty(), "requests that were read and left without an answer under planned work")
}

// excused reports whether a node was stopped and the server was still at work near the end of the grace period.
func (w *plannedWork) excused(a *standin.Attempt) bool {
	for _, at := range w.stops[a.Sent.NodeAddr] {
		if a.PassedOn() && !a.LastByte.After(at.Add(takenAfterStop)) && a.Ended.After(at.Add(grace*5/6)) && a.Ended.Before(at.Add(grace+time.Second)) {
			return true
		}
	}
	return false
}

// changeIdleTimeouts writes configurations until the context ends, of which every other one lowers the limit for idle connections.
func (h *harness) changeIdleTimeouts(ctx context.Context, rng *rand.Rand) {
	for i := 0; ctx.Err() == nil; i++ {
		timeout := []time.Duration{shortIdle, longIdle}[i%2]
		h.writeNextConfig(func(c *standin.Config) { c.Limits.IdleTimeoutMs = int(timeout.Milliseconds()) })
		h.logEvent("idle timeout %s", timeout)
		time.Sleep(time.Duration(300+rng.IntN(1200)) * time.Millisecond)
	}
	h.writeNextConfig(func(c *standin.Config) { c.Limits.IdleTimeoutMs = int(longIdle.Milliseconds()) })
}

// signalNode sends signals to a node until the context ends, and starts it again after each stop.
func (h *harness) signalNode(ctx context.Context, work *plannedWork, n *node, rng *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rng.IntN(2500)) * time.Millisecond)
		signals := [][]syscall.Signal{
			{syscall.SIGHUP}, {syscall.SIGTERM}, {syscall.SIGTERM, syscall.SIGTERM}, {syscall.SIGHUP, syscall.SIGTERM}, {syscall.SIGTERM, syscall.SIGHUP},
		}[rng.IntN(5)]
		h.logEvent("%v to %s", signals, n.name)
		stopped := false
		for _, s := range signals {
			if s == syscall.SIGTERM {
				work.recordStop(n)
				stopped = true
			}
			n.signal(s)
			time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
		}
		if !stopped {
			continue
		}
		if !h.terminate(n) {
			h.Recorder.ReportViolation("%s does not stop within its grace period", n.name)
		}
		h.start(n)
		h.g.Eventually(n.isReady, eventuallyTimeout, 50*time.Millisecond).Should(BeTrue(), n.name)
	}
}

func (w *plannedWork) recordStop(n *node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stops[n.callerAddr] = append(w.stops[n.callerAddr], time.Now())
}

// keepConns sends requests to a node, as many as possible on one connection, until the context ends.
func (h *harness) keepConns(ctx context.Context, work *plannedWork, n *node, rng *rand.Rand) {
	for ctx.Err() == nil {
		k, err := h.caller.Dial(n.callerAddr)
		if err != nil {
			time.Sleep(20 * time.Millisecond) // the node is stopped
			continue
		}
		for ctx.Err() == nil && k.Usable() {
			a := k.Begin(h.newRequest(rng, routes[rng.IntN(len(routes))]), rng.Float64())
			time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
			a.Finish()
			if work.record(a); a.Err != nil {
				break
			}
			time.Sleep(time.Duration(rng.Int64N(int64(maxThinkTime))))
		}
		k.Close()
	}
}

func (w *plannedWork) record(a *standin.Attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case a.Err != nil:
		w.attempts = append(w.attempts, a)
	case a.Status == http.StatusOK:
		w.answered++
	default:
		w.refused++
	}
}
