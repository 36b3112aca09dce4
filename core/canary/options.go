package canary

import "time"

type config struct {
	lease          time.Duration
	tickInterval   time.Duration
	gossipInterval time.Duration
	maxDwell       time.Duration
	peerTimeout    time.Duration
	retention      time.Duration
	fanout         int

	skipLeaseWait, revocableStops, unconditionalOutcome bool
}

func defaults() config {
	return config{
		lease:          6 * time.Second,
		tickInterval:   250 * time.Millisecond,
		gossipInterval: 500 * time.Millisecond, // a stop must reach all nodes well within 5 s, even if messages are lost
		maxDwell:       time.Minute,
		peerTimeout:    3 * time.Second,
		retention:      10 * time.Minute,
		fanout:         32,
	}
}

// Option changes a default of New.
type Option func(*config)

// WithLease sets how long a controller holds its lease on a rollout without renewing it.
func WithLease(d time.Duration) Option { return func(c *config) { c.lease = d } }

// Each option below disables one mechanism, so that tests can show that they detect its absence.

// WithoutLeaseWait lets a node take over a rollout before the lease of its controller has expired.
func WithoutLeaseWait() Option { return func(c *config) { c.skipLeaseWait = true } }

// WithRevocableStops lets a newer version of the object undo a stop.
func WithRevocableStops() Option { return func(c *config) { c.revocableStops = true } }

// WithUnconditionalOutcome lets a controller overwrite the object with its outcome after a conflict or a lost answer.
func WithUnconditionalOutcome() Option { return func(c *config) { c.unconditionalOutcome = true } }
