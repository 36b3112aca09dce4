package experiment

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"bluebellflow/core/id"
	"bluebellflow/lab/load"
)

// Record is the outcome of an experiment.
type Record struct {
	Experiment Experiment `json:"experiment"`
	Runs       []Result   `json:"runs"`
}

// Write writes the record as JSON.
func (r Record) Write(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	if err := encoder.Encode(r); err != nil {
		return fmt.Errorf("record: %w", err)
	}
	return nil
}

// ReadRecord reads a record that Write wrote.
func ReadRecord(src io.Reader) (Record, error) {
	var r Record
	if err := json.NewDecoder(src).Decode(&r); err != nil {
		return r, fmt.Errorf("record: %w", err)
	}
	return r, nil
}

// policies returns the policies that have runs, in the order of the experiment.
func (r Record) policies() []string {
	var list []string
	for _, run := range r.Runs {
		if !slices.Contains(list, run.Policy) {
			list = append(list, run.Policy)
		}
	}
	return list
}

func (r Record) of(policy string) []Result {
	var list []Result
	for _, run := range r.Runs {
		if run.Policy == policy {
			list = append(list, run)
		}
	}
	return list
}

// measure is one line of the table.
type measure struct {
	name   string
	digits int
	value  func(Result) float64
}

// measures are the lines of the table for the pools and versions of a record.
func (r Record) measures() []measure {
	list := []measure{
		{"requests", 0, func(r Result) float64 { return float64(r.Summary.Requests) }},
		{"attainment %", 2, func(r Result) float64 { return 100 * r.Summary.Attainment }},
		{"latency p50 ms", 0, func(r Result) float64 { return r.Summary.Latency.P50 }},
		{"latency p95 ms", 0, func(r Result) float64 { return r.Summary.Latency.P95 }},
		{"latency p99 ms", 0, func(r Result) float64 { return r.Summary.Latency.P99 }},
		{"first part p95 ms", 0, func(r Result) float64 { return r.Summary.First.P95 }},
		{"sends", 0, func(r Result) float64 { return float64(r.Summary.Sends) }},
	}
	for _, c := range load.Classes {
		list = append(list, measure{string(c), 1, func(r Result) float64 { return float64(r.Summary.Classes[c]) }})
	}
	for _, v := range load.Violations {
		list = append(list, measure{"violation: " + string(v), 1, func(r Result) float64 {
			return float64(r.Summary.Violations[v])
		}})
	}
	for _, p := range r.pools() {
		list = append(list, r.poolMeasures(p)...)
	}
	for _, p := range r.pipelines() {
		list = append(list, measure{string(p) + ": attainment %", 2, func(r Result) float64 {
			return 100 * r.Summary.Pipelines[p].Attainment
		}}, measure{string(p) + ": latency p95 ms", 0, func(r Result) float64 { return r.Summary.Pipelines[p].Latency.P95 }})
	}
	list = append(list, r.changes()...)
	list = append(list, r.control()...)
	return append(list,
		measure{"drained domain, attempts after 3 s", 1, func(r Result) float64 { return float64(r.AfterDrain) }},
		measure{"platform puts", 0, func(r Result) float64 { return float64(r.Platform.Put) }},
		measure{"platform reads", 0, func(r Result) float64 {
			return float64(r.Platform.Get + r.Platform.List + r.Platform.Watch + r.Platform.VMs)
		}},
		measure{"platform limited", 0, func(r Result) float64 { return float64(r.Platform.Limited) }},
	)
}

func (r Record) poolMeasures(p id.Pool) []measure {
	name := string(p) + ": "
	list := []measure{
		{name + "busy s", 1, func(r Result) float64 { return r.Cost[p].BusyMS / 1000 }},
		{name + "attempts", 0, func(r Result) float64 { return float64(r.Cost[p].Attempts) }},
		{name + "wasted attempts", 1, func(r Result) float64 { return float64(r.Cost[p].Wasted) }},
		{name + "rejected", 1, func(r Result) float64 { return float64(r.Cost[p].Rejected) }},
	}
	if r.any(func(run Result) bool { return run.Cost[p].Tokens > run.Cost[p].Attempts }) {
		list = append(list,
			measure{name + "tokens", 0, func(r Result) float64 { return float64(r.Cost[p].Tokens) }},
			measure{name + "wasted tokens", 0, func(r Result) float64 { return float64(r.Cost[p].WastedTokens) }})
	}
	if r.any(func(run Result) bool { return run.Cost[p].Crashes+run.Cost[p].Overload > 0 }) {
		list = append(list,
			measure{name + "crashes", 1, func(r Result) float64 { return float64(r.Cost[p].Crashes) }},
			measure{name + "largest overload", 1, func(r Result) float64 { return float64(r.Cost[p].Overload) }})
	}
	if r.any(func(run Result) bool { return run.Cost[p].AfterLeaving > 0 }) {
		list = append(list, measure{name + "attempts 3 s after leaving", 1, func(r Result) float64 {
			return float64(r.Cost[p].AfterLeaving)
		}})
	}
	for _, v := range r.versions(p) {
		list = append(list,
			measure{name + v + " largest share %", 1, func(r Result) float64 { return 100 * largest(r, p, v) }},
			measure{name + v + " last share %", 1, func(r Result) float64 { return 100 * last(r, p, v) }},
			measure{name + v + " last attempt at s", 2, func(r Result) float64 { return lastAttempt(r.Samples, p, v) }},
			measure{name + v + " attempts", 0, func(r Result) float64 { return attempts(r.Samples, p, v) }})
	}
	return list
}

func (r Record) any(test func(Result) bool) bool { return slices.ContainsFunc(r.Runs, test) }

func (r Record) pools() []id.Pool {
	names := map[id.Pool]bool{}
	for _, run := range r.Runs {
		for p := range run.Cost {
			names[p] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// versions returns the versions of a pool if any run has several.
func (r Record) versions(p id.Pool) []string {
	names := map[string]bool{}
	for _, run := range r.Runs {
		if !slices.Contains(run.pools(), p) {
			continue
		}
		_, byVersion := shares(run.Samples, p)
		for v := range byVersion {
			names[v] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

func largest(r Result, p id.Pool, version string) float64 {
	_, byVersion := shares(r.Samples, p)
	if len(byVersion[version]) == 0 {
		return 0
	}
	return slices.Max(byVersion[version])
}

// last returns the share in the last second that has attempts.
func last(r Result, p id.Pool, version string) float64 {
	_, byVersion := shares(r.Samples, p)
	for i := len(byVersion[version]) - 1; i >= 0; i-- {
		total := 0.0
		for _, list := range byVersion {
			total += list[i]
		}
		if total > 0 {
			return byVersion[version][i]
		}
	}
	return 0
}

// Table writes one line for each measure: the mean over the repeats and, with several, the smallest and the largest.
func (r Record) Table(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	policies := r.policies()
	rows := []string{r.Experiment.Name + "\t" + strings.Join(policies, "\t")}
	for _, m := range r.measures() {
		cells := []string{m.name}
		for _, p := range policies {
			cells = append(cells, cell(r.of(p), m))
		}
		rows = append(rows, strings.Join(cells, "\t"))
	}
	_, err := fmt.Fprintln(table, strings.Join(rows, "\n"))
	if err := cmp.Or(err, table.Flush()); err != nil {
		return fmt.Errorf("table: %w", err)
	}
	return r.eventTable(w)
}

func cell(runs []Result, m measure) string {
	values := make([]float64, len(runs))
	sum := 0.0
	for i, run := range runs {
		values[i] = m.value(run)
		sum += values[i]
	}
	mean := sum / float64(max(1, len(runs)))
	if len(runs) < 2 {
		return fmt.Sprintf("%.*f", m.digits, mean)
	}
	return fmt.Sprintf("%.*f [%.*f … %.*f]", m.digits, mean, m.digits, slices.Min(values), m.digits, slices.Max(values))
}

// eventTable writes the faults and operator actions of the first run of each policy.
func (r Record) eventTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, p := range r.policies() {
		for _, ev := range r.of(p)[0].Events {
			outcome := ev.Error
			if outcome == "" && ev.Status != 0 {
				outcome = fmt.Sprintf("status %d", ev.Status)
			}
			_, _ = fmt.Fprintf(table, "%s\t%.2f s\t%s %s\ttook %.3f s\t%s\n", p, ev.At, ev.Kind, ev.Target, ev.Took, outcome)
		}
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("table: %w", err)
	}
	return nil
}
