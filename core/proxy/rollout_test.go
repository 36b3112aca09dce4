package proxy_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
	"bluebellflow/core/proxy"
	"bluebellflow/core/rollout"
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
