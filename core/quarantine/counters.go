package quarantine

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"bluebellflow/core/id"
)

// total is a grow-only counter and when it last grew, as far as this node knows.
type total struct {
	n  uint64
	at time.Time
}

// counters are the crashes of all incarnations by fingerprint. They merge by maximum.
type counters struct {
	by    map[id.Fingerprint]map[id.Incarnation]total
	ban   time.Duration
	limit int
}

// refuseAt crashes make a request refused; one less makes it a suspect.
const refuseAt = 2

// merge takes in a counter.
func (c *counters) merge(print id.Fingerprint, inc id.Incarnation, t total, now time.Time) {
	of := c.by[print]
	if n, _ := c.sum(print, now); n == 0 {
		of = nil // the ban is over, and so is what was counted for it
		if now.Sub(t.at) >= c.ban {
			return
		}
	}
	if of == nil {
		c.makeRoom(now)
		of = map[id.Incarnation]total{}
		c.by[print] = of
	}
	if old, ok := of[inc]; ok && old.n >= t.n {
		return
	}
	of[inc] = t
}

// makeRoom drops what is over, and the fingerprint that crashed longest ago if that is not enough.
func (c *counters) makeRoom(now time.Time) {
	if len(c.by) < c.limit {
		return
	}
	var oldest id.Fingerprint
	var at time.Time
	for print := range c.by {
		_, last := c.sum(print, now)
		if last.IsZero() {
			delete(c.by, print)
			continue
		}
		if at.IsZero() || last.Before(at) || (last.Equal(at) && print < oldest) {
			oldest, at = print, last
		}
	}
	if len(c.by) >= c.limit {
		delete(c.by, oldest)
	}
}

// sum returns the crashes of a fingerprint and when the last one happened; none after the ban is over.
func (c *counters) sum(print id.Fingerprint, now time.Time) (uint64, time.Time) {
	var n uint64
	var last time.Time
	for _, t := range c.by[print] {
		n += t.n
		if t.at.After(last) {
			last = t.at
		}
	}
	if now.Sub(last) >= c.ban {
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
		for inc, t := range c.by[print] {
			out = append(out, Count{
				Print: print, Incarnation: inc, Total: t.n, Age: int64(max(0, now.Sub(t.at))), At: t.at.Unix(),
			})
		}
	}
	slices.SortFunc(out, func(a, b Count) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Print, b.Print), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return out[:min(len(out), maxCounts)]
}

func (c *counters) prints() []id.Fingerprint {
	out := make([]id.Fingerprint, 0, len(c.by))
	for print := range c.by {
		out = append(out, print)
	}
	return out
}

// object is the content of the platform object.
type object struct {
	Counts []Count `json:"counts"`
}

func (c *counters) encode(now time.Time) []byte {
	raw, _ := json.Marshal(object{Counts: c.list(now, c.prints())}) // numbers and text always encode
	return raw
}

// decode merges the platform object and reports whether this node knows more than the object says.
func (c *counters) decode(raw []byte, now time.Time) bool {
	var o object
	if len(raw) > 0 && json.Unmarshal(raw, &o) != nil {
		return true // a damaged object is replaced
	}
	seen := map[id.Fingerprint]map[id.Incarnation]uint64{}
	for _, n := range o.Counts[:min(len(o.Counts), maxCounts)] {
		if n.Incarnation.Check() != nil || n.Total == 0 || n.Total > maxTotal {
			continue
		}
		at := time.Unix(n.At, 0)
		if at.After(now) {
			at = now // another node's clock is ahead
		}
		c.merge(n.Print, n.Incarnation, total{n: n.Total, at: at}, now)
		if seen[n.Print] == nil {
			seen[n.Print] = map[id.Incarnation]uint64{}
		}
		seen[n.Print][n.Incarnation] = n.Total
	}
	for _, n := range c.list(now, c.prints()) {
		if seen[n.Print][n.Incarnation] < n.Total {
			return true
		}
	}
	return false
}
