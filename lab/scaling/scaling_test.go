package scaling

import (
	"bytes"
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/member"
)

var large = flag.Bool("slopes.large", false, "also run the benchmarks at the size expected in two years; setup takes a minute")

// TestMeasure guards against figures of a fleet that does not answer its requests, and against runs that differ although
// they have the same seed.
func TestMeasure(t *testing.T) {
	g := NewWithT(t)
	size := Size{Nodes: 6, Domains: 3, Servers: 48, Workspaces: 5, Rate: 5}
	a, b := Measure(7, size, 2), measureOnce(7, size)
	for i, phase := range a.Phases {
		g.Expect(phase.Stats.Sends).To(Equal(b.Phases[i].Stats.Sends), phase.Name)
		g.Expect(phase.Stats.PlatformCalls).To(Equal(b.Phases[i].Stats.PlatformCalls), phase.Name)
		if phase.Name == "load" {
			g.Expect(phase.Outcomes["answered"]).To(BeNumerically(">", 100))
			g.Expect(phase.Outcomes).To(HaveLen(1))
		}
		if phase.Name == "change" {
			g.Expect(phase.PropagationTime).To(BeNumerically("<", changeSpan))
		}
	}
	g.Expect(a.Watches).To(HaveKey("config"))
	out := &bytes.Buffer{}
	g.Expect(WriteTable(out, []Point{a})).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring("member.Beat"))
}

// nodeBench steps one node of a warm fleet directly.
type nodeBench struct {
	fleet    *fleet
	meter    *meter
	now      time.Time
	sequence int
}

// newNodeBench returns the first node of a fleet whose servers are warm and whose requests have ended.
func newNodeBench(size Size) *nodeBench {
	f := newFleet(1, size)
	name := f.Nodes()[0]
	// One load report of every server completes the routing state.
	for s := range size.Servers {
		f.sendLoadReport(name, s)
	}
	f.startLoad()
	f.Run(coldSpan)
	f.underLoad = false
	f.Run(3 * time.Second)
	m, _ := f.Stepper(name).(*meter)
	return &nodeBench{fleet: f, meter: m, now: f.Now}
}

// step passes one event to the node and returns the resulting dispatch, if any.
func (n *nodeBench) step(ev event.Event) (event.Dispatch, bool) {
	for _, a := range n.meter.Node.Step(n.now, ev) {
		if d, ok := a.(event.Dispatch); ok {
			return d, true
		}
	}
	n.meter.Next()
	return event.Dispatch{}, false
}

func benchmarkSizes() []Size {
	out := []Size{{Nodes: 9, Domains: 3, Servers: 30, Workspaces: 5, Rate: 33}}
	if *large {
		out = append(out, Size{Nodes: 340, Domains: 32, Servers: 1900, Workspaces: 500, Rate: 33})
	}
	return out
}

// BenchmarkNode measures the steps of one node of a warm fleet. Each size is set up once.
func BenchmarkNode(b *testing.B) {
	for _, s := range benchmarkSizes() {
		n := newNodeBench(s)
		b.Run(fmt.Sprintf("nodes=%d/servers=%d", s.Nodes, s.Servers), func(b *testing.B) {
			b.Run("beat", n.benchHeartbeats)
			b.Run("request", n.benchRequests)
			b.Run("report", n.benchLoadReports)
			b.Run("tick", n.benchTicks)
		})
	}
}

// benchRequests runs requests of three stages. It reports the mean time of an arrival, of a read of the stream and of the
// end of a stage.
func (n *nodeBench) benchRequests(b *testing.B) {
	b.ReportAllocs()
	var arrivals, reads, ends time.Duration
	stages := 0
	for b.Loop() {
		n.sequence++
		n.now = n.now.Add(10 * time.Millisecond)
		start := time.Now()
		d, ok := n.step(event.RequestArrived{
			Request: id.Request(fmt.Sprintf("bench%d", n.sequence)), Workspace: "w00001", Pipeline: "answer1",
			Priority: 3, Stream: true, Deadline: n.now.Add(8 * time.Second), Body: []byte("request"),
		})
		arrivals += time.Since(start)
		for ok {
			end := event.AttemptDone{Attempt: d.Attempt, Data: []byte("done"), Start: id.Start(d.Server + "#1"), Took: serviceTime}
			if d.Stream {
				start = time.Now()
				for i := range readsPerStream {
					n.step(event.AttemptOutput{Attempt: d.Attempt, Seq: i * tokensPerRead, Tokens: tokensPerRead, Data: []byte("0123456789")})
				}
				reads += time.Since(start)
				end.Tokens = readsPerStream * tokensPerRead
			}
			start = time.Now()
			d, ok = n.step(end)
			ends += time.Since(start)
			stages++
		}
	}
	if stages < 3*b.N {
		b.Fatalf("%d stages completed in %d requests, want 3 per request", stages, b.N)
	}
	b.ReportMetric(float64(arrivals.Nanoseconds())/float64(b.N), "arrive-ns")
	b.ReportMetric(float64(reads.Nanoseconds())/float64(b.N*readsPerStream), "part-ns")
	b.ReportMetric(float64(ends.Nanoseconds())/float64(stages), "done-ns")
}

// benchLoadReports measures load reports of all servers in turn.
func (n *nodeBench) benchLoadReports(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		n.sequence++
		s := n.sequence % n.fleet.size.Servers
		n.step(event.LoadReport{Server: serverName(s), Start: serverStart(s), Version: "v1", Limit: 64, Warm: true, At: n.now})
	}
}

// benchHeartbeats measures heartbeats of a node of the same failure domain.
func (n *nodeBench) benchHeartbeats(b *testing.B) {
	b.ReportAllocs()
	peer := n.fleet.Nodes()[n.fleet.size.Domains]
	other, _ := n.fleet.Stepper(peer).(*meter)
	var heartbeat event.Receive
	for now := n.now; heartbeat.Body == nil; now = now.Add(100 * time.Millisecond) {
		for _, a := range other.Node.Step(now, event.Tick{}) {
			send, ok := a.(event.Send)
			if body, isHeartbeat := send.Body.(member.Heartbeat); ok && isHeartbeat && send.To == n.fleet.Nodes()[0] {
				heartbeat = event.Receive{From: peer, Incarnation: n.fleet.Self(peer).Incarnation, Body: body}
			}
		}
	}
	for b.Loop() {
		n.step(heartbeat)
	}
}

// benchTicks measures the timers of a node at rest, with a tick every 10 ms.
func (n *nodeBench) benchTicks(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		n.now = n.now.Add(10 * time.Millisecond)
		n.step(event.Tick{})
	}
}
