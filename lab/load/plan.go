package load

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"bluebellflow/core/id"
	"bluebellflow/lab/testbed"
)

const (
	maxArrivals = 200_000          // limits the memory and the sockets of a run
	maxLength   = 10 * time.Minute // limits the duration of a run
)

// Call describes one kind of request.
type Call struct {
	Pipeline     id.Pipeline
	Weight       int           // weight in the mix
	Tokens       int           // tokens that the caller requests
	HistoryBytes int           // size of the history that the callers of a workspace share
	Stream       bool          // requests server-sent events
	Action       bool          // runs at most once, so it has an idempotency key
	Pool         id.Pool       // service in which the action has its effect
	Stage        string        // last stage, whose output is the answer
	Priority     int           // RFC 9218 urgency
	Deadline     time.Duration // relative to the planned time
}

// Burst is a period with additional requests.
type Burst struct {
	At     time.Duration
	Length time.Duration
	Rate   float64 // additional requests per second
}

// Shape is the rate of requests over time.
type Shape struct {
	Length time.Duration
	Rate   float64 // requests per second
	Bursts []Burst
}

// Check returns an error if the shape is invalid or exceeds the limits of a run.
func (s Shape) Check() error {
	if s.Length <= 0 || s.Length > maxLength {
		return fmt.Errorf("length %v is not between 0 and %v", s.Length, maxLength)
	}
	if s.Rate < 0 || math.IsNaN(s.Rate) {
		return fmt.Errorf("rate %v is negative or not a number", s.Rate)
	}
	expected := s.Rate * s.Length.Seconds()
	for _, b := range s.Bursts {
		if b.At < 0 || b.Length <= 0 || !(b.Rate > 0) {
			return fmt.Errorf("invalid burst at %v: length %v, rate %v", b.At, b.Length, b.Rate)
		}
		expected += b.Rate * b.Length.Seconds()
	}
	if expected > maxArrivals {
		return fmt.Errorf("%.0f expected requests exceed the limit of %d", expected, maxArrivals)
	}
	return nil
}

// callSettings holds the parameters of each kind of request; docs/lab.md explains the values.
var callSettings = map[id.Pipeline]Call{
	"reading-list": {Weight: 15, Tokens: 96, HistoryBytes: 4096, Stream: true, Priority: 3},
	"quote":        {Weight: 15, Tokens: 128, HistoryBytes: 8192, Stream: true, Priority: 3},
	"answer":       {Weight: 30, Tokens: 40, HistoryBytes: 1024, Stream: true, Priority: 2},
	"tag":          {Weight: 25, Tokens: 6, HistoryBytes: 512, Priority: 5},
	"loan":         {Weight: 20, HistoryBytes: 64, Priority: 1},
	"renewal":      {Weight: 10, HistoryBytes: 64, Priority: 3},
	"booking":      {Weight: 15, HistoryBytes: 64, Priority: 1},
	"deposit":      {Weight: 10, HistoryBytes: 64, Priority: 1},
	"status":       {Weight: 15, HistoryBytes: 64, Priority: 4},
}

// Mix returns the kinds of request of a deployment, one for each pipeline.
func Mix(d testbed.Description) []Call {
	var mix []Call
	for _, p := range d.Pipelines {
		c := callSettings[p.Name]
		c.Pipeline = p.Name
		c.Weight = max(1, c.Weight)
		c.Action = p.HasAction()
		c.Deadline = time.Duration(p.DeadlineMS) * time.Millisecond
		for _, s := range p.Stages {
			c.Stage = s.Name
			if !s.Idempotent {
				c.Pool = s.Pool
			}
		}
		mix = append(mix, c)
	}
	return mix
}

// Arrival is one planned request.
type Arrival struct {
	Call
	Index     int
	At        time.Duration // relative to the start of the run
	Workspace id.Workspace
	Body      []byte
	Key       string
}

// body is the JSON body of a request. The history precedes the fields that differ, so the requests of a workspace share a
// prefix.
type body struct {
	Kind      id.Pipeline  `json:"kind"`
	Workspace id.Workspace `json:"workspace"`
	History   string       `json:"history"`
	Tokens    int          `json:"tokens,omitempty"`
	Seed      uint64       `json:"seed"`
	Index     int          `json:"index"`
}

// Plan generates the requests of a run; the same seed generates the same requests.
func Plan(seed uint64, shape Shape, mix []Call, workspaces []testbed.Workspace) ([]Arrival, error) {
	if err := shape.Check(); err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	if len(mix) == 0 || len(workspaces) == 0 {
		return nil, errors.New("load: empty mix of requests or no workspaces")
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	times := poisson(rng, 0, shape.Length, shape.Rate)
	for _, b := range shape.Bursts {
		times = append(times, poisson(rng, b.At, b.Length, b.Rate)...)
	}
	slices.Sort(times)
	arrivals := make([]Arrival, 0, len(times))
	for i, at := range times {
		call := mix[weightedIndex(rng, mix, func(c Call) int { return c.Weight })]
		ws := workspaces[weightedIndex(rng, workspaces, func(w testbed.Workspace) int { return w.Share })].Name
		raw, err := json.Marshal(body{
			Kind: call.Pipeline, Workspace: ws, History: sharedHistory(ws, call.HistoryBytes), Tokens: call.Tokens, Seed: seed, Index: i,
		})
		if err != nil {
			return nil, fmt.Errorf("load: %w", err)
		}
		a := Arrival{Call: call, Index: i, At: at, Workspace: ws, Body: raw}
		if call.Action {
			a.Key = fmt.Sprintf("%016x-%016x", rng.Uint64(), rng.Uint64())
		}
		arrivals = append(arrivals, a)
	}
	return arrivals, nil
}

// poisson draws the arrival times of a Poisson process with the given rate per second.
func poisson(rng *rand.Rand, from, length time.Duration, rate float64) []time.Duration {
	var times []time.Duration
	if rate <= 0 {
		return nil
	}
	for t := rng.ExpFloat64() / rate; t < length.Seconds(); t += rng.ExpFloat64() / rate {
		times = append(times, from+time.Duration(t*float64(time.Second)))
	}
	return times
}

// weightedIndex returns the index of an element drawn with a probability proportional to its weight.
func weightedIndex[T any](rng *rand.Rand, list []T, weight func(T) int) int {
	total := 0
	for _, e := range list {
		total += weight(e)
	}
	at := rng.IntN(max(1, total))
	for i, e := range list {
		if at -= weight(e); at < 0 {
			return i
		}
	}
	return len(list) - 1
}

// sharedHistory returns the history text that all requests of a workspace share.
func sharedHistory(ws id.Workspace, size int) string {
	unit := string(ws) + " visit and loan record; "
	return strings.Repeat(unit, size/len(unit)+1)[:size]
}
