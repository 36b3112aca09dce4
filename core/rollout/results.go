package rollout

import (
	"time"

	"bluebellflow/core/evidence"
)

// mostResults bounds the results that a node keeps for the next leader.
const mostResults = 4000

// results are the results of this node since the order, with numbers from 0 on.
type results struct {
	kept      []kept
	first     int64 // number of the first one kept
	confirmed int64 // the leader has those before it
}

type kept struct {
	evidence.Sample
	at    time.Time
	isNew bool
}

func (r *results) add(now time.Time, s evidence.Sample, isNew bool) {
	if len(r.kept) == mostResults {
		const drop = mostResults / 4
		r.kept = append(r.kept[:0], r.kept[drop:]...)
		r.first += drop
	}
	r.kept = append(r.kept, kept{s, now, isNew})
}

// next returns the number of the first result that the leader does not have.
func (r *results) next() int64 { return max(r.first, r.confirmed) }

// unconfirmed returns the results from there on, as many as a message may carry.
func (r *results) unconfirmed(now time.Time) []Result {
	var out []Result
	from := min(int64(len(r.kept)), r.next()-r.first)
	for _, k := range r.kept[from:] {
		if len(out) == maxResults {
			break
		}
		out = append(out, Result{
			Route: k.Route, Took: int64(k.Took), Load: int64(k.Load), Age: min(maxSpan, int64(now.Sub(k.at))),
			Failed: k.Failed, Cold: k.Cold, New: k.isNew,
		})
	}
	return out
}

func (r Result) sample() evidence.Sample {
	return evidence.Sample{Route: r.Route, Took: time.Duration(r.Took), Load: int(r.Load), Failed: r.Failed, Cold: r.Cold}
}
