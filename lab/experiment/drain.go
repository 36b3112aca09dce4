package experiment

import (
	"maps"
	"slices"

	"bluebellflow/core/id"
)

// fullShare is the fraction of its share before the drain at which a restored domain counts as fully used again.
const fullShare = 0.9

// pipelines returns the names of the pipelines of all runs, sorted.
func (r Record) pipelines() []id.Pipeline {
	names := map[id.Pipeline]bool{}
	for _, run := range r.Runs {
		for p := range run.Summary.Pipelines {
			names[p] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// drainRows returns the table rows on drained and restored failure domains, or nil if no run has a drain.
func (r Record) drainRows() []tableRow {
	hasDrain := r.anyRun(func(run Result) bool { _, ok := run.firstChange("drain"); return ok })
	if !hasDrain {
		return nil
	}
	return []tableRow{
		{"drain: last new attempt after s", 2, Result.drainDelay},
		{"restore: 90 % of its share after s", 2, Result.restoreDelay},
	}
}

// domainChange is a drain or restore of a failure domain that the nodes accepted.
type domainChange struct {
	domain id.FailureDomain
	at     float64
}

// firstChange returns the first accepted "drain" or "restore" of the run.
func (r Result) firstChange(verb string) (domainChange, bool) {
	for _, ev := range r.Events {
		if d, ok := acceptedDomainCall(ev, verb); ok {
			return domainChange{d, ev.At}, true
		}
	}
	return domainChange{}, false
}

// drainDelay returns the seconds from the drain to the last sample, before any restore, in which the domain received a
// new attempt, or -1 without a drain.
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

// restoreDelay returns the seconds from the restore until the domain receives at least fullShare of its share before the
// drain, measured over one second, or -1 if it never does.
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

// domainShare returns the share of a failure domain in the attempts between two samples.
func domainShare(from, to Sample, d id.FailureDomain) float64 {
	total := 0
	for name := range to.Domains {
		total += to.Domains[name] - from.Domains[name]
	}
	return float64(to.Domains[d]-from.Domains[d]) / float64(max(1, total))
}

// lastAttemptAt returns the time of the last sample in which the attempts of a version increased, in seconds.
func lastAttemptAt(samples []Sample, p id.Pool, version string) float64 {
	at := 0.0
	for i := 1; i < len(samples); i++ {
		if samples[i].Versions[p][version] > samples[i-1].Versions[p][version] {
			at = samples[i].At
		}
	}
	return at
}

// totalAttempts returns the attempts of a version up to the last sample.
func totalAttempts(samples []Sample, p id.Pool, version string) float64 {
	if len(samples) == 0 {
		return 0
	}
	return float64(samples[len(samples)-1].Versions[p][version])
}
