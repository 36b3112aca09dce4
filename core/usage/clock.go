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
	// maxReadings is the number of readings that are kept of a clock. More would delay the notice of a clock that is set back.
	maxReadings = 4
	// readingTTL is how long the reading of a node's clock counts.
	readingTTL = 10 * time.Second
	// minReadingTime is the least time after which the first median is taken: the list of nodes grows while they start.
	minReadingTime = 1500 * time.Millisecond
	// readingTimeout is how long a leader that does not know the time waits for the clocks of all nodes, and leaderTimeout how
	// long another node waits for the time of the leader, before they use what they have.
	readingTimeout = 3 * time.Second
	leaderTimeout  = 8 * time.Second
)

// minPause is the gap between two steps above which this process must have been paused, and pauseTime how long after it no
// readings are taken: the messages that have waited show times that are past.
const (
	minPause  = 500 * time.Millisecond
	pauseTime = 500 * time.Millisecond
)

// clock tells the true time. It advances with the monotonic clock.
type clock struct {
	start    time.Time // of this process
	readings map[id.Node]reading
	offset   time.Duration // true time at start, since the start of 1970
	synced   bool
	setAfter time.Duration // time from the start until a round trip last set the offset
	lastStep time.Time
	readFrom time.Time // when readings are taken again after a pause
}

// reading holds what a node's last messages say of its clock at the start of this process.
type reading struct {
	offsets []time.Duration // oldest first
	at      time.Time       // when it was last read
}

// offset returns that of the message that was fastest: a delay makes a clock look slow.
func (r reading) offset() time.Duration { return slices.Max(r.offsets) }

// elapsed returns the time since the start of this process.
func (c *clock) elapsed(now time.Time) time.Duration { return now.Sub(c.start) }

// at returns the true time since the start of 1970.
func (c *clock) at(now time.Time) time.Duration { return c.offset + c.elapsed(now) }

// notePause notices a pause of this process.
func (c *clock) notePause(now time.Time) {
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

// setFrom sets the time to that of the leader at the receipt of a message that was sent some time after the start.
func (c *clock) setFrom(now time.Time, sent, trueTime time.Duration) {
	roundTrip := c.elapsed(now) - sent
	if roundTrip < 0 || roundTrip > maxRoundTrip && c.elapsed(now)-c.setAfter < clockTimeout {
		return
	}
	c.offset, c.synced, c.setAfter = trueTime-sent-roundTrip/2, true, c.elapsed(now)
}
