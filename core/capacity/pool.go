package capacity

import (
	"math"
	"time"

	"bluebellflow/core/catalog"
)

// Demand is what pieces need from a pool.
type Demand struct {
	Time  time.Duration // of one worker
	Bytes int64         // memory for results
}

// Add returns the sum of two demands.
func (d Demand) Add(other Demand) Demand { return Demand{d.Time + other.Time, d.Bytes + other.Bytes} }

// Scale returns the demand of n times as many pieces.
func (d Demand) Scale(n float64) Demand {
	return Demand{time.Duration(n * float64(d.Time)), int64(n * float64(d.Bytes))}
}

// Piece returns the demand of a piece that takes pieceTime of its call and whose result has the given size in bytes. It is
// charged the larger one of its shares of a full call: of the places in it, or of the memory of its worker.
func Piece(p *catalog.Pieces, pieceTime time.Duration, bytes int64) Demand {
	share := 1 / float64(max(1, p.MaxBatch))
	if p.ResultMemory > 0 {
		share = max(share, min(1, float64(bytes)/float64(p.ResultMemory)))
	}
	return Demand{Time: pieceTime + time.Duration(share*float64(p.CallTime)), Bytes: bytes}
}

// Pool describes what the servers of a pool can do now.
type Pool struct {
	Workers float64       // calls that run at once, at the usual speed
	Memory  int64         // bytes for results
	Held    int64         // bytes in use
	Hold    time.Duration // average time for which memory is taken by a result
}

// Queue is what goes before a piece at a pool.
type Queue struct {
	Waiting Demand
	Rate    Demand        // that arrives per second
	Lead    time.Duration // what arrives reaches the pool only after this time, because other stages come first
}

// Wait returns how long a piece waits for what goes before it. It is Never if the pool cannot keep up with what arrives.
func (p Pool) Wait(q Queue) time.Duration {
	workers := drainTime(q.Waiting.Time.Seconds(), p.Workers, q.Rate.Time.Seconds(), q.Lead)
	excess := p.Held + q.Waiting.Bytes - p.Memory
	if q.Waiting.Bytes <= 0 || excess <= 0 || p.Hold <= 0 {
		return workers
	}
	return max(workers, drainTime(float64(excess), float64(p.Memory)/p.Hold.Seconds(), float64(q.Rate.Bytes), q.Lead))
}

// Never is a wait without an end.
const Never = time.Duration(math.MaxInt64 / 4) // sums of waits do not overflow

// drainTime returns how long an amount takes at a capacity per second, if after a lead time more arrives at a rate per second.
func drainTime(amount, capacity, rate float64, lead time.Duration) time.Duration {
	if left := amount - capacity*lead.Seconds(); left > 0 {
		return min(Never, lead+quotient(left, capacity-rate))
	}
	return quotient(amount, capacity)
}

// quotient returns the time that an amount takes at a rate per second.
func quotient(amount, rate float64) time.Duration {
	switch {
	case amount <= 0:
		return 0
	case rate <= 0 || amount/rate > Never.Seconds():
		return Never
	}
	return time.Duration(amount / rate * float64(time.Second))
}
