package cost

import "time"

// Rates before the first measurements, which are usual for model servers.
const (
	defaultFirst       = 10 * time.Millisecond // to the first event without a prompt
	defaultRead        = 10 * time.Microsecond // for a prompt token
	defaultEvent       = 30 * time.Millisecond // between two events if nothing else runs
	defaultEventBeside = 500 * time.Microsecond
	defaultDuration    = time.Second
	// priorTokens and priorBeside are the x values of the second points by which these rates define a pool's lines.
	priorTokens = 4000
	priorBeside = 8
)

// pool holds what was learned of the servers of a pool.
type pool struct {
	read      line   // nanoseconds to the first event, by the prompt tokens that are read until then
	event     line   // nanoseconds between two events, by the other requests at the server
	others    spread // requests of other nodes at a server
	durations spread // nanoseconds from the send to the end of the response
}

func newPool() *pool {
	first, read := float64(defaultFirst), float64(defaultRead)
	event, beside := float64(defaultEvent), float64(defaultEventBeside)
	return &pool{
		read:  newLine(point{0, first}, point{priorTokens, first + priorTokens*read}),
		event: newLine(point{0, event}, point{priorBeside, event + priorBeside*beside}),
	}
}

// readTime returns the time to read prompt tokens.
func (p *pool) readTime(tokens float64) time.Duration { return time.Duration(p.read.slope * tokens) }

// tokensIn returns the prompt tokens that are read in a time.
func (p *pool) tokensIn(d time.Duration) float64 { return float64(d) / max(1, p.read.slope) }

// eventTime returns the time between two events of a response beside other requests.
func (p *pool) eventTime(beside float64) time.Duration { return time.Duration(p.event.at(beside)) }

// duration returns how long a request is at a server.
func (p *pool) duration() time.Duration {
	if p.durations.count == 0 {
		return defaultDuration
	}
	return time.Duration(p.durations.mean)
}

// requestsWork returns the work of requests of which only the number is known: each is taken to be half done.
func (p *pool) requestsWork(count float64) Work {
	return Work{Requests: count, Write: scale(p.duration(), count/2)}
}
