package soak_test

import (
	"encoding/json"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/platform/standin"
)

const (
	// moveSpan is how long a rollout may take.
	moveSpan = 12 * time.Second
	// moveMargin is how much later the machine may let its status appear.
	moveMargin = 2 * time.Second
	// newVersion is the version that rollouts move to; all servers begin with oldVersion.
	newVersion = "v2"
	oldVersion = "v1"
	// exposeShare and exposeSlack bound the requests that a bad version may get.
	exposeShare = 0.1
	exposeSlack = 50
)

// rolls moves a service to a new version while callers go on, and at times a node is killed meanwhile. A good version must
// be completed in time, with nothing in progress at the old servers, which stop at once. A bad one must be taken back
// before it has had more than its share of the requests.
func (w *world) rolls(seed uint64) {
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
	w.Store.Put("rollouts", service, map[string]any{"service": service, "target": newVersion, "durationS": moveSpan.Seconds()})
	w.tell("rollout of %s, bad %v", service, bad)
	if w.rng.IntN(2) == 0 {
		time.Sleep(moveSpan / 3)
		n := w.nodes[w.rng.IntN(len(w.nodes))]
		w.tell("kill %s", n.name)
		w.kill(n)
		w.start(n)
	}
	if bad {
		w.takenBack(service, began, old, fresh)
		return
	}
	w.movesOver(service, began, old)
}

// takenBack waits until a bad version was taken back, and checks what it has had.
func (w *world) takenBack(service string, began time.Time, old, fresh []*standin.Server) {
	w.reaches(service, "rolled_back", began)
	time.Sleep(time.Second)
	last := w.count(fresh, began)
	time.Sleep(time.Second)
	w.g.Expect(w.count(fresh, began)).To(Equal(last), "requests for version %s after it was taken back", newVersion)
	all := last + w.count(old, began)
	w.g.Expect(float64(last)).To(BeNumerically("<=", exposeShare*float64(all)+exposeSlack), "of %d requests", all)
	retire(fresh)
}

// movesOver waits until a good version has everything; the old servers stop at that moment.
func (w *world) movesOver(service string, began time.Time, old []*standin.Server) {
	w.reaches(service, "completed", began)
	open := w.Recorder.CountRuns(func(r standin.Run) bool { return r.Ended.IsZero() && among(old, r.Server) })
	retire(old)
	w.g.Expect(open).To(BeZero(), "requests in progress at servers of the old version, which stop")
}

// reaches waits until the store has a state of a rollout.
func (w *world) reaches(service, state string, began time.Time) {
	w.g.Eventually(func() string { return w.moveState(service) }, time.Until(began.Add(moveSpan+moveMargin)), 5*time.Millisecond).
		Should(Equal(state))
	w.tell("%s", state)
}

// moveState returns the state that the store has of a rollout.
func (w *world) moveState(service string) string {
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

// count returns the runs of requests on some servers since a time.
func (w *world) count(on []*standin.Server, since time.Time) int {
	return w.Recorder.CountRuns(func(r standin.Run) bool { return r.Began.After(since) && among(on, r.Server) })
}

func among(servers []*standin.Server, name string) bool {
	for _, s := range servers {
		if s.ID == name {
			return true
		}
	}
	return false
}

func retire(servers []*standin.Server) {
	for _, s := range servers {
		s.Retire()
	}
}
