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

func (r Record) runsOf(policy string) []Result {
	var list []Result
	for _, run := range r.Runs {
		if run.Policy == policy {
			list = append(list, run)
		}
	}
	return list
}

// tableRow is one line of the table.
type tableRow struct {
	name   string
	digits int
	value  func(Result) float64
}

// tableRows are the lines of the table for the pools and versions of a record.
func (r Record) tableRows() []tableRow {
	list := []tableRow{
		{"requests", 0, func(r Result) float64 { return float64(r.Summary.Requests) }},
		{"attainment %", 2, func(r Result) float64 { return 100 * r.Summary.Attainment }},
		{"latency p50 ms", 0, func(r Result) float64 { return r.Summary.Latency.P50 }},
		{"latency p95 ms", 0, func(r Result) float64 { return r.Summary.Latency.P95 }},
		{"latency p99 ms", 0, func(r Result) float64 { return r.Summary.Latency.P99 }},
		{"first part p95 ms", 0, func(r Result) float64 { return r.Summary.First.P95 }},
		{"sends", 0, func(r Result) float64 { return float64(r.Summary.Sends) }},
	}
	for _, c := range load.Classes {
		list = append(list, tableRow{string(c), 1, func(r Result) float64 { return float64(r.Summary.Classes[c]) }})
	}
	for _, v := range load.Violations {
		list = append(list, tableRow{"violation: " + string(v), 1, func(r Result) float64 {
			return float64(r.Summary.Violations[v])
		}})
	}
	for _, p := range r.pools() {
		list = append(list, r.poolRows(p)...)
	}
	for _, p := range r.pipelines() {
		list = append(list, tableRow{string(p) + ": attainment %", 2, func(r Result) float64 {
			return 100 * r.Summary.Pipelines[p].Attainment
		}}, tableRow{string(p) + ": latency p95 ms", 0, func(r Result) float64 { return r.Summary.Pipelines[p].Latency.P95 }})
	}
	list = append(list, r.drainRows()...)
	list = append(list, r.controlRows()...)
	return append(list,
		tableRow{"drained domain, attempts after 3 s", 1, func(r Result) float64 { return float64(r.AfterDrain) }},
		tableRow{"platform puts", 0, func(r Result) float64 { return float64(r.Platform.Put) }},
		tableRow{"platform reads", 0, func(r Result) float64 {
			return float64(r.Platform.Get + r.Platform.List + r.Platform.Watch + r.Platform.VMs)
		}},
		tableRow{"platform limited", 0, func(r Result) float64 { return float64(r.Platform.Limited) }},
	)
}

func (r Record) poolRows(p id.Pool) []tableRow {
	name := string(p) + ": "
	list := []tableRow{
		{name + "busy s", 1, func(r Result) float64 { return r.Cost[p].BusyMS / 1000 }},
		{name + "attempts", 0, func(r Result) float64 { return float64(r.Cost[p].Attempts) }},
		{name + "wasted attempts", 1, func(r Result) float64 { return float64(r.Cost[p].Wasted) }},
		{name + "rejected", 1, func(r Result) float64 { return float64(r.Cost[p].Rejected) }},
	}
	if r.anyRun(func(run Result) bool { return run.Cost[p].Tokens > run.Cost[p].Attempts }) {
		list = append(list,
			tableRow{name + "tokens", 0, func(r Result) float64 { return float64(r.Cost[p].Tokens) }},
			tableRow{name + "wasted tokens", 0, func(r Result) float64 { return float64(r.Cost[p].WastedTokens) }})
	}
	if r.anyRun(func(run Result) bool { return run.Cost[p].Crashes+run.Cost[p].Overload > 0 }) {
		list = append(list,
			tableRow{name + "crashes", 1, func(r Result) float64 { return float64(r.Cost[p].Crashes) }},
			tableRow{name + "largest overload", 1, func(r Result) float64 { return float64(r.Cost[p].Overload) }})
	}
	if r.anyRun(func(run Result) bool { return run.Cost[p].AfterLeaving > 0 }) {
		list = append(list, tableRow{name + "attempts 3 s after leaving", 1, func(r Result) float64 {
			return float64(r.Cost[p].AfterLeaving)
		}})
	}
	for _, v := range r.versions(p) {
		list = append(list,
			tableRow{name + v + " largest share %", 1, func(r Result) float64 { return 100 * largestShare(r, p, v) }},
			tableRow{name + v + " last share %", 1, func(r Result) float64 { return 100 * lastShare(r, p, v) }},
			tableRow{name + v + " last attempt at s", 2, func(r Result) float64 { return lastAttemptAt(r.Samples, p, v) }},
			tableRow{name + v + " attempts", 0, func(r Result) float64 { return totalAttempts(r.Samples, p, v) }})
	}
	return list
}

func (r Record) anyRun(test func(Result) bool) bool { return slices.ContainsFunc(r.Runs, test) }

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
		if !slices.Contains(run.versionedPools(), p) {
			continue
		}
		_, byVersion := versionShares(run.Samples, p)
		for v := range byVersion {
			names[v] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

func largestShare(r Result, p id.Pool, version string) float64 {
	_, byVersion := versionShares(r.Samples, p)
	if len(byVersion[version]) == 0 {
		return 0
	}
	return slices.Max(byVersion[version])
}

// lastShare returns the share in the last second that has attempts.
func lastShare(r Result, p id.Pool, version string) float64 {
	_, byVersion := versionShares(r.Samples, p)
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
	for _, m := range r.tableRows() {
		cells := []string{m.name}
		for _, p := range policies {
			cells = append(cells, formatCell(r.runsOf(p), m))
		}
		rows = append(rows, strings.Join(cells, "\t"))
	}
	_, err := fmt.Fprintln(table, strings.Join(rows, "\n"))
	if err := cmp.Or(err, table.Flush()); err != nil {
		return fmt.Errorf("table: %w", err)
	}
	return r.writeEvents(w)
}

func formatCell(runs []Result, m tableRow) string {
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

// writeEvents writes the faults and operator actions of the first run of each policy.
func (r Record) writeEvents(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, p := range r.policies() {
		for _, ev := range r.runsOf(p)[0].Events {
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
