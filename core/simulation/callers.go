package simulation

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/settings"
)

// Sent is one request of a caller and what came of it.
type Sent struct {
	Arrive  event.RequestArrived
	Node    id.Node
	At      time.Time
	Parts   []byte
	End     *event.Reply
	EndedAt time.Time
	Gone    bool // the caller hung up
	Broken  bool // the entry node's process ended before the answer
	life    uint64
	gaveUp  time.Time // when the entry node decided that there is no answer, zero before
}

// Callers sends requests and keeps the oracle's books about their answers.
type Callers struct {
	All        []*Sent
	Violations []string
	byName     map[id.Request]*Sent
	world      *World
	backends   *Backends
	plan       func(event.RequestArrived) settings.Effective
	count      int
}

// NewCallers returns the callers of a world; plan gives the stages that a request must have run through.
func NewCallers(w *World, b *Backends, plan func(event.RequestArrived) settings.Effective) *Callers {
	c := &Callers{byName: map[id.Request]*Sent{}, world: w, backends: b, plan: plan}
	w.Outside = func(_ *World, from id.Node, a event.Action) {
		if !b.Handle(from, a) {
			c.handle(from, a)
		}
	}
	return c
}

// Send lets a caller send a request to a node; the request's name is filled in.
func (c *Callers) Send(to id.Node, a event.RequestArrived) *Sent {
	c.count++
	a.Request = id.Request(fmt.Sprintf("r%d", c.count))
	s := &Sent{Arrive: a, Node: to, At: c.world.Now, life: c.world.nodes[to].calls}
	c.All = append(c.All, s)
	c.byName[a.Request] = s
	c.world.Inject(to, a, c.world.delay())
	return s
}

// HangUp lets a caller hang up; it expects no answer any more.
func (c *Callers) HangUp(s *Sent) {
	if h := c.world.nodes[s.Node]; s.End == nil && h.up && h.calls == s.life {
		s.Gone = true
		c.world.Inject(s.Node, event.CallerDisconnected{Request: s.Arrive.Request}, 0)
	}
}

func (c *Callers) handle(from id.Node, a event.Action) {
	if l, ok := a.(event.Log); ok {
		c.decision(l)
		return
	}
	reply, ok := a.(event.Reply)
	if !ok {
		return
	}
	s, known := c.byName[reply.Request]
	if !known || s.Node != from {
		c.violate("%s answered request %s that it never got", from, reply.Request)
		return
	}
	if s.End != nil {
		c.violate("%s: more after the end of the answer", reply.Request)
		return
	}
	s.Parts = append(s.Parts, reply.Data...)
	if reply.End {
		s.End = &reply
		s.EndedAt = c.world.Now
		c.checkAnswer(s)
		c.checkAtOnce(s)
	}
}

// decision notes when a node gives up a request, from its log.
func (c *Callers) decision(l event.Log) {
	s, known := c.byName[l.Request]
	refused := (l.Kind == "admit" || l.Kind == "guard") && l.Choice == "refuse"
	if known && s.gaveUp.IsZero() && (l.Kind == "answer" && l.Choice != "none" || refused || l.Kind == "place" && l.Choice == "give up") {
		s.gaveUp = c.world.Now
	}
}

// checkAtOnce reports an answer that was held back after the node had given the request up. One with a key may wait for
// the lookup that makes its refusal true.
func (c *Callers) checkAtOnce(s *Sent) {
	if s.gaveUp.IsZero() {
		return
	}
	limit := c.world.Awake(s.Node, s.gaveUp)
	if s.Arrive.Key != "" {
		limit = c.world.Awake(s.Node, limit.Add(lookBound))
	}
	if c.world.Now.After(limit) {
		c.violate("%s: answered %s after it was given up", s.Arrive.Request, c.world.Now.Sub(s.gaveUp))
	}
}

func (c *Callers) violate(format string, args ...any) {
	c.Violations = append(c.Violations, fmt.Sprintf("%s ", c.world.Now.Sub(Epoch))+fmt.Sprintf(format, args...))
}

// checkAnswer compares a whole answer with what the stages return for the request.
func (c *Callers) checkAnswer(s *Sent) {
	if s.End.Problem != nil {
		return
	}
	if want := c.Want(s.Arrive); !bytes.Equal(s.Parts, want) && !c.repeats(s) {
		c.violate("%s: answer %q, want %q", s.Arrive.Request, s.Parts, want)
	}
}

// repeats reports whether an answer is the recorded result of another request with the same key. It consists of the last
// stage's output, because text that was streamed before it is not recorded.
func (c *Callers) repeats(s *Sent) bool {
	plain := s.Arrive
	plain.Stream = false
	ran := slices.ContainsFunc(c.backends.Took, func(e Effect) bool { return e.Key == plain.Key && e.Request != plain.Request })
	return plain.Key != "" && ran && bytes.Equal(s.Parts, c.Want(plain))
}

// Want returns the whole answer to a request.
func (c *Callers) Want(a event.RequestArrived) []byte {
	var prior, streamed []byte
	plan := c.plan(a)
	for i, stage := range plan.Stages {
		if !stage.Stream {
			prior = output(stage.Name, a.Body, prior)
			continue
		}
		var text []byte
		for n := range c.tokens(stage.Pool) {
			text = append(text, token(stage.Name, a.Body, prior, n)...)
		}
		if a.Stream && i == len(plan.Stages)-1 {
			return append(streamed, text...)
		}
		if a.Stream {
			streamed = append(streamed, text...)
		}
		prior = text
	}
	return append(streamed, prior...)
}

func (c *Callers) tokens(pool id.Pool) int {
	for _, name := range c.backends.order {
		if s := c.backends.Servers[name]; s.VM.Pool == pool {
			return s.Tokens
		}
	}
	return 0
}

// Check closes the books: every request of a process that lived has its answer in time, no key took
// effect twice, a key answered as done took effect, and a key that was only ever refused did not.
func (c *Callers) Check(grace time.Duration) []string {
	for _, s := range c.All {
		c.checkEnded(s, grace)
	}
	for key, n := range c.backends.Effects {
		if n > 1 {
			c.violate("key %s took effect %d times", key, n)
		}
	}
	for key, sends := range c.byKey() {
		c.checkKey(key, sends)
	}
	return c.Violations
}

func (c *Callers) checkEnded(s *Sent, grace time.Duration) {
	if s.Gone {
		return
	}
	h := c.world.nodes[s.Node]
	if h.calls != s.life || !h.up {
		s.Broken = s.End == nil
		if s.Broken && h.exits[s.life] {
			c.violate("%s: cut by the graceful stop of %s", s.Arrive.Request, s.Node)
		}
		if s.Broken {
			return
		}
	}
	// A frozen process cannot answer; it must once it wakes.
	// Neither can it see that a request has arrived, so that its deadline begins when it wakes.
	limit := c.world.Awake(s.Node, c.world.Awake(s.Node, s.At.Add(c.world.Network.MaxDelay)).Add(c.plan(s.Arrive).Deadline)).Add(grace)
	if s.End == nil && c.world.Now.After(limit) {
		c.violate("%s: no answer by its deadline", s.Arrive.Request)
	}
	if s.End != nil && s.EndedAt.After(limit) {
		c.violate("%s: final answer %s after its deadline", s.Arrive.Request, s.EndedAt.Sub(limit)+grace)
	}
}

func (c *Callers) byKey() map[string][]*Sent {
	out := map[string][]*Sent{}
	for _, s := range c.All {
		if s.Arrive.Key != "" {
			out[s.Arrive.Key] = append(out[s.Arrive.Key], s)
		}
	}
	return out
}

// checkKey compares the answers to all sends of a key with its effects. A refusal says that the request was not run, so it
// must hold for every send up to then, whatever became of the others.
func (c *Callers) checkKey(key string, sends []*Sent) {
	for _, s := range sends {
		if s.End == nil {
			continue
		}
		if s.End.Problem == nil && c.backends.Effects[key] == 0 {
			c.violate("%s: answered as done, but key %s took no effect", s.Arrive.Request, key)
		}
		if s.End.Problem != nil && s.End.Problem.Kind == event.ProblemRefused {
			c.checkRefused(key, s)
		}
	}
}

// lookBound is how old the knowledge behind a refusal may be: the node looks the key up just before it refuses, and
// another send that is dispatched during the look is concurrent with the refusal.
const lookBound = 300 * time.Millisecond

// checkRefused compares a refusal with what ran under the key. A send that ran later is allowed only if it came after the
// refusal, or if its own caller was still waiting: such a caller gets its own answer.
func (c *Callers) checkRefused(key string, refused *Sent) {
	decided := refused.EndedAt
	if !refused.gaveUp.IsZero() {
		decided = refused.gaveUp // a process that is frozen between its decision and its answer cannot take it back
	}
	for _, e := range c.backends.Took {
		if e.Key != key {
			continue
		}
		by := c.byName[e.Request]
		waits := by.End == nil && !by.Gone && !by.Broken || by.End != nil && by.EndedAt.After(decided)
		own := e.Request == refused.Arrive.Request
		if own || e.Sent.Before(decided.Add(-lookBound)) || e.Sent.After(decided) && !by.At.After(decided) && !waits {
			c.violate("%s: refused as not run at %s, but %s with the same key %s ran, dispatched at %s",
				refused.Arrive.Request, decided.Sub(Epoch), e.Request, key, e.Sent.Sub(Epoch))
		}
	}
}

// Unsettled reports whether a request got no final answer from a process that has ended, or an unknown outcome.
func (c *Callers) Unsettled(s *Sent) bool {
	if s.Gone {
		return true
	}
	if s.End == nil {
		h := c.world.nodes[s.Node]
		return h.calls != s.life || !h.up
	}
	return s.End.Problem != nil && s.End.Problem.Kind == event.ProblemUnknown
}

// Tally counts the outcomes by name.
func (c *Callers) Tally() map[string]int {
	out := map[string]int{}
	for _, s := range c.All {
		switch {
		case s.End == nil && s.Gone:
			out["hung up"]++
		case s.End == nil && s.Broken:
			out["broken"]++
		case s.End == nil:
			out["open"]++
		case s.End.Problem == nil:
			out["answered"]++
		default:
			out[string(s.End.Problem.Kind)]++
		}
	}
	return out
}
