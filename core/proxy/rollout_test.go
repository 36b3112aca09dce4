package proxy_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
	"bluebellflow/core/proxy"
	"bluebellflow/core/rollout"
	"bluebellflow/core/selfreport"
	"bluebellflow/core/watchcache"
)

// newRolloutHarness returns a gateway with servers of two versions and a rollout to the new one that has not started.
func newRolloutHarness(t *testing.T) *harness {
	h := newLoadedHarness(t)
	h.put(fleet.KindServers, "loans-100", "loans 100", "")
	h.put(rollout.Kind, "loans", "loans", "")
	return h
}

// put delivers an updated object of the store.
func (h *harness) put(kind, name, spec, status string) {
	h.step(watchcache.Updated{Kind: kind, Revision: h.nextRevision(), Objects: []watchcache.Object{{Name: name, Revision: h.nextRevision(), Spec: []byte(spec), Status: []byte(status)}}})
}

// sendToNew sends requests and returns how many of them go to the new version.
func (h *harness) sendToNew(requests int) (atNew int) {
	for range requests {
		ticket := h.arrive("look", nil)
		if onlyAction[proxy.Forward](h).Server.ID == "loans-100" {
			atNew++
		}
		h.end(ticket, proxy.Result{Status: 200})
	}
	return atNew
}

// TestRollout guards against requests to the new version before the rollout runs or after it was rolled back, and against
// requests to the old version after the rollout has completed.
func TestRollout(t *testing.T) {
	t.Run("ordered", func(t *testing.T) {
		h := newRolloutHarness(t)
		h.g.Expect(h.sendToNew(100)).To(BeZero())
	})
	t.Run("running", func(t *testing.T) {
		h := newRolloutHarness(t)
		h.put(rollout.Kind, "loans", "loans", string(rune(rollout.Running)))
		h.run(3 * time.Second)
		h.g.Expect(h.sendToNew(1000)).To(And(BeNumerically(">", 100), BeNumerically("<", 400)))
	})
	t.Run("retried at the old version", func(t *testing.T) {
		h := newRolloutHarness(t)
		h.put(rollout.Kind, "loans", "loans", string(rune(rollout.Running)))
		h.run(3 * time.Second)
		retried := 0
		for range 50 {
			ticket := h.arrive("look", nil)
			if first := onlyAction[proxy.Forward](h).Server.ID; first == "loans-100" {
				h.end(ticket, proxy.Result{Fail: event.FailRejected, Status: 503})
				h.g.Expect(onlyAction[proxy.Forward](h).Server.ID).NotTo(Equal(first))
				retried++
			}
			h.end(ticket, proxy.Result{Status: 200})
		}
		h.g.Expect(retried).To(BeNumerically(">", 0))
	})
	for state, want := range map[rollout.State]int{rollout.Completed: 100, rollout.RolledBack: 0} {
		t.Run(state.String(), func(t *testing.T) {
			h := newRolloutHarness(t)
			h.put(rollout.Kind, "loans", "loans", string(rune(state)))
			h.g.Expect(h.sendToNew(100)).To(Equal(want))
		})
	}
	t.Run("only servers of the new version", func(t *testing.T) {
		h := newRolloutHarness(t)
		h.step(watchcache.Updated{Kind: fleet.KindServers, Revision: h.nextRevision(), Deleted: []string{"loans-1", "loans-2"}})
		h.run(5 * time.Second)
		h.g.Expect(h.sendToNew(10)).To(Equal(10))
	})
}

// TestRolloutOpen guards against completing a rollout while the old version still runs a request: its servers stop once
// the rollout has completed, without waiting for the request.
func TestRolloutOpen(t *testing.T) {
	h := newRolloutHarness(t)
	ticket := h.arrive("draft", func(r *proxy.RequestInfo) { r.Patience = time.Minute })
	old := onlyAction[proxy.Forward](h)
	h.g.Expect(old.Server.ID).To(Equal(id.Server("model-1")))
	h.put(fleet.KindServers, "model-100", "model 100", "")
	h.put(rollout.Kind, "model", "model", string(rune(rollout.Running)))
	completed := func() bool {
		for _, c := range actionsOf[event.PlatformCall](h) {
			if c.Name == rollout.Kind+"/model" && c.Value[0] == byte(rollout.Completed) {
				return true
			}
		}
		return false
	}
	h.run(25 * time.Second)
	h.g.Expect(completed()).To(BeFalse())
	h.end(ticket, proxy.Result{Status: 200})
	h.run(2 * time.Second)
	h.g.Expect(completed()).To(BeTrue())
}

// sendUnderRollout sends requests for some time and lets the new version answer badShare of them with bad, all others with good.
// It returns the state of the rollout that was written last.
func (h *harness) sendUnderRollout(route string, badShare float64, bad, good proxy.Result) rollout.State {
	const interval = 10 * time.Millisecond
	rng := rand.New(rand.NewPCG(1, 2))
	var state rollout.State
	for end := h.now.Add(25 * time.Second); h.now.Before(end) && state != rollout.RolledBack; {
		ticket := h.arrive(route, nil)
		for sent := actionsOf[proxy.Forward](h); len(sent) > 0; sent = actionsOf[proxy.Forward](h) {
			result := good
			if sent[0].Server.ID[len(sent[0].Server.ID)-3:] == "100" && rng.Float64() < badShare {
				result = bad
			}
			h.end(ticket, result)
		}
		h.run(interval)
		for len(h.writes) > 0 {
			c := h.writes[0]
			h.writes = h.writes[1:]
			state = rollout.State(c.Value[0])
			h.step(event.PlatformResult{Call: c, Code: event.CodeOK})
		}
	}
	return state
}

// TestFailuresOfNewVersion guards against a version that is completed although a portion of its answers are failures, with any
// status, or rejections of requests that it had room for.
func TestFailuresOfNewVersion(t *testing.T) {
	ok := proxy.Result{Status: http.StatusOK}
	free, full := selfreport.Load{Running: 1, Slots: 6}, selfreport.Load{Running: 6, Waiting: 2, Slots: 6}
	held := func(status int) proxy.Result { return proxy.Result{Status: status, Held: true} }
	rejected := func(status int, l selfreport.Load) proxy.Result {
		return proxy.Result{Status: status, Fail: event.FailRejected, Report: selfreport.Report{Load: l, LoadKnown: l.Slots > 0}}
	}
	cases := map[string]struct {
		bad, good proxy.Result
		want      rollout.State
	}{
		"rejected with 503":            {rejected(503, selfreport.Load{}), ok, rollout.RolledBack},
		"rejected with 429":            {rejected(429, selfreport.Load{}), ok, rollout.RolledBack},
		"rejected with 400":            {rejected(400, selfreport.Load{}), ok, rollout.RolledBack},
		"rejected with room":           {rejected(503, free), ok, rollout.RolledBack},
		"rejected by a full server":    {rejected(503, full), ok, rollout.Running},
		"like the old version":         {held(404), held(404), rollout.Running},
		"ran and promises the reverse": {proxy.Result{Status: 503, Fail: event.FailError}, ok, rollout.RolledBack},
		"broken off":                   {proxy.Result{Fail: event.FailBroken}, ok, rollout.RolledBack},
	}
	for _, status := range []int{300, 301, 304, 400, 401, 403, 404, 409, 410, 418, 422, 451, 500, 501, 502, 504, 599} {
		cases[fmt.Sprint("status ", status)] = struct {
			bad, good proxy.Result
			want      rollout.State
		}{held(status), ok, rollout.RolledBack}
	}
	for name, c := range cases {
		for _, route := range []string{"look", "lend"} {
			t.Run(name+", "+route, func(t *testing.T) {
				h := newRolloutHarness(t)
				h.g.Expect(h.sendUnderRollout(route, 0.6, c.bad, c.good)).To(Equal(c.want))
			})
		}
	}
}

// TestFailedStream guards against a failure that counts as a sound stream as well, because it was passed on without being held
// back.
func TestFailedStream(t *testing.T) {
	h := newLoadedHarness(t)
	h.put(fleet.KindServers, "model-100", "model 100", "")
	h.put(rollout.Kind, "model", "model", string(rune(rollout.Running)))
	requests, counted := 0, 0
	for end := h.now.Add(5 * time.Second); h.now.Before(end); {
		ticket := h.arrive("draft", nil)
		h.step(proxy.Began{Ticket: ticket, Status: http.StatusNotFound})
		h.end(ticket, proxy.Result{Status: http.StatusNotFound, Began: true})
		requests++
		h.run(50 * time.Millisecond)
		for _, l := range actionsOf[event.Log](h) {
			if _, counts, ok := strings.Cut(l.Reason, "new="); ok {
				var atNew, atOld int
				_, _ = fmt.Sscanf(counts, "%d old=%d", &atNew, &atOld)
				counted = atNew + atOld
			}
		}
		h.g.Expect(counted).To(BeNumerically("<=", requests), "results of %d requests", requests)
	}
	h.g.Expect(counted).To(BeNumerically(">", 0))
}
