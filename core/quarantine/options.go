package quarantine

import "time"

type config struct {
	ban       time.Duration
	hold      time.Duration
	window    time.Duration
	collect   time.Duration
	waitFor   time.Duration
	gossip    time.Duration
	fanout    int
	maxPrints int
	maxQueue  int

	noPromises, noGossip bool
}

func defaults() config {
	return config{
		ban:       10 * time.Minute,
		hold:      10 * time.Second, // the longest request deadline of 8 s, and slack for its cancellation
		window:    time.Second,
		collect:   300 * time.Millisecond,
		waitFor:   4 * time.Second, // half of a deadline: the attempt itself needs the other half
		gossip:    time.Second,
		fanout:    2,
		maxPrints: 4096,
		maxQueue:  64,
	}
}

// Option changes a default of New.
type Option func(*config)

// WithBanDuration sets how long a request is refused after its last crash.
func WithBanDuration(d time.Duration) Option { return func(c *config) { c.ban = d } }

// WithPromiseDuration sets how long a lone attempt may last; it must exceed the longest deadline.
func WithPromiseDuration(d time.Duration) Option { return func(c *config) { c.hold = d } }

// WithMaxFingerprints bounds the fingerprints in memory.
func WithMaxFingerprints(n int) Option { return func(c *config) { c.maxPrints = n } }

// The options below remove one mechanism each. They exist to show that the tests notice its absence.

// WithoutPromises lets a holder grant without asking the other nodes.
func WithoutPromises() Option { return func(c *config) { c.noPromises = true } }

// WithoutGossip keeps the counters of a node to itself.
func WithoutGossip() Option { return func(c *config) { c.noGossip = true } }
