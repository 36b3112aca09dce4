package timerqueue_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/timerqueue"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestOrder guards against timers that are returned late or out of order.
func TestOrder(t *testing.T) {
	const timers = 200
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 1))
	var h timerqueue.Heap[int]
	var want []int
	for range timers {
		delay := rng.IntN(1000)
		want = append(want, delay)
		h.Set(epoch.Add(time.Duration(delay)*time.Millisecond), delay)
	}
	slices.Sort(want)
	var got []int
	for now := epoch; h.Len() > 0; now = now.Add(time.Millisecond) {
		for h.Due(now) {
			at, key := h.Peek()
			g.Expect(at).To(Equal(now), "due timers are returned at once")
			g.Expect(h.Pop()).To(Equal(key))
			got = append(got, key)
		}
	}
	g.Expect(got).To(Equal(want))
}

// TestEmpty guards against a time of the next timer where there is none.
func TestEmpty(t *testing.T) {
	g := NewWithT(t)
	var h timerqueue.Heap[string]
	g.Expect(h.Next()).To(BeZero())
	g.Expect(h.Due(epoch)).To(BeFalse())
	h.Set(epoch, "a")
	h.Set(epoch.Add(time.Second), "a")
	g.Expect(h.Len()).To(Equal(2), "timers with the same key do not replace each other")
	h.Pop()
	g.Expect(h.Next()).To(Equal(epoch.Add(time.Second)))
	g.Expect(h.Due(epoch)).To(BeFalse())
}
