package gateway

import (
	"expvar"

	"bluebellflow/core/autoscale"
	"bluebellflow/core/duty"
	"bluebellflow/core/event"
	"bluebellflow/core/usage"
)

// executeDuty makes a call to the control service, or updates the metrics of the duties.
func (n *Node) executeDuty(a event.Action) {
	switch a := a.(type) {
	case duty.Call:
		n.control.Call(a)
	case duty.Held:
		n.setHeld(a)
	case usage.Reported:
		n.vars.Add(reportedVar(a), 1)
	case autoscale.Ordered:
		n.countOrder(a)
	case autoscale.Measured:
		demand := new(expvar.Float)
		demand.Set(a.Demand)
		n.vars.Set("autoscale_demand_"+string(a.Pool), demand)
	}
}

// countOrder counts an order of servers, and sets the number that is ordered for its pool and failure domain.
func (n *Node) countOrder(o autoscale.Ordered) {
	if o.Accepted {
		n.vars.Add("autoscale_orders_accepted", 1)
		return
	}
	n.vars.Add("autoscale_orders", 1)
	desired := new(expvar.Int)
	desired.Set(int64(o.Desired))
	n.vars.Set("autoscale_desired_"+string(o.Pool)+"."+string(o.Domain), desired)
}

// setHeld sets the number of leases that this node holds, and the fencing token of one of them. The token of a lease that it
// does not hold is 0.
func (n *Node) setHeld(h duty.Held) {
	token, count := new(expvar.Int), new(expvar.Int)
	delete(n.held, h.Subject)
	if h.Held {
		token.Set(int64(h.Token))
		n.held[h.Subject] = true
	}
	count.Set(int64(len(n.held)))
	n.vars.Set("duty_token_"+h.Subject.String(), token)
	n.vars.Set("duty_leases_held", count)
}

// reportedVar returns the name of the counter for the outcome of a report.
func reportedVar(r usage.Reported) string {
	switch {
	case r.Late:
		return "usage_reports_late"
	case r.Repeated:
		return "usage_reports_repeated"
	}
	return "usage_reports_sent"
}
