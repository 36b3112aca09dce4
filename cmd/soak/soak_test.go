package soak_test

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/platform/standin"
)

var (
	firstSeed = flag.Uint64("soak.first", 1, "first seed")
	seedCount = flag.Int("soak.seeds", 1, "number of seeds")
	soakSpan  = flag.Duration("soak.span", 5*time.Second, "time in which faults begin")
)

// seedsFile is the file of the seeds that have failed once.
const seedsFile = "testdata/seeds.txt"

var routes = []string{standin.RouteDrafts, standin.RouteAnswers, standin.RouteLend, standin.RouteLook}

// TestSoak guards against broken promises under faults of processes, links, the store and servers: what must not run
// twice, refusals that are not true, answers of other requests, streams that look complete, results of other requests,
// processes that end by themselves, stops beyond the grace, configurations that go back, work for servers that leave, rollouts
// that are not over in time or that end wrongly, and a deployment that does not recover.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "bluebellflow")
	out, err := exec.Command("go", "build", "-o", program, "bluebellflow/cmd/bluebellflow").CombinedOutput()
	NewWithT(t).Expect(err).NotTo(HaveOccurred(), string(out))
	seeds := readSeeds(t)
	for i := range *seedCount {
		seeds = append(seeds, *firstSeed+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			soak(t, program, seed)
		})
	}
}

// readSeeds returns the seeds that have failed once, one at the beginning of each line.
func readSeeds(t *testing.T) []uint64 {
	t.Helper()
	g := NewWithT(t)
	file, err := os.Open(seedsFile)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = file.Close() }()
	var out []uint64
	for lines := bufio.NewScanner(file); lines.Scan(); {
		first, _, _ := strings.Cut(lines.Text(), " ")
		if first == "" || strings.HasPrefix(first, "#") {
			continue
		}
		seed, err := strconv.ParseUint(first, 10, 64)
		g.Expect(err).NotTo(HaveOccurred())
		out = append(out, seed)
	}
	return out
}

func soak(t *testing.T, program string, seed uint64) {
	w := newHarness(t, program, seed)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("seed %d, logs in %s, what happened:\n%s", seed, w.dir, w.eventLog())
		}
	})
	w.waitReady()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var callers sync.WaitGroup
	for i := range 8 {
		callers.Go(func() { w.generateLoad(ctx, rand.New(rand.NewPCG(seed, uint64(i+2)))) })
	}
	callers.Go(func() { w.probeVersions(ctx, rand.New(rand.NewPCG(seed, 99))) })
	w.injectFaults(drawPlan(w.rng, w, *soakSpan))
	w.checkRecovery()
	w.checkConfigPropagation()
	w.checkRollout(seed)
	stop()
	callers.Wait()
	w.checkPoisonRequest()
	w.checkServerDrain()
	w.checkEvacuation()
	var stops sync.WaitGroup
	for _, n := range w.nodes {
		stops.Go(func() {
			if !w.terminate(n) {
				w.Recorder.ReportViolation("%s does not stop within its grace", n.name)
			}
		})
	}
	stops.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.g.Expect(w.unexpectedExits).To(BeEmpty(), "processes that ended by themselves")
	w.g.Expect(w.Recorder.Violations()).To(BeEmpty())
}

// injectFaults carries out a plan and returns when all faults have ended.
func (w *harness) injectFaults(plan []fault) {
	began := time.Now()
	var running sync.WaitGroup
	for _, f := range plan {
		running.Go(func() {
			time.Sleep(time.Until(began.Add(f.at)))
			w.logEvent("begin %s", f.name)
			f.begin(w)
			time.Sleep(f.span)
			w.logEvent("end %s", f.name)
			f.end(w)
		})
	}
	running.Wait()
}

// newRequest draws a request.
func (w *harness) newRequest(rng *rand.Rand, route string) standin.Request {
	a := standin.Request{
		Route: w.Config().Route(route), Tenant: "tunis", Key: "key-tunis", Body: "a body", OutputTokens: 40 + rng.IntN(400),
		Prompt: fmt.Sprintf("aa:100,%02x:50,cc:10", rng.IntN(16)),
	}
	for range a.Route.Stages {
		a.Pieces = append(a.Pieces, 1+rng.IntN(4))
	}
	return a
}

// generateLoad sends requests to nodes, as a load balancer that knows nothing about them; some callers leave early.
func (w *harness) generateLoad(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		one, cancel := context.WithCancel(ctx)
		if rng.IntN(10) == 0 {
			one, cancel = context.WithTimeout(ctx, time.Duration(rng.IntN(400))*time.Millisecond)
		}
		w.caller.Do(one, w.nodes[rng.IntN(len(w.nodes))].callerAddr, w.newRequest(rng, routes[rng.IntN(len(routes))]))
		cancel()
		time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
	}
}

// checkRecovery waits until every node is ready and answers every route; after that, no request may fail.
func (w *harness) checkRecovery() {
	rng := rand.New(rand.NewPCG(9, 9))
	w.waitReady()
	for _, n := range w.nodes {
		for _, route := range routes {
			w.g.Eventually(func() int { return w.caller.Do(context.Background(), n.callerAddr, w.newRequest(rng, route)).Status },
				eventuallyTimeout, 100*time.Millisecond).Should(Equal(http.StatusOK), "%s of %s", route, n.name)
		}
	}
	w.logEvent("recovered")
	time.Sleep(2 * time.Second)
	for i := range 60 {
		n, route := w.nodes[i%len(w.nodes)], routes[rng.IntN(len(routes))]
		got := w.caller.Do(context.Background(), n.callerAddr, w.newRequest(rng, route))
		w.g.Expect(got.Status).To(Equal(http.StatusOK), "%s of %s, request %s, %v", route, n.name, got.Request, got.Err)
		w.g.Expect(got.Err).NotTo(HaveOccurred(), "%s of %s, request %s", route, n.name, got.Request)
	}
}

// checkEvacuation takes a zone out of service: a second later, no request may reach its servers.
func (w *harness) checkEvacuation() {
	zone := zones[w.rng.IntN(len(zones))]
	w.Store.Put("evacuations", zone, map[string]any{})
	w.logEvent("evacuate %s", zone)
	time.Sleep(time.Second)
	gone := map[string]bool{}
	for _, s := range w.Servers("") {
		gone[s.ID] = s.Zone == zone
	}
	for i := range 40 {
		n, route := w.nodes[i%len(w.nodes)], routes[i%len(routes)]
		got := w.caller.Do(context.Background(), n.callerAddr, w.newRequest(w.rng, route))
		w.g.Expect(got.Status).To(Equal(http.StatusOK), "%s of %s, request %s, %v", route, n.name, got.Request, got.Err)
		for _, ran := range w.Recorder.Runs(got.Request) {
			w.g.Expect(gone[ran.Server]).To(BeFalse(), "request %s runs on %s", got.Request, ran.Server)
		}
	}
}
