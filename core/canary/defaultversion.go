package canary

import (
	"maps"
	"slices"
	"time"

	"bluebellflow/core/id"
	"bluebellflow/core/member"
)

// defaultVersionDelay is how long after a pool's first server its default version is chosen. The servers of a pool become
// known one after the other, and the first one may have a version that no operator has ordered.
const defaultVersionDelay = 2 * time.Second

// poolVersions counts the servers of a pool by version.
type poolVersions struct {
	count          map[id.Version]int
	firstSeen      time.Time  // when the first server appeared
	defaultVersion id.Version // version that serves without a rollout, empty until it is chosen
}

// addServer adds a server or updates its state. Servers that are leaving do not count towards their version.
func (rs *Rollouts) addServer(now time.Time, s member.Server) {
	rs.removeServer(s.ID)
	rs.servers[s.ID] = s
	if s.Leaving {
		return
	}
	v := rs.versions[s.Pool]
	if v == nil {
		v = &poolVersions{count: map[id.Version]int{}, firstSeen: now}
		rs.versions[s.Pool] = v
	}
	v.count[s.Version]++
}

// removeServer removes a server.
func (rs *Rollouts) removeServer(name id.Server) {
	s, ok := rs.servers[name]
	delete(rs.servers, name)
	v := rs.versions[s.Pool]
	if !ok || s.Leaving || v == nil {
		return
	}
	if v.count[s.Version]--; v.count[s.Version] == 0 {
		delete(v.count, s.Version)
	}
}

// defaultVersion returns the version that serves a pool without a rollout, or "" for any if all servers have the same
// version. Other versions get no traffic until an operator starts a rollout, because only a rollout compares results.
func (rs *Rollouts) defaultVersion(now time.Time, pool id.Pool) id.Version {
	v := rs.versions[pool]
	if v == nil {
		return ""
	}
	rs.updateDefault(now, v)
	if len(v.count) < 2 {
		return ""
	}
	if v.defaultVersion != "" {
		return v.defaultVersion
	}
	return v.mostCommon()
}

// updateDefault chooses the default version of a pool after defaultVersionDelay, and replaces it when its last server has
// gone.
func (rs *Rollouts) updateDefault(now time.Time, v *poolVersions) {
	if len(v.count) > 0 && v.count[v.defaultVersion] == 0 && now.Sub(v.firstSeen) >= defaultVersionDelay {
		v.defaultVersion = v.mostCommon()
	}
}

// mostCommon returns the version with the most servers. Of several with equally many it returns the one with the
// smallest name.
func (v *poolVersions) mostCommon() id.Version {
	var best id.Version
	for _, name := range slices.Sorted(maps.Keys(v.count)) {
		if v.count[name] > v.count[best] {
			best = name
		}
	}
	return best
}
