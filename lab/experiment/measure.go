package experiment

import (
	"maps"
	"slices"
	"strings"
	"time"

	"bluebellflow/core/id"
	"bluebellflow/lab/load"
	"bluebellflow/lab/platform"
	"bluebellflow/lab/testbed"
)

const (
	sampleInterval = 250 * time.Millisecond
	drainGrace     = 3 * time.Second // after that a drained domain should get no new attempts
)

// PoolCost is the work of one pool.
type PoolCost struct {
	Attempts     int     `json:"attempts"`
	Completed    int     `json:"completed"`
	Rejected     int     `json:"rejected"`
	BusyMS       float64 `json:"busy_ms"` // engine time in steps, or service time
	Tokens       int     `json:"tokens"`
	WastedTokens int     `json:"wasted_tokens"`
	Wasted       int     `json:"wasted"` // attempts that ran and did not complete
	Crashes      int     `json:"crashes"`
	Overload     int     `json:"overload"` // most attempts above what a cold server bears
	AfterLeaving int     `json:"leaving"`  // attempts more than 3 s after leaving began
}

// Sample is the attempts so far at one time of the run.
type Sample struct {
	At       float64                    `json:"at"` // seconds
	Versions map[id.Pool]map[string]int `json:"versions"`
	Domains  map[id.FailureDomain]int   `json:"domains"`
}

// Result is one run of one policy.
type Result struct {
	Policy             string               `json:"policy"`
	Seed               uint64               `json:"seed"`
	Summary            load.Summary         `json:"summary"`
	Cost               map[id.Pool]PoolCost `json:"cost"`
	Platform           platform.Counts      `json:"platform"`
	Events             []Event              `json:"events"`
	AfterDrain         int                  `json:"drained"` // attempts in drained domains more than 3 s after the drain
	AttainmentBySecond []float64            `json:"seconds"` // attainment by second of the planned time; -1 without requests
	LatencyQuantiles   []float64            `json:"curve"`   // latency in milliseconds at curveAt
	Samples            []Sample             `json:"samples"`
	Violating          []load.Record        `json:"broken"` // requests with violations
	Control            ControlCost          `json:"control"`
}

// curveQuantiles are the quantiles of the latency curve.
var curveQuantiles = func() []float64 {
	at := make([]float64, 0, 101)
	for i := range 100 {
		at = append(at, float64(i)/100)
	}
	return append(at, 0.995, 0.999)
}()

// poolCosts adds up the work of all servers by pool.
func poolCosts(w *testbed.Environment) map[id.Pool]PoolCost {
	all := map[id.Pool]PoolCost{}
	for _, s := range w.AllServers() {
		c := all[s.VM.Pool]
		if s.Engine != nil {
			n := s.Engine.Counts()
			c.Attempts += n.Attempts
			c.Completed += n.Completed
			c.Rejected += n.Rejected
			c.BusyMS += n.BusyMS
			c.Tokens += n.Tokens
			c.WastedTokens += n.WastedTokens
			c.Wasted += n.Failed + n.Cancelled + n.Broken
			c.Crashes += n.Crashes
			c.Overload = max(c.Overload, n.Overload)
			c.AfterLeaving += n.LeavingArrivals
		} else {
			n := s.Service.Counts()
			c.Attempts += n.Calls
			c.Completed += n.Effects
			c.Rejected += n.Rejected
			c.BusyMS += n.BusyMS
			c.Wasted += n.Failed + n.Lost
			c.AfterLeaving += n.LeavingArrivals
		}
		all[s.VM.Pool] = c
	}
	return all
}

// takeSample counts the attempts so far by version and by failure domain.
func takeSample(w *testbed.Environment, at time.Duration) Sample {
	s := Sample{At: at.Seconds(), Versions: map[id.Pool]map[string]int{}, Domains: map[id.FailureDomain]int{}}
	for _, server := range w.AllServers() {
		if server.Engine == nil {
			s.Domains[server.VM.FailureDomain] += server.Service.Counts().Calls
			continue
		}
		n := server.Engine.Counts()
		s.Domains[server.VM.FailureDomain] += n.Attempts
		versions := s.Versions[server.VM.Pool]
		if versions == nil {
			versions = map[string]int{}
			s.Versions[server.VM.Pool] = versions
		}
		for v, c := range n.Versions {
			versions[v] += c.Attempts
		}
	}
	return s
}

// attemptsAfterDrain counts the attempts in drained domains from 3 s after each drain to the restore or the end.
func attemptsAfterDrain(events []Event, samples []Sample) int {
	total := 0
	for _, ev := range events {
		domain, ok := acceptedDomainCall(ev, "drain")
		if !ok || len(samples) == 0 {
			continue
		}
		until := samples[len(samples)-1].At
		for _, other := range events {
			if d, ok := acceptedDomainCall(other, "restore"); ok && d == domain && other.At > ev.At {
				until = min(until, other.At)
			}
		}
		from := ev.At + drainGrace.Seconds()
		if until <= from {
			continue
		}
		total += lastSampleUpTo(samples, until).Domains[domain] - firstSampleFrom(samples, from).Domains[domain]
	}
	return max(0, total)
}

// acceptedDomainCall returns the failure domain of an accepted drain or restore.
func acceptedDomainCall(ev Event, verb string) (id.FailureDomain, bool) {
	if ev.Kind != AdminCall || ev.Error != "" || ev.Status >= 300 {
		return "", false
	}
	_, path, _ := strings.Cut(ev.Target, " ")
	parts := strings.Split(strings.Trim(path, "/"), "/")
	if len(parts) != 3 || parts[0] != "domains" || parts[2] != verb {
		return "", false
	}
	return id.FailureDomain(parts[1]), true
}

// lastSampleUpTo returns the last sample up to a time, after the first one from a time on.
func lastSampleUpTo(samples []Sample, at float64) Sample {
	i, _ := slices.BinarySearchFunc(samples, at, func(s Sample, at float64) int {
		if s.At <= at {
			return -1
		}
		return 1
	})
	return samples[max(0, i-1)]
}

func firstSampleFrom(samples []Sample, at float64) Sample {
	i, _ := slices.BinarySearchFunc(samples, at, func(s Sample, at float64) int {
		if s.At < at {
			return -1
		}
		return 1
	})
	return samples[min(i, len(samples)-1)]
}

// attainmentBySecond returns the attainment by second of the planned time.
func attainmentBySecond(records []load.Record, length time.Duration) []float64 {
	n := int((length + time.Second - 1) / time.Second)
	good, all := make([]int, n), make([]int, n)
	for _, r := range records {
		i := min(int(r.At/time.Second), n-1)
		all[i]++
		if r.Class == load.InTime {
			good[i]++
		}
	}
	out := make([]float64, n)
	for i := range out {
		out[i] = -1
		if all[i] > 0 {
			out[i] = float64(good[i]) / float64(all[i])
		}
	}
	return out
}

// versionShares returns, for each version of a pool, its share of the attempts in each interval between samples.
func versionShares(samples []Sample, pool id.Pool) (at []float64, byVersion map[string][]float64) {
	byVersion = map[string][]float64{}
	if len(samples) == 0 {
		return nil, byVersion
	}
	names := slices.Sorted(maps.Keys(samples[len(samples)-1].Versions[pool]))
	const step = int(time.Second / sampleInterval) // samples in an interval, for a second of attempts
	for i := step; i < len(samples); i += step {
		at = append(at, samples[i].At)
		total := 0
		for _, v := range names {
			total += samples[i].Versions[pool][v] - samples[i-step].Versions[pool][v]
		}
		for _, v := range names {
			part := samples[i].Versions[pool][v] - samples[i-step].Versions[pool][v]
			byVersion[v] = append(byVersion[v], float64(part)/float64(max(1, total)))
		}
	}
	return at, byVersion
}
