package canary

import (
	"maps"
	"slices"
	"time"

	"bluebellflow/core/id"
	"bluebellflow/core/member"
)

// usualAfter is how long after the first server of a pool the pool's usual version is settled. The servers of a
// pool become known one after the other, and the first one may be of a version that nobody has ordered.
const usualAfter = 2 * time.Second

// versions counts the servers of a pool by version.
type versions struct {
	count map[id.Version]int
	first time.Time  // when the first server appeared
	usual id.Version // the version that serves without a rollout; empty until settled
}

// enlist takes in the present state of a server.
func (m *Rollouts) enlist(now time.Time, s member.Server) {
	m.unlist(s.ID)
	m.servers[s.ID] = s
	if s.Leaving {
		return
	}
	v := m.versions[s.Pool]
	if v == nil {
		v = &versions{count: map[id.Version]int{}, first: now}
		m.versions[s.Pool] = v
	}
	v.count[s.Version]++
}

// unlist forgets a server.
func (m *Rollouts) unlist(name id.Server) {
	s, ok := m.servers[name]
	delete(m.servers, name)
	v := m.versions[s.Pool]
	if !ok || s.Leaving || v == nil {
		return
	}
	if v.count[s.Version]--; v.count[s.Version] == 0 {
		delete(v.count, s.Version)
	}
}

// usualVersion returns the version that serves a pool without a rollout, or "" for any if all servers have the same.
// A version that appears beside it gets nothing before an operator orders a rollout, because nobody watches it.
func (m *Rollouts) usualVersion(now time.Time, pool id.Pool) id.Version {
	v := m.versions[pool]
	if v == nil {
		return ""
	}
	m.settle(now, v)
	if len(v.count) < 2 {
		return ""
	}
	if v.usual != "" {
		return v.usual
	}
	return v.largest()
}

// settle fixes the usual version of a pool, and replaces it when its last server has gone.
func (m *Rollouts) settle(now time.Time, v *versions) {
	if len(v.count) > 0 && v.count[v.usual] == 0 && now.Sub(v.first) >= usualAfter {
		v.usual = v.largest()
	}
}

// largest returns the version with the most servers, and the smallest name of several.
func (v *versions) largest() id.Version {
	var best id.Version
	for _, name := range slices.Sorted(maps.Keys(v.count)) {
		if v.count[name] > v.count[best] {
			best = name
		}
	}
	return best
}
