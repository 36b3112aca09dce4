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

var large = flag.Bool("slopes.large", false, "run the benchmarks at the two-year size too, which takes a minute to set up")

// TestMeasure guards against figures that are taken from a fleet that does not serve, and against two runs of a seed that differ.
func TestMeasure(t *testing.T) {
	g := NewWithT(t)
	size := Size{Nodes: 6, Domains: 3, Servers: 48, Workspaces: 5, Rate: 5}
	a, b := Measure(7, size, 2), measureOnce(7, size)
	for i, ph := range a.Phases {
		g.Expect(ph.Stats.Sends).To(Equal(b.Phases[i].Stats.Sends), ph.Name)
		g.Expect(ph.Stats.PlatformCalls).To(Equal(b.Phases[i].Stats.PlatformCalls), ph.Name)
		if ph.Name == "load" {
			g.Expect(ph.Outcomes["answered"]).To(BeNumerically(">", 100))
			g.Expect(ph.Outcomes).To(HaveLen(1))
		}
		if ph.Name == "change" {
			g.Expect(ph.PropagationTime).To(BeNumerically("<", changeSpan))
		}
	}
	g.Expect(a.Watches).To(HaveKey("config"))
	out := &bytes.Buffer{}
	g.Expect(WriteTable(out, []Point{a})).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring("member.Beat"))
}

// nodeBench is one node of a warm fleet that is stepped directly.
type nodeBench struct {
	fleet    *fleet
	meter    *meter
	now      time.Time
	sequence int
}

func newNodeBench(size Size) *nodeBench {
	f := newFleet(1, size)
	name := f.Nodes()[0]
	// Every server is reported once, so that the routing state is complete.
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

// step hands one event to the node and returns the dispatch that it leads to, if any.
func (r *nodeBench) step(ev event.Event) (event.Dispatch, bool) {
	for _, a := range r.meter.Node.Step(r.now, ev) {
		if d, ok := a.(event.Dispatch); ok {
			return d, true
		}
	}
	r.meter.Next()
	return event.Dispatch{}, false
}

func benchmarkSizes() []Size {
	out := []Size{{Nodes: 9, Domains: 3, Servers: 30, Workspaces: 5, Rate: 33}}
	if *large {
		out = append(out, Size{Nodes: 340, Domains: 32, Servers: 1900, Workspaces: 500, Rate: 33})
	}
	return out
}

// BenchmarkNode steps one node of a warm fleet; each size is set up once.
func BenchmarkNode(b *testing.B) {
	for _, s := range benchmarkSizes() {
		r := newNodeBench(s)
		b.Run(fmt.Sprintf("nodes=%d/servers=%d", s.Nodes, s.Servers), func(b *testing.B) {
			b.Run("beat", r.benchHeartbeats)
			b.Run("request", r.benchRequests)
			b.Run("report", r.benchLoadReports)
			b.Run("tick", r.benchTicks)
		})
	}
}

// benchRequests runs a request through three stages; it reports the mean time of its arrival, of a part and of an end.
func (r *nodeBench) benchRequests(b *testing.B) {
	b.ReportAllocs()
	var arrive, part, done time.Duration
	dones := 0
	for b.Loop() {
		r.sequence++
		r.now = r.now.Add(10 * time.Millisecond)
		start := time.Now()
		d, ok := r.step(event.RequestArrived{
			Request: id.Request(fmt.Sprintf("bench%d", r.sequence)), Workspace: "w00001", Pipeline: "answer1",
			Priority: 3, Stream: true, Deadline: r.now.Add(8 * time.Second), Body: []byte("request"),
		})
		arrive += time.Since(start)
		for ok {
			end := event.AttemptDone{Attempt: d.Attempt, Data: []byte("done"), Start: id.Start(d.Server + "#1"), Took: serviceTime}
			if d.Stream {
				start = time.Now()
				for i := range readsPerStream {
					r.step(event.AttemptOutput{Attempt: d.Attempt, Seq: i * tokensPerRead, Tokens: tokensPerRead, Data: []byte("0123456789")})
				}
				part += time.Since(start)
				end.Tokens = readsPerStream * tokensPerRead
			}
			start = time.Now()
			d, ok = r.step(end)
			done += time.Since(start)
			dones++
		}
	}
	if dones < 3*b.N {
		b.Fatalf("%d ends of stages in %d requests", dones, b.N)
	}
	b.ReportMetric(float64(arrive.Nanoseconds())/float64(b.N), "arrive-ns")
	b.ReportMetric(float64(part.Nanoseconds())/float64(b.N*readsPerStream), "part-ns")
	b.ReportMetric(float64(done.Nanoseconds())/float64(dones), "done-ns")
}

// benchLoadReports handles load reports of all servers in turn.
func (r *nodeBench) benchLoadReports(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		r.sequence++
		s := r.sequence % r.fleet.size.Servers
		r.step(event.LoadReport{Server: serverName(s), Start: serverStart(s), Version: "v1", Limit: 64, Warm: true, At: r.now})
	}
}

// benchHeartbeats handles heartbeats of a node of the own failure domain.
func (r *nodeBench) benchHeartbeats(b *testing.B) {
	b.ReportAllocs()
	peer := r.fleet.Nodes()[r.fleet.size.Domains]
	other, _ := r.fleet.Stepper(peer).(*meter)
	var beat event.Receive
	for now := r.now; beat.Body == nil; now = now.Add(100 * time.Millisecond) {
		for _, a := range other.Node.Step(now, event.Tick{}) {
			send, ok := a.(event.Send)
			if body, is := send.Body.(member.Heartbeat); ok && is && send.To == r.fleet.Nodes()[0] {
				beat = event.Receive{From: peer, Incarnation: r.fleet.Self(peer).Incarnation, Body: body}
			}
		}
	}
	for b.Loop() {
		r.step(beat)
	}
}

// benchTicks handles the timers of a node at rest, one each 10 ms.
func (r *nodeBench) benchTicks(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		r.now = r.now.Add(10 * time.Millisecond)
		r.step(event.Tick{})
	}
}
