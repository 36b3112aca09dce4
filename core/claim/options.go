package claim

import "time"

type config struct {
	shardCount     int
	retention      time.Duration
	maxObjectSize  int
	maxResultSize  int
	maxUnrecorded  int
	keyWindow      uint64
	forwardTimeout time.Duration
	outageTimeout  time.Duration
	pollInterval   time.Duration
	maxPolls       int
	minRetryWait   time.Duration
	maxRetryWait   time.Duration
	abandonedTTL   time.Duration
	cacheTTL       time.Duration
	updateInterval time.Duration

	noReadBack, absentInOutage, truncateResults, reclaimDead, noOwnerCheck, repeatGrants bool
}

func defaults() config {
	return config{
		shardCount:     64,
		retention:      24 * time.Hour,
		maxObjectSize:  900 << 10, // the platform takes at most one megabyte
		maxResultSize:  4 << 10,
		maxUnrecorded:  4096, // about 16 MB of outcomes held during an outage, at the largest result
		keyWindow:      1 << 14,
		forwardTimeout: 200 * time.Millisecond, // a commit takes milliseconds after updateInterval; a lost put is reported after a second
		outageTimeout:  time.Second,
		pollInterval:   500 * time.Millisecond,
		maxPolls:       3,
		minRetryWait:   200 * time.Millisecond,
		maxRetryWait:   5 * time.Second,
		abandonedTTL:   10 * time.Minute, // far longer than a put reported as lost can take to have its effect
		cacheTTL:       time.Minute,
		updateInterval: 150 * time.Millisecond, // limits 64 shards to 427 updates a second
	}
}

// Option changes a default of New.
type Option func(*config)

// WithShards sets the number of claim objects; all nodes must agree on it.
func WithShards(n int) Option { return func(c *config) { c.shardCount = n } }

// WithRetention sets how long a claim is kept after its last change. It must exceed the longest time after which a caller
// resends a request with the same key.
func WithRetention(d time.Duration) Option { return func(c *config) { c.retention = d } }

// WithMaxObjectSize sets the maximum size of a claim object in bytes; the platform takes at most one megabyte.
func WithMaxObjectSize(n int) Option { return func(c *config) { c.maxObjectSize = n } }

// WithMaxResultSize sets the maximum size of a recorded result in bytes; a larger one is recorded as omitted.
func WithMaxResultSize(n int) Option { return func(c *config) { c.maxResultSize = n } }

// WithMaxUnrecorded sets how many outcomes a node keeps in memory until they are recorded.
func WithMaxUnrecorded(n int) Option { return func(c *config) { c.maxUnrecorded = n } }

// WithKeyWindow sets how many of the newest one-time keys of a process remain usable.
func WithKeyWindow(n int) Option { return func(c *config) { c.keyWindow = uint64(n) } }

// WithUpdateInterval sets the minimum time between two updates of a shard. Claims and outcomes that arrive in between
// share the next update, so that the platform's write rate does not grow with the number of claims.
func WithUpdateInterval(d time.Duration) Option { return func(c *config) { c.updateInterval = d } }

// WithForwardTimeout sets how long the entry node waits for the writer of a shard or the issuer of a one-time key.
func WithForwardTimeout(d time.Duration) Option { return func(c *config) { c.forwardTimeout = d } }

// Each of the options below disables one mechanism. They exist so that tests can show that its absence is detected.

// WithoutReadBack assumes that an update took effect when its answer was lost.
func WithoutReadBack() Option { return func(c *config) { c.noReadBack = true } }

// WithAbsentInOutage answers Absent instead of Outstanding while the platform cannot be reached.
func WithAbsentInOutage() Option { return func(c *config) { c.absentInOutage = true } }

// WithTruncatedResults records the beginning of a result that is too large as if it were complete.
func WithTruncatedResults() Option { return func(c *config) { c.truncateResults = true } }

// WithReclaim lets a running claim be claimed again if its claimer is not in the membership view.
func WithReclaim() Option { return func(c *config) { c.reclaimDead = true } }

// WithoutOwnerCheck lets an outcome change a claim that another request holds.
func WithoutOwnerCheck() Option { return func(c *config) { c.noOwnerCheck = true } }

// WithRepeatedGrant grants a one-time key again when another request asks for it.
func WithRepeatedGrant() Option { return func(c *config) { c.repeatGrants = true } }
