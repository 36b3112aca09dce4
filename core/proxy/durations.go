package proxy

import "time"

const (
	// durationDivisor divides the difference of a new measurement from a smoothed duration, before it is added to it.
	durationDivisor = 8
	// maxDeviations is the number of mean deviations by which a duration rarely exceeds its mean, as for the retransmission
	// timeout of RFC 6298.
	maxDeviations = 4
)

// duration is a smoothed duration with its mean deviation.
type duration struct{ mean, deviation time.Duration }

// observe adds a measurement.
func (d *duration) observe(took time.Duration) {
	if d.mean == 0 {
		d.mean, d.deviation = took, took/2
		return
	}
	d.deviation += ((took - d.mean).Abs() - d.deviation) / durationDivisor
	d.mean += (took - d.mean) / durationDivisor
}

// routeDurations holds how long the successful requests of a route took.
type routeDurations struct {
	firstByte duration // from the send to the first part of the response
	response  duration // from the send to the end of the response
	total     duration // from the arrival to the end of the response
}

// durationsOf returns the durations of a route, which are zero if nothing was measured yet.
func (g *Gateway) durationsOf(route string) *routeDurations {
	d, ok := g.durations[route]
	if !ok {
		d = &routeDurations{}
		g.durations[route] = d
	}
	return d
}

// recordDurations records how long a request took that got a response.
func (g *Gateway) recordDurations(now time.Time, r *request) {
	d := g.durationsOf(r.route.Name)
	d.response.observe(now.Sub(r.sent))
	d.total.observe(now.Sub(r.arrived))
}

// expectedFirstByte returns the expected time to the first part of a response of a route.
func (g *Gateway) expectedFirstByte(route string) time.Duration {
	if mean := g.durationsOf(route).firstByte.mean; mean > 0 {
		return mean
	}
	return defaultFirstByte
}
