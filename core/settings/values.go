package settings

import (
	"strconv"
	"time"

	"bluebellflow/core/id"
)

const (
	// maxDeadline bounds the life of a request, and with it the time that permits and claims stay open.
	maxDeadline = time.Minute
	maxWeight   = 1000
	maxLimit    = 100_000
	// maxStages is the longest pipeline that deadline estimates are kept for.
	maxStages = 6
	// maxParents bounds the cost of a lookup.
	maxParents = 16
	// maxInFlight bounds the attempts in flight on one backend server.
	maxInFlight = 100_000
	// maxPartBytes is the size limit of a value on the platform.
	maxPartBytes = 1 << 20
)

// StageKind is what a stage does.
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
	Timeout    time.Duration `json:"timeout"` // of one attempt, never above the deadline
}

// Pool is a set of backend servers that do the same work.
type Pool struct {
	Name         id.Pool `json:"name"`
	Cold         int     `json:"cold"`   // attempts in flight that a cold server can handle
	Warm         int     `json:"warm"`   // attempts in flight that a warm server can handle
	FencesOrders bool    `json:"fences"` // its servers reject orders with an old fencing number
}

// Effective are the values that apply to one request.
type Effective struct {
	Deadline time.Duration `json:"deadline"`
	Weight   int           `json:"weight"`  // share under weighted fairness
	Limit    int           `json:"limit"`   // open requests of the workspace on one node
	Retries  float64       `json:"retries"` // retry budget as a fraction of successes
	Hedge    time.Duration `json:"hedge"`   // wait before a hedge, 0 for none
	Stages   []Stage       `json:"stages"`
}

// key is one inheritable value.
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

// values holds the inheritable values that one node of the tree sets.
type values struct {
	set      uint8 // bit for each key
	weight   int32
	limit    int32
	deadline time.Duration
	hedge    time.Duration
	retries  float64
}

// builtIn applies where not even the root sets a value.
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

// copyTo writes one value into the result.
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

// inheritableValue reads a member that is an inheritable value; it returns false if the key is another one.
func (r *reader) inheritableValue(what string, m member, into *values) bool {
	what += "." + m.key
	ok := false
	var k key
	switch m.key {
	case "deadline":
		k = keyDeadline
		into.deadline, ok = r.duration(what, m.value, time.Millisecond, maxDeadline)
	case "weight":
		k = keyWeight
		var n int
		n, ok = r.positiveInt(what, m.value, maxWeight)
		into.weight = int32(n)
	case "limit":
		k = keyLimit
		var n int
		n, ok = r.positiveInt(what, m.value, maxLimit)
		into.limit = int32(n)
	case "retries":
		k = keyRetries
		into.retries, ok = r.fraction(what, m.value)
	case "hedge":
		k = keyHedge
		into.hedge, ok = r.duration(what, m.value, 0, maxDeadline)
	default:
		return false
	}
	if ok {
		into.set |= 1 << k
	}
	return true
}
