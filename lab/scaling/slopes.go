package scaling

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"runtime"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"bluebellflow/core/config"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

// Phase is what was counted in a span of virtual time, over all nodes.
type Phase struct {
	Name            string         `json:"name"`
	Span            time.Duration  `json:"span"`
	Stats           *Stats         `json:"book"`
	Outcomes        map[string]int `json:"ended,omitempty"` // requests by outcome
	PropagationTime time.Duration  `json:"took,omitempty"`  // until a configuration change was in force on all nodes
}

// Point is the measurement of one size.
type Point struct {
	Size          Size           `json:"size"`
	Seed          uint64         `json:"seed"`
	LoadAverage   string         `json:"load"` // the machine's load averages
	HeapAtRest    uint64         `json:"held"` // bytes on the heap for each node after garbage collection, at rest
	HeapAfterLoad uint64         `json:"full"` // the same after the load
	Watches       map[string]int `json:"watches"`
	Phases        []Phase        `json:"phases"`
}

// Spans of the phases in virtual time.
const (
	restSpan         = 4 * time.Second
	coldSpan         = 6 * time.Second // the servers are cold when the load begins
	loadSpan         = 4 * time.Second
	changeSpan       = 4 * time.Second
	restartSpan      = 14 * time.Second
	changeResolution = 10 * time.Millisecond
)

// Sizes returns the points of the named slope, or nil.
func Sizes(slope string) []Size {
	base := Size{Nodes: 36, Domains: 6, Servers: 200, Workspaces: 5, Rate: 33}
	vary := func(set func(*Size, int), values ...int) []Size {
		var out []Size
		for _, v := range values {
			s := base
			set(&s, v)
			out = append(out, s)
		}
		return out
	}
	domains := map[int]int{9: 3, 36: 6, 100: 12, 340: 32}
	switch slope {
	case "nodes":
		return vary(func(s *Size, v int) { s.Nodes, s.Domains = v, domains[v] }, 9, 36, 100, 340)
	case "servers":
		return vary(func(s *Size, v int) { s.Servers = v }, 30, 200, 1900)
	case "workspaces":
		return vary(func(s *Size, v int) { s.Nodes, s.Domains, s.Servers, s.Workspaces = 9, 3, 30, v }, 5, 1000, 21000)
	case "rate":
		return vary(func(s *Size, v int) { s.Rate = float64(v) }, 5, 33, 100)
	case "whole":
		return []Size{{Nodes: 340, Domains: 32, Servers: 1900, Workspaces: 500, Rate: 33}}
	}
	return nil
}

// Measure runs one size several times with the same seed and keeps the shortest times.
func Measure(seed uint64, size Size, repeats int) Point {
	p := measureOnce(seed, size)
	for range repeats - 1 {
		again := measureOnce(seed, size)
		for i := range p.Phases {
			p.Phases[i].Stats.keepShorter(again.Phases[i].Stats)
		}
	}
	return p
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func measureOnce(seed uint64, size Size) Point {
	before := heapInUse()
	f := newFleet(seed, size)
	p := Point{Size: size, Seed: seed, LoadAverage: loadAverage(), Watches: map[string]int{}}
	for name, c := range f.stats.PlatformCalls {
		if strings.HasPrefix(name, "watch ") {
			p.Watches[strings.TrimPrefix(name, "watch ")] = c.Count
		}
	}
	p.HeapAtRest = (heapInUse() - min(before, heapInUse())) / uint64(size.Nodes)
	p.Phases = append(p.Phases, f.runPhase("rest", restSpan, func() {}))
	f.startLoad()
	p.Phases = append(p.Phases, f.runPhase("cold", coldSpan, func() {}), f.runPhase("load", loadSpan, func() {}))
	f.underLoad = false
	f.Run(2 * time.Second)
	p.HeapAfterLoad = (heapInUse() - min(before, heapInUse())) / uint64(size.Nodes)
	p.Phases = append(p.Phases, f.measureChange(), f.runPhase("restart", restartSpan, func() {
		name := f.Nodes()[len(f.Nodes())-1]
		f.Kill(name)
		f.AfterFunc(5*time.Second, func() { f.Start(name) })
	}))
	runtime.KeepAlive(f)
	return p
}

func (f *fleet) runPhase(name string, span time.Duration, begin func()) Phase {
	f.stats, f.outcomes = newStats(), map[string]int{}
	begin()
	f.Run(span)
	ph := Phase{Name: name, Span: span, Stats: f.stats, Outcomes: f.outcomes}
	f.stats, f.outcomes = newStats(), map[string]int{}
	return ph
}

// measureChange applies a change of one workspace and takes the time until it is in force on all nodes.
func (f *fleet) measureChange() Phase {
	f.stats = newStats()
	old := f.newestRevision()
	f.Inject(f.Nodes()[0], config.Apply{
		Command: event.Command{Number: 2}, Workspace: "w00001", Source: []byte(`{"weight": 7}`),
	}, 0)
	begin := f.Now
	took := changeSpan
	for f.Now.Sub(begin) < changeSpan {
		f.Run(changeResolution)
		if took == changeSpan && f.oldestRevision() > old {
			took = f.Now.Sub(begin)
		}
	}
	return Phase{Name: "change", Span: changeSpan, Stats: f.stats, PropagationTime: took}
}

func (f *fleet) revision(n id.Node) id.Revision {
	m, _ := f.Stepper(n).(*meter)
	r, _ := m.Versions()
	return r
}

func (f *fleet) newestRevision() id.Revision {
	var r id.Revision
	for _, n := range f.Nodes() {
		r = max(r, f.revision(n))
	}
	return r
}

func (f *fleet) oldestRevision() id.Revision {
	r := f.newestRevision()
	for _, n := range f.Nodes() {
		r = min(r, f.revision(n))
	}
	return r
}

func loadAverage() string {
	raw, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return string(bytes.TrimSpace(raw))
}

// WriteTable writes the points as text: figures of a phase are for one node and one second of virtual time.
func WriteTable(w io.Writer, points []Point) error {
	t := &strings.Builder{}
	for _, p := range points {
		s := p.Size
		fmt.Fprintf(t, "\n%d nodes, %d domains, %d servers, %d workspaces, %g requests/s and node; seed %d; load average %s\n",
			s.Nodes, s.Domains, s.Servers, s.Workspaces, s.Rate, p.Seed, p.LoadAverage)
		fmt.Fprintf(t, "held %.2f MB a node at rest, %.2f MB after the load; watches %v\n", mebibytes(p.HeapAtRest), mebibytes(p.HeapAfterLoad), p.Watches)
		for _, ph := range p.Phases {
			ph.write(t, s.Nodes)
		}
	}
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(out, t.String()); err != nil {
		return fmt.Errorf("table: %w", err)
	}
	return out.Flush()
}

func mebibytes(n uint64) float64 { return float64(n) / (1 << 20) }

func (ph Phase) write(t *strings.Builder, nodes int) {
	per := float64(nodes) * ph.Span.Seconds()
	var steps, sends Cost
	for _, c := range ph.Stats.Steps {
		steps.Count, steps.TotalTime = steps.Count+c.Count, steps.TotalTime+c.TotalTime
	}
	for _, c := range ph.Stats.Sends {
		sends.Count, sends.Bytes = sends.Count+c.Count, sends.Bytes+c.Bytes
	}
	fmt.Fprintf(t, "%s (%s): %.0f events/s, %.2f%% of a core, %.1f messages/s, %.0f B/s a node", ph.Name, ph.Span,
		float64(steps.Count)/per, 100*steps.TotalTime.Seconds()/per, float64(sends.Count)/per, float64(sends.Bytes)/per)
	if ph.PropagationTime > 0 {
		fmt.Fprintf(t, "; in force everywhere after %s", ph.PropagationTime)
	}
	fmt.Fprintf(t, "; outcomes %v\n", ph.Outcomes)
	fmt.Fprintf(t, "  event\ttimes/s\tmean µs\tworst µs\t%% of a core\n")
	for _, name := range sortedByCost(ph.Stats.Steps, func(c Cost) float64 { return float64(c.TotalTime) }) {
		c := ph.Stats.Steps[name]
		fmt.Fprintf(t, "  %s\t%.2f\t%.1f\t%.0f\t%.4f\n", name, float64(c.Count)/per,
			float64(c.TotalTime.Nanoseconds())/1e3/float64(c.Count), float64(c.MaxTime.Nanoseconds())/1e3, 100*c.TotalTime.Seconds()/per)
	}
	fmt.Fprintf(t, "  message\ttimes/s\tB/s\tall nodes, times\n")
	for _, name := range sortedByCost(ph.Stats.Sends, func(c Cost) float64 { return float64(c.Bytes) }) {
		c := ph.Stats.Sends[name]
		fmt.Fprintf(t, "  %s\t%.2f\t%.0f\t%d\n", name, float64(c.Count)/per, float64(c.Bytes)/per, c.Count)
	}
	fmt.Fprintf(t, "  platform\tall nodes, times/s\tall nodes, KB/s\n")
	for _, name := range slices.Sorted(maps.Keys(ph.Stats.PlatformCalls)) {
		c := ph.Stats.PlatformCalls[name]
		fmt.Fprintf(t, "  %s\t%.2f\t%.1f\n", name, float64(c.Count)/ph.Span.Seconds(), float64(c.Bytes)/1024/ph.Span.Seconds())
	}
}

func sortedByCost(of map[string]Cost, cost func(Cost) float64) []string {
	return slices.SortedFunc(maps.Keys(of), func(a, b string) int {
		return cmp.Or(cmp.Compare(cost(of[b]), cost(of[a])), cmp.Compare(a, b))
	})
}

// WriteJSON writes the points as JSON.
func WriteJSON(w io.Writer, points []Point) error {
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	if err := e.Encode(points); err != nil {
		return fmt.Errorf("points: %w", err)
	}
	return nil
}
