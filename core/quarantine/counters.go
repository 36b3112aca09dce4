package quarantine

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"bluebellflow/core/id"
)

// counter is a grow-only counter of crashes and the time when it last grew, as far as this node knows.
type counter struct {
	n         uint64
	changedAt time.Time
}

// counters holds the crash counters of all incarnations by fingerprint. They merge by maximum.
type counters struct {
	counts          map[id.Fingerprint]map[id.Incarnation]counter
	banDuration     time.Duration
	maxFingerprints int
}

// crashThreshold is the number of crashes at which a request is refused. With one less, it is a suspect.
const crashThreshold = 2

// merge records a counter that is higher than the known one.
func (c *counters) merge(fp id.Fingerprint, inc id.Incarnation, ctr counter, now time.Time) {
	byIncarnation := c.counts[fp]
	if n, _ := c.sum(fp, now); n == 0 {
		byIncarnation = nil // the ban is over, and the crashes that led to it no longer count
		if now.Sub(ctr.changedAt) >= c.banDuration {
			return
		}
	}
	if byIncarnation == nil {
		c.evictOldest(now)
		byIncarnation = map[id.Incarnation]counter{}
		c.counts[fp] = byIncarnation
	}
	if old, ok := byIncarnation[inc]; ok && old.n >= ctr.n {
		return
	}
	byIncarnation[inc] = ctr
}

// evictOldest makes room for a fingerprint. It drops those whose ban is over and, if there are none, the one whose last
// crash is the oldest.
func (c *counters) evictOldest(now time.Time) {
	if len(c.counts) < c.maxFingerprints {
		return
	}
	var oldest id.Fingerprint
	var at time.Time
	for fp := range c.counts {
		_, last := c.sum(fp, now)
		if last.IsZero() {
			delete(c.counts, fp)
			continue
		}
		if at.IsZero() || last.Before(at) || (last.Equal(at) && fp < oldest) {
			oldest, at = fp, last
		}
	}
	if len(c.counts) >= c.maxFingerprints {
		delete(c.counts, oldest)
	}
}

// sum returns the number of crashes of a fingerprint and the time of the last one, or zero once the ban is over.
func (c *counters) sum(fp id.Fingerprint, now time.Time) (uint64, time.Time) {
	var n uint64
	var last time.Time
	for _, ctr := range c.counts[fp] {
		n += ctr.n
		if ctr.changedAt.After(last) {
			last = ctr.changedAt
		}
	}
	if now.Sub(last) >= c.banDuration {
		return 0, time.Time{}
	}
	return n, last
}

// list returns the counters of the given fingerprints for a message, most recent first and at most maxCounts.
func (c *counters) list(now time.Time, fps []id.Fingerprint) []Count {
	var out []Count
	for _, fp := range fps {
		if n, _ := c.sum(fp, now); n == 0 {
			continue
		}
		for inc, ctr := range c.counts[fp] {
			out = append(out, Count{
				Print: fp, Incarnation: inc, Total: ctr.n, Age: int64(max(0, now.Sub(ctr.changedAt))), At: ctr.changedAt.Unix(),
			})
		}
	}
	slices.SortFunc(out, func(a, b Count) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Print, b.Print), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return out[:min(len(out), maxCounts)]
}

func (c *counters) fingerprints() []id.Fingerprint {
	out := make([]id.Fingerprint, 0, len(c.counts))
	for fp := range c.counts {
		out = append(out, fp)
	}
	return out
}

// storedCounters is the content of the platform object.
type storedCounters struct {
	Counts []Count `json:"counts"`
}

func (c *counters) encodeObject(now time.Time) []byte {
	raw, _ := json.Marshal(storedCounters{Counts: c.list(now, c.fingerprints())}) // numbers and strings always encode
	return raw
}

// mergeObject merges the platform object and reports whether this node knows more than the object says.
func (c *counters) mergeObject(raw []byte, now time.Time) bool {
	var o storedCounters
	if len(raw) > 0 && json.Unmarshal(raw, &o) != nil {
		return true // a malformed object is replaced
	}
	seen := map[id.Fingerprint]map[id.Incarnation]uint64{}
	for _, n := range o.Counts[:min(len(o.Counts), maxCounts)] {
		if n.Incarnation.Check() != nil || n.Total == 0 || n.Total > maxCount {
			continue
		}
		at := time.Unix(n.At, 0)
		if at.After(now) {
			at = now // another node's clock is ahead
		}
		c.merge(n.Print, n.Incarnation, counter{n: n.Total, changedAt: at}, now)
		if seen[n.Print] == nil {
			seen[n.Print] = map[id.Incarnation]uint64{}
		}
		seen[n.Print][n.Incarnation] = n.Total
	}
	for _, n := range c.list(now, c.fingerprints()) {
		if seen[n.Print][n.Incarnation] < n.Total {
			return true
		}
	}
	return false
}
