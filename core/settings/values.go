package settings

import (
	"strconv"
	"time"

	"bluebellflow/core/id"
)

const (
	// maxDeadline bounds the lifetime of a request, and with it how long permits and claims stay open.
	maxDeadline = time.Minute
	maxWeight   = 1000
	maxLimit    = 100_000
	// maxStages is the longest pipeline for which deadline estimates are kept.
	maxStages = 6
	// maxParents bounds the length of a parent chain, and so the cost of a lookup.
	maxParents = 16
	// maxInFlight bounds the attempts in flight on one backend server.
	maxInFlight = 100_000
	// maxPartBytes is the size limit of a value on the platform.
	maxPartBytes = 1 << 20
)

// StageKind is the kind of work that a stage does.
type StageKind string

// The kinds of stages.
const (
	Encode   StageKind = "encode"
	Retrieve StageKind = "retrieve"
	Rerank   StageKind = "rerank"
	Generate StageKind = "generate"
	Action   StageKind = "action"
)

func (k StageKind) known() bool {
	switch k {
	case Encode, Retrieve, Rerank, Generate, Action:
		return true
	}
	return false
}

// Stage is one step of a pipeline.
type Stage struct {
	Name       string        `json:"name"`
	Kind       StageKind     `json:"kind"`
	Pool       id.Pool       `json:"pool"`
	Idempotent bool          `json:"idempotent"`
	Stream     bool          `json:"stream"`
	Timeout    time.Duration `json:"timeout"` // of one attempt, at most the deadline
}

// Pool is a set of backend servers that do the same work.
type Pool struct {
	Name         id.Pool `json:"name"`
	Cold         int     `json:"cold"`   // attempts in flight that a cold server can handle
	Warm         int     `json:"warm"`   // attempts in flight that a warm server can handle
	FencesOrders bool    `json:"fences"` // its servers reject orders with an outdated fencing token
}

// Effective holds the values that apply to one request, after inheritance.
type Effective struct {
	Deadline time.Duration `json:"deadline"`
	Weight   int           `json:"weight"`  // share in weighted fair queueing
	Limit    int           `json:"limit"`   // open requests of the workspace on one node
	Retries  float64       `json:"retries"` // retry budget as a fraction of successes
	Hedge    time.Duration `json:"hedge"`   // delay before a hedged attempt, 0 for no hedging
	Stages   []Stage       `json:"stages"`
}

// key identifies an inheritable value.
type key uint8

const (
	keyDeadline key = iota
	keyWeight
	keyLimit
	keyRetries
	keyHedge
	keyCount
)

var keyNames = [keyCount]string{"deadline", "weight", "limit", "retries", "hedge"}

// values holds the inheritable values that one level of the tree sets.
type values struct {
	set      uint8 // bitmask of the keys that are set
	weight   int32
	limit    int32
	deadline time.Duration
	hedge    time.Duration
	retries  float64
}

// builtIn holds the defaults for keys that no level of the tree sets.
var builtIn = values{
	set: 1<<keyCount - 1, deadline: 8 * time.Second, weight: 1, limit: 64, retries: 0.1,
}

func (v *values) has(k key) bool { return v.set&(1<<k) != 0 }

func (v *values) format(k key) string {
	switch k {
	case keyDeadline:
		return v.deadline.String()
	case keyWeight:
		return strconv.Itoa(int(v.weight))
	case keyLimit:
		return strconv.Itoa(int(v.limit))
	case keyRetries:
		return strconv.FormatFloat(v.retries, 'g', -1, 64)
	case keyHedge:
		return v.hedge.String()
	}
	return ""
}

// copyTo copies one value to e.
func (v *values) copyTo(k key, e *Effective) {
	switch k {
	case keyDeadline:
		e.Deadline = v.deadline
	case keyWeight:
		e.Weight = int(v.weight)
	case keyLimit:
		e.Limit = int(v.limit)
	case keyRetries:
		e.Retries = v.retries
	case keyHedge:
		e.Hedge = v.hedge
	}
}

// inheritableValue reads a member into dst. It returns false if the key is not that of an inheritable value.
func (r *reader) inheritableValue(path string, m member, dst *values) bool {
	path += "." + m.key
	ok := false
	var k key
	switch m.key {
	case "deadline":
		k = keyDeadline
		dst.deadline, ok = r.duration(path, m.value, time.Millisecond, maxDeadline)
	case "weight":
		k = keyWeight
		var n int
		n, ok = r.positiveInt(path, m.value, maxWeight)
		dst.weight = int32(n)
	case "limit":
		k = keyLimit
		var n int
		n, ok = r.positiveInt(path, m.value, maxLimit)
		dst.limit = int32(n)
	case "retries":
		k = keyRetries
		dst.retries, ok = r.fraction(path, m.value)
	case "hedge":
		k = keyHedge
		dst.hedge, ok = r.duration(path, m.value, 0, maxDeadline)
	default:
		return false
	}
	if ok {
		dst.set |= 1 << k
	}
	return true
}
