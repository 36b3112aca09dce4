package proxy_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/batch"
	"bluebellflow/core/catalog"
	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
	"bluebellflow/core/proxy"
	"bluebellflow/core/ratelimit"
	"bluebellflow/core/rollout"
	"bluebellflow/core/roster"
	"bluebellflow/core/watchcache"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// decoder reads a configuration by its version, and a server by its name.
type decoder struct{}

func (decoder) Catalog(spec []byte) (*catalog.Catalog, error) {
	var version uint64
	if _, err := fmt.Sscan(string(spec), &version); err != nil {
		return nil, err
	}
	c := catalog.Config{
		Version: version,
		Pools: []catalog.Pool{
			{Name: "model"},
			{Name: "loans"},
			{Name: "times", Pieces: &catalog.Pieces{Slots: 1, Queue: 2, Batch: 8, Call: 100 * time.Millisecond, Item: 10 * time.Millisecond, Room: 1 << 20, Keep: 4 * time.Second}},
		},
		Workspaces: []catalog.Workspace{{Name: "tunis", Keys: []string{"key"}, Priority: catalog.NoPriority}},
	}
	route := func(name string, kind catalog.Kind, pool id.Pool, attempts int) catalog.Route {
		return catalog.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: time.Second, Objective: 100 * time.Millisecond,
			Targets: []catalog.Target{{Pool: pool, Weight: 1}}, Attempts: attempts,
		}
	}
	draft := route("draft", catalog.Stream, "model", 1)
	draft.Timeout, draft.Objective, draft.Wait = 10*time.Second, time.Second, 9*time.Second
	draft.Stages = []catalog.Stage{{Pool: "times", Bytes: 1000}}
	c.Routes = []catalog.Route{route("lend", catalog.Unsafe, "loans", 1), route("look", catalog.Safe, "loans", 2), draft}
	if version >= 10 {
		c.Routes = c.Routes[1:]
	}
	return catalog.New(c)
}

func (decoder) Server(spec []byte) (fleet.Entry, error) {
	var pool string
	var n byte
	if _, err := fmt.Sscanf(string(spec), "%s %d", &pool, &n); err != nil {
		return fleet.Entry{}, errors.New("not an entry")
	}
	return fleet.Entry{Pool: id.Pool(pool), Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 80), Domain: "a", Version: version(n), Slots: 6, Start: id.Start(fmt.Sprint(n))}, nil
}

// version returns the version of a server: those with high numbers are new.
func version(n byte) id.Version {
	if n >= 100 {
		return "v2"
	}
	return "v1"
}

// Rollout reads an order to move a pool to the new version within half a minute.
func (decoder) Rollout(spec, status []byte) (rollout.Order, rollout.Status, error) {
	var s rollout.Status
	if len(status) > 0 {
		s = rollout.Status{State: rollout.State(status[0]), Target: "v2"}
	}
	return rollout.Order{Pool: id.Pool(spec), Target: "v2", Span: 30 * time.Second}, s, nil
}

func (decoder) RolloutStatus(s rollout.Status) ([]byte, error) { return []byte{byte(s.State)}, nil }

// world is a gate that leads itself, with what it wants done.
type world struct {
	g     *WithT
	gate  *proxy.Gate
	now   time.Time
	acts  []event.Action
	tick  proxy.Ticket
	ready bool
}

// blank returns a gate that knows nothing.
func blank(t *testing.T) *world {
	self := event.Self{
		Node: "n", Incarnation: "00000000000000000000000000000001", FailureDomain: "a",
		Addr: netip.MustParseAddrPort("10.0.1.1:7000"), Rand: rand.New(rand.NewPCG(1, 1)),
	}
	w := &world{g: NewWithT(t), now: epoch}
	w.gate = proxy.New(self, decoder{}, proxy.Bounds{
		ColdOver: 1.5, ColdSlack: 5, Grace: 8 * time.Second, Retries: ratelimit.Budget{Ratio: 0.2, Slack: 58, Span: 10 * time.Second},
	})
	w.step(event.Tick{})
	return w
}

// loaded returns a gate that knows its configuration and servers, and leads.
func loaded(t *testing.T) *world {
	w := blank(t)
	w.run(2 * time.Second)
	kinds := map[string][]watchcache.Object{
		proxy.Config: {{Name: proxy.Current, Revision: 2, Spec: []byte("1")}},
		fleet.Servers: {
			{Name: "loans-1", Revision: 3, Spec: []byte("loans 1")},
			{Name: "loans-2", Revision: 4, Spec: []byte("loans 2")},
			{Name: "model-1", Revision: 5, Spec: []byte("model 3")},
			{Name: "times-1", Revision: 6, Spec: []byte("times 4")},
		},
		fleet.Evacuations: nil, rollout.Kind: nil, roster.Nodes: nil,
	}
	for kind, objects := range kinds {
		w.step(watchcache.StoreLink{Kind: kind, Up: true})
		w.step(watchcache.Listed{Kind: kind, Revision: 10, Objects: objects})
	}
	w.run(2 * time.Second)
	w.g.ExpectWithOffset(1, w.ready).To(BeTrue())
	return w
}

func (w *world) step(ev event.Event) {
	w.acts = w.gate.Step(w.now, ev)
	for _, a := range w.acts {
		if r, ok := a.(event.Ready); ok {
			w.ready = r.Ready
		}
	}
}

// run lets time pass; the actions of the last step that did something stay.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	var all []event.Action
	for next := w.gate.Next(); !next.IsZero() && !next.After(end); next = w.gate.Next() {
		if next.After(w.now) {
			w.now = next
		}
		w.step(event.Tick{})
		all = append(all, w.acts...)
		if !w.gate.Next().After(w.now) {
			w.now = w.now.Add(time.Millisecond)
		}
	}
	w.now = end
	w.acts = all
}

// find returns the actions of a type in the last step.
func find[T event.Action](w *world) []T {
	var out []T
	for _, a := range w.acts {
		if one, ok := a.(T); ok {
			out = append(out, one)
		}
	}
	return out
}

// one returns the only action of a type in the last step.
func one[T event.Action](w *world) T {
	all := find[T](w)
	w.g.ExpectWithOffset(1, all).To(HaveLen(1), "%+v", w.acts)
	return all[0]
}

func (w *world) arrive(route string, change func(*proxy.Facts)) proxy.Ticket {
	w.tick++
	f := proxy.Facts{Name: id.Request(fmt.Sprint("r", w.tick)), Host: "h", Path: "/" + route + "/x", Key: "key", Patience: time.Second}
	if change != nil {
		change(&f)
	}
	w.step(proxy.Arrive{Ticket: w.tick, Facts: f})
	return w.tick
}

func (w *world) end(t proxy.Ticket, r proxy.Result) { w.step(proxy.Ended{Ticket: t, Result: r}) }

// TestBoot guards against 404 and 401 from a node that does not know a configuration, and against one that says it is
// ready before it does.
func TestBoot(t *testing.T) {
	w := blank(t)
	w.arrive("look", nil)
	refused := one[proxy.Refuse](w)
	w.g.Expect(refused.Status).To(Equal(http.StatusServiceUnavailable))
	w.g.Expect(refused.After).To(BeNumerically(">", 0))
	w.g.Expect(w.ready).To(BeFalse())
	w = loaded(t)
	w.arrive("look", nil)
	one[proxy.Forward](w)
}

// TestAllowed guards against answers that say something else than the configuration in force.
func TestAllowed(t *testing.T) {
	cases := map[string]struct {
		route  string
		change func(*proxy.Facts)
		want   int
	}{
		"no route":    {"nowhere", nil, http.StatusNotFound},
		"other host":  {"look", func(f *proxy.Facts) { f.Host = "other" }, http.StatusNotFound},
		"unknown key": {"look", func(f *proxy.Facts) { f.Key = "nobody" }, http.StatusUnauthorized},
		"no key":      {"lend", func(f *proxy.Facts) { f.Key = "" }, http.StatusUnauthorized},
		"pieces":      {"draft", func(f *proxy.Facts) { f.Pieces = []int{1, 2} }, http.StatusBadRequest},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := loaded(t)
			w.arrive(c.route, c.change)
			w.g.Expect(one[proxy.Refuse](w).Status).To(Equal(c.want))
			w.g.Expect(find[proxy.Forward](w)).To(BeEmpty())
		})
	}
	t.Run("newer configuration", func(t *testing.T) {
		w := loaded(t)
		for _, version := range []string{"10", "4", "broken"} {
			w.step(watchcache.Updated{Kind: proxy.Config, Revision: w.next(), Objects: []watchcache.Object{{Name: proxy.Current, Revision: w.next(), Spec: []byte(version)}}})
		}
		w.arrive("lend", nil)
		w.g.Expect(one[proxy.Refuse](w).Status).To(Equal(http.StatusNotFound), "an older or broken configuration came into force")
	})
}

// next returns a new store revision.
func (w *world) next() uint64 { w.tick++; return 100 + uint64(w.tick) }

// TestForward guards against sends without the workspace, the time left or the caution that the route asks for.
func TestForward(t *testing.T) {
	w := loaded(t)
	w.arrive("lend", func(f *proxy.Facts) { f.Patience = 400 * time.Millisecond })
	f := one[proxy.Forward](w)
	w.g.Expect(f.Workspace).To(Equal(id.Workspace("tunis")))
	w.g.Expect(f.Keyed).To(BeTrue())
	w.g.Expect(f.Once).To(BeTrue())
	w.g.Expect(f.Until).To(Equal(w.now.Add(400 * time.Millisecond)))
	w.g.Expect(f.First.IsZero()).To(BeTrue(), "what must not run twice is not given up early")
	w.arrive("look", func(f *proxy.Facts) { f.Patience = time.Minute })
	w.g.Expect(one[proxy.Forward](w).Until).To(Equal(w.now.Add(time.Second)), "the route's timeout")
}

// TestOutcomes guards against a second run of what must not run twice, a refusal of what may have run, and requests
// that fail although another server could have run them.
func TestOutcomes(t *testing.T) {
	type want struct {
		again   bool
		status  int // of the final answer
		deliver bool
	}
	cases := map[string]struct {
		route  string
		result proxy.Result
		want   want
	}{
		"lend unsent":   {"lend", proxy.Result{Fail: event.FailUnsent}, want{again: true}},
		"lend rejected": {"lend", proxy.Result{Fail: event.FailRejected, Status: 503}, want{again: true}},
		"lend broken":   {"lend", proxy.Result{Fail: event.FailBroken}, want{status: http.StatusBadGateway}},
		"lend failed":   {"lend", proxy.Result{Status: 500, Held: true}, want{deliver: true}},
		"look unsent":   {"look", proxy.Result{Fail: event.FailUnsent}, want{again: true}},
		"look broken":   {"look", proxy.Result{Fail: event.FailBroken}, want{again: true}},
		"look timeout":  {"look", proxy.Result{Fail: event.FailTimeout}, want{again: true}},
		"look failed":   {"look", proxy.Result{Status: 500, Held: true}, want{again: true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := loaded(t)
			ticket := w.arrive(c.route, nil)
			first := one[proxy.Forward](w).Server.ID
			w.end(ticket, c.result)
			switch {
			case c.want.again:
				w.g.Expect(one[proxy.Forward](w).Server.ID).NotTo(Equal(first))
			case c.want.deliver:
				one[proxy.Deliver](w)
			default:
				w.g.Expect(one[proxy.Refuse](w).Status).To(Equal(c.want.status))
			}
		})
	}
	t.Run("never more servers than the route allows", func(t *testing.T) {
		w := loaded(t)
		ticket := w.arrive("look", nil)
		w.end(ticket, proxy.Result{Fail: event.FailBroken})
		one[proxy.Forward](w)
		w.end(ticket, proxy.Result{Fail: event.FailBroken})
		w.g.Expect(one[proxy.Refuse](w).Status).To(Equal(http.StatusBadGateway))
	})
	t.Run("rejected by all is not run", func(t *testing.T) {
		w := loaded(t)
		ticket := w.arrive("lend", nil)
		for range 4 {
			if len(find[proxy.Forward](w)) > 0 {
				w.end(ticket, proxy.Result{Fail: event.FailRejected, Status: 503})
			}
		}
		w.g.Expect(one[proxy.Refuse](w).Status).To(Equal(http.StatusServiceUnavailable))
		w.g.Expect(one[proxy.Refuse](w).After).To(BeNumerically(">", 0))
	})
	t.Run("part of an answer has reached the caller", func(t *testing.T) {
		w := loaded(t)
		ticket := w.arrive("look", nil)
		w.end(ticket, proxy.Result{Fail: event.FailBroken, Began: true})
		one[proxy.Cut](w)
	})
}

// TestStages guards against requests that reach a model without the results of their stages, with those of a lost
// leader, or whose results are kept after they were read.
func TestStages(t *testing.T) {
	draft := func(f *proxy.Facts) { f.Pieces, f.PieceKey, f.Patience = []int{2}, "k", 10*time.Second }
	ran := func(call uint64, handles ...string) batch.Ran {
		r := batch.Ran{Call: call}
		for _, h := range handles {
			r.Outcomes = append(r.Outcomes, batch.Outcome{Handle: h})
		}
		return r
	}
	t.Run("read and given up", func(t *testing.T) {
		w := loaded(t)
		ticket := w.arrive("draft", draft)
		call := one[batch.Run](w)
		w.g.Expect(call.Items).To(HaveLen(2))
		w.g.Expect(call.Items[1].Key).To(Equal("k"))
		w.step(ran(call.Call, "h1", "h2"))
		f := one[proxy.Forward](w)
		w.g.Expect(f.Inputs).To(Equal([]string{"h1", "h2"}))
		w.step(proxy.Began{Ticket: ticket})
		w.run(time.Second)
		w.g.Expect(one[batch.Free](w).Handles).To(Equal([]string{"h1", "h2"}))
	})
	t.Run("results for the process before this one", func(t *testing.T) {
		w := loaded(t)
		w.arrive("draft", draft)
		for job := range uint64(10) {
			w.step(event.Receive{From: "n", Incarnation: "other", Body: batch.Done{Ticket: job, Results: []batch.Result{{Handle: "foreign"}}}})
			w.g.Expect(find[proxy.Forward](w)).To(BeEmpty())
			w.step(event.Receive{From: "n", Incarnation: "other", Body: batch.Failed{Ticket: job}})
			w.g.Expect(find[proxy.Refuse](w)).To(BeEmpty())
		}
	})
	t.Run("handed over", func(t *testing.T) {
		w := loaded(t)
		w.arrive("draft", draft)
		job := rand.New(rand.NewPCG(1, 1)).Uint64() + 1 // numbers of jobs begin after the first number drawn
		made := []batch.Made{{Handle: "h1", Server: "times-1", Left: int64(time.Second)}, {Piece: 1, Handle: "h2", Server: "times-1", Left: int64(time.Second)}}
		w.step(event.Receive{From: "n", Body: batch.Moved{Ticket: job, Accepted: true, Made: made}})
		w.g.Expect(find[proxy.Refuse](w)).To(BeEmpty())
		w.run(100 * time.Millisecond)
		w.g.Expect(one[proxy.Forward](w).Inputs).To(Equal([]string{"h1", "h2"}))
	})
	t.Run("callers leave before their deadlines", func(t *testing.T) {
		w := loaded(t)
		w.arrive("draft", func(f *proxy.Facts) { f.Pieces, f.Patience = []int{2}, 10*time.Second })
		one[batch.Run](w) // it never ends
		w.run(9 * time.Second)
		refused := one[proxy.Refuse](w)
		w.g.Expect(refused.Status).To(Equal(http.StatusServiceUnavailable))
		w.g.Expect(refused.After).To(BeNumerically(">", 0))
	})
	t.Run("an input is gone", func(t *testing.T) {
		w := loaded(t)
		ticket := w.arrive("draft", draft)
		w.step(ran(one[batch.Run](w).Call, "h1", "h2"))
		w.end(ticket, proxy.Result{Fail: event.FailRejected, Status: 409, Inputs: true})
		w.step(ran(one[batch.Run](w).Call, "h3", "h4"))
		w.g.Expect(one[proxy.Forward](w).Inputs).To(Equal([]string{"h3", "h4"}))
	})
	t.Run("the caller leaves", func(t *testing.T) {
		w := loaded(t)
		ticket := w.arrive("draft", draft)
		call := one[batch.Run](w)
		w.step(proxy.Left{Ticket: ticket})
		w.step(ran(call.Call, "h1", "h2"))
		w.g.Expect(find[proxy.Forward](w)).To(BeEmpty())
		w.run(time.Second)
		w.g.Expect(one[batch.Free](w).Handles).To(HaveLen(2))
		w.g.Expect(w.gate.Open()).To(BeZero())
	})
	t.Run("not in time", func(t *testing.T) {
		w := loaded(t)
		w.arrive("draft", draft)
		w.run(11 * time.Second)
		w.g.Expect(one[proxy.Refuse](w).Status).To(Equal(http.StatusServiceUnavailable), "it has not run")
	})
}

// TestTimeout guards against requests without a final answer at their route's timeout.
func TestTimeout(t *testing.T) {
	w := loaded(t)
	w.step(watchcache.Updated{Kind: fleet.Servers, Revision: w.next(), Deleted: []string{"loans-1", "loans-2"}})
	w.run(watchcache.SettleTime + time.Second)
	w.arrive("look", nil)
	w.run(time.Second)
	w.g.Expect(one[proxy.Refuse](w).Status).To(Equal(http.StatusServiceUnavailable))
	w.g.Expect(w.gate.Open()).To(BeZero())
}

// TestStop guards against a stop that cuts what could be finished, takes new connections too long, or does not end.
func TestStop(t *testing.T) {
	w := loaded(t)
	ticket := w.arrive("look", nil)
	w.step(event.Stop{})
	w.g.Expect(w.ready).To(BeFalse())
	one[proxy.Drain](w)
	w.arrive("look", nil)
	one[proxy.Forward](w)
	w.run(4 * time.Second)
	w.g.Expect(find[proxy.Close](w)).To(HaveLen(1))
	w.g.Expect(find[event.Exit](w)).To(BeEmpty(), "requests are open")
	w.end(ticket, proxy.Result{Status: 200})
	w.g.Expect(find[event.Exit](w)).To(BeEmpty(), "a request is open")
	w.end(ticket+1, proxy.Result{Status: 200})
	one[event.Exit](w)
}

// TestStopWithoutEnd guards against a stop that waits longer than the platform does.
func TestStopWithoutEnd(t *testing.T) {
	w := loaded(t)
	w.arrive("draft", func(f *proxy.Facts) { f.Pieces, f.Patience = []int{1}, time.Minute })
	w.step(event.Stop{})
	w.run(8 * time.Second)
	w.g.Expect(one[proxy.Refuse](w).Status).To(Equal(http.StatusServiceUnavailable))
	one[event.Exit](w)
}
