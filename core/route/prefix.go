package route

import (
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

const (
	// maxPrefixes bounds the table of cached prefixes; at about 100 bytes an entry it stays near 6 MB.
	maxPrefixes = 1 << 16
	// maxHolders is how many servers are remembered for a prefix.
	maxHolders = 4
	// prefixHalf is the time after which a hint is worth half.
	prefixHalf = time.Minute
)

type hint struct {
	server id.Server
	epoch  uint32
	at     time.Time
}

// prefixes remembers which servers may have a prefix cached. It has two generations: when the young one is full it
// becomes the old one, which bounds the memory without a list of uses.
type prefixes struct {
	young, old map[uint64][]hint
}

func newPrefixes() *prefixes { return &prefixes{young: map[uint64][]hint{}} }

func (p *prefixes) get(prefix uint64) []hint {
	if h, ok := p.young[prefix]; ok {
		return h
	}
	return p.old[prefix]
}

func (p *prefixes) add(prefix uint64, h hint) {
	list, ok := p.young[prefix]
	if !ok {
		if len(p.young) >= maxPrefixes/2 {
			p.old, p.young = p.young, make(map[uint64][]hint, maxPrefixes/2)
		}
		list = p.old[prefix]
		delete(p.old, prefix)
	}
	if at := slices.IndexFunc(list, func(o hint) bool { return o.server == h.server }); at >= 0 {
		list[at] = h
	} else {
		if len(list) >= maxHolders {
			list = slices.Delete(list, 0, 1)
		}
		list = append(list, h)
	}
	p.young[prefix] = list
}

func (p *prefixes) remove(prefix uint64, server id.Server) {
	for _, m := range []map[uint64][]hint{p.young, p.old} {
		list := slices.DeleteFunc(m[prefix], func(h hint) bool { return h.server == server })
		if len(list) == 0 {
			delete(m, prefix)
			continue
		}
		m[prefix] = list
	}
}

// cached takes in cache events; they are late and have gaps, so they are hints only.
func (r *Router) cached(now time.Time, ev event.CacheUpdate) {
	s, ok := r.servers[ev.Server]
	if !ok || (s.Start != "" && ev.Start != s.Start) {
		return
	}
	if s.cacheSeq != 0 && ev.Seq > s.cacheSeq {
		s.gap = now
	}
	s.cacheSeq = ev.Seq + uint64(len(ev.Added)+len(ev.Gone))
	for _, prefix := range ev.Added {
		r.prefixes.add(prefix, hint{ev.Server, s.cacheEpoch, now})
	}
	for _, prefix := range ev.Gone {
		r.prefixes.remove(prefix, ev.Server)
	}
}

// value returns what a hint is worth between 0 and 1.
func (h hint) value(now time.Time, s *server) float64 {
	if h.epoch != s.cacheEpoch {
		return 0
	}
	v := 1 / (1 + now.Sub(h.at).Seconds()/prefixHalf.Seconds())
	if h.at.Before(s.gap) {
		v /= 2
	}
	return v
}
