package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bluebellflow/core/id"
)

// Class is the outcome of a request from the caller's point of view.
type Class string

const (
	// InTime is a complete answer before the deadline.
	InTime Class = "in time"
	// Late is a complete answer after the deadline, or a final answer that the deadline has passed.
	Late Class = "late"
	// Refused is a final answer that the request was not executed.
	Refused Class = "refused"
	// Unknown is a request whose outcome the caller could not determine.
	Unknown Class = "unknown"
	// Failed is a request that failed during execution or was invalid.
	Failed Class = "failed"
	// Broken is a missing answer, or one without its end marker.
	Broken Class = "broken off"
)

// Classes lists the classes in the order used in tables.
var Classes = []Class{InTime, Late, Refused, Unknown, Failed, Broken}

// Violation is a violated guarantee.
type Violation string

const (
	// DuplicateEffect is an effect that happened more than once.
	DuplicateEffect Violation = "doubled"
	// LostEffect is an action that was answered as done but had no effect.
	LostEffect Violation = "lost"
	// WrongAnswer is an answer with an end marker whose text is incomplete, mixed or belongs to another request.
	WrongAnswer Violation = "wrong answer"
	// FalseNotRun is an answer "not run" or "no action taken" to a request that had its effect.
	FalseNotRun Violation = "false not run"
)

// Violations lists the violations in the order used in tables.
var Violations = []Violation{DuplicateEffect, LostEffect, WrongAnswer, FalseNotRun}

// Record is the result of one request.
type Record struct {
	Index      int           `json:"index"`
	Pipeline   id.Pipeline   `json:"pipeline"`
	Workspace  id.Workspace  `json:"workspace"`
	At         time.Duration `json:"at"`      // planned time, in nanoseconds from the start of the run
	Latency    time.Duration `json:"latency"` // from the planned time to the final answer
	First      time.Duration `json:"first"`   // from the planned time to the first part of a stream; 0 if there is none
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
	highestLatency  = int64(2 * 60 * 1000 * 1000)      // microseconds; longer latencies are recorded as this
	latencyDigits   = 3                                // significant digits
	microsPerMillis = float64(time.Millisecond) / 1000 // the histograms count microseconds
)

// Summary holds the aggregated results of a run.
type Summary struct {
	Requests   int                             `json:"requests"`
	Sends      int                             `json:"sends"`
	Classes    map[Class]int                   `json:"classes"`
	Violations map[Violation]int               `json:"violations"`
	Attainment float64                         `json:"attainment"` // share of requests with a complete answer in time
	Latency    Quantiles                       `json:"latency"`    // of complete answers
	First      Quantiles                       `json:"first"`      // of the first parts of streams
	Pipelines  map[id.Pipeline]PipelineSummary `json:"pipelines"`

	hist *hdrhistogram.Histogram
}

// PipelineSummary holds the aggregated results of one pipeline.
type PipelineSummary struct {
	Requests   int       `json:"requests"`
	InTime     int       `json:"in_time"`
	Attainment float64   `json:"attainment"`
	Latency    Quantiles `json:"latency"`
}

// Quantiles holds latency quantiles in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Summarize aggregates the records of a run.
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

// LatencyQuantiles returns the latency in milliseconds at each of the given quantiles, which are between 0 and 1.
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
