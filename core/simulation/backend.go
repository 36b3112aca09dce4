package simulation

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

// reportEvery is how often a backend server reports its load to each node, and reportLag how old the report is on arrival.
const (
	reportEvery = 100 * time.Millisecond
	reportLag   = 50 * time.Millisecond
	listEvery   = 500 * time.Millisecond // VM list
	downtime    = 150 * time.Millisecond // of a backend server between a crash and its restart
)

// Server is a backend server with the faults that a real one has.
type Server struct {
	VM      event.VM
	Start   id.Start
	Cold    int           // attempts in flight that it can handle after its start
	Warm    int           // attempts in flight that it can handle when it is warm
	Service time.Duration // time of one attempt that does not stream, and of a stream's first token
	Token   time.Duration // time between the parts of a stream
	Tokens  int           // tokens of a stream

	Leaving   bool
	Fails     float64 // probability that an attempt ends with an error
	LoseDone  float64 // probability that the connection breaks after the work was done
	SlowBy    float64 // factor on the service time, 0 for 1
	Down      bool    // nothing listens at its address
	Completed int     // attempts completed since its start
	Overrun   int     // attempts received beyond what it could handle while it was cold, see excess
	Received  int     // attempts received over all its starts

	running map[run]*attempt
	count   int
}

// attempt is what a server has in flight.
type attempt struct {
	node  id.Node
	grace bool // does not count as overload, see excess
}

type run struct {
	node    id.Node
	life    uint64
	attempt id.Attempt
}

// Backends is the set of backend servers, and the oracle of what took effect.
type Backends struct {
	Servers map[id.Server]*Server
	Poison  string         // a request whose input contains it crashes the server that runs it
	Effects map[string]int // effects by idempotency key
	Took    []Effect       // all effects, in order
	Every   time.Duration  // between two load reports of a server
	Crashes int            // caused by poison
	Jitter  time.Duration  // largest extra delay of an answer, so that answers overtake each other
	Deaf    bool           // cancellations are ignored
	order   []id.Server
	world   *World
}

// Effect is one effect of a request with a key.
type Effect struct {
	Key     string
	Request id.Request
	Sent    time.Time // when the attempt was dispatched
	At      time.Time
}

// Knows is implemented by a stepper that can say which start of a server it has heard of.
type Knows interface {
	Start(id.Server) id.Start
}

// NewBackends returns an empty set whose servers report to the world's nodes.
func NewBackends(w *World) *Backends {
	b := &Backends{Servers: map[id.Server]*Server{}, Effects: map[string]int{}, Every: reportEvery, world: w}
	w.At(0, b.report)
	w.At(0, b.list)
	return b
}

// Add puts a server into the set; it is cold.
func (b *Backends) Add(s *Server) {
	name := id.Server(s.VM.Name)
	b.Servers[name] = s
	b.order = append(b.order, name)
	b.restart(s)
}

// restart gives a server a new start identity; attempts in flight break off.
func (b *Backends) restart(s *Server) {
	for _, r := range s.inOrder() {
		b.answer(r.node, r, event.AttemptFailed{Attempt: r.attempt, Kind: event.FailBroken, Reason: "connection reset"})
	}
	s.count++
	s.Start = id.Start(s.VM.Name + "#" + strconv.Itoa(s.count))
	s.running = map[run]*attempt{}
	s.Completed = 0
	s.Down = false
}

// inOrder returns what is in flight in an order that does not depend on the map, so that a run is repeatable.
func (s *Server) inOrder() []run {
	return slices.SortedFunc(maps.Keys(s.running), func(x, y run) int {
		return cmp.Or(cmp.Compare(x.node, y.node), cmp.Compare(x.life, y.life), cmp.Compare(x.attempt, y.attempt))
	})
}

// Restart lets a server turn cold without warning.
func (b *Backends) Restart(name id.Server) { b.restart(b.Servers[name]) }

// crash ends a server's process; it comes back cold.
func (b *Backends) crash(s *Server) {
	b.restart(s)
	s.Down = true
	b.world.At(downtime, func() { s.Down = false })
}

// Handles returns how many attempts in flight the server can handle now. It doubles with each full round
// of completions, as caches fill and code is compiled.
func (s *Server) Handles() int {
	n, done := s.Cold, s.Completed
	for n < s.Warm && done >= n {
		done -= n
		n *= 2
	}
	return min(n, s.Warm)
}

// Handle carries out a dispatch or a cancellation; it reports whether the action was one of them.
func (b *Backends) Handle(from id.Node, a event.Action) bool {
	switch a := a.(type) {
	case event.Dispatch:
		life := b.world.nodes[from].calls
		known := id.Start("")
		if k, ok := b.world.nodes[from].stepper.(Knows); ok {
			known = k.Start(a.Server)
		}
		sent := b.world.Now
		b.world.At(b.world.delay(), func() { b.receive(from, life, known, sent, a) })
	case event.Cancel:
		if b.Deaf {
			return true
		}
		life := b.world.nodes[from].calls
		if s, ok := b.Servers[a.Server]; ok && s.running[run{from, life, a.Attempt}] != nil {
			s.running[run{from, life, a.Attempt}].grace = true
		}
		b.world.At(b.world.delay(), func() {
			if s, ok := b.Servers[a.Server]; ok && !b.world.Apart(from, s.VM.FailureDomain) {
				delete(s.running, run{from, life, a.Attempt})
			}
		})
	case event.Order:
		life := b.world.nodes[from].calls
		b.world.At(b.world.delay(), func() {
			s, ok := b.Servers[a.Server]
			if !ok || s.Down || b.world.Apart(from, s.VM.FailureDomain) {
				b.answer(from, run{life: life}, event.OrderResult{Order: a, Code: event.CodeUnavailable})
				return
			}
			b.answer(from, run{life: life}, event.OrderResult{Order: a, Code: event.CodeOK})
		})
	default:
		return false
	}
	return true
}

func (b *Backends) receive(from id.Node, life uint64, known id.Start, sent time.Time, a event.Dispatch) {
	r := run{from, life, a.Attempt}
	s, ok := b.Servers[a.Server]
	if !ok || s.Down || b.world.Apart(from, s.VM.FailureDomain) {
		b.answer(from, r, event.AttemptFailed{Attempt: a.Attempt, Kind: event.FailUnsent, Reason: "connection refused"})
		return
	}
	s.Received++
	s.running[r] = &attempt{node: from, grace: known != s.Start}
	if s.Handles() < s.Warm && s.excess() > 0 && known == s.Start {
		s.Overrun++
	}
	if len(s.running) > 2*s.Handles() {
		b.crash(s)
		return
	}
	if b.Poison != "" && contains(a.Input, b.Poison) {
		b.Crashes++
		b.world.At(s.Service/2, func() {
			if _, still := s.running[r]; still {
				b.crash(s)
			}
		})
		return
	}
	b.serve(from, r, s, sent, a)
}

// excess returns how many attempts in flight are beyond what a server can handle. An attempt does not count if the
// node that sent it had not handled any report, answer or message of the server's present start at the dispatch,
// or has cancelled it since.
func (s *Server) excess() int {
	n := 0
	for _, a := range s.running {
		if !a.grace {
			n++
		}
	}
	return n - s.Handles()
}

// serve schedules the effect, the parts and the end mark of an attempt.
func (b *Backends) serve(from id.Node, r run, s *Server, sent time.Time, a event.Dispatch) {
	start := s.Start
	took := s.Service
	if s.SlowBy > 0 {
		took = time.Duration(float64(took) * s.SlowBy)
	}
	alive := func() bool {
		_, still := s.running[r]
		return still && s.Start == start && !s.Down
	}
	fails := b.world.Rand.Float64() < s.Fails
	if !a.Stream {
		b.world.At(took, func() {
			if !alive() {
				return
			}
			if fails {
				b.end(from, r, s, event.AttemptFailed{Attempt: a.Attempt, Kind: event.FailError, Start: start, Status: 500, Reason: "internal error"})
				return
			}
			if a.Key != "" {
				b.Effects[a.Key]++
				b.Took = append(b.Took, Effect{a.Key, a.Request, sent, b.world.Now})
			}
			b.complete(from, r, s, event.AttemptDone{Attempt: a.Attempt, Data: Output(a), Start: start, Took: took})
		})
		return
	}
	for i := a.Offset; i < s.Tokens; i++ {
		b.world.At(took+time.Duration(i-a.Offset)*s.Token, func() {
			if alive() {
				b.answer(from, r, event.AttemptOutput{Attempt: a.Attempt, Seq: i, Tokens: 1, Data: Token(a, i)})
			}
		})
	}
	total := took + time.Duration(s.Tokens-a.Offset)*s.Token
	b.world.At(total, func() {
		if !alive() {
			return
		}
		if fails {
			b.end(from, r, s, event.AttemptFailed{Attempt: a.Attempt, Kind: event.FailError, Start: start, Status: 500, Reason: "internal error"})
			return
		}
		b.complete(from, r, s, event.AttemptDone{Attempt: a.Attempt, Tokens: s.Tokens, Start: start, Took: total})
	})
}

func (b *Backends) complete(from id.Node, r run, s *Server, done event.AttemptDone) {
	s.Completed++
	done.Leaving = s.Leaving
	if b.world.Rand.Float64() < s.LoseDone {
		b.end(from, r, s, event.AttemptFailed{Attempt: r.attempt, Kind: event.FailBroken, Reason: "connection reset"})
		return
	}
	b.end(from, r, s, done)
}

func (b *Backends) end(from id.Node, r run, s *Server, ev event.Event) {
	delete(s.running, r)
	b.answer(from, r, ev)
}

// answer delivers to the process that sent the attempt, if it still runs and the server can reach it.
func (b *Backends) answer(to id.Node, r run, ev event.Event) {
	after := b.world.delay()
	if b.Jitter > 0 {
		after += time.Duration(b.world.Rand.Int64N(int64(b.Jitter)))
	}
	b.world.push(delivery{at: b.world.Now.Add(after), to: to, life: r.life, ev: ev})
}

// Running returns the number of attempts in flight.
func (s *Server) Running() int { return len(s.running) }

func (b *Backends) report() {
	for _, name := range b.order {
		s := b.Servers[name]
		for _, node := range b.world.order {
			if !b.world.Up(node) || b.world.Apart(node, s.VM.FailureDomain) {
				continue
			}
			if s.Down {
				b.world.Inject(node, event.LoadQueryFailed{Server: name, Refused: true}, 0)
				continue
			}
			b.world.Inject(node, event.LoadReport{
				Server: name, Start: s.Start, Version: s.VM.Version, Running: len(s.running), Limit: s.Warm,
				Warm: s.Handles() == s.Warm, Leaving: s.Leaving, At: b.world.Now,
			}, reportLag)
		}
	}
	b.world.At(b.Every, b.report)
}

// list sends the VM list to every node that reaches the platform.
func (b *Backends) list() {
	var vms []event.VM
	for _, name := range b.world.order {
		self := b.world.Self(name)
		vms = append(vms, event.VM{Name: string(name), Kind: "entry", Addr: self.Addr, FailureDomain: self.FailureDomain, Region: self.Region})
	}
	for _, name := range b.order {
		vms = append(vms, b.Servers[name].VM)
	}
	for _, name := range b.world.order {
		if b.world.Up(name) && b.world.Platform.reachable(name) {
			b.world.Inject(name, event.VMList{List: vms}, b.world.Platform.Latency)
		}
	}
	b.world.At(listEvery, b.list)
}

// Output is what a stage that does not stream returns; it is a function of what the stage was given.
func Output(a event.Dispatch) []byte { return output(a.Stage, a.Input, a.Prior) }

func output(stage string, input, prior []byte) []byte {
	sum := xxhash.Sum64(append(append([]byte(stage+"|"), input...), prior...))
	return []byte(fmt.Sprintf("%s:%016x", stage, sum))
}

// Token is one token of a stage that streams.
func Token(a event.Dispatch, i int) []byte { return token(a.Stage, a.Input, a.Prior, i) }

func token(stage string, input, prior []byte, i int) []byte {
	return []byte(fmt.Sprintf("%d-%s ", i, output(stage, input, prior)[len(stage)+1:]))
}

func contains(data []byte, text string) bool {
	for i := 0; i+len(text) <= len(data); i++ {
		if string(data[i:i+len(text)]) == text {
			return true
		}
	}
	return false
}
