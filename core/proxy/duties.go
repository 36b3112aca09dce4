package proxy

import (
	"net/http"
	"time"

	"bluebellflow/core/autoscale"
	"bluebellflow/core/catalog"
	"bluebellflow/core/duty"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/usage"
)

// serviceTimeDecay is the divisor by which the measured service time of a route approaches longer responses, so that it
// follows the shortest ones of the last hundred or so.
const serviceTimeDecay = 64

// Duties holds the settings of the calls that one node at a time makes to the control service.
type Duties struct {
	Lease duty.Options
	Usage *usage.Options // nil if usage is not reported
	// Encoder encodes the reports of usage.
	Encoder usage.Encoder
	Scale   autoscale.Encoder // encodes orders of servers; nil if none are made
}

// startDuties adds the modules of the duties that the settings name.
func (g *Gateway) startDuties(d *Duties) {
	if d == nil {
		return
	}
	// A late change only delays a takeover: writes are conditional, and the response to a conflict contains the object.
	g.cache.AllowLate(duty.Kind)
	g.leases = duty.New(g.self, d.Lease)
	g.modules = append(g.modules, g.leases)
	if d.Usage != nil {
		g.usage = usage.New(g.self, *d.Usage, g.leader, g.leases, d.Encoder, g.oldestUncounted)
		g.modules = append(g.modules, g.usage)
	}
	if d.Scale != nil {
		g.autoscaler = autoscale.New(g.self, g.leader, g.leases, g.fleet, d.Scale, g.demand)
		g.modules = append(g.modules, g.autoscaler)
	}
}

// dutyLeaderChanged lets the leader take leases and other nodes release theirs.
func (g *Gateway) dutyLeaderChanged(now time.Time, leader id.Node, out *actions) {
	if g.leases != nil {
		out.add(g.leases.SetLeading(now, leader == g.self.Node)...)
	}
	if g.usage != nil {
		g.usage.LeaderChanged(now)
	}
	if g.autoscaler != nil {
		g.autoscaler.LeaderChanged(now)
	}
}

// countBegun counts a request whose stream has begun.
func (g *Gateway) countBegun(now time.Time, r *request, status int) {
	if g.usage != nil && r.route.Kind == catalog.Stream && status < http.StatusMultipleChoices {
		g.usage.Count(r.workspace, now)
	}
}

// countRun counts a request that is not a stream after its response, or after its server has failed. After a response the run is
// taken to have begun earlier by the shortest usual response time of its route.
func (g *Gateway) countRun(now time.Time, r *request, fail event.FailKind) {
	if g.usage == nil || r.route.Kind == catalog.Stream || fail.NotRun() {
		return
	}
	began := now.Add(-g.durationsOf(r.route.Name).shortest)
	if fail != 0 || began.Before(r.sent) {
		began = r.sent
	}
	g.usage.Count(r.workspace, began)
}

// oldestUncounted returns the send time of the oldest running request that is not a stream, zero if there is none.
func (g *Gateway) oldestUncounted() time.Time {
	var oldest time.Time
	for _, r := range g.requests {
		if r.phase == running && r.route.Kind != catalog.Stream && (oldest.IsZero() || r.sent.Before(oldest)) {
			oldest = r.sent
		}
	}
	return oldest
}

// releasing reports whether a stopping node still has to release a lease.
func (g *Gateway) releasing() bool { return g.leases != nil && g.leases.Releasing() }
