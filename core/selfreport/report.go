package selfreport

import (
	"fmt"
	"time"
)

// Load is a server's own report of its load.
type Load struct {
	Running, Waiting, Slots int
	Pace                    int // time that work takes now, in percent of the normal time; 0 if not reported
}

// NormalPace is the pace of a server whose work takes the normal time.
const NormalPace = 100

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
