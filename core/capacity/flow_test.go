package capacity_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/capacity"
	"bluebellflow/core/id"
)

const pool = id.Pool("stock")

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	note  = capacity.Key{Route: "note"}
	chat  = capacity.Key{Route: "chat"}
)

// jobValue is the value of all jobs.
const jobValue = 100

// arrive counts jobs of a flow at a steady rate for three seconds, and returns the time after the last of them.
func arrive(f *capacity.Flows, key capacity.Key, perSecond int, d capacity.Demand) time.Time {
	now := start
	for range 3 * perSecond {
		now = now.Add(time.Second / time.Duration(perSecond))
		f.Arrive(now, key, jobValue, map[id.Pool]capacity.Demand{pool: d})
	}
	return now
}

// TestAhead guards against jobs that wait behind work with less value for its demand, and against jobs that do not wait for
// work with more.
func TestAhead(t *testing.T) {
	const tolerance = 0.15
	var f capacity.Flows
	small, large := capacity.Demand{Time: 20 * time.Millisecond}, capacity.Demand{Time: 60 * time.Millisecond, Bytes: 3 * megabyte}
	arrive(&f, note, 20, small)
	now := arrive(&f, chat, 10, large)
	f.AddWaiting(note, capacity.OnTime, pool, capacity.Demand{Time: time.Second})
	f.AddWaiting(chat, capacity.OnTime, pool, capacity.Demand{Time: 2 * time.Second})
	f.AddWaiting(note, capacity.Late, pool, capacity.Demand{Time: 4 * time.Second})
	f.AddWaiting(chat, capacity.Late, pool, capacity.Demand{Time: 8 * time.Second})

	t.Run("the first flow waits for itself only", func(t *testing.T) {
		g, q := NewWithT(t), f.Ahead(now, note, capacity.OnTime, pool)
		g.Expect(q.Waiting.Time).To(Equal(time.Second))
		g.Expect(q.Rate.Time).To(BeZero())
	})
	t.Run("the second flow waits for both, and for what arrives of the first", func(t *testing.T) {
		g, q := NewWithT(t), f.Ahead(now, chat, capacity.OnTime, pool)
		g.Expect(q.Waiting.Time).To(Equal(3 * time.Second))
		g.Expect(q.Rate.Time.Seconds()).To(BeNumerically("~", 20*0.02, tolerance*20*0.02))
	})
	t.Run("late work waits for all on-time work", func(t *testing.T) {
		g := NewWithT(t)
		g.Expect(f.Ahead(now, note, capacity.Late, pool).Waiting.Time).To(Equal(7 * time.Second))
		g.Expect(f.Ahead(now, chat, capacity.Late, pool).Waiting.Time).To(Equal(15 * time.Second))
	})
	t.Run("an unknown flow waits for nothing", func(t *testing.T) {
		NewWithT(t).Expect(f.Ahead(now, capacity.Key{Route: "new"}, capacity.OnTime, pool)).To(BeZero())
	})
}

// TestLateRate guards against late work that is accepted on capacity that refused on-time work would not have used, and the
// reverse: only accepted on-time work goes before late work.
func TestLateRate(t *testing.T) {
	g := NewWithT(t)
	var f capacity.Flows
	now := arrive(&f, note, 50, capacity.Demand{Time: 20 * time.Millisecond})
	g.Expect(f.Ahead(now, note, capacity.Late, pool).Rate.Time).To(BeZero(), "nothing was accepted")
	f.AcceptOnTime(now, note)
	g.Expect(f.Ahead(now, note, capacity.Late, pool).Rate.Time).To(BeNumerically("~", 20*time.Millisecond, time.Microsecond))
}

// TestResetWaiting guards against waiting work that is counted twice, and against flows that are kept for ever.
func TestResetWaiting(t *testing.T) {
	g := NewWithT(t)
	var f capacity.Flows
	now := arrive(&f, note, 10, capacity.Demand{Time: 20 * time.Millisecond})
	f.AddWaiting(note, capacity.OnTime, pool, capacity.Demand{Time: time.Second})
	f.ResetWaiting(now)
	g.Expect(f.Ahead(now, note, capacity.OnTime, pool).Waiting).To(BeZero())
	g.Expect(f.Waiting(pool)).To(BeZero())
	now = now.Add(time.Minute)
	f.ResetWaiting(now)
	g.Expect(f.Ahead(now, note, capacity.Late, pool)).To(BeZero(), "the flow is forgotten")
}

// BenchmarkAhead reports the time of one query with 20 flows in four pools.
func BenchmarkAhead(b *testing.B) {
	var f capacity.Flows
	for i := range 20 {
		key := capacity.Key{Route: fmt.Sprint(i)}
		for p := range 4 {
			d := map[id.Pool]capacity.Demand{id.Pool(fmt.Sprint(p)): {Time: 20 * time.Millisecond}}
			f.Arrive(start, key, float64(i), d)
		}
	}
	for b.Loop() {
		f.Ahead(start, capacity.Key{Route: "7"}, capacity.Late, "2")
	}
}

// TestReturningFlow guards against a flow whose averages begin at zero, because it was forgotten while one of its jobs waited.
func TestReturningFlow(t *testing.T) {
	g := NewWithT(t)
	var f capacity.Flows
	d := capacity.Demand{Time: 20 * time.Millisecond}
	now := arrive(&f, note, 10, d).Add(time.Minute)
	f.ResetWaiting(now)
	f.AddWaiting(note, capacity.OnTime, pool, d)
	f.Arrive(now, note, jobValue, map[id.Pool]capacity.Demand{pool: d})
	f.AcceptOnTime(now, note)
	g.Expect(f.Ahead(now, note, capacity.Late, pool).Rate.Time).To(BeNumerically("~", 20*time.Millisecond, time.Microsecond))
}
