package admit_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bluebellflow/core/admit"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/simulation"
)

// TestMain fixes the seed, so that every run checks the same histories unless -rapid.seed is set.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20260101")
	m.Run()
}

func newQueue(opts ...admit.Option) *admit.Queue { return admit.New(event.Self{}, opts...) }

func anyTask(admit.Task) bool { return true }

// task returns task n of workspace w with a distant deadline.
func task(n, w int) admit.Task {
	return admit.Task{
		Request: id.Request(fmt.Sprint(n)), Workspace: id.Workspace(fmt.Sprint("w", w)), Pipeline: "p",
		Stages: []string{"a"}, Weight: 1, Priority: 3, Deadline: simulation.Epoch.Add(time.Hour),
	}
}

// block leaves a task waiting, so that further tasks are queued.
func block(q *admit.Queue) {
	first := task(-1, -1)
	first.Priority = 0
	q.Offer(simulation.Epoch, first)
	q.Requeue(simulation.Epoch, first)
}

// shares offers count tasks of each workspace and returns how many of count picks each workspace got.
func shares(q *admit.Queue, weights []int, count int) []int {
	n := 0
	for range count {
		for w, weight := range weights {
			t := task(n, w)
			t.Weight = weight
			q.Offer(simulation.Epoch, t)
			n++
		}
	}
	got := make([]int, len(weights))
	if t, _ := q.Next(simulation.Epoch, anyTask); t.Request != "-1" {
		panic("the blocking task is not first")
	}
	for range count {
		t, ok := q.Next(simulation.Epoch, anyTask)
		if !ok {
			break
		}
		for w := range weights {
			if t.Workspace == id.Workspace(fmt.Sprint("w", w)) {
				got[w]++
			}
		}
		q.Finish(t.Request)
	}
	return got
}

// checkShares returns an error if a workspace is outside the bounds of fair queueing, which hold for any number of
// picks: a workspace is less than one task behind its share, and ahead of it by at most its share of one task of each
// other workspace.
func checkShares(weights []int, count int, opts ...admit.Option) error {
	q := newQueue(append(opts, admit.WithCapacity(10000))...)
	block(q)
	total := 0
	for _, w := range weights {
		total += w
	}
	for w, n := range shares(q, weights, count) {
		share := float64(weights[w]) / float64(total)
		ahead := float64(n) - float64(count)*share
		if ahead > float64(len(weights)-1)*share+1e-9 || ahead <= -1 {
			return fmt.Errorf("workspace %d with weight %d of %d: %d of %d picks", w, weights[w], total, n, count)
		}
	}
	return nil
}

// TestWeightedShares guards against a workspace that gets more or less than its share while all have a backlog.
func TestWeightedShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 9), 2, 6).Draw(t, "weights")
		if err := checkShares(weights, rapid.IntRange(1, 150).Draw(t, "count")); err != nil {
			t.Fatal(err)
		}
	})
}

// TestSharesNeedWeights shows that checkShares detects ignored weights.
func TestSharesNeedWeights(t *testing.T) {
	NewWithT(t).Expect(checkShares([]int{1, 9}, 50)).NotTo(HaveOccurred())
	NewWithT(t).Expect(checkShares([]int{1, 9}, 50, admit.WithoutWeights())).To(HaveOccurred())
}

// model is the oracle of the state machine: it tracks which tasks are queued and running.
type model struct {
	q        *admit.Queue
	now      time.Time
	queued   map[id.Request]admit.Task
	running  map[id.Request]admit.Task
	lastTask int // number of the last task
}

// overdue returns an error if the deadline of a queued task has passed.
func (m *model) overdue() error {
	for r, t := range m.queued {
		if !m.now.Before(t.Deadline) {
			return fmt.Errorf("task %s is queued %s after its deadline", r, m.now.Sub(t.Deadline))
		}
	}
	return nil
}

// advance moves the time forward and collects expired tasks as they are due.
func (m *model) advance(d time.Duration) {
	end := m.now.Add(d)
	for {
		expiry := m.q.NextExpiry()
		if expiry.IsZero() || expiry.After(end) {
			break
		}
		if expiry.After(m.now) {
			m.now = expiry
		}
		for _, t := range m.q.Expired(m.now) {
			delete(m.queued, t.Request)
		}
	}
	m.now = end
}

func (m *model) offer(t admit.Task) admit.Decision {
	v := m.q.Offer(m.now, t)
	switch v.Kind {
	case admit.Admitted:
		m.running[t.Request] = t
	case admit.Queued:
		m.queued[t.Request] = t
	}
	return v
}

func (m *model) check(t *rapid.T) {
	if err := m.overdue(); err != nil {
		t.Fatal(err)
	}
	if m.q.Len() != len(m.queued) || m.q.Running() != len(m.running) || m.q.Len() > 20 {
		t.Fatalf("%d queued and %d running, want %d and %d", m.q.Len(), m.q.Running(), len(m.queued), len(m.running))
	}
	counts := map[id.Workspace]int{}
	for _, r := range m.running {
		if counts[r.Workspace]++; counts[r.Workspace] > r.Limit {
			t.Fatalf("%d requests of %s run, limit %d", counts[r.Workspace], r.Workspace, r.Limit)
		}
	}
}

// TestHistories guards against tasks that are lost, run twice, pass their deadline unreported or exceed a limit.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			q: newQueue(admit.WithCapacity(20)), now: simulation.Epoch,
			queued: map[id.Request]admit.Task{}, running: map[id.Request]admit.Task{},
		}
		slots := rapid.IntRange(1, 10).Draw(t, "slots")
		t.Repeat(map[string]func(*rapid.T){
			"": m.check,
			"offer": func(t *rapid.T) {
				m.lastTask++
				w := rapid.IntRange(0, 3).Draw(t, "workspace")
				k := task(m.lastTask, w)
				k.Limit, k.Weight, k.Priority = 2+w, 1+w, rapid.IntRange(0, 7).Draw(t, "priority")
				k.Deadline = m.now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond)
				v := m.offer(k)
				if v.Kind == admit.Refused && v.RetryAfter <= 0 {
					t.Fatal("refused without RetryAfter")
				}
				if v.Kind == admit.Admitted && len(m.running) > slots {
					delete(m.running, k.Request)
					m.queued[k.Request] = k
					m.q.Requeue(m.now, k)
				}
			},
			"next": func(t *rapid.T) {
				k, ok := m.q.Next(m.now, func(admit.Task) bool { return len(m.running) < slots })
				if _, waits := m.queued[k.Request]; ok && !waits {
					t.Fatalf("Next returned task %s, which is not queued", k.Request)
				}
				if ok {
					delete(m.queued, k.Request)
					m.running[k.Request] = k
				}
			},
			"finish": func(*rapid.T) {
				for n := range m.lastTask + 1 {
					r := id.Request(fmt.Sprint(n))
					if _, ok := m.running[r]; ok {
						m.q.Observe("p", "a", 300*time.Millisecond)
						m.q.Finish(r)
						delete(m.running, r)
						return
					}
				}
			},
			"gone": func(*rapid.T) {
				for n := m.lastTask; n > 0; n-- {
					r := id.Request(fmt.Sprint(n))
					if _, ok := m.queued[r]; ok {
						m.q.Finish(r)
						delete(m.queued, r)
						return
					}
				}
			},
			"time": func(t *rapid.T) { m.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond) },
		})
		for range 100 { // every waiting task can start
			k, ok := m.q.Next(m.now, anyTask)
			if ok {
				delete(m.queued, k.Request)
				m.q.Finish(k.Request)
			}
		}
		for r := range m.running {
			m.q.Finish(r)
		}
		for range 100 {
			if k, ok := m.q.Next(m.now, anyTask); ok {
				delete(m.queued, k.Request)
				m.q.Finish(k.Request)
			}
		}
		if m.q.Len() != 0 || len(m.queued) != 0 {
			t.Fatalf("%d tasks stay queued forever", m.q.Len())
		}
	})
}

// TestExpiryIsNeeded shows that the oracle detects a task that passes its deadline unreported.
func TestExpiryIsNeeded(t *testing.T) {
	for without, opts := range map[bool][]admit.Option{true: {admit.WithoutExpiry()}, false: nil} {
		m := &model{q: newQueue(opts...), now: simulation.Epoch, queued: map[id.Request]admit.Task{}, running: map[id.Request]admit.Task{}}
		block(m.q)
		k := task(1, 1)
		k.Deadline = m.now.Add(time.Second)
		NewWithT(t).Expect(m.offer(k).Kind).To(Equal(admit.Queued))
		m.advance(time.Second)
		NewWithT(t).Expect(m.overdue() != nil).To(Equal(without))
	}
}

// servesLowPriority reports whether a task of low priority starts while more urgent ones keep arriving.
func servesLowPriority(opts ...admit.Option) bool {
	q, now := newQueue(opts...), simulation.Epoch
	block(q)
	low := task(0, 0)
	low.Priority = 7
	q.Offer(now, low)
	for n := range 200 {
		k := task(n+1, 1)
		k.Priority = 0
		q.Offer(now, k)
		now = now.Add(50 * time.Millisecond)
		if got, _ := q.Next(now, anyTask); got.Request == low.Request {
			return true
		}
	}
	return false
}

// TestLowPriorityIsServed guards against starvation of low priorities, and shows that they starve without aging.
func TestLowPriorityIsServed(t *testing.T) {
	g := NewWithT(t)
	g.Expect(servesLowPriority()).To(BeTrue())
	g.Expect(servesLowPriority(admit.WithoutAging())).To(BeFalse())
}

// TestPriorityOrder guards against a less urgent task that starts first, and against pipelines that block each other.
func TestPriorityOrder(t *testing.T) {
	g := NewWithT(t)
	q := newQueue()
	block(q)
	for n, p := range []int{7, 0, 3, 1} {
		k := task(n, n)
		k.Priority = p
		if p == 1 {
			k.Pipeline = "other"
		}
		q.Offer(simulation.Epoch, k)
	}
	var got []int
	for range 3 {
		k, _ := q.Next(simulation.Epoch, func(t admit.Task) bool { return t.Request != "-1" && t.Pipeline == "p" })
		got = append(got, k.Priority)
	}
	g.Expect(got).To(Equal([]int{0, 3, 7}))
}

// TestRefusal guards against refusals with too few observations, and against admissions that the observations rule out.
func TestRefusal(t *testing.T) {
	g := NewWithT(t)
	now := simulation.Epoch
	q := newQueue()
	k := task(1, 1)
	k.Deadline = now.Add(time.Second)
	g.Expect(q.Offer(now, k).Kind).To(Equal(admit.Admitted))
	for range 19 {
		q.Observe("p", "a", 2*time.Second)
	}
	k.Request = "2"
	g.Expect(q.Offer(now, k).Kind).To(Equal(admit.Admitted), "19 samples are too few")
	q.Observe("p", "a", 2*time.Second)
	k.Request = "3"
	v := q.Offer(now, k)
	g.Expect(v.Kind).To(Equal(admit.Refused))
	g.Expect(v.RetryAfter).To(BeNumerically("~", time.Second, 300*time.Millisecond))
	g.Expect(newQueue(admit.WithBaselines("noadmit")).Offer(now, k).Kind).To(Equal(admit.Admitted))

	// Observations older than a minute no longer count.
	q.Step(now.Add(2*time.Minute), event.Tick{})
	g.Expect(q.Estimate("p", []string{"a"})).To(BeZero())
}

// TestQueueWait guards against an estimate of the wait that ignores the measured service rate, and against the
// refusal of a workspace with few requests because another one fills the queue.
func TestQueueWait(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(admit.WithCapacity(100)), simulation.Epoch
	block(q)
	for n := range 100 {
		q.Offer(now, task(n, 0))
	}
	full := q.Offer(now, task(1000, 0))
	g.Expect(full.Kind).To(Equal(admit.Refused))
	for range 50 { // ten requests end per second
		now = now.Add(100 * time.Millisecond)
		k, _ := q.Next(now, anyTask)
		q.Finish(k.Request)
	}
	k := task(2000, 0)
	k.Deadline = now.Add(3 * time.Second)
	v := q.Offer(now, k) // 51 wait: about 5 s
	g.Expect(v.Kind).To(Equal(admit.Refused))
	g.Expect(v.RetryAfter).To(BeNumerically("~", 2*time.Second, 500*time.Millisecond))
	k.Workspace = "light"
	g.Expect(q.Offer(now, k).Kind).To(Equal(admit.Queued))
}

// TestRetryBudget guards against retries that multiply the load of a failing service.
func TestRetryBudget(t *testing.T) {
	g := NewWithT(t)
	q := newQueue()
	allowed := 0
	for range 1000 {
		if q.TakeRetry(simulation.Epoch, "p") {
			allowed++
		}
	}
	g.Expect(allowed).To(Equal(3))
	q.SetRetryRatio("p", 0.5)
	for range 4 {
		q.RecordSuccess("p")
	}
	g.Expect(q.TakeRetry(simulation.Epoch, "p")).To(BeTrue())
	g.Expect(q.TakeRetry(simulation.Epoch, "p")).To(BeTrue())
	g.Expect(q.TakeRetry(simulation.Epoch, "p")).To(BeFalse())
}

// BenchmarkAdmit measures one Offer, Next and Finish with a backlog of 512 tasks of many workspaces.
func BenchmarkAdmit(b *testing.B) {
	for _, workspaces := range []int{10, 1000, 21000} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			q, now := newQueue(), simulation.Epoch
			rng := rand.New(rand.NewPCG(1, 2))
			tasks := make([]admit.Task, 4096)
			for i := range tasks {
				tasks[i] = task(i, rng.IntN(workspaces))
				tasks[i].Pipeline = id.Pipeline(fmt.Sprint("p", i%16))
				tasks[i].Priority = i % 8
			}
			free := tasks[512:]
			offer := func(k admit.Task) {
				if q.Offer(now, k).Kind == admit.Admitted {
					q.Requeue(now, k)
				}
			}
			for _, k := range tasks[:512] {
				offer(k)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(time.Microsecond)
				at := i % len(free)
				offer(free[at])
				k, ok := q.Next(now, anyTask)
				if !ok {
					b.Fatal("empty")
				}
				q.Finish(k.Request)
				free[at] = k
			}
		})
	}
}
