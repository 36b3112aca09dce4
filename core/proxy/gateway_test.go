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

// decoder decodes specs: a version number for a configuration, pool and number for a server.
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
			{Name: "desk", MaxConns: 8},
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
	renew := route("renew", catalog.Unsafe, "loans", 1)
	renew.Timeout = 6 * time.Second
	chat := draft
	chat.Name, chat.Prefix, chat.CallerTimeout, chat.MaxAttempts, chat.Resumable = "chat", "/chat/", 2*time.Second, 2, true
	c.Routes = []catalog.Route{route("lend", catalog.Unsafe, "loans", 1), route("look", catalog.Safe, "loans", 2), draft, renew, chat, route("stamp", catalog.Unsafe, "desk", 1)}
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

// version returns the version of a server; servers with numbers from 100 have the new one.
func version(n byte) id.Version {
	if n >= 100 {
		return "v2"
	}
	return "v1"
}

// Rollout returns an order to move a pool to the new version within 30 s.
func (decoder) Rollout(spec, status []byte) (rollout.Order, rollout.Status, error) {
	var s rollout.Status
	if len(status) > 0 {
		s = rollout.Status{State: rollout.State(status[0]), Target: "v2"}
	}
	return rollout.Order{Pool: id.Pool(spec), Target: "v2", Span: 30 * time.Second}, s, nil
}

func (decoder) RolloutStatus(s rollout.Status) ([]byte, error) { return []byte{byte(s.State)}, nil }

// harness runs a gateway that is its own leader, and records the actions of the last step or run.
type harness struct {
	g        *WithT
	gateway  *proxy.Gateway
	now      time.Time
	actions  []event.Action
	counter  proxy.Ticket
	restarts int // of servers
	ready    bool
	writes   []event.PlatformCall // of the status of rollouts, in all steps
}

// newHarness returns a gateway that has loaded nothing.
func newHarness(t *testing.T) *harness {
	self := event.Self{
		Node: "n", Incarnation: "00000000000000000000000000000001", FailureDomain: "a",
		Addr: netip.MustParseAddrPort("10.0.1.1:7000"), Rand: rand.New(rand.NewPCG(1, 1)),
	}
	h := &harness{g: NewWithT(t), now: epoch}
	h.gateway = proxy.New(self, decoder{}, proxy.Bounds{
		ColdRateFactor: 1.5, ColdRateSlack: 5, Grace: 8 * time.Second, Retries: ratelimit.Budget{Ratio: 0.2, Slack: 58, Span: 10 * time.Second},
	})
	h.step(event.Tick{})
	return h
}

// newLoadedHarness returns a gateway that has loaded its configuration and servers, and leads.
func newLoadedHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.run(2 * time.Second)
	kinds := map[string][]watchcache.Object{
		proxy.ConfigKind: {{Name: proxy.ConfigName, Revision: 2, Spec: []byte("1")}},
		fleet.KindServers: {
			{Name: "loans-1", Revision: 3, Spec: []byte("loans 1")},
			{Name: "loans-2", Revision: 4, Spec: []byte("loans 2")},
			{Name: "model-1", Revision: 5, Spec: []byte("model 3")},
			{Name: "times-1", Revision: 6, Spec: []byte("times 4")},
		},
		fleet.KindEvacuations: nil, rollout.Kind: nil, roster.Kind: nil,
	}
	for kind, objects := range kinds {
		h.step(watchcache.StoreLink{Kind: kind, Up: true})
		h.step(watchcache.Listed{Kind: kind, Revision: 10, Objects: objects})
	}
	h.run(2 * time.Second)
	h.g.ExpectWithOffset(1, h.ready).To(BeTrue())
	return h
}

func (h *harness) step(ev event.Event) {
	h.actions = h.gateway.Step(h.now, ev)
	for _, a := range h.actions {
		switch a := a.(type) {
		case event.Readiness:
			h.ready = a.Ready
		case event.PlatformCall:
			if a.Op == event.OpPutStatus {
				h.writes = append(h.writes, a)
			}
		}
	}
}

// run advances the clock by d, stepping the gateway at each timer, and keeps the actions of all these steps.
func (h *harness) run(d time.Duration) {
	end := h.now.Add(d)
	var all []event.Action
	for next := h.gateway.Next(); !next.IsZero() && !next.After(end); next = h.gateway.Next() {
		if next.After(h.now) {
			h.now = next
		}
		h.step(event.Tick{})
		all = append(all, h.actions...)
		if !h.gateway.Next().After(h.now) {
			h.now = h.now.Add(time.Millisecond)
		}
	}
	h.now = end
	h.actions = all
}

// actionsOf returns the recorded actions of a type.
func actionsOf[T event.Action](h *harness) []T {
	var out []T
	for _, a := range h.actions {
		if typed, ok := a.(T); ok {
			out = append(out, typed)
		}
	}
	return out
}

// onlyAction returns the only recorded action of a type.
func onlyAction[T event.Action](h *harness) T {
	all := actionsOf[T](h)
	h.g.ExpectWithOffset(1, all).To(HaveLen(1), "%+v", h.actions)
	return all[0]
}

// arrive sends a request of a route and returns its ticket. The function change may alter the request first.
func (h *harness) arrive(route string, change func(*proxy.RequestInfo)) proxy.Ticket {
	h.counter++
	r := proxy.RequestInfo{Name: id.Request(fmt.Sprint("r", h.counter)), Host: "h", Path: "/" + route + "/x", Key: "key", Patience: time.Second}
	if change != nil {
		change(&r)
	}
	h.step(proxy.Arrive{Ticket: h.counter, RequestInfo: r})
	return h.counter
}

func (h *harness) end(t proxy.Ticket, r proxy.Result) { h.step(proxy.Ended{Ticket: t, Result: r}) }

// TestBoot guards against a node that answers 404 or 401, or reports ready, before it has loaded its configuration.
func TestBoot(t *testing.T) {
	h := newHarness(t)
	h.arrive("look", nil)
	refused := onlyAction[proxy.Refuse](h)
	h.g.Expect(refused.Status).To(Equal(http.StatusServiceUnavailable))
	h.g.Expect(refused.After).To(BeNumerically(">", 0))
	h.g.Expect(h.ready).To(BeFalse())
	h = newLoadedHarness(t)
	h.arrive("look", nil)
	onlyAction[proxy.Forward](h)
}

// TestRefusalStatus guards against a refusal whose status does not follow from the configuration in force.
func TestRefusalStatus(t *testing.T) {
	cases := map[string]struct {
		route  string
		change func(*proxy.RequestInfo)
		want   int
	}{
		"no route":    {"nowhere", nil, http.StatusNotFound},
		"other host":  {"look", func(r *proxy.RequestInfo) { r.Host = "other" }, http.StatusNotFound},
		"unknown key": {"look", func(r *proxy.RequestInfo) { r.Key = "nobody" }, http.StatusUnauthorized},
		"no key":      {"lend", func(r *proxy.RequestInfo) { r.Key = "" }, http.StatusUnauthorized},
		"pieces":      {"draft", func(r *proxy.RequestInfo) { r.Pieces = []int{1, 2} }, http.StatusBadRequest},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newLoadedHarness(t)
			h.arrive(c.route, c.change)
			h.g.Expect(onlyAction[proxy.Refuse](h).Status).To(Equal(c.want))
			h.g.Expect(actionsOf[proxy.Forward](h)).To(BeEmpty())
		})
	}
	t.Run("newer configuration", func(t *testing.T) {
		h := newLoadedHarness(t)
		for _, version := range []string{"10", "4", "broken"} {
			h.step(watchcache.Updated{Kind: proxy.ConfigKind, Revision: h.nextRevision(), Objects: []watchcache.Object{{Name: proxy.ConfigName, Revision: h.nextRevision(), Spec: []byte(version)}}})
		}
		h.arrive("lend", nil)
		h.g.Expect(onlyAction[proxy.Refuse](h).Status).To(Equal(http.StatusNotFound), "an older or broken configuration was applied")
	})
}

// nextRevision returns a new store revision.
func (h *harness) nextRevision() uint64 { h.counter++; return 100 + uint64(h.counter) }

// TestForward guards against sending a request without its workspace, its deadline or the route's run-once flag.
func TestForward(t *testing.T) {
	h := newLoadedHarness(t)
	h.arrive("lend", func(r *proxy.RequestInfo) { r.Patience = 400 * time.Millisecond })
	f := onlyAction[proxy.Forward](h)
	h.g.Expect(f.Workspace).To(Equal(id.Workspace("tunis")))
	h.g.Expect(f.Keyed).To(BeTrue())
	h.g.Expect(f.Once).To(BeTrue())
	h.g.Expect(f.Until).To(Equal(h.now.Add(400 * time.Millisecond)))
	h.g.Expect(f.First.IsZero()).To(BeTrue(), "a request that must not run twice has no limit for the first part of its response")
	h.arrive("look", func(r *proxy.RequestInfo) { r.Patience = time.Minute })
	h.g.Expect(onlyAction[proxy.Forward](h).Until).To(Equal(h.now.Add(time.Second)), "the route's timeout")
}

// TestOutcomes guards against running a request twice that must run once, against answering 503 to a request that may have
// run, and against failing a request that another server could have run.
func TestOutcomes(t *testing.T) {
	type want struct {
		again   bool
		status  int // of the final response
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
			h := newLoadedHarness(t)
			ticket := h.arrive(c.route, nil)
			first := onlyAction[proxy.Forward](h).Server.ID
			h.end(ticket, c.result)
			switch {
			case c.want.again:
				h.g.Expect(onlyAction[proxy.Forward](h).Server.ID).NotTo(Equal(first))
			case c.want.deliver:
				onlyAction[proxy.Deliver](h)
			default:
				h.g.Expect(onlyAction[proxy.Refuse](h).Status).To(Equal(c.want.status))
			}
		})
	}
	t.Run("never more servers than the route allows", func(t *testing.T) {
		h := newLoadedHarness(t)
		ticket := h.arrive("look", nil)
		h.end(ticket, proxy.Result{Fail: event.FailBroken})
		onlyAction[proxy.Forward](h)
		h.end(ticket, proxy.Result{Fail: event.FailBroken})
		h.g.Expect(onlyAction[proxy.Refuse](h).Status).To(Equal(http.StatusBadGateway))
	})
	t.Run("rejected by all servers", func(t *testing.T) {
		h := newLoadedHarness(t)
		ticket := h.arrive("lend", nil)
		for range 4 {
			if len(actionsOf[proxy.Forward](h)) > 0 {
				h.end(ticket, proxy.Result{Fail: event.FailRejected, Status: 503})
			}
		}
		h.g.Expect(onlyAction[proxy.Refuse](h).Status).To(Equal(http.StatusServiceUnavailable))
		h.g.Expect(onlyAction[proxy.Refuse](h).After).To(BeNumerically(">", 0))
	})
	t.Run("part of the response has reached the caller", func(t *testing.T) {
		h := newLoadedHarness(t)
		ticket := h.arrive("look", nil)
		h.end(ticket, proxy.Result{Fail: event.FailBroken, Began: true})
		onlyAction[proxy.Abort](h)
	})
}

// TestStages guards against forwarding a request without its stage results or with those of a lost leader, and against
// keeping results that were read.
func TestStages(t *testing.T) {
	draft := func(r *proxy.RequestInfo) { r.Pieces, r.PieceKey, r.Patience = []int{2}, "k", 10*time.Second }
	callEnded := func(call uint64, handles ...string) batch.CallEnded {
		r := batch.CallEnded{Call: call}
		for _, handle := range handles {
			r.Outcomes = append(r.Outcomes, batch.Outcome{Handle: handle})
		}
		return r
	}
	t.Run("read and freed", func(t *testing.T) {
		h := newLoadedHarness(t)
		ticket := h.arrive("draft", draft)
		call := onlyAction[batch.StartCall](h)
		h.g.Expect(call.Items).To(HaveLen(2))
		h.g.Expect(call.Items[1].Key).To(Equal("k"))
		h.step(callEnded(call.Call, "h1", "h2"))
		f := onlyAction[proxy.Forward](h)
		h.g.Expect(f.Inputs).To(Equal([]string{"h1", "h2"}))
		h.step(proxy.Began{Ticket: ticket, Status: http.StatusOK})
		h.run(time.Second)
		h.g.Expect(onlyAction[batch.FreeResults](h).Handles).To(Equal([]string{"h1", "h2"}))
	})
	t.Run("results for the previous process", func(t *testing.T) {
		h := newLoadedHarness(t)
		h.arrive("draft", draft)
		for job := range uint64(10) {
			h.step(event.Receive{From: "n", Incarnation: "other", Body: batch.Done{Ticket: job, Results: []batch.Result{{Handle: "foreign"}}}})
			h.g.Expect(actionsOf[proxy.Forward](h)).To(BeEmpty())
			h.step(event.Receive{From: "n", Incarnation: "other", Body: batch.Failed{Ticket: job}})
			h.g.Expect(actionsOf[proxy.Refuse](h)).To(BeEmpty())
		}
	})
	t.Run("handed over", func(t *testing.T) {
		h := newLoadedHarness(t)
		h.arrive("draft", draft)
		job := rand.New(rand.NewPCG(1, 1)).Uint64() + 1 // job numbers start after the first random number
		made := []batch.PriorResult{{Handle: "h1", Server: "times-1", Left: int64(time.Second)}, {Piece: 1, Handle: "h2", Server: "times-1", Left: int64(time.Second)}}
		h.step(event.Receive{From: "n", Body: batch.Moved{Ticket: job, Accepted: true, Made: made}})
		h.g.Expect(actionsOf[proxy.Refuse](h)).To(BeEmpty())
		h.run(100 * time.Millisecond)
		h.g.Expect(onlyAction[proxy.Forward](h).Inputs).To(Equal([]string{"h1", "h2"}))
	})
	t.Run("stages end at the route's caller timeout", func(t *testing.T) {
		h := newLoadedHarness(t)
		h.arrive("draft", func(r *proxy.RequestInfo) { r.Pieces, r.Patience = []int{2}, 10*time.Second })
		onlyAction[batch.StartCall](h) // never ends
		h.run(9 * time.Second)
		refused := onlyAction[proxy.Refuse](h)
		h.g.Expect(refused.Status).To(Equal(http.StatusServiceUnavailable))
		h.g.Expect(refused.After).To(BeNumerically(">", 0))
	})
	t.Run("an input is gone", func(t *testing.T) {
		h := newLoadedHarness(t)
		ticket := h.arrive("draft", draft)
		h.step(callEnded(onlyAction[batch.StartCall](h).Call, "h1", "h2"))
		h.end(ticket, proxy.Result{Fail: event.FailRejected, Status: 409, InputsGone: true})
		h.step(callEnded(onlyAction[batch.StartCall](h).Call, "h3", "h4"))
		h.g.Expect(onlyAction[proxy.Forward](h).Inputs).To(Equal([]string{"h3", "h4"}))
	})
	t.Run("the caller leaves", func(t *testing.T) {
		h := newLoadedHarness(t)
		ticket := h.arrive("draft", draft)
		call := onlyAction[batch.StartCall](h)
		h.step(proxy.Disconnected{Ticket: ticket})
		h.step(callEnded(call.Call, "h1", "h2"))
		h.g.Expect(actionsOf[proxy.Forward](h)).To(BeEmpty())
		h.run(time.Second)
		h.g.Expect(onlyAction[batch.FreeResults](h).Handles).To(HaveLen(2))
		h.g.Expect(h.gateway.Open()).To(BeZero())
	})
	t.Run("not in time", func(t *testing.T) {
		h := newLoadedHarness(t)
		h.arrive("draft", draft)
		h.run(11 * time.Second)
		h.g.Expect(onlyAction[proxy.Refuse](h).Status).To(Equal(http.StatusServiceUnavailable), "no server has run it")
	})
}

// TestTimeout guards against requests that are still open at their route's timeout.
func TestTimeout(t *testing.T) {
	h := newLoadedHarness(t)
	h.step(watchcache.Updated{Kind: fleet.KindServers, Revision: h.nextRevision(), Deleted: []string{"loans-1", "loans-2"}})
	h.run(watchcache.SettleTime + time.Second)
	h.arrive("look", nil)
	h.run(time.Second)
	h.g.Expect(onlyAction[proxy.Refuse](h).Status).To(Equal(http.StatusServiceUnavailable))
	h.g.Expect(h.gateway.Open()).To(BeZero())
}

// TestStop guards against a shutdown that breaks off requests that could finish, accepts new connections for too long, or
// does not end.
func TestStop(t *testing.T) {
	h := newLoadedHarness(t)
	ticket := h.arrive("look", nil)
	h.step(event.Stop{})
	h.g.Expect(h.ready).To(BeFalse())
	onlyAction[proxy.Drain](h)
	h.arrive("look", nil)
	onlyAction[proxy.Forward](h)
	h.run(4 * time.Second)
	h.g.Expect(actionsOf[proxy.Close](h)).To(HaveLen(1))
	h.g.Expect(actionsOf[event.Exit](h)).To(BeEmpty(), "two requests are open")
	h.end(ticket, proxy.Result{Status: 200})
	h.g.Expect(actionsOf[event.Exit](h)).To(BeEmpty(), "one request is open")
	h.end(ticket+1, proxy.Result{Status: 200})
	h.g.Expect(actionsOf[event.Exit](h)).To(BeEmpty(), "a connection is open, on which another request may be read")
	h.step(proxy.Closed{})
	onlyAction[event.Exit](h)
}

// TestStopWithoutEnd guards against a shutdown that exceeds the grace period because a request does not end.
func TestStopWithoutEnd(t *testing.T) {
	h := newLoadedHarness(t)
	h.arrive("draft", func(r *proxy.RequestInfo) { r.Pieces, r.Patience = []int{1}, time.Minute })
	h.step(event.Stop{})
	h.run(8 * time.Second)
	h.g.Expect(onlyAction[proxy.Refuse](h).Status).To(Equal(http.StatusServiceUnavailable))
	onlyAction[event.Exit](h)
}

// TestBrokenOffResponse guards against another attempt, or a refusal, after part of a response has reached the caller.
func TestBrokenOffResponse(t *testing.T) {
	for name, r := range map[string]proxy.Result{
		"broken":                {Fail: event.FailBroken, Status: http.StatusOK, Began: true},
		"timeout":               {Fail: event.FailTimeout, Status: http.StatusOK, Began: true},
		"begin reported before": {Fail: event.FailBroken, Status: http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			h := newLoadedHarness(t)
			ticket := h.arrive("look", nil) // idempotent, with two attempts
			h.step(proxy.Began{Ticket: ticket, Status: http.StatusOK})
			h.end(ticket, r)
			h.g.Expect(actionsOf[proxy.Forward](h)).To(BeEmpty())
			h.g.Expect(actionsOf[proxy.Refuse](h)).To(BeEmpty())
			h.g.Expect(actionsOf[proxy.Abort](h)).To(HaveLen(1))
		})
	}
}
