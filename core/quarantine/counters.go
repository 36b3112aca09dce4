package quarantine

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"bluebellflow/core/id"
)

// counter is a grow-only counter and when it last grew, as far as this node knows.
type counter struct {
	n         uint64
	changedAt time.Time
}

// counters are the crashes of all incarnations by fingerprint. They merge by maximum.
type counters struct {
	counts          map[id.Fingerprint]map[id.Incarnation]counter
	banDuration     time.Duration
	maxFingerprints int
}

// crashThreshold crashes make a request refused; one less makes it a suspect.
const crashThreshold = 2

// merge takes in a counter.
func (c *counters) merge(print id.Fingerprint, inc id.Incarnation, t counter, now time.Time) {
	of := c.counts[print]
	if n, _ := c.sum(print, now); n == 0 {
		of = nil // the ban is over, and so is what was counted for it
		if now.Sub(t.changedAt) >= c.banDuration {
			return
		}
	}
	if of == nil {
		c.evictOldest(now)
		of = map[id.Incarnation]counter{}
		c.counts[print] = of
	}
	if old, ok := of[inc]; ok && old.n >= t.n {
		return
	}
	of[inc] = t
}

// evictOldest drops what is over, and the fingerprint that crashed longest ago if that is not enough.
func (c *counters) evictOldest(now time.Time) {
	if len(c.counts) < c.maxFingerprints {
		return
	}
	var oldest id.Fingerprint
	var at time.Time
	for print := range c.counts {
		_, last := c.sum(print, now)
		if last.IsZero() {
			delete(c.counts, print)
			continue
		}
		if at.IsZero() || last.Before(at) || (last.Equal(at) && print < oldest) {
			oldest, at = print, last
		}
	}
	if len(c.counts) >= c.maxFingerprints {
		delete(c.counts, oldest)
	}
}

// sum returns the crashes of a fingerprint and when the last one happened; none after the ban is over.
func (c *counters) sum(print id.Fingerprint, now time.Time) (uint64, time.Time) {
	var n uint64
	var last time.Time
	for _, t := range c.counts[print] {
		n += t.n
		if t.changedAt.After(last) {
			last = t.changedAt
		}
	}
	if now.Sub(last) >= c.banDuration {
		return 0, time.Time{}
	}
	return n, last
}

// list returns counters of the given fingerprints for a message, newest first.
func (c *counters) list(now time.Time, prints []id.Fingerprint) []Count {
	var out []Count
	for _, print := range prints {
		if n, _ := c.sum(print, now); n == 0 {
			continue
		}
		for inc, t := range c.counts[print] {
			out = append(out, Count{
				Print: print, Incarnation: inc, Total: t.n, Age: int64(max(0, now.Sub(t.changedAt))), At: t.changedAt.Unix(),
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
	for print := range c.counts {
		out = append(out, print)
	}
	return out
}

// storedCounters is the content of the platform object.
type storedCounters struct {
	Counts []Count `json:"counts"`
}

func (c *counters) encodeObject(now time.Time) []byte {
	raw, _ := json.Marshal(storedCounters{Counts: c.list(now, c.fingerprints())}) // numbers and text always encode
	return raw
}

// mergeObject merges the platform object and reports whether this node knows more than the object says.
func (c *counters) mergeObject(raw []byte, now time.Time) bool {
	var o storedCounters
	if len(raw) > 0 && json.Unmarshal(raw, &o) != nil {
		return true // a damaged object is replaced
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
