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
		gossipInterval: 500 * time.Millisecond, // a stop must be everywhere well within 5 s, with lost messages
		maxDwell:       time.Minute,
		peerTimeout:    3 * time.Second,
		retention:      10 * time.Minute,
		fanout:         32,
	}
}

// Option changes a default of New.
type Option func(*config)

// WithLease sets how long a controller holds a rollout without renewing it.
func WithLease(d time.Duration) Option { return func(c *config) { c.lease = d } }

// The options below remove one mechanism each. They exist to show that the tests notice its absence.

// WithoutLeaseWait takes over a rollout without waiting for the lease of its controller to expire.
func WithoutLeaseWait() Option { return func(c *config) { c.skipLeaseWait = true } }

// WithRevocableStops lets a newer read of the object undo a stop.
func WithRevocableStops() Option { return func(c *config) { c.revocableStops = true } }

// WithUnconditionalOutcome writes an outcome over whatever the object says.
func WithUnconditionalOutcome() Option { return func(c *config) { c.unconditionalOutcome = true } }
