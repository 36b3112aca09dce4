package usage

import (
	"slices"
	"time"

	"bluebellflow/core/id"
)

const (
	// maxRoundTrip is the longest round trip whose answer sets the time, unless there was no shorter one for clockTimeout.
	maxRoundTrip = 50 * time.Millisecond
	clockTimeout = 5 * time.Second
	// readingTTL is how long the reading of a node's clock counts.
	readingTTL = 10 * time.Second
	// unsyncedTimeout is how long a node waits for the time of the leader, and the leader for the clocks of most nodes, before
	// it uses what it has.
	unsyncedTimeout = 3 * time.Second
)

// clock tells the true time. It advances with the monotonic clock.
type clock struct {
	start    time.Time // of this process
	readings map[id.Node]reading
	offset   time.Duration // true time at start, since the start of 1970
	synced   bool
	syncedAt time.Time // when a short round trip has set the offset
}

// reading is the clock of a node at the start of this process.
type reading struct {
	offset time.Duration
	at     time.Time // when it was read
}

// elapsed returns the time since the start of this process.
func (c *clock) elapsed(now time.Time) time.Duration { return now.Sub(c.start) }

// at returns the true time since the start of 1970.
func (c *clock) at(now time.Time) time.Duration { return c.offset + c.elapsed(now) }

// read records the clock of a node.
func (c *clock) read(now time.Time, name id.Node, shows time.Duration) {
	c.readings[name] = reading{offset: shows - c.elapsed(now), at: now}
}

// setMedian sets the time to the median of the clocks that were read lately. nodes is the number of all nodes, of which most
// must be known.
func (c *clock) setMedian(now time.Time, nodes int) {
	var offsets []time.Duration
	for name, r := range c.readings {
		if now.Sub(r.at) > readingTTL {
			delete(c.readings, name)
			continue
		}
		offsets = append(offsets, r.offset)
	}
	n := len(offsets)
	if n == 0 || 2*n <= nodes && (c.synced || c.elapsed(now) < unsyncedTimeout) {
		return
	}
	slices.Sort(offsets)
	c.offset, c.synced = (offsets[(n-1)/2]+offsets[n/2])/2, true
}

// setFrom sets the time to that of the leader at the receipt of a message that was sent some time after the start.
func (c *clock) setFrom(now time.Time, sent, trueTime time.Duration) {
	roundTrip := c.elapsed(now) - sent
	if roundTrip < 0 || roundTrip > maxRoundTrip && c.synced && now.Sub(c.syncedAt) < clockTimeout {
		return
	}
	c.offset, c.synced, c.syncedAt = trueTime-sent-roundTrip/2, true, now
}
