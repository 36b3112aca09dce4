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
	minPrefixBytes     = 64   // bytes of the shortest prefix; each next one is twice as long
	eventHistory       = 4096 // cache events kept for callers
	maxEventsPerAnswer = 256  // cache events in one answer
)

// cacheEvent says that a prefix came into the cache or left it.
type cacheEvent struct {
	seq     uint64
	at      time.Time
	hash    uint64
	removed bool
}

// cache is the bounded set of prompt prefixes that an engine holds, least recently used first.
type cache struct {
	size     int
	lag      time.Duration
	lossRate float64
	rng      *rand.Rand
	lru      *list.List
	byHash   map[uint64]*list.Element
	seq      uint64
	events   []cacheEvent
}

func newCache(p Profile) *cache {
	c := &cache{size: p.CacheSize, lag: p.CacheLag, lossRate: p.CacheLossRate, rng: rand.New(rand.NewPCG(1, 0))}
	c.clear()
	return c
}

// clear empties the cache without events, as a restart does.
func (c *cache) clear() {
	c.lru = list.New()
	c.byHash = map[uint64]*list.Element{}
	c.events = nil
}

// prefixes calls yield with the hash and length of each prefix.
func prefixes(input []byte, yield func(hash uint64, length int)) {
	for n := minPrefixBytes; n <= len(input); n *= 2 {
		yield(xxhash.Sum64(input[:n]), n)
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

// add puts the prefixes of an input into the cache and drops the least recently used.
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

// recordEvent keeps an event for callers; a share of the events is lost and leaves a gap in the sequence.
func (c *cache) recordEvent(hash uint64, gone bool) {
	c.seq++
	if c.rng.Float64() < c.lossRate {
		return
	}
	c.events = append(c.events, cacheEvent{seq: c.seq, at: time.Now(), hash: hash, removed: gone})
	if len(c.events) > eventHistory {
		c.events = c.events[len(c.events)-eventHistory:]
	}
}

// eventsAfter returns the next run of events without a gap that callers may see.
func (c *cache) eventsAfter(seq uint64, now time.Time) backendapi.CacheUpdate {
	a := backendapi.CacheUpdate{Seq: seq + 1, Added: []string{}, Removed: []string{}}
	seen := map[uint64]bool{}
	last := uint64(0)
	for _, ev := range c.events {
		if ev.seq <= seq {
			continue
		}
		// An answer has no order between added and gone, so it holds each prefix at most once.
		if ev.at.Add(c.lag).After(now) || seen[ev.hash] || len(seen) == maxEventsPerAnswer || (last != 0 && ev.seq != last+1) {
			break
		}
		if last == 0 {
			a.Seq = ev.seq
		}
		last = ev.seq
		seen[ev.hash] = true
		text := strconv.FormatUint(ev.hash, 10)
		if ev.removed {
			a.Removed = append(a.Removed, text)
		} else {
			a.Added = append(a.Added, text)
		}
	}
	return a
}
