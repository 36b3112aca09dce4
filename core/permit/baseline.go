package permit

import (
	"time"

	"bluebellflow/core/id"
)

// Baseline is a way to limit cold servers without a holder, for comparison.
type Baseline string

const (
	// StaticDivision gives each node an equal share of what the server can handle, but at least one attempt.
	StaticDivision Baseline = "static"
	// TimedRamp raises the share of each node with the time since the server started, without evidence.
	TimedRamp Baseline = "timedramp"
	// NoPermit treats every server as warm.
	NoPermit Baseline = "nopermit"
)

// rampDuration is how long TimedRamp takes to the warm limit.
const rampDuration = 10 * time.Second

// WithBaseline replaces permits with a baseline.
func WithBaseline(b Baseline) Option { return func(p *Permits) { p.baseline = b } }

// takeShare uses a part of this node's own share; it sends no message.
func (p *Permits) takeShare(now time.Time, server id.Server, attempt id.Attempt) bool {
	if p.freeShare(now, server) <= 0 {
		return false
	}
	p.inFlight[attempt] = usedPermit{server: server, state: p.state(server)}
	p.requester(server).baselineInFlight++
	return true
}

// freeShare returns how many more attempts this node may send.
func (p *Permits) freeShare(now time.Time, server id.Server) int {
	b := p.requester(server)
	s := p.state(server)
	b.resetIfStale(s)
	if b.baselineStart != s.Start {
		b.baselineStart, b.baselineSince = s.Start, now
	}
	limits := p.limits[p.servers[server].Pool]
	nodes := 1
	if p.view != nil {
		nodes = len(p.view.Nodes)
	}
	allowed, warm := Allowance(limits, int(b.completions)*nodes)
	if p.baseline == TimedRamp {
		elapsed := now.Sub(b.baselineSince)
		warm = elapsed >= rampDuration
		allowed = limits.Cold + int(float64(limits.Warm-limits.Cold)*elapsed.Seconds()/rampDuration.Seconds())
	}
	if warm && s.Start != "" {
		s.Warm = true
		p.setState(s)
	}
	return max(1, allowed/nodes) - b.baselineInFlight
}
