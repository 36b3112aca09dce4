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
			{Name: "times", Pieces: &catalog.Pieces{MaxCalls: 1, MaxQueuedCalls: 2, MaxBatch: 8, CallTime: 100 * time.Millisecond, PieceTime: 10 * time.Millisecond, ResultMemory: 1 << 20, ResultTTL: 4 * time.Second}},
		},
		Workspaces: []catalog.Workspace{{Name: "tunis", Keys: []string{"key"}, Priority: catalog.NoPriority}},
	}
	route := func(name string, kind catalog.Kind, pool id.Pool, attempts int) catalog.Route {
		return catalog.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: time.Second, LatencyObjective: 100 * time.Millisecond,
			Targets: []catalog.Target{{Pool: pool, Weight: 1}}, MaxAttempts: attempts,
		}
	}
	draft := route("draft", catalog.Stream, "model", 1)
	draft.Timeout, draft.LatencyObjective, draft.CallerTimeout = 10*time.Second, time.Second, 9*time.Second
	draft.Stages = []catalog.Stage{{Pool: "times", ResultBytes: 1000}}
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

// harness is a gate that leads itself, with what it wants done.
type harness struct {
	g       *WithT
	gate    *proxy.Gate
	now     time.Time
	actions []event.Action
	counter proxy.Ticket
	ready   bool
}

// newHarness returns a gate that knows nothing.
func newHarness(t *testing.T) *harness {
	self := event.Self{
		Node: "n", Incarnation: "00000000000000000000000000000001", FailureDomain: "a",
		Addr: netip.MustParseAddrPort("10.0.1.1:7000"), Rand: rand.New(rand.NewPCG(1, 1)),
	}
	w := &harness{g: NewWithT(t), now: epoch}
	w.gate = proxy.New(self, decoder{}, proxy.Bounds{
		ColdRateFactor: 1.5, ColdRateSlack: 5, Grace: 8 * time.Second, Retries: ratelimit.Budget{Ratio: 0.2, Slack: 58, Span: 10 * time.Second},
	})
	w.step(event.Tick{})
	return w
}

// newLoadedHarness returns a gate that knows its configuration and servers, and leads.
func newLoadedHarness(t *testing.T) *harness {
	w := newHarness(t)
	w.run(2 * time.Second)
	kinds := map[string][]watchcache.Object{
		proxy.ConfigKind: {{Name: proxy.ConfigName, Revision: 2, Spec: []byte("1")}},
		fleet.KindServers: {
			{Name: "loans-1", Revision: 3, Spec: []byte("loans 1")},
			{Name: "loans-2", Revision: 4, Spec: []byte("loans 2")},
			{Name: "model-1", Revision: 5, Spec: []byte("model 3")},
			{Name: "times-1", Revision: 6, Spec: []byte("times 4")},
		},
		fleet.KindEvacuations: nil, rollout.Kind: nil, roster.Nodes: nil,
	}
	for kind, objects := range kinds {
		w.step(watchcache.StoreLink{Kind: kind, Up: true})
		w.step(watchcache.Listed{Kind: kind, Revision: 10, Objects: objects})
	}
	w.run(2 * time.Second)
	w.g.ExpectWithOffset(1, w.ready).To(BeTrue())
	return w
}

func (w *harness) step(ev event.Event) {
	w.actions = w.gate.Step(w.now, ev)
	for _, a := range w.actions {
		if r, ok := a.(event.Readiness); ok {
			w.ready = r.Ready
		}
	}
}

// run lets time pass; the actions of the last step that did something stay.
func (w *harness) run(d time.Duration) {
	end := w.now.Add(d)
	var all []event.Action
	for next := w.gate.Next(); !next.IsZero() && !next.After(end); next = w.gate.Next() {
		if next.After(w.now) {
			w.now = next
		}
		w.step(event.Tick{})
		all = append(all, w.actions...)
		if !w.gate.Next().After(w.now) {
			w.now = w.now.Add(time.Millisecond)
		}
	}
	w.now = end
	w.actions = all
}

// actionsOf returns the actions of a type in the last step.
func actionsOf[T event.Action](w *harness) []T {
	var out []T
	for _, a := range w.actions {
		if one, ok := a.(T); ok {
			out = append(out, one)
		}
	}
	return out
}

// onlyAction returns the only action of a type in the last step.
func onlyAction[T event.Action](w *harness) T {
	all := actionsOf[T](w)
	w.g.ExpectWithOffset(1, all).To(HaveLen(1), "%+v", w.actions)
	return all[0]
}

func (w *harness) arrive(route string, change func(*proxy.RequestInfo)) proxy.Ticket {
	w.counter++
	f := proxy.RequestInfo{Name: id.Request(fmt.Sprint("r", w.counter)), Host: "h", Path: "/" + route + "/x", Key: "key", Patience: time.Second}
	if change != nil {
		change(&f)
	}
	w.step(proxy.Arrive{Ticket: w.counter, RequestInfo: f})
	return w.counter
}

func (w *harness) end(t proxy.Ticket, r proxy.Result) { w.step(proxy.Ended{Ticket: t, Result: r}) }

// TestBoot guards against 404 and 401 from a node that does not know a configuration, and against one that says it is
// ready before it does.
func TestBoot(t *testing.T) {
	w := newHarness(t)
	w.arrive("look", nil)
	refused := onlyAction[proxy.Refuse](w)
	w.g.Expect(refused.Status).To(Equal(http.StatusServiceUnavailable))
	w.g.Expect(refused.After).To(BeNumerically(">", 0))
	w.g.Expect(w.ready).To(BeFalse())
	w = newLoadedHarness(t)
	w.arrive("look", nil)
	onlyAction[proxy.Forward](w)
}

// TestAllowed guards against answers that say something else than the configuration in force.
func TestAllowed(t *testing.T) {
	cases := map[string]struct {
		route  string
		change func(*proxy.RequestInfo)
		want   int
	}{
		"no route":    {"nowhere", nil, http.StatusNotFound},
		"other host":  {"look", func(f *proxy.RequestInfo) { f.Host = "other" }, http.StatusNotFound},
		"unknown key": {"look", func(f *proxy.RequestInfo) { f.Key = "nobody" }, http.StatusUnauthorized},
		"no key":      {"lend", func(f *proxy.RequestInfo) { f.Key = "" }, http.StatusUnauthorized},
		"pieces":      {"draft", func(f *proxy.RequestInfo) { f.Pieces = []int{1, 2} }, http.StatusBadRequest},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newLoadedHarness(t)
			w.arrive(c.route, c.change)
			w.g.Expect(onlyAction[proxy.Refuse](w).Status).To(Equal(c.want))
			w.g.Expect(actionsOf[proxy.Forward](w)).To(BeEmpty())
		})
	}
	t.Run("newer configuration", func(t *testing.T) {
		w := newLoadedHarness(t)
		for _, version := range []string{"10", "4", "broken"} {
			w.step(watchcache.Updated{Kind: proxy.ConfigKind, Revision: w.nextRevision(), Objects: []watchcache.Object{{Name: proxy.ConfigName, Revision: w.nextRevision(), Spec: []byte(version)}}})
		}
		w.arrive("lend", nil)
		w.g.Expect(onlyAction[proxy.Refuse](w).Status).To(Equal(http.StatusNotFound), "an older or broken configuration came into force")
	})
}

// nextRevision returns a new store revision.
func (w *harness) nextRevision() uint64 { w.counter++; return 100 + uint64(w.counter) }

// TestForward guards against sends without the workspace, the time left or the caution that the route asks for.
func TestForward(t *testing.T) {
	w := newLoadedHarness(t)
	w.arrive("lend", func(f *proxy.RequestInfo) { f.Patience = 400 * time.Millisecond })
	f := onlyAction[proxy.Forward](w)
	w.g.Expect(f.Workspace).To(Equal(id.Workspace("tunis")))
	w.g.Expect(f.Keyed).To(BeTrue())
	w.g.Expect(f.Once).To(BeTrue())
	w.g.Expect(f.Until).To(Equal(w.now.Add(400 * time.Millisecond)))
	w.g.Expect(f.First.IsZero()).To(BeTrue(), "what must not run twice is not given up early")
	w.arrive("look", func(f *proxy.RequestInfo) { f.Patience = time.Minute })
	w.g.Expect(onlyAction[proxy.Forward](w).Until).To(Equal(w.now.Add(time.Second)), "the route's timeout")
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
			w := newLoadedHarness(t)
			ticket := w.arrive(c.route, nil)
			first := onlyAction[proxy.Forward](w).Server.ID
			w.end(ticket, c.result)
			switch {
			case c.want.again:
				w.g.Expect(onlyAction[proxy.Forward](w).Server.ID).NotTo(Equal(first))
			case c.want.deliver:
				onlyAction[proxy.Deliver](w)
			default:
				w.g.Expect(onlyAction[proxy.Refuse](w).Status).To(Equal(c.want.status))
			}
		})
	}
	t.Run("never more servers than the route allows", func(t *testing.T) {
		w := newLoadedHarness(t)
		ticket := w.arrive("look", nil)
		w.end(ticket, proxy.Result{Fail: event.FailBroken})
		onlyAction[proxy.Forward](w)
		w.end(ticket, proxy.Result{Fail: event.FailBroken})
		w.g.Expect(onlyAction[proxy.Refuse](w).Status).To(Equal(http.StatusBadGateway))
	})
	t.Run("rejected by all is not run", func(t *testing.T) {
		w := newLoadedHarness(t)
		ticket := w.arrive("lend", nil)
		for range 4 {
			if len(actionsOf[proxy.Forward](w)) > 0 {
				w.end(ticket, proxy.Result{Fail: event.FailRejected, Status: 503})
			}
		}
		w.g.Expect(onlyAction[proxy.Refuse](w).Status).To(Equal(http.StatusServiceUnavailable))
		w.g.Expect(onlyAction[proxy.Refuse](w).After).To(BeNumerically(">", 0))
	})
	t.Run("part of an answer has reached the caller", func(t *testing.T) {
		w := newLoadedHarness(t)
		ticket := w.arrive("look", nil)
		w.end(ticket, proxy.Result{Fail: event.FailBroken, Began: true})
		onlyAction[proxy.Abort](w)
	})
}

// TestStages guards against requests that reach a model without the results of their stages, with those of a lost
// leader, or whose results are kept after they were read.
func TestStages(t *testing.T) {
	draft := func(f *proxy.RequestInfo) { f.Pieces, f.PieceKey, f.Patience = []int{2}, "k", 10*time.Second }
	ran := func(call uint64, handles ...string) batch.CallEnded {
		r := batch.CallEnded{Call: call}
		for _, h := range handles {
			r.Outcomes = append(r.Outcomes, batch.Outcome{Handle: h})
		}
		return r
	}
	t.Run("read and given up", func(t *testing.T) {
		w := newLoadedHarness(t)
		ticket := w.arrive("draft", draft)
		call := onlyAction[batch.StartCall](w)
		w.g.Expect(call.Items).To(HaveLen(2))
		w.g.Expect(call.Items[1].Key).To(Equal("k"))
		w.step(ran(call.Call, "h1", "h2"))
		f := onlyAction[proxy.Forward](w)
		w.g.Expect(f.Inputs).To(Equal([]string{"h1", "h2"}))
		w.step(proxy.Began{Ticket: ticket})
		w.run(time.Second)
		w.g.Expect(onlyAction[batch.FreeResults](w).Handles).To(Equal([]string{"h1", "h2"}))
	})
	t.Run("results for the process before this one", func(t *testing.T) {
		w := newLoadedHarness(t)
		w.arrive("draft", draft)
		for job := range uint64(10) {
			w.step(event.Receive{From: "n", Incarnation: "other", Body: batch.Done{Ticket: job, Results: []batch.Result{{Handle: "foreign"}}}})
			w.g.Expect(actionsOf[proxy.Forward](w)).To(BeEmpty())
			w.step(event.Receive{From: "n", Incarnation: "other", Body: batch.Failed{Ticket: job}})
			w.g.Expect(actionsOf[proxy.Refuse](w)).To(BeEmpty())
		}
	})
	t.Run("handed over", func(t *testing.T) {
		w := newLoadedHarness(t)
		w.arrive("draft", draft)
		job := rand.New(rand.NewPCG(1, 1)).Uint64() + 1 // numbers of jobs begin after the first number drawn
		made := []batch.PriorResult{{Handle: "h1", Server: "times-1", Left: int64(time.Second)}, {Piece: 1, Handle: "h2", Server: "times-1", Left: int64(time.Second)}}
		w.step(event.Receive{From: "n", Body: batch.Moved{Ticket: job, Accepted: true, Made: made}})
		w.g.Expect(actionsOf[proxy.Refuse](w)).To(BeEmpty())
		w.run(100 * time.Millisecond)
		w.g.Expect(onlyAction[proxy.Forward](w).Inputs).To(Equal([]string{"h1", "h2"}))
	})
	t.Run("callers leave before their deadlines", func(t *testing.T) {
		w := newLoadedHarness(t)
		w.arrive("draft", func(f *proxy.RequestInfo) { f.Pieces, f.Patience = []int{2}, 10*time.Second })
		onlyAction[batch.StartCall](w) // it never ends
		w.run(9 * time.Second)
		refused := onlyAction[proxy.Refuse](w)
		w.g.Expect(refused.Status).To(Equal(http.StatusServiceUnavailable))
		w.g.Expect(refused.After).To(BeNumerically(">", 0))
	})
	t.Run("an input is gone", func(t *testing.T) {
		w := newLoadedHarness(t)
		ticket := w.arrive("draft", draft)
		w.step(ran(onlyAction[batch.StartCall](w).Call, "h1", "h2"))
		w.end(ticket, proxy.Result{Fail: event.FailRejected, Status: 409, InputsGone: true})
		w.step(ran(onlyAction[batch.StartCall](w).Call, "h3", "h4"))
		w.g.Expect(onlyAction[proxy.Forward](w).Inputs).To(Equal([]string{"h3", "h4"}))
	})
	t.Run("the caller leaves", func(t *testing.T) {
		w := newLoadedHarness(t)
		ticket := w.arrive("draft", draft)
		call := onlyAction[batch.StartCall](w)
		w.step(proxy.Disconnected{Ticket: ticket})
		w.step(ran(call.Call, "h1", "h2"))
		w.g.Expect(actionsOf[proxy.Forward](w)).To(BeEmpty())
		w.run(time.Second)
		w.g.Expect(onlyAction[batch.FreeResults](w).Handles).To(HaveLen(2))
		w.g.Expect(w.gate.Open()).To(BeZero())
	})
	t.Run("not in time", func(t *testing.T) {
		w := newLoadedHarness(t)
		w.arrive("draft", draft)
		w.run(11 * time.Second)
		w.g.Expect(onlyAction[proxy.Refuse](w).Status).To(Equal(http.StatusServiceUnavailable), "it has not run")
	})
}

// TestTimeout guards against requests without a final answer at their route's timeout.
func TestTimeout(t *testing.T) {
	w := newLoadedHarness(t)
	w.step(watchcache.Updated{Kind: fleet.KindServers, Revision: w.nextRevision(), Deleted: []string{"loans-1", "loans-2"}})
	w.run(watchcache.SettleTime + time.Second)
	w.arrive("look", nil)
	w.run(time.Second)
	w.g.Expect(onlyAction[proxy.Refuse](w).Status).To(Equal(http.StatusServiceUnavailable))
	w.g.Expect(w.gate.Open()).To(BeZero())
}

// TestStop guards against a stop that cuts what could be finished, takes new connections too long, or does not end.
func TestStop(t *testing.T) {
	w := newLoadedHarness(t)
	ticket := w.arrive("look", nil)
	w.step(event.Stop{})
	w.g.Expect(w.ready).To(BeFalse())
	onlyAction[proxy.Drain](w)
	w.arrive("look", nil)
	onlyAction[proxy.Forward](w)
	w.run(4 * time.Second)
	w.g.Expect(actionsOf[proxy.Close](w)).To(HaveLen(1))
	w.g.Expect(actionsOf[event.Exit](w)).To(BeEmpty(), "requests are open")
	w.end(ticket, proxy.Result{Status: 200})
	w.g.Expect(actionsOf[event.Exit](w)).To(BeEmpty(), "a request is open")
	w.end(ticket+1, proxy.Result{Status: 200})
	onlyAction[event.Exit](w)
}

// TestStopWithoutEnd guards against a stop that waits longer than the platform does.
func TestStopWithoutEnd(t *testing.T) {
	w := newLoadedHarness(t)
	w.arrive("draft", func(f *proxy.RequestInfo) { f.Pieces, f.Patience = []int{1}, time.Minute })
	w.step(event.Stop{})
	w.run(8 * time.Second)
	w.g.Expect(onlyAction[proxy.Refuse](w).Status).To(Equal(http.StatusServiceUnavailable))
	onlyAction[event.Exit](w)
}
