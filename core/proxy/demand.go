package proxy

import (
	"maps"
	"slices"
	"time"

	"bluebellflow/core/id"
	"bluebellflow/core/leader"
	"bluebellflow/core/selfreport"
)

// defaultWork is the expected time for which a server works on a request of a route without measurements.
const defaultWork = time.Second

// demand returns the demand of the open requests on a pool: attempts in progress by failure domain, and the number of requests that
// wait for a server.
func (g *Gateway) demand(pool id.Pool) (attempts map[id.FailureDomain]int, waiting int) {
	attempts = map[id.FailureDomain]int{}
	for _, r := range g.requests {
		switch {
		case r.pool.Name != pool:
		case r.phase == placing:
			waiting++
		case r.phase == running:
			var domain id.FailureDomain
			if s := g.fleet.Server(r.server); s != nil {
				domain = s.Domain
			}
			attempts[domain]++
		}
	}
	return attempts, waiting
}

// observeLoad passes the load that a server has reported in its response on to the autoscaler.
func (g *Gateway) observeLoad(r *request, report selfreport.Report) {
	s := g.fleet.Server(r.server)
	if g.autoscaler != nil && report.LoadKnown && s != nil {
		g.autoscaler.ObserveLoad(r.pool.Name, s.Domain, report.Load)
	}
}

// countUnplaced counts a request that is refused because no server was available.
func (g *Gateway) countUnplaced(r *request) {
	if g.autoscaler == nil || r.phase != placing {
		return
	}
	work := defaultWork
	if d := g.durationsOf(r.route.Name).response; d.measurements > 0 {
		work = d.mean
	}
	g.autoscaler.Refused(r.pool.Name, work)
}

// domainsOf returns the failure domains of the candidates, sorted.
func domainsOf(candidates []leader.Candidate) []id.FailureDomain {
	domains := map[id.FailureDomain]bool{}
	for _, c := range candidates {
		domains[c.Domain] = true
	}
	return slices.Sorted(maps.Keys(domains))
}
