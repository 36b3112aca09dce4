package stagesim

import (
	"time"

	"bluebellflow/core/id"
)

// Retries tells what callers do after a refusal.
type Retries uint8

const (
	// NoRetries means that callers do not return.
	NoRetries Retries = iota
	// RetryAsTold means that callers return once, after the time that they were told.
	RetryAsTold
	// RetryAtOnce means that callers return once, at once.
	RetryAtOnce
	// RetryOften means that callers return several times, sooner than they were told.
	RetryOften
)

const (
	// maxDelayShare is the largest share of the time left to its deadline for which a caller waits before it returns.
	maxDelayShare = 1.0 / 3
	// impatientDelay is the time after which a caller returns that does not wait as told.
	impatientDelay = 100 * time.Millisecond
	// oftenAttempts is the number of attempts of a caller with RetryOften.
	oftenAttempts = 4
)

// attempts returns how often a caller sends a request at most.
func (r Retries) attempts() int {
	switch r {
	case RetryAsTold, RetryAtOnce:
		return 2
	case RetryOften:
		return oftenAttempts
	}
	return 1
}

// refused ends an attempt. The caller sends the request again under another name, or gives up.
func (sim *Simulation) refused(n *node, name id.Request, after time.Duration) {
	q := sim.requests[name]
	delete(sim.requests, name)
	sim.outcomesOf(q).Refusals++
	left := q.route.Deadline - sim.Now.Sub(q.arrived)
	delay := impatientDelay
	if sim.Retries == RetryAsTold {
		delay = min(after, time.Duration(maxDelayShare*float64(left)))
	}
	if q.attempts >= sim.Retries.attempts() || delay >= left {
		sim.outcomesOf(q).Failed++
		return
	}
	sim.after(delay, func() {
		q.submit.Request = sim.nextName(q.route)
		q.submit.Ticket = uint64(sim.lastTicket)
		q.submit.PreAccepted, q.submit.Made = false, nil
		sim.requests[q.submit.Request] = q
		if sim.leader >= 0 {
			n = sim.nodes[sim.leader]
		}
		sim.submit(n, q)
	})
}
