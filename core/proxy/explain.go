package proxy

import (
	"net/http"
	"time"

	"bluebellflow/core/balance"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

// ExplainRoute asks where a request would be sent now. Its answer is an event.CommandResult with an Explanation.
type ExplainRoute struct {
	event.Command
	RequestInfo
}

// Explanation is the server to which a request would be sent, and the reason. Without a server, Status is that of the refusal.
type Explanation struct {
	Status     int                 `json:"status,omitempty"` // of the refusal
	Reason     string              `json:"reason"`
	Route      string              `json:"route,omitempty"`
	Pool       id.Pool             `json:"pool,omitempty"`
	Workspace  id.Workspace        `json:"workspace,omitempty"`
	Server     id.Server           `json:"server,omitempty"`
	Candidates []balance.Candidate `json:"candidates,omitempty"` // servers that were weighed
}

// explain determines where a request would be sent, without sending it. Its stages are left out.
func (g *Gateway) explain(now time.Time, info RequestInfo) Explanation {
	r := &request{RequestInfo: info, arrived: now}
	if g.catalog == nil || !g.loaded() {
		return Explanation{Status: http.StatusServiceUnavailable, Reason: "the configuration is not known yet"}
	}
	r.route = g.catalog.Route(r.Host, r.Path)
	switch {
	case r.route == nil:
		return Explanation{Status: http.StatusNotFound, Reason: "no route"}
	case !g.authorize(r):
		return Explanation{Status: http.StatusUnauthorized, Reason: "unknown key", Route: r.route.Name}
	case r.route.Problem != nil:
		return Explanation{Status: http.StatusServiceUnavailable, Reason: r.route.Problem.Error(), Route: r.route.Name}
	}
	name := g.choosePool(r)
	out := Explanation{Route: r.route.Name, Pool: name, Workspace: r.workspace}
	if r.pool = g.catalog.Pool(name); r.pool == nil {
		out.Status, out.Reason = http.StatusServiceUnavailable, "the route's pool is not configured"
		return out
	}
	r.objectiveAt, r.deadline = now.Add(r.route.LatencyObjective), now.Add(r.route.Timeout)
	s, reason := g.pickServer(now, r)
	out.Reason = reason
	if s == nil {
		out.Status = http.StatusServiceUnavailable
		return out
	}
	out.Server, out.Candidates = s.ID, g.balancer.Candidates()
	return out
}
