package autoscale

import (
	"math"
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

const (
	// sendInterval is the time between two reports of a node if they are not sent together with usage counts. It is longer than the
	// interval of usage counts, which take precedence.
	sendInterval = 1250 * time.Millisecond
	// maxReportAge is the age up to which the report of a node counts: two of them may be lost.
	maxReportAge = 3 * time.Second
	// completeFraction is the part of the nodes whose reports make a measurement complete. In a large deployment some nodes are
	// always starting or stopping.
	completeFraction = 0.9
)

// report is the last report of a node.
type report struct {
	Demand
	incarnation id.Incarnation
	at          time.Time
	refused     map[id.Pool]float64 // work refused since the report before, in requests in progress
}

// handleDemand records the report of a node, unless a later one has arrived.
func (a *Autoscaler) handleDemand(now time.Time, ev event.Receive, d Demand) {
	old, known := a.reports[ev.From]
	if known && old.incarnation == ev.Incarnation && d.Sent <= old.Sent {
		return
	}
	next := report{Demand: d, incarnation: ev.Incarnation, at: now}
	if known && old.incarnation == ev.Incarnation {
		next.refused = refusedBetween(old.Demand, d)
	}
	a.reports[ev.From] = next
}

// refusedBetween returns the refused work of each pool between two reports of a process, in requests in progress.
func refusedBetween(before, after Demand) map[id.Pool]float64 {
	elapsed := time.Duration(after.Sent - before.Sent)
	out := map[id.Pool]float64{}
	for _, p := range after.Pools {
		i := slices.IndexFunc(before.Pools, func(o PoolDemand) bool { return o.Pool == p.Pool })
		if i >= 0 && p.Refused > before.Pools[i].Refused {
			work := time.Duration(p.Refused-before.Pools[i].Refused) * time.Millisecond
			out[p.Pool] = float64(work) / float64(elapsed)
		}
	}
	return out
}

// measured is the sum of the nodes' reports on a pool.
type measured struct {
	running  map[id.FailureDomain]float64
	reports  map[id.FailureDomain]float64
	load     map[id.FailureDomain]float64
	waiting  float64
	refused  float64
	nodes    int // number of nodes whose reports are recent
	expected int // number of all nodes
}

// measure adds up the reports on a pool.
func (a *Autoscaler) measure(now time.Time, pool id.Pool) measured {
	m := measured{
		running: map[id.FailureDomain]float64{}, reports: map[id.FailureDomain]float64{}, load: map[id.FailureDomain]float64{},
		expected: len(a.nodes),
	}
	for _, name := range a.nodes {
		r, known := a.reports[name]
		if !known || now.Sub(r.at) > maxReportAge {
			continue
		}
		m.nodes++
		m.refused += r.refused[pool]
		if i := slices.IndexFunc(r.Pools, func(p PoolDemand) bool { return p.Pool == pool }); i >= 0 {
			m.add(r.Pools[i])
		}
	}
	return m
}

func (m *measured) add(p PoolDemand) {
	m.waiting += float64(p.Waiting)
	for _, d := range p.Domains {
		m.running[d.Domain] += float64(d.Running)
		m.reports[d.Domain] += float64(d.Reports)
		m.load[d.Domain] += float64(d.Load)
	}
}

// complete reports whether nearly all nodes have reported.
func (m *measured) complete() bool {
	return m.nodes > 0 && float64(m.nodes) >= completeFraction*float64(m.expected)
}

// majority reports whether more than half of the nodes have reported. Fewer are no basis for an estimate.
func (m *measured) majority() bool { return 2*m.nodes > m.expected }

// minReports is the number of load reports from which their mean is used for all servers of a failure domain. The mean of fewer
// varies too much.
const minReports = 30

// total returns the demand, in requests in progress, from the recent reports. The load that servers report includes
// work that no node reports, such as requests whose callers have left. servers returns the number of servers in a failure domain.
func (m *measured) total(servers func(id.FailureDomain) int) float64 {
	total := m.waiting + m.refused
	for domain, running := range m.running {
		if n := m.reports[domain]; n >= minReports {
			running = max(running, m.load[domain]/n*float64(servers(domain)))
		}
		total += running
	}
	return total
}

// estimate returns the demand of all nodes. Nodes that do not report are assumed to have as many requests as the others. If
// many are silent, their callers may have moved to the other nodes, which then count these requests. The estimate therefore does
// not exceed lastComplete, the last complete demand, unless the other nodes report more. lastComplete is 0 if there is none.
func (m *measured) estimate(total, lastComplete float64) float64 {
	if m.nodes == 0 {
		return lastComplete
	}
	all := total * float64(max(m.expected, m.nodes)) / float64(m.nodes)
	if m.complete() || lastComplete == 0 {
		return all
	}
	return max(total, min(all, lastComplete))
}

// median returns the lower median of the values, or 0 if there are none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[(len(sorted)-1)/2]
}

// serversFor returns the number of servers that a demand fills.
func serversFor(demand, slots float64) int {
	return int(math.Ceil(demand/slots - epsilon))
}

// epsilon keeps rounding errors from adding a server.
const epsilon = 1e-9
