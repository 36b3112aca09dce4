package permit

import (
	"time"

	"bluebellflow/core/id"
)

// Baseline is a simpler policy for limiting the load of cold servers. Experiments compare permits with it.
type Baseline string

const (
	// StaticDivision gives each node an equal share of what the server can handle, but at least one attempt in flight.
	StaticDivision Baseline = "static"
	// TimedRamp raises the share of each node with the time since that node first saw the server's current start,
	// regardless of completions.
	TimedRamp Baseline = "timedramp"
	// NoPermit treats every server as warm.
	NoPermit Baseline = "nopermit"
)

// rampDuration is how long TimedRamp takes to reach the warm limit.
const rampDuration = 10 * time.Second

// WithBaseline replaces permits by a baseline.
func WithBaseline(b Baseline) Option { return func(p *Permits) { p.baseline = b } }

// takeShare implements Take under a baseline: it takes one attempt from this node's share and sends no message.
func (p *Permits) takeShare(now time.Time, server id.Server, attempt id.Attempt) bool {
	if p.freeShare(now, server) <= 0 {
		return false
	}
	p.inFlight[attempt] = usedPermit{server: server, state: p.state(server)}
	p.requester(server).baselineInFlight++
	return true
}

// freeShare returns how many more attempts this node may send under the baseline.
func (p *Permits) freeShare(now time.Time, server id.Server) int {
	r := p.requester(server)
	s := p.state(server)
	r.resetIfStale(s)
	if r.baselineStart != s.Start {
		r.baselineStart, r.baselineSince = s.Start, now
	}
	limits := p.limits[p.servers[server].Pool]
	nodes := 1
	if p.view != nil {
		nodes = len(p.view.Nodes)
	}
	allowed, warm := Allowance(limits, int(r.completions)*nodes)
	if p.baseline == TimedRamp {
		elapsed := now.Sub(r.baselineSince)
		warm = elapsed >= rampDuration
		allowed = limits.Cold + int(float64(limits.Warm-limits.Cold)*elapsed.Seconds()/rampDuration.Seconds())
	}
	if warm && s.Start != "" {
		s.Warm = true
		p.setState(s)
	}
	return max(1, allowed/nodes) - r.baselineInFlight
}
