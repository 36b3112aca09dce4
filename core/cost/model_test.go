package cost_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/cost"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
	"bluebellflow/core/selfreport"
	"bluebellflow/core/watchcache"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// server returns a server of a fleet, which is cold for the given time.
func server(name string, cold time.Duration) *fleet.Server {
	f := fleet.New(decoder{fleet.Entry{Pool: "p", Slots: 12, Cold: cold, Start: "1"}})
	f.Step(epoch, watchcache.ObjectChanged{Kind: fleet.KindServers, Object: watchcache.Object{Name: name}})
	return f.Server(id.Server(name))
}

type decoder struct{ fleet.Entry }

func (d decoder) Server([]byte) (fleet.Entry, error) { return d.Entry, nil }

// place returns a place in a pool of 90 servers.
func place(name string, home bool) cost.Place {
	return cost.Place{Server: server(name, 0), Home: home, Servers: 90}
}

// request returns a request with two shared prompt parts.
func request() *cost.Request {
	return &cost.Request{Route: "chat", Prompt: 3500, Shared: []cost.Part{{ID: 1, Tokens: 1000}, {ID: 2, Tokens: 2000}}, Output: 400, Stream: true}
}

// serve lets a server answer a request: the first event after some time, and the others at some distance.
func serve(m *cost.Model, now time.Time, at cost.Place, r *cost.Request, first, distance time.Duration, events int) time.Time {
	m.Start(now, at, r)
	m.Began(now.Add(first), at.ID, now)
	end := now.Add(first + distance*time.Duration(events-1))
	m.End(end, at.ID, now, events)
	return end
}

// expectUnread asserts how many prompt tokens a server is expected to read.
func expectUnread(g *WithT, m *cost.Model, now time.Time, at cost.Place, r *cost.Request, want float64) {
	g.ExpectWithOffset(1, m.Estimate(now, at, r).Unread).To(BeNumerically("~", want, 100))
}

// TestCachedParts guards against counting parts that a server has cached, and against taking parts for cached that are not.
func TestCachedParts(t *testing.T) {
	g := NewWithT(t)
	m, r := cost.New(), request()
	expectUnread(g, m, epoch, place("home", true), r, 500)
	expectUnread(g, m, epoch, place("other", false), r, 3500)
	cold := cost.Place{Server: server("cold", time.Minute), Home: true, Servers: 90}
	expectUnread(g, m, epoch, cold, r, 3500)
	m.Start(epoch, place("other", false), r)
	expectUnread(g, m, epoch, place("other", false), r, 500)
	changed := *r
	changed.Shared = []cost.Part{{ID: 9, Tokens: 1000}, r.Shared[1]}
	expectUnread(g, m, epoch, place("other", false), &changed, 3500)
	expectUnread(g, m, epoch.Add(10*time.Minute), place("other", false), r, 3500)
	m.Forget("other")
	expectUnread(g, m, epoch, cost.Place{Server: &fleet.Server{ID: "other", Entry: fleet.Entry{Pool: "p", Start: "2"}}, Servers: 90}, r, 3500)
	single := &cost.Request{Prompt: 1000, Shared: []cost.Part{{ID: 7, Tokens: 1000}}, Single: true}
	g.Expect(m.Estimate(epoch, place("any", false), single).Reread).To(BeZero(), "a part that nobody has sent before")
}

// TestRates guards against rates that stay at their defaults, or follow single measurements.
func TestRates(t *testing.T) {
	g := NewWithT(t)
	m, now := cost.New(), epoch
	for i := range 400 {
		r := &cost.Request{Route: "chat", Prompt: 500 + i%8*1000, Output: 400, Stream: true}
		first := 20*time.Millisecond + time.Duration(r.Prompt)*20*time.Microsecond
		now = serve(m, now, place(fmt.Sprint("s", i%9), false), r, first, 50*time.Millisecond, 12)
	}
	r := &cost.Request{Route: "chat", Prompt: 5000, Output: 400, Stream: true}
	e := m.Estimate(now, place("new", false), r)
	g.Expect(e.First).To(BeNumerically("~", 120*time.Millisecond, 20*time.Millisecond))
	g.Expect(e.End - e.First).To(BeNumerically("~", 600*time.Millisecond, 60*time.Millisecond))
	serve(m, now, place("s0", false), r, time.Minute, time.Minute, 4)
	g.Expect(m.Estimate(now, place("new", false), r).First).To(BeNumerically("<", 200*time.Millisecond))
}

// TestOutputs guards against expecting the same output of all requests, and against believing callers whose estimates are wrong.
func TestOutputs(t *testing.T) {
	g := NewWithT(t)
	m, now := cost.New(), epoch
	of := func(route string, ws id.Workspace, hint int) *cost.Request {
		return &cost.Request{Route: route, Workspace: ws, Prompt: 100, Output: 1000, Hint: hint, Stream: true}
	}
	for range 20 {
		now = serve(m, now, place("s", false), of("chat", "tunis", 100), 20*time.Millisecond, 30*time.Millisecond, 40)
		now = serve(m, now, place("s", false), of("chat", "sfax", 100), 20*time.Millisecond, 30*time.Millisecond, 5)
		now = serve(m, now, place("s", false), of("chat", "sfax", 800), 20*time.Millisecond, 30*time.Millisecond, 60)
	}
	length := func(r *cost.Request) float64 {
		e := m.Estimate(now, place("s", false), r)
		return float64(e.End-e.First) / float64(30*time.Millisecond)
	}
	g.Expect(length(of("chat", "tunis", 100))).To(BeNumerically("~", 40, 4), "hints are too low by a factor of 4")
	g.Expect(length(of("chat", "sfax", 100))).To(BeNumerically("~", 5, 2))
	g.Expect(length(of("chat", "sfax", 800))).To(BeNumerically("~", 60, 6))
	g.Expect(length(of("chat", "gabes", 800))).To(BeNumerically("~", 60, 6), "a new workspace")
	g.Expect(length(of("draft", "tunis", 100))).To(BeNumerically("~", 10, 2), "a new route")
}

// TestWork guards against work that does not get less as requests progress, and against work of others that counts although what is
// known of it is old.
func TestWork(t *testing.T) {
	g := NewWithT(t)
	m, at := cost.New(), place("s", false)
	r := &cost.Request{Route: "chat", Prompt: 10_000, Output: 400, Hint: 400, Stream: true}
	m.Start(epoch, at, r)
	begin := m.Work(epoch)["s"]
	g.Expect(begin.Read).To(BeNumerically("~", 100*time.Millisecond, 10*time.Millisecond))
	g.Expect(m.Work(epoch.Add(60 * time.Millisecond))["s"].Read).To(BeNumerically("<", begin.Read))
	m.Began(epoch.Add(110*time.Millisecond), "s", epoch)
	later := m.Work(epoch.Add(time.Second))["s"]
	g.Expect(later.Read).To(BeZero())
	g.Expect(later.Write).To(BeNumerically("<", begin.Write))
	m.End(epoch.Add(time.Second), "s", epoch, 40)
	g.Expect(m.Work(epoch.Add(time.Second))).To(BeEmpty())

	told := epoch.Add(time.Second)
	m.SetRemote(told, at.Server, cost.Work{Requests: 8, Read: 50 * time.Millisecond})
	g.Expect(m.Estimate(told, at, r).Beside).To(BeNumerically("~", 8, 0.1))
	g.Expect(m.Estimate(told.Add(20*time.Second), at, r).Beside).To(BeNumerically("<", 0.1))
	m.Report(told, "s", selfreport.Load{Running: 4, Slots: 12})
	g.Expect(m.Estimate(told, at, r).Beside).To(BeNumerically("~", 6, 0.1), "half of each")
	g.Expect(m.Estimate(told, place("unknown", false), r).Beside).To(BeNumerically(">", 3), "the mean of the pool")
}
