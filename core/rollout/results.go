package rollout

import (
	"time"

	"bluebellflow/core/evidence"
)

// maxKeptResults limits the results that a node keeps per order, to send them to the next leader too.
const maxKeptResults = 4000

// results are this node's results since the order, numbered from 0 on.
type results struct {
	kept      []keptResult
	firstKept int64 // number of the first result that is kept
	confirmed int64 // number of the first result that the leader has not confirmed
}

type keptResult struct {
	evidence.Sample
	at    time.Time
	isNew bool
}

func (r *results) add(now time.Time, s evidence.Sample, isNew bool) {
	if len(r.kept) == maxKeptResults {
		const drop = maxKeptResults / 4
		r.kept = append(r.kept[:0], r.kept[drop:]...)
		r.firstKept += drop
	}
	r.kept = append(r.kept, keptResult{s, now, isNew})
}

// firstUnconfirmed returns the number of the first kept result that the leader has not confirmed.
func (r *results) firstUnconfirmed() int64 { return max(r.firstKept, r.confirmed) }

// unconfirmed returns the results from firstUnconfirmed on, at most maxResults.
func (r *results) unconfirmed(now time.Time) []Result {
	var out []Result
	from := min(int64(len(r.kept)), r.firstUnconfirmed()-r.firstKept)
	for _, k := range r.kept[from:] {
		if len(out) == maxResults {
			break
		}
		out = append(out, Result{
			Route: k.Route[:min(len(k.Route), maxText)], Took: int64(k.Took), Load: int64(k.Load), Age: min(maxSpan, int64(now.Sub(k.at))),
			Failed: k.Failed, Cold: k.Cold, Rejected: k.Rejected, New: k.isNew,
		})
	}
	return out
}

func (r Result) sample() evidence.Sample {
	return evidence.Sample{Route: r.Route, Took: time.Duration(r.Took), Load: int(r.Load), Failed: r.Failed, Rejected: r.Rejected, Cold: r.Cold}
}
