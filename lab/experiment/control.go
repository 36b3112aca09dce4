package experiment

import (
	"strings"
	"time"

	"bluebellflow/core/id"
	"bluebellflow/io/runtime"
)

// ControlCost is what control costs. The figures of a node are those of the node that used most of each.
type ControlCost struct {
	Nodes            int     `json:"nodes"`
	StepShare        float64 `json:"step_share"` // share of a core that decisions took
	PeerRate         float64 `json:"peers"`      // bytes a second from and to other nodes
	PlatformRate     float64 `json:"platform"`   // bytes a second from and to the platform
	PollRate         float64 `json:"polls"`      // bytes a second of load reports, cache events, orders and cancellations
	PlatformCallRate float64 `json:"calls"`      // platform calls a second
	ProcessCores     float64 `json:"process"`    // cores that the process used: nodes, stand-ins and callers together
	MemoryBytes      float64 `json:"memory"`     // bytes of the process at the end
	LiveHeapBytes    float64 `json:"live"`       // bytes of heap objects of the process at the end

	ReceivedByKind map[string]float64 `json:"kinds"` // bytes a second that all nodes together received, by kind of message
}

// controlMeter remembers where the counters stood at the begin.
type controlMeter struct {
	start       time.Time
	nodeMetrics map[id.Node]map[string]int64
	process     runtime.ProcessStats
}

func (m *measurement) startMeter() controlMeter {
	return controlMeter{start: time.Now(), nodeMetrics: readMetrics(m.nodes), process: runtime.ReadProcessStats()}
}

func readMetrics(f Fleet) map[id.Node]map[string]int64 {
	if metered, ok := f.(Metered); ok {
		return metered.Metrics()
	}
	return nil
}

// cost returns the rates since the begin; nodes that started or ended in between are left out.
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
			for _, k := range counters {
				total += after[k] - before[k]
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

// controlRows are the lines of the table for the cost of control.
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
