package denylist

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

const (
	// firstTrialDelay is how long a refused key waits for its first trial. The delay doubles with each trial, because each
	// may cost a server.
	firstTrialDelay = 10 * time.Second
	// trialStagger is how much later than the node before it in the order of a key a node may try it, so that the nodes
	// seldom try at the same time, and a node that is lost holds up a trial only for so long.
	trialStagger = time.Second
)

// refuse begins the refusal of a key.
func (r *record) refuse(now time.Time) {
	r.refused = true
	r.scheduleTrial(now)
}

func (r *record) scheduleTrial(now time.Time) {
	r.trialAt = now.Add(r.trialDelay)
	r.trialDelay = min(2*r.trialDelay, refusalDuration)
}

// TrialDue reports whether this node may send a refused request once, to learn whether its keys still crash servers.
func (g *Guard) TrialDue(now time.Time, keys []id.Fingerprint) bool {
	refused := g.refusedKeys(now, keys)
	if len(refused) == 0 {
		return false
	}
	stagger := time.Duration(g.rank(refused[0])) * trialStagger
	return !slices.ContainsFunc(refused, func(key id.Fingerprint) bool {
		return now.Before(g.records.byKey[key].trialAt.Add(stagger))
	})
}

// StartTrial records that a refused request is sent, so that no node sends another one soon.
func (g *Guard) StartTrial(now time.Time, keys []id.Fingerprint) []event.Action {
	refused := g.refusedKeys(now, keys)
	g.scheduleTrials(now, refused)
	var out []event.Action
	for chunk := range slices.Chunk(refused, maxKeys) {
		out = append(out, g.broadcast(Trial{toNumbers(chunk)})...)
	}
	return out
}

func (g *Guard) scheduleTrials(now time.Time, keys []id.Fingerprint) {
	for _, key := range g.refusedKeys(now, keys) {
		g.records.byKey[key].scheduleTrial(now)
	}
}

// refusedKeys returns those of some keys that are refused.
func (g *Guard) refusedKeys(now time.Time, keys []id.Fingerprint) []id.Fingerprint {
	var out []id.Fingerprint
	for _, key := range keys {
		if g.records.byKey[key].refusedFor(now) > 0 {
			out = append(out, key)
		}
	}
	return out
}

// rank returns this node's place in the rendezvous order of a key, 0 for the first.
func (g *Guard) rank(key id.Fingerprint) int {
	hash := func(name id.Node) uint64 { return xxhash.Sum64String(fmt.Sprintf("%016x %s", uint64(key), name)) }
	order := slices.SortedFunc(slices.Values(g.nodes), func(x, y id.Node) int { return cmp.Compare(hash(x), hash(y)) })
	return max(0, slices.Index(order, g.self.Node))
}

// refusalOf returns the message that tells another node that a key is refused.
func (g *Guard) refusalOf(now time.Time, key id.Fingerprint) Refused {
	r := g.records.byKey[key]
	return Refused{
		Key: uint64(key), Age: int64(now.Sub(r.lastCrash)),
		TrialIn: int64(max(0, r.trialAt.Sub(now))), TrialDelay: int64(r.trialDelay),
	}
}

// adopt refuses a key that another node refuses.
func (g *Guard) adopt(now time.Time, m Refused) {
	r := g.records.open(id.Fingerprint(m.Key))
	if r.refused {
		return
	}
	g.refusals++
	r.refused, r.lastCrash = true, now.Add(-time.Duration(m.Age))
	r.trialAt, r.trialDelay = now.Add(time.Duration(m.TrialIn)), time.Duration(m.TrialDelay)
}
