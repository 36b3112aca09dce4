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
	Kind           Kind
	BaseStep       time.Duration // a step with an empty batch
	PerSeq         time.Duration // added to a step for each attempt in the batch
	MaxBatch       int           // attempts in a batch
	MaxQueue       int           // attempts that wait; more are answered with 429
	DefaultTokens  int           // tokens of an answer if the input names none
	PartTokens     int           // tokens in one event of a stream
	PrefillBytes   int           // bytes of input, not cached, that an attempt works through in one step
	ColdLimit      int           // attempts in flight that a cold engine bears
	ColdSlowFactor float64       // a cold engine's steps take this many times as long
	RestartTime    time.Duration // after a crash, time during which connections are reset
	LoadTime       time.Duration // time to load a version

	CacheSize     int           // prefixes that fit into the cache
	CacheLag      time.Duration // age of the newest cache event that callers see
	CacheLossRate float64       // share of cache events that are lost
	LoadReportLag time.Duration // age of the load report that callers see
}

// ProfileOf returns the figures of a kind; docs/lab.md explains where they come from.
func ProfileOf(k Kind) Profile {
	p := Profile{
		Kind: k, MaxBatch: 32, MaxQueue: 32, DefaultTokens: 1, PartTokens: 4, PrefillBytes: 2048, ColdLimit: 2, ColdSlowFactor: 2,
		RestartTime: 500 * time.Millisecond, LoadTime: time.Second,
		CacheSize: 512, CacheLag: 300 * time.Millisecond, CacheLossRate: 0.02, LoadReportLag: 200 * time.Millisecond,
	}
	switch k {
	case Generate:
		p.BaseStep, p.PerSeq, p.DefaultTokens, p.PrefillBytes = 14*time.Millisecond, 600*time.Microsecond, 32, 256
	case Encode:
		p.BaseStep, p.PerSeq = 6*time.Millisecond, 300*time.Microsecond
	case Retrieve:
		p.BaseStep, p.PerSeq = 10*time.Millisecond, 200*time.Microsecond
	case Rerank:
		p.BaseStep, p.PerSeq = 12*time.Millisecond, 800*time.Microsecond
	}
	return p
}

// CrashMarker in the input of an attempt crashes the engine that runs it.
const CrashMarker = "lab-crash"

// Defect says how a version is bad; the zero value is a good version.
type Defect struct {
	Mode   DefectMode `json:"mode"`
	Share  float64    `json:"share"`  // share of the attempts that fail; 0 means all
	After  int        `json:"after"`  // for late: attempts on an engine before the first failure
	Factor int        `json:"factor"` // for slow: steps per token
	Above  int        `json:"above"`  // for load: fails in batches larger than this
	Match  string     `json:"match"`  // for route: fails if the input contains this text
}

// DefectMode is a way in which a version is bad.
type DefectMode string

const (
	// NoDefect is a version without faults.
	NoDefect DefectMode = ""
	// FailsAlways is a version that fails at once.
	FailsAlways DefectMode = "fails"
	// FailsLate is a version that fails after some work.
	FailsLate DefectMode = "late"
	// SlowTokens is a version that takes several steps for a token.
	SlowTokens DefectMode = "slow"
	// FailsUnderLoad is a version that fails only in large batches.
	FailsUnderLoad DefectMode = "load"
	// FailsOnMatch is a version that fails only for some inputs.
	FailsOnMatch DefectMode = "route"
)

// Faults are the faults that an engine shows; the zero value is a healthy engine.
type Faults struct {
	Down       bool    `json:"down"`   // resets every connection
	Reject     bool    `json:"reject"` // answers every attempt with 503
	SlowFactor float64 `json:"slow"`   // steps take this many times as long; 0 means 1
	BreakRate  float64 `json:"break"`  // share of attempts whose connection breaks after the first token
}

// VersionCounts are the attempts that one version ran.
type VersionCounts struct {
	Attempts  int `json:"attempts"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

// Counts is the work of an engine since it was created.
type Counts struct {
	Attempts           int                      `json:"attempts"`  // accepted into the queue or the batch
	Completed          int                      `json:"completed"` // ended with the end marker
	Failed             int                      `json:"failed"`    // answered with 500
	Rejected           int                      `json:"rejected"`  // answered with 429 or 503
	Cancelled          int                      `json:"cancelled"` // cancelled or abandoned by the caller
	Broken             int                      `json:"broken"`    // connection broken by the engine
	Duplicates         int                      `json:"duplicates"`
	Crashes            int                      `json:"crashes"`  // by overload or by a marked input
	Restarts           int                      `json:"restarts"` // by order of the control endpoint
	Tokens             int                      `json:"tokens"`
	WastedTokens       int                      `json:"wasted_tokens"` // of attempts that did not complete
	WastedSteps        int                      `json:"wasted_steps"`  // prefill and token steps of attempts that did not complete
	BusyMS             float64                  `json:"busy_ms"`       // time in steps with a batch
	CachedBytes        int                      `json:"cached_bytes"`
	PrefillBytes       int                      `json:"prefill_bytes"`
	LargestBatch       int                      `json:"largest_batch"`
	Overload           int                      `json:"overload"`         // most attempts above what a cold engine bears, after a start
	OverloadAfterReset int                      `json:"overload_chilled"` // the same after it became cold without a restart
	LeavingArrivals    int                      `json:"leaving_arrivals"` // attempts that came more than 3 s after leaving began
	LastArrival        int64                    `json:"last_arrival"`     // Unix milliseconds
	StaleOrders        int                      `json:"stale_orders"`     // orders with an old fence, obeyed or not
	Versions           map[string]VersionCounts `json:"versions"`
}
