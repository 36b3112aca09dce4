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

// SentRequest is one request of a caller and its outcome.
type SentRequest struct {
	Arrival        event.RequestArrived
	Node           id.Node
	At             time.Time
	Answer         []byte
	End            *event.Reply
	EndedAt        time.Time
	Disconnected   bool // the caller hung up
	ConnectionLost bool // the entry node's process ended before the answer
	generation     uint64
	gaveUpAt       time.Time // when the entry node gave up the request, zero before
}

// Callers sends requests and checks their answers.
type Callers struct {
	Requests   []*SentRequest
	Violations []string
	byRequest  map[id.Request]*SentRequest
	world      *World
	backends   *Backends
	effective  func(event.RequestArrived) settings.Effective
	count      int
}

// NewCallers returns the callers of a world. The function plan returns the settings that apply to a request, with the
// stages that it must run.
func NewCallers(w *World, b *Backends, plan func(event.RequestArrived) settings.Effective) *Callers {
	c := &Callers{byRequest: map[id.Request]*SentRequest{}, world: w, backends: b, effective: plan}
	w.OnExternal = func(_ *World, from id.Node, a event.Action) {
		if !b.Handle(from, a) {
			c.handle(from, a)
		}
	}
	return c
}

// Send sends a request to a node and fills in the request's ID.
func (c *Callers) Send(to id.Node, a event.RequestArrived) *SentRequest {
	c.count++
	a.Request = id.Request(fmt.Sprintf("r%d", c.count))
	s := &SentRequest{Arrival: a, Node: to, At: c.world.Now, generation: c.world.nodes[to].generation}
	c.Requests = append(c.Requests, s)
	c.byRequest[a.Request] = s
	c.world.Inject(to, a, c.world.delay())
	return s
}

// Disconnect disconnects the caller of a request, which expects no answer from then on.
func (c *Callers) Disconnect(s *SentRequest) {
	if n := c.world.nodes[s.Node]; s.End == nil && n.up && n.generation == s.generation {
		s.Disconnected = true
		c.world.Inject(s.Node, event.CallerDisconnected{Request: s.Arrival.Request}, 0)
	}
}

func (c *Callers) handle(from id.Node, a event.Action) {
	if l, ok := a.(event.Log); ok {
		c.recordDecision(l)
		return
	}
	reply, ok := a.(event.Reply)
	if !ok {
		return
	}
	s, known := c.byRequest[reply.Request]
	if !known || s.Node != from {
		c.reportViolation("%s answered request %s that it never received", from, reply.Request)
		return
	}
	if s.End != nil {
		c.reportViolation("%s: reply after the end of the answer", reply.Request)
		return
	}
	s.Answer = append(s.Answer, reply.Data...)
	if reply.End {
		s.End = &reply
		s.EndedAt = c.world.Now
		c.checkAnswer(s)
		c.checkPromptness(s)
	}
}

// recordDecision records when a node gives up a request, according to its log.
func (c *Callers) recordDecision(l event.Log) {
	s, known := c.byRequest[l.Request]
	refused := (l.Kind == "admit" || l.Kind == "guard") && l.Choice == "refuse"
	if known && s.gaveUpAt.IsZero() && (l.Kind == "answer" && l.Choice != "none" || refused || l.Kind == "place" && l.Choice == "give up") {
		s.gaveUpAt = c.world.Now
	}
}

// checkPromptness reports an answer that was delayed after the node gave up the request. A request with a key may wait for
// the key lookup that a refusal depends on.
func (c *Callers) checkPromptness(s *SentRequest) {
	if s.gaveUpAt.IsZero() {
		return
	}
	limit := c.world.NextAwake(s.Node, s.gaveUpAt)
	if s.Arrival.Key != "" {
		limit = c.world.NextAwake(s.Node, limit.Add(lookupBound))
	}
	if c.world.Now.After(limit) {
		c.reportViolation("%s: answered %s after it was given up", s.Arrival.Request, c.world.Now.Sub(s.gaveUpAt))
	}
}

func (c *Callers) reportViolation(format string, args ...any) {
	c.Violations = append(c.Violations, fmt.Sprintf("%s ", c.world.Now.Sub(Epoch))+fmt.Sprintf(format, args...))
}

// checkAnswer compares a complete answer with the expected one.
func (c *Callers) checkAnswer(s *SentRequest) {
	if s.End.Problem != nil {
		return
	}
	if want := c.ExpectedAnswer(s.Arrival); !bytes.Equal(s.Answer, want) && !c.isRecordedResult(s) {
		c.reportViolation("%s: answer %q, want %q", s.Arrival.Request, s.Answer, want)
	}
}

// isRecordedResult reports whether an answer is the recorded result of another request with the same key. The result
// contains only the output of the last stage, because text that was streamed before it is not recorded.
func (c *Callers) isRecordedResult(s *SentRequest) bool {
	plain := s.Arrival
	plain.Stream = false
	ran := slices.ContainsFunc(c.backends.EffectLog, func(e Effect) bool { return e.Key == plain.Key && e.Request != plain.Request })
	return plain.Key != "" && ran && bytes.Equal(s.Answer, c.ExpectedAnswer(plain))
}

// ExpectedAnswer returns the complete answer to a request.
func (c *Callers) ExpectedAnswer(a event.RequestArrived) []byte {
	var prior, streamed []byte
	plan := c.effective(a)
	for i, stage := range plan.Stages {
		if !stage.Stream {
			prior = output(stage.Name, a.Body, prior)
			continue
		}
		var text []byte
		for n := range c.tokenCount(stage.Pool) {
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

func (c *Callers) tokenCount(pool id.Pool) int {
	for _, name := range c.backends.names {
		if s := c.backends.Servers[name]; s.VM.Pool == pool {
			return s.Tokens
		}
	}
	return 0
}

// Check returns all violations at the end of a run: a process that kept running answers each request in time, no key takes
// effect twice, a key answered as done took effect, and a key that was only refused did not.
func (c *Callers) Check(grace time.Duration) []string {
	for _, s := range c.Requests {
		c.checkDeadline(s, grace)
	}
	for key, n := range c.backends.Effects {
		if n > 1 {
			c.reportViolation("key %s took effect %d times", key, n)
		}
	}
	for key, sends := range c.byKey() {
		c.checkKey(key, sends)
	}
	return c.Violations
}

func (c *Callers) checkDeadline(s *SentRequest, grace time.Duration) {
	if s.Disconnected {
		return
	}
	n := c.world.nodes[s.Node]
	if n.generation != s.generation || !n.up {
		s.ConnectionLost = s.End == nil
		if s.ConnectionLost && n.exitedGenerations[s.generation] {
			c.reportViolation("%s: interrupted by the graceful stop of %s", s.Arrival.Request, s.Node)
		}
		if s.ConnectionLost {
			return
		}
	}
	// A frozen process can neither receive nor answer a request, so that the deadline counts from the time at which it
	// resumes, and an answer may be sent until it resumes.
	limit := c.world.NextAwake(s.Node, c.world.NextAwake(s.Node, s.At.Add(c.world.Network.MaxDelay)).Add(c.effective(s.Arrival).Deadline)).Add(grace)
	if s.End == nil && c.world.Now.After(limit) {
		c.reportViolation("%s: no answer by its deadline", s.Arrival.Request)
	}
	if s.End != nil && s.EndedAt.After(limit) {
		c.reportViolation("%s: final answer %s after its deadline", s.Arrival.Request, s.EndedAt.Sub(limit)+grace)
	}
}

func (c *Callers) byKey() map[string][]*SentRequest {
	out := map[string][]*SentRequest{}
	for _, s := range c.Requests {
		if s.Arrival.Key != "" {
			out[s.Arrival.Key] = append(out[s.Arrival.Key], s)
		}
	}
	return out
}

// checkKey compares the answers to all sends of a key with its effects. A refusal states that the request has not run, so
// no send up to then may have run.
func (c *Callers) checkKey(key string, sends []*SentRequest) {
	for _, s := range sends {
		if s.End == nil {
			continue
		}
		if s.End.Problem == nil && c.backends.Effects[key] == 0 {
			c.reportViolation("%s: answered as done, but key %s took no effect", s.Arrival.Request, key)
		}
		if s.End.Problem != nil && s.End.Problem.Kind == event.ProblemRefused {
			c.checkRefused(key, s)
		}
	}
}

// lookupBound is the largest age of the lookup behind a refusal: the node looks up the key just before it refuses, and
// another send that is dispatched during the lookup is concurrent with the refusal.
const lookupBound = 300 * time.Millisecond

// checkRefused compares a refusal with the sends of the key that ran. A send that ran later is allowed only if it was sent
// after the refusal, or if its caller was still waiting and so gets its own answer.
func (c *Callers) checkRefused(key string, refused *SentRequest) {
	decided := refused.EndedAt
	if !refused.gaveUpAt.IsZero() {
		decided = refused.gaveUpAt // a process that is frozen between its decision and its answer cannot reverse the decision
	}
	for _, e := range c.backends.EffectLog {
		if e.Key != key {
			continue
		}
		by := c.byRequest[e.Request]
		waits := by.End == nil && !by.Disconnected && !by.ConnectionLost || by.End != nil && by.EndedAt.After(decided)
		own := e.Request == refused.Arrival.Request
		if own || e.Sent.Before(decided.Add(-lookupBound)) || e.Sent.After(decided) && !by.At.After(decided) && !waits {
			c.reportViolation("%s: refused as not run at %s, but %s with the same key %s ran, dispatched at %s",
				refused.Arrival.Request, decided.Sub(Epoch), e.Request, key, e.Sent.Sub(Epoch))
		}
	}
}

// Unsettled reports whether a request has no answer and gets none, or has an unknown outcome.
func (c *Callers) Unsettled(s *SentRequest) bool {
	if s.Disconnected {
		return true
	}
	if s.End == nil {
		n := c.world.nodes[s.Node]
		return n.generation != s.generation || !n.up
	}
	return s.End.Problem != nil && s.End.Problem.Kind == event.ProblemUnknown
}

// CountOutcomes returns the number of requests by outcome.
func (c *Callers) CountOutcomes() map[string]int {
	out := map[string]int{}
	for _, s := range c.Requests {
		switch {
		case s.End == nil && s.Disconnected:
			out["hung up"]++
		case s.End == nil && s.ConnectionLost:
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
