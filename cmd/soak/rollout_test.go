package soak_test

import (
	"encoding/json"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/platform/standin"
)

const (
	// rolloutDuration is how long a rollout may take.
	rolloutDuration = 12 * time.Second
	// rolloutMargin is how much later the machine may let its status appear.
	rolloutMargin = 2 * time.Second
	// newVersion is the version that rollouts move to; all servers begin with oldVersion.
	newVersion = "v2"
	oldVersion = "v1"
	// exposureShare and exposeSlack bound the requests that a bad version may get.
	exposureShare = 0.1
	exposureSlack = 50
)

// checkRollout moves a service to a new version while callers go on, and at times a node is killed meanwhile. A good version must
// be completed in time, with nothing in progress at the old servers, which stop at once. A bad one must be taken back
// before it has had more than its share of the requests.
func (w *harness) checkRollout(seed uint64) {
	service := []string{standin.ServiceLoans, standin.ServiceModels, standin.ServiceTimes}[w.rng.IntN(3)]
	bad := w.rng.IntN(2) == 0
	old := w.Servers(service)
	var fresh []*standin.Server
	for _, zone := range zones {
		s := w.addServer(seed, service, zone, newVersion)
		if bad {
			s.SetFaults(standin.Faults{ErrorRate: 0.6})
		}
		fresh = append(fresh, s)
	}
	began := time.Now()
	w.Store.Put("rollouts", service, map[string]any{"service": service, "target": newVersion, "durationS": rolloutDuration.Seconds()})
	w.logEvent("rollout of %s, bad %v", service, bad)
	if w.rng.IntN(2) == 0 {
		time.Sleep(rolloutDuration / 3)
		n := w.nodes[w.rng.IntN(len(w.nodes))]
		w.logEvent("kill %s", n.name)
		w.kill(n)
		w.start(n)
	}
	if bad {
		w.checkRolledBack(service, began, old, fresh)
		return
	}
	w.checkCompleted(service, began, old)
}

// checkRolledBack waits until a bad version was taken back, and checks what it has had.
func (w *harness) checkRolledBack(service string, began time.Time, old, fresh []*standin.Server) {
	w.waitRolloutState(service, "rolled_back", began)
	time.Sleep(time.Second)
	last := w.countRuns(fresh, began)
	time.Sleep(time.Second)
	w.g.Expect(w.countRuns(fresh, began)).To(Equal(last), "requests for version %s after it was taken back", newVersion)
	all := last + w.countRuns(old, began)
	w.g.Expect(float64(last)).To(BeNumerically("<=", exposureShare*float64(all)+exposureSlack), "of %d requests", all)
	retireAll(fresh)
}

// checkCompleted waits until a good version has everything; the old servers stop at that moment.
func (w *harness) checkCompleted(service string, began time.Time, old []*standin.Server) {
	w.waitRolloutState(service, "completed", began)
	open := w.Recorder.CountRuns(func(r standin.Run) bool { return r.Ended.IsZero() && containsServer(old, r.Server) })
	retireAll(old)
	w.g.Expect(open).To(BeZero(), "requests in progress at servers of the old version, which stop")
}

// waitRolloutState waits until the store has a state of a rollout.
func (w *harness) waitRolloutState(service, state string, began time.Time) {
	w.g.Eventually(func() string { return w.rolloutState(service) }, time.Until(began.Add(rolloutDuration+rolloutMargin)), 5*time.Millisecond).
		Should(Equal(state))
	w.logEvent("%s", state)
}

// rolloutState returns the state that the store has of a rollout.
func (w *harness) rolloutState(service string) string {
	o, _ := w.Store.Object("rollouts", service)
	var status struct {
		State, Target string
	}
	if len(o.Status) == 0 {
		return ""
	}
	w.g.Expect(json.Unmarshal(o.Status, &status)).To(Succeed(), string(o.Status))
	w.g.Expect(status.Target).To(Equal(newVersion))
	return status.State
}

// countRuns returns the runs of requests on some servers since a time.
func (w *harness) countRuns(on []*standin.Server, since time.Time) int {
	return w.Recorder.CountRuns(func(r standin.Run) bool { return r.Began.After(since) && containsServer(on, r.Server) })
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
