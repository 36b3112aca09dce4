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

	noReadBack, absentInOutage, truncateResults, reclaimDead, noOwnerCheck, grantTwice bool
}

func defaults() config {
	return config{
		shardCount:     64,
		retention:      24 * time.Hour,
		maxObjectSize:  900 << 10, // the platform's limit is one megabyte
		maxResultSize:  4 << 10,
		maxUnrecorded:  4096, // outcomes that wait for an outage to end, about 16 MB at the largest result
		keyWindow:      1 << 14,
		forwardTimeout: 200 * time.Millisecond, // a commit takes milliseconds after the pace; a lost put is reported after a second
		outageTimeout:  time.Second,
		pollInterval:   500 * time.Millisecond,
		maxPolls:       3,
		minRetryWait:   200 * time.Millisecond,
		maxRetryWait:   5 * time.Second,
		abandonedTTL:   10 * time.Minute, // far longer than a lost put takes to show its effect
		cacheTTL:       time.Minute,
		updateInterval: 150 * time.Millisecond, // 64 shards then make at most 427 updates a second
	}
}

// Option changes a default of New.
type Option func(*config)

// WithShards sets the number of claim objects; all nodes must agree on it.
func WithShards(n int) Option { return func(c *config) { c.shardCount = n } }

// WithRetention sets how long a claim is kept after its last change. It must exceed the longest time
// after which a caller sends a request again with the same key.
func WithRetention(d time.Duration) Option { return func(c *config) { c.retention = d } }

// WithMaxObjectSize bounds a claim object in bytes; the platform takes at most one megabyte.
func WithMaxObjectSize(n int) Option { return func(c *config) { c.maxObjectSize = n } }

// WithMaxResultSize bounds a recorded result in bytes; a larger one is recorded as omitted.
func WithMaxResultSize(n int) Option { return func(c *config) { c.maxResultSize = n } }

// WithMaxUnrecorded bounds the outcomes that a node keeps in memory until they are recorded.
func WithMaxUnrecorded(n int) Option { return func(c *config) { c.maxUnrecorded = n } }

// WithKeyWindow sets how many of the newest one-time keys of a process stay usable.
func WithKeyWindow(n int) Option { return func(c *config) { c.keyWindow = uint64(n) } }

// WithUpdateInterval sets the least time between two updates of a shard. Claims and outcomes that come meanwhile share
// the next one, so that the platform's rate of writes does not grow with the number of claims.
func WithUpdateInterval(d time.Duration) Option { return func(c *config) { c.updateInterval = d } }

// WithForwardTimeout sets how long the entry node waits for a shard's writer or a key's issuer.
func WithForwardTimeout(d time.Duration) Option { return func(c *config) { c.forwardTimeout = d } }

// The options below remove one mechanism each. They exist to show that the tests notice its absence.

// WithoutReadBack takes a lost update for one that took effect.
func WithoutReadBack() Option { return func(c *config) { c.noReadBack = true } }

// WithAbsentInOutage answers Absent instead of Outstanding when the platform cannot be reached.
func WithAbsentInOutage() Option { return func(c *config) { c.absentInOutage = true } }

// WithTruncatedResults records the beginning of a result that is too large as if it were the whole result.
func WithTruncatedResults() Option { return func(c *config) { c.truncateResults = true } }

// WithReclaim lets a running claim be claimed again when its claimer is not in the view.
func WithReclaim() Option { return func(c *config) { c.reclaimDead = true } }

// WithoutOwnerCheck lets an outcome change a claim that another request holds.
func WithoutOwnerCheck() Option { return func(c *config) { c.noOwnerCheck = true } }

// WithRepeatedGrant regards a granted one-time key as free when another request asks for it.
func WithRepeatedGrant() Option { return func(c *config) { c.grantTwice = true } }
