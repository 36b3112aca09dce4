package capacity_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/capacity"
	"bluebellflow/core/catalog"
)

const (
	kilobyte = int64(1000)
	megabyte = 1000 * kilobyte
)

// pieces describes a pool whose calls take 150 ms and 16 ms for each of at most eight pieces.
var pieces = &catalog.Pieces{
	MaxCalls: 1, MaxBatch: 8, CallTime: 150 * time.Millisecond, PieceTime: 16 * time.Millisecond, ResultMemory: 42 * megabyte,
}

// TestPieceDemand guards against costs that depend on how full recent calls were: calls with one piece, because of full memory,
// would then make a pool look as if it had a fraction of its capacity.
func TestPieceDemand(t *testing.T) {
	const tolerance = time.Microsecond
	t.Run("small results share a full call", func(t *testing.T) {
		d := capacity.Piece(pieces, 16*time.Millisecond, 8*kilobyte)
		NewWithT(t).Expect(d.Time).To(BeNumerically("~", 34750*time.Microsecond, tolerance))
	})
	t.Run("large results share a call as far as the memory allows", func(t *testing.T) {
		d := capacity.Piece(pieces, 16*time.Millisecond, 21*megabyte)
		NewWithT(t).Expect(d.Time).To(BeNumerically("~", 91*time.Millisecond, tolerance))
		NewWithT(t).Expect(d.Bytes).To(Equal(21 * megabyte))
	})
	t.Run("a result larger than the memory takes a call", func(t *testing.T) {
		d := capacity.Piece(pieces, 16*time.Millisecond, 100*megabyte)
		NewWithT(t).Expect(d.Time).To(BeNumerically("~", 166*time.Millisecond, tolerance))
	})
}

// TestWait guards against waits that ignore one of the bounds of a pool, or what arrives while a job waits.
func TestWait(t *testing.T) {
	pool := capacity.Pool{Workers: 2, Memory: 80 * megabyte, Hold: 500 * time.Millisecond}
	cases := []struct {
		name  string
		held  int64
		queue capacity.Queue
		want  time.Duration
	}{
		{"idle", 0, capacity.Queue{}, 0},
		{"workers", 0, capacity.Queue{Waiting: capacity.Demand{Time: time.Second}}, 500 * time.Millisecond},
		{
			"more urgent work arrives at half of the capacity", 0,
			capacity.Queue{Waiting: capacity.Demand{Time: time.Second}, Rate: capacity.Demand{Time: time.Second}},
			time.Second,
		},
		{
			"more urgent work arrives at the whole capacity", 0,
			capacity.Queue{Waiting: capacity.Demand{Time: time.Second}, Rate: capacity.Demand{Time: 2 * time.Second}},
			capacity.Never,
		},
		{
			"what arrives passes other stages first", 0,
			capacity.Queue{Waiting: capacity.Demand{Time: time.Second}, Rate: capacity.Demand{Time: 2 * time.Second}, Lead: time.Second},
			500 * time.Millisecond,
		},
		{
			"what arrives reaches the pool before the rest is done", 0,
			capacity.Queue{Waiting: capacity.Demand{Time: 3 * time.Second}, Rate: capacity.Demand{Time: time.Second}, Lead: time.Second},
			2 * time.Second,
		},
		{
			"memory is free", 40 * megabyte,
			capacity.Queue{Waiting: capacity.Demand{Time: 200 * time.Millisecond, Bytes: 40 * megabyte}},
			100 * time.Millisecond,
		},
		{
			"memory is full", 80 * megabyte,
			capacity.Queue{Waiting: capacity.Demand{Time: 200 * time.Millisecond, Bytes: 40 * megabyte}},
			250 * time.Millisecond,
		},
		{"small results do not wait for memory", 80 * megabyte, capacity.Queue{Waiting: capacity.Demand{Time: 200 * time.Millisecond}}, 100 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := pool
			p.Held = c.held
			NewWithT(t).Expect(p.Wait(c.queue)).To(BeNumerically("~", c.want, time.Microsecond))
		})
	}
	t.Run("no worker", func(t *testing.T) {
		empty := capacity.Pool{}
		NewWithT(t).Expect(empty.Wait(capacity.Queue{Waiting: capacity.Demand{Time: 100 * time.Millisecond}})).To(Equal(capacity.Never))
	})
}
