package quarantine

import "time"

type config struct {
	banDuration     time.Duration
	promiseDuration time.Duration
	window          time.Duration
	promiseTimeout  time.Duration
	maxWait         time.Duration
	gossipInterval  time.Duration
	fanout          int
	maxFingerprints int
	maxQueue        int

	noPromises, noGossip bool
}

func defaults() config {
	return config{
		banDuration:     10 * time.Minute,
		promiseDuration: 10 * time.Second, // the longest request deadline of 8 s, and slack for its cancellation
		window:          time.Second,
		promiseTimeout:  300 * time.Millisecond,
		maxWait:         4 * time.Second, // half of a deadline: the attempt itself needs the other half
		gossipInterval:  time.Second,
		fanout:          2,
		maxFingerprints: 4096,
		maxQueue:        64,
	}
}

// Option changes a default of New.
type Option func(*config)

// WithBanDuration sets how long a request is refused after its last crash.
func WithBanDuration(d time.Duration) Option { return func(c *config) { c.banDuration = d } }

// WithPromiseDuration sets how long a lone attempt may last; it must exceed the longest deadline.
func WithPromiseDuration(d time.Duration) Option { return func(c *config) { c.promiseDuration = d } }

// WithMaxFingerprints bounds the fingerprints in memory.
func WithMaxFingerprints(n int) Option { return func(c *config) { c.maxFingerprints = n } }

// The options below remove one mechanism each. They exist to show that the tests notice its absence.

// WithoutPromises lets a holder grant without asking the other nodes.
func WithoutPromises() Option { return func(c *config) { c.noPromises = true } }

// WithoutGossip keeps the counters of a node to itself.
func WithoutGossip() Option { return func(c *config) { c.noGossip = true } }
