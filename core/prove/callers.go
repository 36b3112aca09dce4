package prove

import (
	"bytes"
	"fmt"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/settings"
)

// Sent is one request of a caller and what came of it.
type Sent struct {
	Arrive  event.Arrive
	Node    id.Node
	At      time.Time
	Parts   []byte
	End     *event.Reply
	EndedAt time.Time
	Broken  bool // the entry node's process ended before the answer
	life    uint64
}

// Callers sends requests and keeps the oracle's books about their answers.
type Callers struct {
	All        []*Sent
	Violations []string
	byName     map[id.Request]*Sent
	world      *World
	backends   *Backends
	plan       func(event.Arrive) settings.Effective
	count      int
}

// NewCallers returns the callers of a world; plan gives the stages that a request must have run through.
func NewCallers(w *World, b *Backends, plan func(event.Arrive) settings.Effective) *Callers {
	c := &Callers{byName: map[id.Request]*Sent{}, world: w, backends: b, plan: plan}
	w.Outside = func(_ *World, from id.Node, a event.Action) {
		if !b.Handle(from, a) {
			c.handle(from, a)
		}
	}
	return c
}

// Send lets a caller send a request to a node; the request's name is filled in.
func (c *Callers) Send(to id.Node, a event.Arrive) *Sent {
	c.count++
	a.Request = id.Request(fmt.Sprintf("r%d", c.count))
	s := &Sent{Arrive: a, Node: to, At: c.world.Now, life: c.world.nodes[to].calls}
	c.All = append(c.All, s)
	c.byName[a.Request] = s
	c.world.Inject(to, a, c.world.delay())
	return s
}

func (c *Callers) handle(from id.Node, a event.Action) {
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
	if want := c.Want(s.Arrive); !bytes.Equal(s.Parts, want) {
		c.violate("%s: answer %q, want %q", s.Arrive.Request, s.Parts, want)
	}
}

// Want returns the whole answer to a request.
func (c *Callers) Want(a event.Arrive) []byte {
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
	h := c.world.nodes[s.Node]
	if h.calls != s.life || !h.up {
		s.Broken = s.End == nil
		if s.Broken {
			return
		}
	}
	// A frozen process cannot answer; it must once it wakes.
	limit := c.world.Awake(s.Node, s.At.Add(c.plan(s.Arrive).Deadline)).Add(grace)
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

func (c *Callers) checkKey(key string, sends []*Sent) {
	effects := c.backends.Effects[key]
	onlyRefused := true
	for _, s := range sends {
		refused := s.End != nil && s.End.Problem != nil && s.End.Problem.Kind == event.Refused
		onlyRefused = onlyRefused && refused
		if s.End != nil && s.End.Problem == nil && effects == 0 {
			c.violate("%s: answered as done, but key %s took no effect", s.Arrive.Request, key)
		}
	}
	if onlyRefused && effects > 0 {
		c.violate("key %s was refused as not run, but took effect", key)
	}
}

// Tally counts the outcomes by name.
func (c *Callers) Tally() map[string]int {
	out := map[string]int{}
	for _, s := range c.All {
		switch {
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
