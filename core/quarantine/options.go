package quarantine

import "time"

type config struct {
	banDuration     time.Duration
	promiseDuration time.Duration
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
		promiseDuration: 10 * time.Second, // the longest request deadline of 8 s, plus slack for its cancellation
		promiseTimeout:  300 * time.Millisecond,
		maxWait:         4 * time.Second, // half of a request deadline; the attempt itself needs the other half
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

// WithPromiseDuration sets how long a promise lasts, and so how long an attempt may run alone. It must exceed the longest
// request deadline.
func WithPromiseDuration(d time.Duration) Option { return func(c *config) { c.promiseDuration = d } }

// WithMaxFingerprints sets the maximum number of fingerprints in memory.
func WithMaxFingerprints(n int) Option { return func(c *config) { c.maxFingerprints = n } }

// Each of the options below disables one mechanism. They exist so that tests can show that its absence is detected.

// WithoutPromises lets a coordinator grant a turn without asking the other nodes for promises.
func WithoutPromises() Option { return func(c *config) { c.noPromises = true } }

// WithoutGossip keeps the counters of a node local.
func WithoutGossip() Option { return func(c *config) { c.noGossip = true } }
