package usage

import (
	"slices"
	"time"

	"bluebellflow/core/id"
)

const (
	// maxRoundTrip is the longest round trip whose answer sets the time. Longer ones are used if the time was not set for
	// clockTimeout.
	maxRoundTrip = 50 * time.Millisecond
	clockTimeout = 5 * time.Second
	// maxReadings is the number of readings that are kept of a clock. With more, a clock that is set back is detected later.
	maxReadings = 4
	// readingTTL is how long the reading of a node's clock counts.
	readingTTL = 10 * time.Second
	// minReadingTime is the least time after the start at which the first median is taken, because the list of nodes is still growing
	// before.
	minReadingTime = 1500 * time.Millisecond
	// readingTimeout is how long a leader that does not know the time waits for the clocks of all nodes, and leaderTimeout how
	// long another node waits for the time of the leader, before they use what they have.
	readingTimeout = 3 * time.Second
	leaderTimeout  = 8 * time.Second
)

// minPause is the gap between two steps above which this process must have been paused. For pauseTime after a pause no readings
// are taken, because messages that were delivered late contain old times.
const (
	minPause  = 500 * time.Millisecond
	pauseTime = 500 * time.Millisecond
)

// clock holds the true time, which advances with the monotonic clock.
type clock struct {
	start    time.Time // of this process
	readings map[id.Node]reading
	offset   time.Duration // true time at start, since the start of 1970
	synced   bool
	setAfter time.Duration // time from the start until a round trip last set the offset
	lastStep time.Time
	readFrom time.Time // when readings are taken again after a pause
}

// reading holds the last readings of a node's wall clock, each converted to the start of this process.
type reading struct {
	offsets []time.Duration // oldest first
	at      time.Time       // when it was last read
}

// offset returns the largest offset, which is that of the fastest message: a delay makes a clock seem slow.
func (r reading) offset() time.Duration { return slices.Max(r.offsets) }

// elapsed returns the time since the start of this process.
func (c *clock) elapsed(now time.Time) time.Duration { return now.Sub(c.start) }

// at returns the true time since the start of 1970.
func (c *clock) at(now time.Time) time.Duration { return c.offset + c.elapsed(now) }

// detectPause detects a pause of this process by the time since the previous step.
func (c *clock) detectPause(now time.Time) {
	if now.Sub(c.lastStep) > minPause {
		c.readFrom = now.Add(pauseTime)
	}
	c.lastStep = now
}

// read records the clock of a node.
func (c *clock) read(now time.Time, name id.Node, shows time.Duration) {
	if now.Before(c.readFrom) {
		return
	}
	old := c.readings[name].offsets
	old = old[max(0, len(old)-maxReadings+1):]
	c.readings[name] = reading{offsets: append(slices.Clone(old), shows-c.elapsed(now)), at: now}
}

// setMedian sets the time to the median of the clocks that were read lately. nodes is the number of all nodes, of which most
// must be known; the first time all of them, because a few clocks may be far off.
func (c *clock) setMedian(now time.Time, nodes int) {
	var offsets []time.Duration
	for name, r := range c.readings {
		if now.Sub(r.at) > readingTTL {
			delete(c.readings, name)
			continue
		}
		offsets = append(offsets, r.offset())
	}
	n := len(offsets)
	enough := 2*n > nodes
	if !c.synced {
		enough = n >= nodes && c.elapsed(now) >= minReadingTime || c.elapsed(now) >= readingTimeout
	}
	if n == 0 || !enough {
		return
	}
	slices.Sort(offsets)
	c.offset, c.synced = (offsets[(n-1)/2]+offsets[n/2])/2, true
}

// setFrom sets the true time from the leader's answer to a message. sent is the time from the start of this process until the
// message was sent, and trueTime the true time at which the leader received it.
func (c *clock) setFrom(now time.Time, sent, trueTime time.Duration) {
	roundTrip := c.elapsed(now) - sent
	if roundTrip < 0 || roundTrip > maxRoundTrip && c.elapsed(now)-c.setAfter < clockTimeout {
		return
	}
	c.offset, c.synced, c.setAfter = trueTime-sent-roundTrip/2, true, c.elapsed(now)
}
