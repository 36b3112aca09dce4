package denylist

import (
	"slices"
	"time"

	"bluebellflow/core/id"
)

const (
	// crashThreshold is how many processes must end under a key before it is refused. An innocent key is rarely in progress
	// at three processes that end, without a response meanwhile.
	crashThreshold = 3
	// respondedThreshold applies to a key that has had a response lately: sound requests share it, and it may only be in
	// progress at the same servers as one that crashes them.
	respondedThreshold = 6
	// refusalDuration is how long a key is refused after its last crash, and how long a crash counts.
	refusalDuration = 10 * time.Minute
	// crashWindow is the time after a broken attempt in which the end of the server's process counts against its keys.
	crashWindow = 10 * time.Second
	// maxRecords bounds the keys that are kept; the oldest that are not refused are dropped.
	maxRecords = 4096
	// maxSuspicions bounds the processes that are kept for a key.
	maxSuspicions = 16
	// maxResponded bounds the keys whose last response is remembered.
	maxResponded = 2048
)

// record holds the processes at which attempts with a key broke off since the last response to one.
type record struct {
	suspicions []suspicion
	lastCrash  time.Time
	refused    bool
	trialAt    time.Time     // when a request may be tried again
	trialDelay time.Duration // until the trial after that
}

type suspicion struct {
	process Process
	at      time.Time // when the attempt broke off
	crashed bool      // the process has ended
}

// add adds a process and reports whether it is new.
func (r *record) add(now time.Time, p Process) bool {
	r.expire(now)
	if r.index(p) >= 0 || len(r.suspicions) >= maxSuspicions {
		return false
	}
	r.suspicions = append(r.suspicions, suspicion{process: p, at: now})
	return true
}

// index returns the index of the suspicion against a process, -1 for none.
func (r *record) index(p Process) int {
	return slices.IndexFunc(r.suspicions, func(s suspicion) bool { return s.process == p })
}

// expire removes the processes that have not ended within crashWindow, and crashes that count no more.
func (r *record) expire(now time.Time) {
	r.suspicions = slices.DeleteFunc(r.suspicions, func(s suspicion) bool {
		limit := crashWindow
		if s.crashed {
			limit = refusalDuration
		}
		return now.Sub(s.at) > limit
	})
}

// crashes returns how many processes have ended under the key.
func (r *record) crashes() int {
	count := 0
	for _, s := range r.suspicions {
		if s.crashed {
			count++
		}
	}
	return count
}

// refusedFor returns how much longer the key is refused, 0 if it is not.
func (r *record) refusedFor(now time.Time) time.Duration {
	if r == nil || !r.refused {
		return 0
	}
	return max(0, r.lastCrash.Add(refusalDuration).Sub(now))
}

// records holds the records of the keys, in the order of their creation.
type records struct {
	byKey map[id.Fingerprint]*record
	order []id.Fingerprint
}

// open returns the record of a key. It drops another one if the limit is reached.
func (rs *records) open(key id.Fingerprint) *record {
	if r := rs.byKey[key]; r != nil {
		return r
	}
	if len(rs.order) >= maxRecords {
		oldest := slices.IndexFunc(rs.order, func(key id.Fingerprint) bool { return !rs.byKey[key].refused })
		rs.remove(rs.order[max(0, oldest)])
	}
	r := &record{trialDelay: firstTrialDelay}
	rs.byKey[key] = r
	rs.order = append(rs.order, key)
	return r
}

// remove removes the record of a key and reports whether there was one.
func (rs *records) remove(key id.Fingerprint) bool {
	if _, ok := rs.byKey[key]; !ok {
		return false
	}
	delete(rs.byKey, key)
	i := slices.Index(rs.order, key)
	rs.order = slices.Delete(rs.order, i, i+1)
	return true
}

// responses remembers keys that have had a response.
type responses struct {
	keys  id.Set[id.Fingerprint]
	order []id.Fingerprint // oldest first
}

func (rs *responses) add(keys []id.Fingerprint) {
	for _, key := range keys {
		if rs.keys.Has(key) {
			continue
		}
		if len(rs.order) >= maxResponded {
			rs.keys.Delete(rs.order[0])
			rs.order = rs.order[1:]
		}
		rs.keys.Add(key)
		rs.order = append(rs.order, key)
	}
}
