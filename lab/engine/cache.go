package engine

import (
	"container/list"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellflow/lab/backendapi"
)

const (
	minPrefixBytes       = 64   // length of the shortest prefix in bytes; each further prefix is twice as long
	eventHistory         = 4096 // maximum number of stored cache events
	maxEventsPerResponse = 256  // maximum number of cache events in one response
)

// cacheEvent records that a prefix was added to the cache or removed from it.
type cacheEvent struct {
	seq     uint64
	at      time.Time
	hash    uint64
	removed bool
}

// cache is an LRU cache of prompt prefixes with a log of its changes.
type cache struct {
	size     int
	lag      time.Duration // delay before an event becomes visible to callers
	lossRate float64       // share of events that are lost
	rng      *rand.Rand
	lru      *list.List // hashes, least recently used first
	byHash   map[uint64]*list.Element
	seq      uint64
	events   []cacheEvent
}

func newCache(p Profile) *cache {
	c := &cache{size: p.CacheSize, lag: p.CacheLag, lossRate: p.CacheLossRate, rng: rand.New(rand.NewPCG(1, 0))}
	c.clear()
	return c
}

// clear empties the cache and its event log, as a restart does.
func (c *cache) clear() {
	c.lru = list.New()
	c.byHash = map[uint64]*list.Element{}
	c.events = nil
}

// prefixes calls visit with the hash and length of each prefix, the shortest first.
func prefixes(input []byte, visit func(hash uint64, length int)) {
	for n := minPrefixBytes; n <= len(input); n *= 2 {
		visit(xxhash.Sum64(input[:n]), n)
	}
}

// longestHit returns the length of the longest cached prefix.
func (c *cache) longestHit(input []byte) int {
	longest := 0
	prefixes(input, func(hash uint64, n int) {
		if e, ok := c.byHash[hash]; ok {
			c.lru.MoveToBack(e)
			longest = n
		}
	})
	return longest
}

// add adds the prefixes of an input to the cache and evicts the least recently used ones.
func (c *cache) add(input []byte) {
	prefixes(input, func(hash uint64, _ int) {
		if e, ok := c.byHash[hash]; ok {
			c.lru.MoveToBack(e)
			return
		}
		c.byHash[hash] = c.lru.PushBack(hash)
		c.recordEvent(hash, false)
	})
	for c.lru.Len() > c.size {
		hash, ok := c.lru.Remove(c.lru.Front()).(uint64)
		if !ok {
			continue
		}
		delete(c.byHash, hash)
		c.recordEvent(hash, true)
	}
}

// recordEvent appends an event to the log. A share of the events is dropped, which leaves gaps in the sequence numbers.
func (c *cache) recordEvent(hash uint64, removed bool) {
	c.seq++
	if c.rng.Float64() < c.lossRate {
		return
	}
	c.events = append(c.events, cacheEvent{seq: c.seq, at: time.Now(), hash: hash, removed: removed})
	if len(c.events) > eventHistory {
		c.events = c.events[len(c.events)-eventHistory:]
	}
}

// eventsAfter returns the next events after seq that are visible to callers, up to the next gap in the sequence.
func (c *cache) eventsAfter(seq uint64, now time.Time) backendapi.CacheUpdate {
	update := backendapi.CacheUpdate{Seq: seq + 1, Added: []string{}, Removed: []string{}}
	seen := map[uint64]bool{}
	last := uint64(0)
	for _, ev := range c.events {
		if ev.seq <= seq {
			continue
		}
		// The response does not order additions against removals, so it contains each prefix at most once.
		if ev.at.Add(c.lag).After(now) || seen[ev.hash] || len(seen) == maxEventsPerResponse || (last != 0 && ev.seq != last+1) {
			break
		}
		if last == 0 {
			update.Seq = ev.seq
		}
		last = ev.seq
		seen[ev.hash] = true
		text := strconv.FormatUint(ev.hash, 10)
		if ev.removed {
			update.Removed = append(update.Removed, text)
		} else {
			update.Added = append(update.Added, text)
		}
	}
	return update
}
