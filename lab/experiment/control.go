package experiment

import (
	"strings"
	"time"

	"bluebellflow/core/id"
	"bluebellflow/io/runtime"
)

// ControlCost is the cost of the control plane. StepShare, PeerRate, PlatformRate, PollRate and PlatformCallRate are
// each the maximum over all nodes.
type ControlCost struct {
	Nodes            int     `json:"nodes"`
	StepShare        float64 `json:"step_share"` // share of a core spent on decisions
	PeerRate         float64 `json:"peers"`      // bytes per second exchanged with other nodes
	PlatformRate     float64 `json:"platform"`   // bytes per second exchanged with the platform
	PollRate         float64 `json:"polls"`      // bytes per second of load reports, cache events, orders and cancellations
	PlatformCallRate float64 `json:"calls"`      // platform calls per second
	ProcessCores     float64 `json:"process"`    // cores used by the process, which runs nodes, stand-ins and callers
	MemoryBytes      float64 `json:"memory"`     // memory of the process at the end, in bytes
	LiveHeapBytes    float64 `json:"live"`       // live heap objects of the process at the end, in bytes

	ReceivedByKind map[string]float64 `json:"kinds"` // bytes per second received by all nodes together, by kind of peer message
}

// controlMeter holds the counters at the start of a measurement.
type controlMeter struct {
	start       time.Time
	nodeMetrics map[id.Node]map[string]int64
	process     runtime.ProcessStats
}

func (m *measurement) startMeter() controlMeter {
	return controlMeter{start: time.Now(), nodeMetrics: readMetrics(m.fleet), process: runtime.ReadProcessStats()}
}

// readMetrics returns the metrics of the nodes, or nil if the fleet does not provide them.
func readMetrics(f Fleet) map[id.Node]map[string]int64 {
	if metered, ok := f.(Metered); ok {
		return metered.Metrics()
	}
	return nil
}

// cost returns the rates since the start of the measurement. Nodes that started or stopped in between are left out.
func (m controlMeter) cost(f Fleet) ControlCost {
	seconds := time.Since(m.start).Seconds()
	now := runtime.ReadProcessStats()
	c := ControlCost{
		ProcessCores: (now.CPU - m.process.CPU).Seconds() / seconds,
		MemoryBytes:  float64(now.Memory), LiveHeapBytes: float64(now.Live),
	}
	c.ReceivedByKind = map[string]float64{}
	for name, after := range readMetrics(f) {
		before, ok := m.nodeMetrics[name]
		if !ok {
			continue
		}
		rate := func(counters ...string) float64 {
			total := int64(0)
			for _, name := range counters {
				total += after[name] - before[name]
			}
			return float64(total) / seconds
		}
		c.Nodes++
		for k := range after {
			if kind, ok := strings.CutPrefix(k, "peer_bytes_received_"); ok {
				c.ReceivedByKind[kind] += rate(k)
			}
		}
		c.StepShare = max(c.StepShare, rate("step_ns")/float64(time.Second))
		c.PeerRate = max(c.PeerRate, rate("peer_bytes_sent", "peer_bytes_received"))
		c.PlatformRate = max(c.PlatformRate, rate("platform_bytes"))
		c.PollRate = max(c.PollRate, rate("control_bytes"))
		c.PlatformCallRate = max(c.PlatformCallRate, rate("platform_calls"))
	}
	return c
}

// controlRows returns the table rows on the cost of the control plane, or nil if no run has node metrics.
func (r Record) controlRows() []tableRow {
	if !r.anyRun(func(run Result) bool { return run.Control.Nodes > 0 }) {
		return nil
	}
	const kilo = 1024
	const mega = kilo * kilo
	return []tableRow{
		{"node: decisions, % of a core", 2, func(r Result) float64 { return 100 * r.Control.StepShare }},
		{"node: peers KB/s", 1, func(r Result) float64 { return r.Control.PeerRate / kilo }},
		{"node: platform KB/s", 1, func(r Result) float64 { return r.Control.PlatformRate / kilo }},
		{"node: polls KB/s", 1, func(r Result) float64 { return r.Control.PollRate / kilo }},
		{"node: platform calls/s", 1, func(r Result) float64 { return r.Control.PlatformCallRate }},
		{"process: cores", 2, func(r Result) float64 { return r.Control.ProcessCores }},
		{"process: memory MB", 0, func(r Result) float64 { return r.Control.MemoryBytes / mega }},
		{"process: live heap MB", 0, func(r Result) float64 { return r.Control.LiveHeapBytes / mega }},
	}
}
