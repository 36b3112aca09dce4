package capacity

import (
	"math"
	"time"
)

// rateWindow is the time constant of the exponential decay of a rate.
const rateWindow = time.Second

// rate measures how often something happens.
type rate struct {
	perSecond float64
	updatedAt time.Time
}

// count counts one event.
func (r *rate) count(now time.Time) {
	r.perSecond = r.at(now) + 1/rateWindow.Seconds()
	r.updatedAt = now
}

// at returns the events per second.
func (r *rate) at(now time.Time) float64 {
	if r.updatedAt.IsZero() {
		return 0
	}
	return r.perSecond * math.Exp(-now.Sub(r.updatedAt).Seconds()/rateWindow.Seconds())
}
