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

// newRolloutHarness returns a gate with servers of two versions and an order to move to the new one.
func newRolloutHarness(t *testing.T) *harness {
	w := newLoadedHarness(t)
	w.put(fleet.KindServers, "loans-100", "loans 100", "")
	w.put(rollout.Kind, "loans", "loans", "")
	return w
}

// put delivers an object of the store.
func (w *harness) put(kind, name, spec, status string) {
	w.step(watchcache.Updated{Kind: kind, Revision: w.nextRevision(), Objects: []watchcache.Object{{Name: name, Revision: w.nextRevision(), Spec: []byte(spec), Status: []byte(status)}}})
}

// sendToNew sends requests and returns how many of them go to the new version.
func (w *harness) sendToNew(requests int) (fresh int) {
	for range requests {
		ticket := w.arrive("look", nil)
		if onlyAction[proxy.Forward](w).Server.ID == "loans-100" {
			fresh++
		}
		w.end(ticket, proxy.Result{Status: 200})
	}
	return fresh
}

// TestRollout guards against requests for a version before anything is known of it, after it was taken back, and for the
// old version after its servers may stop.
func TestRollout(t *testing.T) {
	t.Run("ordered", func(t *testing.T) {
		w := newRolloutHarness(t)
		w.g.Expect(w.sendToNew(100)).To(BeZero())
	})
	t.Run("running", func(t *testing.T) {
		w := newRolloutHarness(t)
		w.put(rollout.Kind, "loans", "loans", string(rune(rollout.Running)))
		w.run(3 * time.Second)
		w.g.Expect(w.sendToNew(1000)).To(And(BeNumerically(">", 100), BeNumerically("<", 400)))
	})
	t.Run("tried again at the old version", func(t *testing.T) {
		w := newRolloutHarness(t)
		w.put(rollout.Kind, "loans", "loans", string(rune(rollout.Running)))
		w.run(3 * time.Second)
		tried := 0
		for range 50 {
			ticket := w.arrive("look", nil)
			if first := onlyAction[proxy.Forward](w).Server.ID; first == "loans-100" {
				w.end(ticket, proxy.Result{Fail: event.FailRejected, Status: 503})
				w.g.Expect(onlyAction[proxy.Forward](w).Server.ID).NotTo(Equal(first))
				tried++
			}
			w.end(ticket, proxy.Result{Status: 200})
		}
		w.g.Expect(tried).To(BeNumerically(">", 0))
	})
	for state, want := range map[rollout.State]int{rollout.Completed: 100, rollout.RolledBack: 0} {
		t.Run(state.String(), func(t *testing.T) {
			w := newRolloutHarness(t)
			w.put(rollout.Kind, "loans", "loans", string(rune(state)))
			w.g.Expect(w.sendToNew(100)).To(Equal(want))
		})
	}
	t.Run("only the new version is there", func(t *testing.T) {
		w := newRolloutHarness(t)
		w.step(watchcache.Updated{Kind: fleet.KindServers, Revision: w.nextRevision(), Deleted: []string{"loans-1", "loans-2"}})
		w.run(5 * time.Second)
		w.g.Expect(w.sendToNew(10)).To(Equal(10))
	})
}

// TestRolloutOpen guards against a completed rollout while a request is in progress at the old version, whose servers stop
// without waiting for it.
func TestRolloutOpen(t *testing.T) {
	w := newRolloutHarness(t)
	ticket := w.arrive("draft", func(f *proxy.RequestInfo) { f.Patience = time.Minute })
	old := onlyAction[proxy.Forward](w)
	w.g.Expect(old.Server.ID).To(Equal(id.Server("model-1")))
	w.put(fleet.KindServers, "model-100", "model 100", "")
	w.put(rollout.Kind, "model", "model", string(rune(rollout.Running)))
	completed := func() bool {
		for _, c := range actionsOf[event.PlatformCall](w) {
			if c.Name == rollout.Kind+"/model" && c.Value[0] == byte(rollout.Completed) {
				return true
			}
		}
		return false
	}
	w.run(25 * time.Second)
	w.g.Expect(completed()).To(BeFalse())
	w.end(ticket, proxy.Result{Status: 200})
	w.run(2 * time.Second)
	w.g.Expect(completed()).To(BeTrue())
}
