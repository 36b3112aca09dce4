package engine

import "time"

// Kind is the kind of work that an engine does.
type Kind string

const (
	// Generate is a model engine that streams tokens.
	Generate Kind = "generate"
	// Encode turns a text into a vector.
	Encode Kind = "encode"
	// Retrieve finds documents.
	Retrieve Kind = "retrieve"
	// Rerank orders documents.
	Rerank Kind = "rerank"
)

// Profile holds the figures of an engine.
type Profile struct {
	Kind     Kind
	Base     time.Duration // a step with an empty batch
	PerSeq   time.Duration // added to a step for each attempt in the batch
	Limit    int           // attempts in a batch
	Queue    int           // attempts that wait; more are answered with 429
	Tokens   int           // tokens of an answer if the input names none
	Part     int           // tokens in one event of a stream
	Prefill  int           // bytes of input, not cached, that an attempt works through in one step
	Cold     int           // attempts in flight that a cold engine bears
	ColdSlow float64       // a cold engine's steps take this many times as long
	Restart  time.Duration // after a crash, time during which connections are reset
	Load     time.Duration // time to load a version

	Cache    int           // prefixes that fit into the cache
	CacheLag time.Duration // age of the newest cache event that callers see
	CacheGap float64       // share of cache events that are lost
	LoadLag  time.Duration // age of the load report that callers see
}

// ProfileOf returns the figures of a kind; docs/lab.md explains where they come from.
func ProfileOf(k Kind) Profile {
	p := Profile{
		Kind: k, Limit: 32, Queue: 32, Tokens: 1, Part: 4, Prefill: 2048, Cold: 2, ColdSlow: 2,
		Restart: 500 * time.Millisecond, Load: time.Second,
		Cache: 512, CacheLag: 300 * time.Millisecond, CacheGap: 0.02, LoadLag: 200 * time.Millisecond,
	}
	switch k {
	case Generate:
		p.Base, p.PerSeq, p.Tokens, p.Prefill = 14*time.Millisecond, 600*time.Microsecond, 32, 256
	case Encode:
		p.Base, p.PerSeq = 6*time.Millisecond, 300*time.Microsecond
	case Retrieve:
		p.Base, p.PerSeq = 10*time.Millisecond, 200*time.Microsecond
	case Rerank:
		p.Base, p.PerSeq = 12*time.Millisecond, 800*time.Microsecond
	}
	return p
}

// CrashMark in the input of an attempt crashes the engine that runs it.
const CrashMark = "lab-crash"

// Bad says how a version is bad; the zero value is a good version.
type Bad struct {
	Mode   Mode    `json:"mode"`
	Share  float64 `json:"share"`  // share of the attempts that fail; 0 means all
	After  int     `json:"after"`  // for late: attempts on an engine before the first failure
	Factor int     `json:"factor"` // for slow: steps per token
	Above  int     `json:"above"`  // for load: fails in batches larger than this
	Match  string  `json:"match"`  // for route: fails if the input contains this text
}

// Mode is a way in which a version is bad.
type Mode string

const (
	// Good is a version without faults.
	Good Mode = ""
	// Fails is a version that fails at once.
	Fails Mode = "fails"
	// FailsLate is a version that fails after some work.
	FailsLate Mode = "late"
	// Slow is a version that takes several steps for a token.
	Slow Mode = "slow"
	// FailsLoaded is a version that fails only in large batches.
	FailsLoaded Mode = "load"
	// FailsRoute is a version that fails only for some inputs.
	FailsRoute Mode = "route"
)

// Faults are the faults that an engine shows; the zero value is a healthy engine.
type Faults struct {
	Down   bool    `json:"down"`   // resets every connection
	Reject bool    `json:"reject"` // answers every attempt with 503
	Slow   float64 `json:"slow"`   // steps take this many times as long; 0 means 1
	Break  float64 `json:"break"`  // share of attempts whose connection breaks after the first token
}

// VersionCounts are the attempts that one version ran.
type VersionCounts struct {
	Attempts  int `json:"attempts"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

// Counts is the work of an engine since it was created.
type Counts struct {
	Attempts        int                      `json:"attempts"`  // accepted into the queue or the batch
	Completed       int                      `json:"completed"` // ended with the end marker
	Failed          int                      `json:"failed"`    // answered with 500
	Rejected        int                      `json:"rejected"`  // answered with 429 or 503
	Cancelled       int                      `json:"cancelled"` // cancelled or abandoned by the caller
	Broken          int                      `json:"broken"`    // connection broken by the engine
	Duplicates      int                      `json:"duplicates"`
	Crashes         int                      `json:"crashes"`  // by overload or by a marked input
	Restarts        int                      `json:"restarts"` // by order of the control endpoint
	Tokens          int                      `json:"tokens"`
	WastedTokens    int                      `json:"wasted_tokens"` // of attempts that did not complete
	WastedSteps     int                      `json:"wasted_steps"`  // prefill and token steps of attempts that did not complete
	BusyMS          float64                  `json:"busy_ms"`       // time in steps with a batch
	CachedBytes     int                      `json:"cached_bytes"`
	PrefillBytes    int                      `json:"prefill_bytes"`
	LargestBatch    int                      `json:"largest_batch"`
	Overload        int                      `json:"overload"`         // most attempts above what a cold engine bears, after a start
	OverloadChilled int                      `json:"overload_chilled"` // the same after it became cold without a restart
	LeavingArrivals int                      `json:"leaving_arrivals"` // attempts that came more than 3 s after leaving began
	LastArrival     int64                    `json:"last_arrival"`     // Unix milliseconds
	StaleOrders     int                      `json:"stale_orders"`     // orders with an old fence, obeyed or not
	Versions        map[string]VersionCounts `json:"versions"`
}
