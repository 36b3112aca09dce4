package engine

import "time"

// Kind is the kind of work that an engine performs.
type Kind string

const (
	// Generate streams the tokens of a model.
	Generate Kind = "generate"
	// Encode computes the embedding of a text.
	Encode Kind = "encode"
	// Retrieve finds documents.
	Retrieve Kind = "retrieve"
	// Rerank ranks documents by relevance.
	Rerank Kind = "rerank"
)

// Profile holds the performance parameters of an engine.
type Profile struct {
	Kind           Kind
	BaseStep       time.Duration // fixed part of the duration of a step
	PerSeq         time.Duration // added to the step duration for each attempt in the batch
	MaxBatch       int           // maximum number of attempts in a batch
	MaxQueue       int           // maximum number of waiting attempts; more are answered with 429
	DefaultTokens  int           // tokens in an answer if its input does not request a number
	PartTokens     int           // tokens in one event of a stream
	PrefillBytes   int           // uncached input bytes that an attempt processes in one step
	ColdLimit      int           // initial cold limit; a cold engine with more attempts in flight crashes
	ColdSlowFactor float64       // multiplier of a cold engine's step duration
	RestartTime    time.Duration // time after a crash during which connections are reset
	LoadTime       time.Duration // time to load a version

	CacheSize     int           // capacity of the cache in prefixes
	CacheLag      time.Duration // delay before a cache event becomes visible to callers
	CacheLossRate float64       // share of cache events that are lost
	LoadReportLag time.Duration // delay before a load report becomes visible to callers
}

// ProfileOf returns the default profile of a kind; docs/lab.md explains the values.
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

// CrashMarker in the input of an attempt crashes the engine that executes it.
const CrashMarker = "lab-crash"

// Defect is a fault of a version; the zero value means that the version has none.
type Defect struct {
	Mode   DefectMode `json:"mode"`
	Share  float64    `json:"share"`  // share of the attempts that can fail; 0 means all
	After  int        `json:"after"`  // for FailsLate: attempts on an engine before the first failure
	Factor int        `json:"factor"` // for SlowTokens: steps per token, at least 2
	Above  int        `json:"above"`  // for FailsUnderLoad: fails in batches larger than this
	Match  string     `json:"match"`  // for FailsOnMatch: fails if the input contains this text
}

// DefectMode is the kind of a defect.
type DefectMode string

const (
	// NoDefect means that the version works.
	NoDefect DefectMode = ""
	// FailsAlways fails from the first attempt on.
	FailsAlways DefectMode = "fails"
	// FailsLate fails after a number of attempts on an engine.
	FailsLate DefectMode = "late"
	// SlowTokens needs several steps for a token.
	SlowTokens DefectMode = "slow"
	// FailsUnderLoad fails only in large batches.
	FailsUnderLoad DefectMode = "load"
	// FailsOnMatch fails only for inputs that contain a text.
	FailsOnMatch DefectMode = "route"
)

// Faults are the faults injected into an engine; the zero value is a healthy engine.
type Faults struct {
	Down       bool    `json:"down"`   // resets every connection
	Reject     bool    `json:"reject"` // answers every attempt with 503
	SlowFactor float64 `json:"slow"`   // multiplier of the step duration; 0 means 1
	BreakRate  float64 `json:"break"`  // probability, after each token but the last, that the connection breaks
}

// VersionCounts counts the attempts of one version.
type VersionCounts struct {
	Attempts  int `json:"attempts"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

// Counts holds the counters of an engine since it was created.
type Counts struct {
	Attempts           int                      `json:"attempts"`  // accepted into the queue
	Completed          int                      `json:"completed"` // answered completely
	Failed             int                      `json:"failed"`    // answered with 500
	Rejected           int                      `json:"rejected"`  // answered with 400, 429 or 503
	Cancelled          int                      `json:"cancelled"` // cancelled by the caller or timed out
	Broken             int                      `json:"broken"`    // connection broken by the engine
	Duplicates         int                      `json:"duplicates"`
	Crashes            int                      `json:"crashes"`  // caused by overload or by CrashMarker
	Restarts           int                      `json:"restarts"` // requested through the control endpoint
	Tokens             int                      `json:"tokens"`
	WastedTokens       int                      `json:"wasted_tokens"` // generated for attempts that did not complete
	WastedSteps        int                      `json:"wasted_steps"`  // prefill and token steps of attempts that did not complete
	BusyMS             float64                  `json:"busy_ms"`       // total duration of steps
	CachedBytes        int                      `json:"cached_bytes"`
	PrefillBytes       int                      `json:"prefill_bytes"`
	LargestBatch       int                      `json:"largest_batch"`
	Overload           int                      `json:"overload"`         // largest number of attempts above the cold limit, after a start
	OverloadAfterReset int                      `json:"overload_chilled"` // the same, after ResetWarmup
	LeavingArrivals    int                      `json:"leaving_arrivals"` // attempts that arrived more than 3 s after leaving began
	LastArrival        int64                    `json:"last_arrival"`     // Unix milliseconds
	StaleOrders        int                      `json:"stale_orders"`     // orders with a stale fence, applied or not
	Versions           map[string]VersionCounts `json:"versions"`
}
