package selfreport

import (
	"fmt"
	"math"
	"time"
)

// Load is a server's own report of its load.
type Load struct {
	Running, Waiting, Slots int
	Pace                    int // time that work takes now, in percent of the normal time; 0 if not reported
}

// NormalPace is the pace of a server whose work takes the normal time.
const NormalPace = 100

const (
	// paceDecayTime is the time in which a reported pace loses two thirds of its weight. Servers change their pace many times a
	// second, so that an old value is of little use.
	paceDecayTime = 200 * time.Millisecond
	// maxSlowdown bounds the effect of a reported pace, so that a wrong one does not keep a server unused or overloaded.
	maxSlowdown = 8
)

// Slowdown returns the time that work takes as a multiple of the normal time, on a server that reported its load the given time ago.
// It approaches 1 as the report ages.
func (l Load) Slowdown(age time.Duration) float64 {
	if l.Pace == 0 {
		return 1
	}
	factor := min(maxSlowdown, max(1.0/maxSlowdown, float64(l.Pace)/NormalPace))
	return 1 + (factor-1)*math.Exp(-float64(age)/float64(paceDecayTime))
}

// Full reports whether the server could not begin with another request.
func (l Load) Full() bool { return l.Waiting > 0 || l.Running >= l.Slots }

// Report is what a server says of itself in a response. The zero Report says nothing.
type Report struct {
	Load      Load
	LoadKnown bool          `json:"Known"` // Load is set
	Limited   bool          // the server is in need, and Rate is set
	Rate      float64       // requests per second that it takes from all nodes together
	Leaving   bool          // it is about to exit
	Pause     time.Duration // time in which it wants no requests from this node, 0 for none
}

// notable reports whether the server says anything that matters to the choice of a server but its load.
func (r Report) notable() bool { return r.Limited || r.Leaving || r.Pause > 0 }

// limit formats the rate limit for the log.
func (r Report) limit() string {
	if !r.Limited {
		return "no limit"
	}
	return fmt.Sprintf("limit %g/s", r.Rate)
}
