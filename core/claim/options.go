package claim

import "time"

type config struct {
	shards       int
	retention    time.Duration
	maxObject    int
	maxResult    int
	maxHeld      int
	window       uint64
	forwardWait  time.Duration
	patience     time.Duration
	pollEvery    time.Duration
	polls        int
	retryMin     time.Duration
	retryMax     time.Duration
	abandonedFor time.Duration
	cacheFor     time.Duration
	pace         time.Duration

	noReadBack, absentWhenOut, cutResults, reclaimDead, noOwnerCheck, grantTwice bool
}

func defaults() config {
	return config{
		shards:       64,
		retention:    24 * time.Hour,
		maxObject:    900 << 10, // the platform's limit is one megabyte
		maxResult:    4 << 10,
		maxHeld:      4096, // outcomes that wait for an outage to end, about 16 MB at the largest result
		window:       1 << 14,
		forwardWait:  200 * time.Millisecond, // a commit takes milliseconds after the pace; a lost put is reported after a second
		patience:     time.Second,
		pollEvery:    500 * time.Millisecond,
		polls:        3,
		retryMin:     200 * time.Millisecond,
		retryMax:     5 * time.Second,
		abandonedFor: 10 * time.Minute, // far longer than a lost put takes to show its effect
		cacheFor:     time.Minute,
		pace:         150 * time.Millisecond, // 64 shards then make at most 427 updates a second
	}
}

// Option changes a default of New.
type Option func(*config)

// WithShards sets the number of claim objects; all nodes must agree on it.
func WithShards(n int) Option { return func(c *config) { c.shards = n } }

// WithRetention sets how long a claim is kept after its last change. It must exceed the longest time
// after which a caller sends a request again with the same key.
func WithRetention(d time.Duration) Option { return func(c *config) { c.retention = d } }

// WithMaxObjectSize bounds a claim object in bytes; the platform takes at most one megabyte.
func WithMaxObjectSize(n int) Option { return func(c *config) { c.maxObject = n } }

// WithMaxResultSize bounds a recorded result in bytes; a larger one is recorded as omitted.
func WithMaxResultSize(n int) Option { return func(c *config) { c.maxResult = n } }

// WithMaxUnrecorded bounds the outcomes that a node keeps in memory until they are recorded.
func WithMaxUnrecorded(n int) Option { return func(c *config) { c.maxHeld = n } }

// WithKeyWindow sets how many of the newest one-time keys of a process stay usable.
func WithKeyWindow(n int) Option { return func(c *config) { c.window = uint64(n) } }

// WithUpdateInterval sets the least time between two updates of a shard. Claims and outcomes that come meanwhile share
// the next one, so that the platform's rate of writes does not grow with the number of claims.
func WithUpdateInterval(d time.Duration) Option { return func(c *config) { c.pace = d } }

// WithForwardTimeout sets how long the entry node waits for a shard's writer or a key's issuer.
func WithForwardTimeout(d time.Duration) Option { return func(c *config) { c.forwardWait = d } }

// The options below remove one mechanism each. They exist to show that the tests notice its absence.

// WithoutReadBack takes a lost update for one that took effect.
func WithoutReadBack() Option { return func(c *config) { c.noReadBack = true } }

// WithAbsentInOutage answers Absent instead of Outstanding when the platform cannot be reached.
func WithAbsentInOutage() Option { return func(c *config) { c.absentWhenOut = true } }

// WithTruncatedResults records the beginning of a result that is too large as if it were the whole result.
func WithTruncatedResults() Option { return func(c *config) { c.cutResults = true } }

// WithReclaim lets a running claim be claimed again when its claimer is not in the view.
func WithReclaim() Option { return func(c *config) { c.reclaimDead = true } }

// WithoutOwnerCheck lets an outcome change a claim that another request holds.
func WithoutOwnerCheck() Option { return func(c *config) { c.noOwnerCheck = true } }

// WithRepeatedGrant regards a granted one-time key as free when another request asks for it.
func WithRepeatedGrant() Option { return func(c *config) { c.grantTwice = true } }
