package soak_test

import (
	"encoding/json"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/platform/standin"
)

const (
	// rolloutDuration is the time in which a rollout must complete.
	rolloutDuration = 12 * time.Second
	// rolloutMargin is how much later the final status may appear on a busy machine.
	rolloutMargin = 2 * time.Second
	// newVersion is the target version of rollouts. All servers begin with oldVersion.
	newVersion = "v2"
	oldVersion = "v1"
	// exposureShare and exposureSlack limit the number of requests that a bad version may get.
	exposureShare = 0.1
	exposureSlack = 50
)

// checkRollout rolls a service out to a new version under load, and kills a node in half of the cases. The rollout of a
// good version must complete in time, with no requests in progress on the old servers, which stop at that moment. A bad
// version must be rolled back before it has got more than its limit of requests.
func (h *harness) checkRollout(seed uint64) {
	service := []string{standin.ServiceLoans, standin.ServiceModels, standin.ServiceTimes}[h.rng.IntN(3)]
	bad := h.rng.IntN(2) == 0
	old := h.Servers(service)
	var added []*standin.Server
	for _, zone := range zones {
		s := h.addServer(seed, service, zone, newVersion)
		if bad {
			s.SetFaults(standin.Faults{ErrorRate: 0.6})
		}
		added = append(added, s)
	}
	began := time.Now()
	h.Store.Put("rollouts", service, map[string]any{"service": service, "target": newVersion, "durationS": rolloutDuration.Seconds()})
	h.logEvent("rollout of %s, bad %v", service, bad)
	if h.rng.IntN(2) == 0 {
		time.Sleep(rolloutDuration / 3)
		n := h.nodes[h.rng.IntN(len(h.nodes))]
		h.logEvent("kill %s", n.name)
		h.kill(n)
		h.start(n)
	}
	if bad {
		h.checkRolledBack(service, began, old, added)
		return
	}
	h.checkCompleted(service, began, old)
}

// checkRolledBack waits until a bad version has been rolled back, and checks how many requests it got.
func (h *harness) checkRolledBack(service string, began time.Time, old, added []*standin.Server) {
	h.waitRolloutState(service, "rolled_back", began)
	time.Sleep(time.Second)
	last := h.countRuns(added, began)
	time.Sleep(time.Second)
	h.g.Expect(h.countRuns(added, began)).To(Equal(last), "requests for version %s after it was rolled back", newVersion)
	total := last + h.countRuns(old, began)
	h.g.Expect(float64(last)).To(BeNumerically("<=", exposureShare*float64(total)+exposureSlack), "of %d requests", total)
	retireAll(added)
}

// checkCompleted waits until the rollout of a good version has completed, and stops the old servers at that moment.
func (h *harness) checkCompleted(service string, began time.Time, old []*standin.Server) {
	h.waitRolloutState(service, "completed", began)
	open := h.Recorder.CountRuns(func(r standin.Run) bool { return r.Ended.IsZero() && containsServer(old, r.Server) })
	retireAll(old)
	h.g.Expect(open).To(BeZero(), "requests in progress on servers of the old version when they stop")
}

// waitRolloutState waits until a rollout has the given state in the store.
func (h *harness) waitRolloutState(service, state string, began time.Time) {
	h.g.Eventually(func() string { return h.rolloutState(service) }, time.Until(began.Add(rolloutDuration+rolloutMargin)), 5*time.Millisecond).
		Should(Equal(state))
	h.logEvent("%s", state)
}

// rolloutState returns the state of a rollout in the store, or an empty string if it has none yet.
func (h *harness) rolloutState(service string) string {
	o, _ := h.Store.Object("rollouts", service)
	var status struct {
		State, Target string
	}
	if len(o.Status) == 0 {
		return ""
	}
	h.g.Expect(json.Unmarshal(o.Status, &status)).To(Succeed(), string(o.Status))
	h.g.Expect(status.Target).To(Equal(newVersion))
	return status.State
}

// countRuns returns the number of runs on some servers since a time.
func (h *harness) countRuns(on []*standin.Server, since time.Time) int {
	return h.Recorder.CountRuns(func(r standin.Run) bool { return r.Began.After(since) && containsServer(on, r.Server) })
}

func containsServer(servers []*standin.Server, name string) bool {
	for _, s := range servers {
		if s.ID == name {
			return true
		}
	}
	return false
}

func retireAll(servers []*standin.Server) {
	for _, s := range servers {
		s.Retire()
	}
}
