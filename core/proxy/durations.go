package proxy

import "time"

const (
	// meanDivisor and deviationDivisor divide the difference of a new measurement before it is added to a smoothed mean or
	// deviation, and maxDeviations is the number of deviations by which a duration rarely exceeds its mean. All are those of
	// the retransmission timeout of RFC 6298.
	meanDivisor      = 8
	deviationDivisor = 4
	maxDeviations    = 4
	// minMeasurements is how many measurements a bound needs: the first ones have hardly shown how durations vary.
	minMeasurements = 4
)

// duration is a smoothed duration with its mean deviation.
type duration struct {
	mean, deviation time.Duration
	measurements    int
}

// observe adds a measurement.
func (d *duration) observe(took time.Duration) {
	d.measurements++
	if d.measurements == 1 {
		d.mean, d.deviation = took, took/2
		return
	}
	d.deviation += ((took - d.mean).Abs() - d.deviation) / deviationDivisor
	d.mean += (took - d.mean) / meanDivisor
}

// bound returns the mean and some deviations, or 0 if there are too few measurements.
func (d *duration) bound(deviations time.Duration) time.Duration {
	if d.measurements < minMeasurements {
		return 0
	}
	return d.mean + deviations*d.deviation
}

// routeDurations holds how long the requests of a route took that got a response.
type routeDurations struct {
	firstByte duration      // from the send to the first part of the response
	response  duration      // from the send to the end of the response
	shortest  time.Duration // like response, but of the shortest ones: about the service time of a request
	total     duration      // from the arrival to the end of the response
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

// recordDurations records how long a request took that got a response of one server.
func (g *Gateway) recordDurations(now time.Time, r *request) {
	if r.resume.broken {
		return
	}
	d := g.durationsOf(r.route.Name)
	took := now.Sub(r.sent)
	d.response.observe(took)
	d.shortest += (took - d.shortest) / serviceTimeDecay
	if took < d.shortest || d.response.measurements == 1 {
		d.shortest = took
	}
	d.total.observe(now.Sub(r.arrived))
}

// expectedFirstByte returns the expected time to the first part of a response of a route.
func (g *Gateway) expectedFirstByte(route string) time.Duration {
	if first := g.durationsOf(route).firstByte; first.measurements > 0 {
		return first.mean
	}
	return defaultFirstByte
}
