package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bluebellflow/core/id"
)

// Class is how a request ended for its caller.
type Class string

const (
	// InTime is a whole answer before the deadline.
	InTime Class = "in time"
	// Late is a whole answer after the deadline, or a final answer that the deadline has passed.
	Late Class = "late"
	// Refused is a final answer that the request was not run.
	Refused Class = "refused"
	// Unknown is a request whose outcome the caller did not learn.
	Unknown Class = "unknown"
	// Failed is a request that ran and failed, or was invalid.
	Failed Class = "failed"
	// Broken is an answer without its end marker, or none.
	Broken Class = "broken off"
)

// Classes lists the classes in the order of tables.
var Classes = []Class{InTime, Late, Refused, Unknown, Failed, Broken}

// Violation is a broken guarantee.
type Violation string

const (
	// DuplicateEffect is an effect that happened more than once.
	DuplicateEffect Violation = "doubled"
	// LostEffect is an action answered as done that had no effect.
	LostEffect Violation = "lost"
	// WrongAnswer is a whole answer that is incomplete, mixed or belongs to another request.
	WrongAnswer Violation = "wrong answer"
	// FalseNotRun is an answer "not run" or "no action taken" for a request that had its effect.
	FalseNotRun Violation = "false not run"
)

// Violations lists the violations in the order of tables.
var Violations = []Violation{DuplicateEffect, LostEffect, WrongAnswer, FalseNotRun}

// Record is what happened to one request.
type Record struct {
	Index      int           `json:"index"`
	Pipeline   id.Pipeline   `json:"pipeline"`
	Workspace  id.Workspace  `json:"workspace"`
	At         time.Duration `json:"at"`      // planned time, in nanoseconds from the begin
	Latency    time.Duration `json:"latency"` // from the planned time to the final answer
	First      time.Duration `json:"first"`   // from the planned time to the first part of a stream, 0 for none
	Class      Class         `json:"class"`
	Sends      int           `json:"sends"`
	Violations []Violation   `json:"violations,omitempty"`
	Detail     string        `json:"detail,omitempty"`

	completed bool // answered as done, with the end marker
}

func (r *Record) addViolation(v Violation, detail string) {
	for _, have := range r.Violations {
		if have == v {
			return
		}
	}
	r.Violations = append(r.Violations, v)
	r.Detail = detail
}

const (
	lowestLatency   = 1                                // microseconds
	highestLatency  = int64(2 * 60 * 1000 * 1000)      // microseconds; longer ones are recorded as this
	latencyDigits   = 3                                // significant digits
	microsPerMillis = float64(time.Millisecond) / 1000 // microseconds are the unit of the histograms
)

// Summary is the result of a run.
type Summary struct {
	Requests   int                             `json:"requests"`
	Sends      int                             `json:"sends"`
	Classes    map[Class]int                   `json:"classes"`
	Violations map[Violation]int               `json:"violations"`
	Attainment float64                         `json:"attainment"` // share of whole answers in time
	Latency    Quantiles                       `json:"latency"`    // of whole answers
	First      Quantiles                       `json:"first"`      // of streams
	Pipelines  map[id.Pipeline]PipelineSummary `json:"pipelines"`

	hist *hdrhistogram.Histogram
}

// PipelineSummary is the part of a summary for one pipeline.
type PipelineSummary struct {
	Requests   int       `json:"requests"`
	InTime     int       `json:"in_time"`
	Attainment float64   `json:"attainment"`
	Latency    Quantiles `json:"latency"`
}

// Quantiles are latencies in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Summarize counts the records and their latencies.
func Summarize(records []Record) Summary {
	s := Summary{
		Requests: len(records), Classes: map[Class]int{}, Violations: map[Violation]int{},
		Pipelines: map[id.Pipeline]PipelineSummary{}, hist: histogram(),
	}
	first := histogram()
	byPipeline := map[id.Pipeline]*hdrhistogram.Histogram{}
	for _, r := range records {
		s.Sends += r.Sends
		s.Classes[r.Class]++
		for _, v := range r.Violations {
			s.Violations[v]++
		}
		p := s.Pipelines[r.Pipeline]
		p.Requests++
		if byPipeline[r.Pipeline] == nil {
			byPipeline[r.Pipeline] = histogram()
		}
		if r.Class == InTime {
			p.InTime++
		}
		if r.Class == InTime || r.Class == Late {
			record(s.hist, r.Latency)
			record(byPipeline[r.Pipeline], r.Latency)
		}
		if r.First > 0 {
			record(first, r.First)
		}
		s.Pipelines[r.Pipeline] = p
	}
	for name, p := range s.Pipelines {
		p.Attainment = share(p.InTime, p.Requests)
		p.Latency = quantiles(byPipeline[name])
		s.Pipelines[name] = p
	}
	s.Attainment = share(s.Classes[InTime], s.Requests)
	s.Latency = quantiles(s.hist)
	s.First = quantiles(first)
	return s
}

// LatencyQuantiles returns the latency in milliseconds at each of the quantiles from 0 to 1.
func (s Summary) LatencyQuantiles(at []float64) []float64 {
	out := make([]float64, len(at))
	for i, q := range at {
		out[i] = float64(s.hist.ValueAtQuantile(q*100)) / microsPerMillis
	}
	return out
}

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), lowestLatency), highestLatency))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / microsPerMillis }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / microsPerMillis}
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
