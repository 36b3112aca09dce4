package route

import (
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

const (
	// maxPrefixes bounds the table of cached prefixes; at about 100 bytes per entry it takes about 6 MB.
	maxPrefixes = 1 << 16
	// maxHolders bounds the servers that are remembered for a prefix.
	maxHolders = 4
	// hintHalfLife is the age at which a hint has half its weight.
	hintHalfLife = time.Minute
)

// cacheHint says that a server probably had a prefix cached at some time.
type cacheHint struct {
	server id.Server
	epoch  uint32 // cacheEpoch of the server at that time
	at     time.Time
}

// prefixTable records which servers may have a prefix cached. It has two generations: when the young one is full, it
// replaces the old one. This bounds the memory without tracking each use.
type prefixTable struct {
	young, old map[uint64][]cacheHint
}

func newPrefixTable() *prefixTable { return &prefixTable{young: map[uint64][]cacheHint{}} }

func (p *prefixTable) get(prefix uint64) []cacheHint {
	if h, ok := p.young[prefix]; ok {
		return h
	}
	return p.old[prefix]
}

func (p *prefixTable) add(prefix uint64, h cacheHint) {
	list, ok := p.young[prefix]
	if !ok {
		if len(p.young) >= maxPrefixes/2 {
			p.old, p.young = p.young, make(map[uint64][]cacheHint, maxPrefixes/2)
		}
		list = p.old[prefix]
		delete(p.old, prefix)
	}
	if i := slices.IndexFunc(list, func(o cacheHint) bool { return o.server == h.server }); i >= 0 {
		list[i] = h
	} else {
		if len(list) >= maxHolders {
			list = slices.Delete(list, 0, 1)
		}
		list = append(list, h)
	}
	p.young[prefix] = list
}

func (p *prefixTable) remove(prefix uint64, server id.Server) {
	for _, m := range []map[uint64][]cacheHint{p.young, p.old} {
		list := slices.DeleteFunc(m[prefix], func(h cacheHint) bool { return h.server == server })
		if len(list) == 0 {
			delete(m, prefix)
			continue
		}
		m[prefix] = list
	}
}

// handleCacheEvents records the cache events of a server. They are late and have gaps, so they serve as hints only.
func (r *Router) handleCacheEvents(now time.Time, ev event.CacheUpdate) {
	s, ok := r.servers[ev.Server]
	if !ok || (s.Start != "" && ev.Start != s.Start) {
		return
	}
	if s.nextCacheSeq != 0 && ev.Seq > s.nextCacheSeq {
		s.cacheGapAt = now
	}
	s.nextCacheSeq = ev.Seq + uint64(len(ev.Added)+len(ev.Gone))
	for _, prefix := range ev.Added {
		r.prefixes.add(prefix, cacheHint{ev.Server, s.cacheEpoch, now})
	}
	for _, prefix := range ev.Gone {
		r.prefixes.remove(prefix, ev.Server)
	}
}

// weight returns the weight of a hint, between 0 and 1. It falls with age, and by half if cache events were missed since.
func (h cacheHint) weight(now time.Time, s *server) float64 {
	if h.epoch != s.cacheEpoch {
		return 0
	}
	v := 1 / (1 + now.Sub(h.at).Seconds()/hintHalfLife.Seconds())
	if h.at.Before(s.cacheGapAt) {
		v /= 2
	}
	return v
}
