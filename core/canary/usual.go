package canary

import (
	"maps"
	"slices"
	"time"

	"bluebellflow/core/id"
	"bluebellflow/core/member"
)

// defaultVersionDelay is how long after the first server of a pool the pool's usual version is settled. The servers of a
// pool become known one after the other, and the first one may be of a version that nobody has ordered.
const defaultVersionDelay = 2 * time.Second

// poolVersions counts the servers of a pool by version.
type poolVersions struct {
	count          map[id.Version]int
	firstSeen      time.Time  // when the first server appeared
	defaultVersion id.Version // the version that serves without a rollout; empty until settled
}

// addServer takes in the present state of a server.
func (m *Rollouts) addServer(now time.Time, s member.Server) {
	m.removeServer(s.ID)
	m.servers[s.ID] = s
	if s.Leaving {
		return
	}
	v := m.versions[s.Pool]
	if v == nil {
		v = &poolVersions{count: map[id.Version]int{}, firstSeen: now}
		m.versions[s.Pool] = v
	}
	v.count[s.Version]++
}

// removeServer forgets a server.
func (m *Rollouts) removeServer(name id.Server) {
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

// defaultVersion returns the version that serves a pool without a rollout, or "" for any if all servers have the same.
// A version that appears beside it gets nothing before an operator orders a rollout, because nobody watches it.
func (m *Rollouts) defaultVersion(now time.Time, pool id.Pool) id.Version {
	v := m.versions[pool]
	if v == nil {
		return ""
	}
	m.updateDefault(now, v)
	if len(v.count) < 2 {
		return ""
	}
	if v.defaultVersion != "" {
		return v.defaultVersion
	}
	return v.mostCommon()
}

// updateDefault fixes the usual version of a pool, and replaces it when its last server has gone.
func (m *Rollouts) updateDefault(now time.Time, v *poolVersions) {
	if len(v.count) > 0 && v.count[v.defaultVersion] == 0 && now.Sub(v.firstSeen) >= defaultVersionDelay {
		v.defaultVersion = v.mostCommon()
	}
}

// mostCommon returns the version with the most servers, and the smallest name of several.
func (v *poolVersions) mostCommon() id.Version {
	var best id.Version
	for _, name := range slices.Sorted(maps.Keys(v.count)) {
		if v.count[name] > v.count[best] {
			best = name
		}
	}
	return best
}
