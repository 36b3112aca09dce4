package proxy

import (
	"fmt"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
)

// ConnLimitOutcome is the outcome for a request for which servers were excluded because of the limit of connections.
type ConnLimitOutcome string

// Outcomes of such a request.
const (
	ConnLimitMoved   ConnLimitOutcome = "moved"   // to another server
	ConnLimitWaited  ConnLimitOutcome = "waited"  // for a connection
	ConnLimitRefused ConnLimitOutcome = "refused" // after the wait
)

// reportConnLimit logs and counts a request for which servers were excluded because of the limit of connections. s is the server
// that was chosen instead, or nil.
func (g *Gateway) reportConnLimit(now time.Time, r *request, s *fleet.Server, out *actions) {
	excluded := r.connCheck.Excluded()
	if excluded == 0 {
		return
	}
	outcome, server := ConnLimitMoved, ""
	switch waited := now.Sub(r.placingSince); {
	case s != nil:
		server = string(s.ID)
	case waited >= maxPlaceWait || r.mayHaveRun:
		outcome = ConnLimitRefused
	case waited == 0:
		outcome = ConnLimitWaited
	default:
		return // reported when the wait began
	}
	out.add(ConnLimited{Outcome: outcome}, event.Log{Kind: "connlimit", Request: r.Name, Stage: r.route.Name, Choice: string(outcome), Reason: fmt.Sprintf(
		"server=%s excluded=%d pool=%s maxConns=%d waited=%s", server, excluded, r.pool.Name, r.pool.MaxConns, now.Sub(r.placingSince))})
}
