package cost

import (
	"math"
	"time"

	"bluebellflow/core/fleet"
	"bluebellflow/core/selfreport"
)

const (
	// remoteFresh is the age up to which the work of other nodes counts in full. Nodes report it several times a second, through
	// one or two relays.
	remoteFresh = 600 * time.Millisecond
	// remoteFade is the time in which the work of other nodes loses two thirds of its weight after that.
	remoteFade = time.Second
	// minReportFade is the least time in which a load report loses two thirds of its weight.
	minReportFade = 200 * time.Millisecond
	// reportShare is the weight of a new load report relative to the work that other nodes report. Neither is exact: a load report
	// is current, but a server may report wrong figures; the work of other nodes is some hundred milliseconds old.
	reportShare = 0.5
	// slowFade is the time in which the slowness of a server loses two thirds of its weight, so that the server is tried again.
	slowFade = 10 * time.Second
	// maxSlowness bounds the slowness of a server, and its inverse.
	maxSlowness = 8
)

// Work is what a server still has to do.
type Work struct {
	Requests float64       // that it has not answered completely
	Read     time.Duration // time to read the prompts that it has not read
	Write    time.Duration // time in which it sends the rest of the responses, one by one
}

func (w Work) add(o Work) Work {
	return Work{w.Requests + o.Requests, w.Read + o.Read, w.Write + o.Write}
}

// mix returns w moved towards o by a weight from 0 to 1.
func (w Work) mix(o Work, weight float64) Work {
	return Work{
		Requests: w.Requests + weight*(o.Requests-w.Requests),
		Read:     w.Read + time.Duration(weight*float64(o.Read-w.Read)),
		Write:    w.Write + time.Duration(weight*float64(o.Write-w.Write)),
	}
}

// attempt is a request of this node at a server.
type attempt struct {
	Request
	sent              time.Time
	began             time.Time // zero before the first event
	expected          Estimate
	events, deviation float64 // expected events of the response
	others            float64 // other requests at the server when the response began
}

// remaining returns what the server still has to do for an attempt.
func (a *attempt) remaining(now time.Time, p *pool) Work {
	event := p.eventTime(a.expected.Beside)
	if a.began.IsZero() {
		read := min(a.expected.Read, max(0, a.expected.First-now.Sub(a.sent)))
		return Work{1, read, scale(event, a.events)}
	}
	done := float64(now.Sub(a.began)) / float64(max(1, event))
	return Work{1, 0, scale(event, max(a.events-done, a.deviation/2))}
}

// server holds the work of a server as far as this node knows it.
type server struct {
	*fleet.Server
	hash     uint64 // of its process
	attempts []*attempt
	load     selfreport.Load
	loadAt   time.Time
	loadOwn  int // attempts of this node when the load was reported
	remote   Work
	remoteAt time.Time
	slowness float64 // time that work took as a multiple of what was expected, 0 before the first measurement
	slowAt   time.Time
}

// slots returns how many requests the server runs at once.
func (s *server) slots() int { return max(1, s.Slots) }

// work returns the work of all requests.
func (s *server) work(now time.Time, p *pool) Work { return s.own(now, p).add(s.others(now, p)) }

// own returns the work of this node's attempts.
func (s *server) own(now time.Time, p *pool) Work {
	var sum Work
	for _, a := range s.attempts {
		sum = sum.add(a.remaining(now, p))
	}
	return sum
}

// others returns the work of all other requests: the mean of the pool, corrected by the server's load report and by the work that
// other nodes have reported, each weighted by its age.
func (s *server) others(now time.Time, p *pool) Work {
	sum := p.requestsWork(p.others.mean)
	reported := 0.0
	if !s.loadAt.IsZero() {
		reported = fade(now.Sub(s.loadAt), max(minReportFade, p.duration()))
		sum = sum.mix(p.requestsWork(s.reportedOthers()), reported)
	}
	if !s.remoteAt.IsZero() {
		age := now.Sub(s.remoteAt)
		remote := s.remote
		remote.Read = max(0, remote.Read-age)
		sum = sum.mix(remote, fade(age-remoteFresh, remoteFade)*(1-reportShare*reported))
	}
	return sum
}

// reportedOthers returns the requests of others in the last load report. At most twice as many
// requests as the server has slots are assumed.
func (s *server) reportedOthers() float64 {
	slots := s.slots()
	n := min(s.load.Running, slots) + min(s.load.Waiting, slots)
	return float64(max(0, n-s.loadOwn))
}

// fade returns the weight of knowledge of the given age: 1 at first, about a third after the span.
func fade(age, span time.Duration) float64 {
	return math.Exp(-float64(max(0, age)) / float64(span))
}

// slowdown returns the time that work takes at the server now, as a multiple of the time by the pool's rates.
func (s *server) slowdown(now time.Time) float64 {
	factor := s.load.Slowdown(now.Sub(s.loadAt))
	if s.slowness == 0 {
		return factor
	}
	return factor * (1 + (s.slowness-1)*fade(now.Sub(s.slowAt), slowFade))
}

// measureSlowness updates the slowness by the time that work took relative to the expected time. gain is its weight.
func (s *server) measureSlowness(now time.Time, took, expected time.Duration, gain float64) {
	if expected <= 0 {
		return
	}
	before := 1.0
	if s.slowness > 0 {
		before = 1 + (s.slowness-1)*fade(now.Sub(s.slowAt), slowFade)
	}
	ratio := min(maxSlowness, max(1.0/maxSlowness, float64(took)/float64(expected)))
	s.slowness, s.slowAt = before*math.Pow(ratio/before, gain), now
}

// scale multiplies a span of time.
func scale(d time.Duration, factor float64) time.Duration { return time.Duration(factor * float64(d)) }
