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
	a, b := Measure(7, size, 2), run(7, size)
	for i, ph := range a.Phases {
		g.Expect(ph.Book.Sends).To(Equal(b.Phases[i].Book.Sends), ph.Name)
		g.Expect(ph.Book.Calls).To(Equal(b.Phases[i].Book.Calls), ph.Name)
		if ph.Name == "load" {
			g.Expect(ph.Ended["answered"]).To(BeNumerically(">", 100))
			g.Expect(ph.Ended).To(HaveLen(1))
		}
		if ph.Name == "change" {
			g.Expect(ph.Took).To(BeNumerically("<", changeSpan))
		}
	}
	g.Expect(a.Watches).To(HaveKey("config"))
	out := &bytes.Buffer{}
	g.Expect(Table(out, []Point{a})).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring("member.Beat"))
}

// rig is one node of a warm fleet that is stepped directly.
type rig struct {
	f     *fleet
	m     *meter
	now   time.Time
	count int
}

func newRig(size Size) *rig {
	f := newFleet(1, size)
	name := f.Nodes()[0]
	// Every server is reported once, so that the routing state is complete.
	for s := range size.Servers {
		f.report(name, s)
	}
	f.load()
	f.Run(coldSpan)
	f.loading = false
	f.Run(3 * time.Second)
	m, _ := f.Stepper(name).(*meter)
	return &rig{f: f, m: m, now: f.Now}
}

// step hands one event to the node and returns the dispatch that it leads to, if any.
func (r *rig) step(ev event.Event) (event.Dispatch, bool) {
	for _, a := range r.m.Node.Step(r.now, ev) {
		if d, ok := a.(event.Dispatch); ok {
			return d, true
		}
	}
	r.m.Next()
	return event.Dispatch{}, false
}

func sizes() []Size {
	out := []Size{{Nodes: 9, Domains: 3, Servers: 30, Workspaces: 5, Rate: 33}}
	if *large {
		out = append(out, Size{Nodes: 340, Domains: 32, Servers: 1900, Workspaces: 500, Rate: 33})
	}
	return out
}

// BenchmarkNode steps one node of a warm fleet; each size is set up once.
func BenchmarkNode(b *testing.B) {
	for _, s := range sizes() {
		r := newRig(s)
		b.Run(fmt.Sprintf("nodes=%d/servers=%d", s.Nodes, s.Servers), func(b *testing.B) {
			b.Run("beat", r.beats)
			b.Run("request", r.requests)
			b.Run("report", r.reports)
			b.Run("tick", r.ticks)
		})
	}
}

// requests runs a request through three stages; it reports the mean time of its arrival, of a part and of an end.
func (r *rig) requests(b *testing.B) {
	b.ReportAllocs()
	var arrive, part, done time.Duration
	dones := 0
	for b.Loop() {
		r.count++
		r.now = r.now.Add(10 * time.Millisecond)
		start := time.Now()
		d, ok := r.step(event.RequestArrived{
			Request: id.Request(fmt.Sprintf("bench%d", r.count)), Workspace: "w00001", Pipeline: "answer1",
			Priority: 3, Stream: true, Deadline: r.now.Add(8 * time.Second), Body: []byte("request"),
		})
		arrive += time.Since(start)
		for ok {
			end := event.AttemptDone{Attempt: d.Attempt, Data: []byte("done"), Start: id.Start(d.Server + "#1"), Took: service}
			if d.Stream {
				start = time.Now()
				for i := range parts {
					r.step(event.AttemptOutput{Attempt: d.Attempt, Seq: i * perPart, Tokens: perPart, Data: []byte("0123456789")})
				}
				part += time.Since(start)
				end.Tokens = parts * perPart
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
	b.ReportMetric(float64(part.Nanoseconds())/float64(b.N*parts), "part-ns")
	b.ReportMetric(float64(done.Nanoseconds())/float64(dones), "done-ns")
}

// reports handles load reports of all servers in turn.
func (r *rig) reports(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		r.count++
		s := r.count % r.f.size.Servers
		r.step(event.LoadReport{Server: serverName(s), Start: startOf(s), Version: "v1", Limit: 64, Warm: true, At: r.now})
	}
}

// beats handles heartbeats of a node of the own failure domain.
func (r *rig) beats(b *testing.B) {
	b.ReportAllocs()
	peer := r.f.Nodes()[r.f.size.Domains]
	other, _ := r.f.Stepper(peer).(*meter)
	var beat event.Receive
	for now := r.now; beat.Body == nil; now = now.Add(100 * time.Millisecond) {
		for _, a := range other.Node.Step(now, event.Tick{}) {
			send, ok := a.(event.Send)
			if body, is := send.Body.(member.Heartbeat); ok && is && send.To == r.f.Nodes()[0] {
				beat = event.Receive{From: peer, Incarnation: r.f.Self(peer).Incarnation, Body: body}
			}
		}
	}
	for b.Loop() {
		r.step(beat)
	}
}

// ticks handles the timers of a node at rest, one each 10 ms.
func (r *rig) ticks(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		r.now = r.now.Add(10 * time.Millisecond)
		r.step(event.Tick{})
	}
}
