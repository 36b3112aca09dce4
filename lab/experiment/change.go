package experiment

import (
	"maps"
	"slices"

	"bluebellflow/core/id"
)

// fullShare is the part of its share before the change that a returned domain must reach to be in full use.
const fullShare = 0.9

// pipelines returns the pipelines of all runs.
func (r Record) pipelines() []id.Pipeline {
	names := map[id.Pipeline]bool{}
	for _, run := range r.Runs {
		for p := range run.Summary.Pipelines {
			names[p] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// drainRows are the lines of the table for domains that were drained and restored.
func (r Record) drainRows() []tableRow {
	any := r.anyRun(func(run Result) bool { _, ok := run.firstChange("drain"); return ok })
	if !any {
		return nil
	}
	return []tableRow{
		{"drain: last new attempt after s", 2, Result.drainDelay},
		{"restore: 90 % of its share after s", 2, Result.restoreDelay},
	}
}

// domainChange is an accepted drain or restore.
type domainChange struct {
	domain id.FailureDomain
	at     float64
}

func (r Result) firstChange(verb string) (domainChange, bool) {
	for _, ev := range r.Events {
		if d, ok := acceptedDomainCall(ev, verb); ok {
			return domainChange{d, ev.At}, true
		}
	}
	return domainChange{}, false
}

// drainDelay returns the seconds from the drain to the last sample in which the domain got a new attempt.
func (r Result) drainDelay() float64 {
	drain, ok := r.firstChange("drain")
	if !ok {
		return -1
	}
	until := r.Samples[len(r.Samples)-1].At
	if restore, ok := r.firstChange("restore"); ok {
		until = restore.at
	}
	at := drain.at
	for i := 1; i < len(r.Samples) && r.Samples[i].At <= until; i++ {
		if r.Samples[i].At > drain.at && r.Samples[i].Domains[drain.domain] > r.Samples[i-1].Domains[drain.domain] {
			at = r.Samples[i].At
		}
	}
	return at - drain.at
}

// restoreDelay returns the seconds from the restore to the first second in which the domain gets most of its share
// before the drain, or -1.
func (r Result) restoreDelay() float64 {
	drain, ok := r.firstChange("drain")
	restore, restored := r.firstChange("restore")
	if !ok || !restored {
		return -1
	}
	want := fullShare * domainShare(r.Samples[0], lastSampleUpTo(r.Samples, drain.at), drain.domain)
	for i := 4; i < len(r.Samples); i++ {
		if r.Samples[i-4].At >= restore.at && domainShare(r.Samples[i-4], r.Samples[i], drain.domain) >= want {
			return r.Samples[i].At - restore.at
		}
	}
	return -1
}

func domainShare(from, to Sample, d id.FailureDomain) float64 {
	total := 0
	for name := range to.Domains {
		total += to.Domains[name] - from.Domains[name]
	}
	return float64(to.Domains[d]-from.Domains[d]) / float64(max(1, total))
}

// lastAttemptAt returns the time of the last sample in which a version got an attempt.
func lastAttemptAt(samples []Sample, p id.Pool, version string) float64 {
	at := 0.0
	for i := 1; i < len(samples); i++ {
		if samples[i].Versions[p][version] > samples[i-1].Versions[p][version] {
			at = samples[i].At
		}
	}
	return at
}

func totalAttempts(samples []Sample, p id.Pool, version string) float64 {
	if len(samples) == 0 {
		return 0
	}
	return float64(samples[len(samples)-1].Versions[p][version])
}
