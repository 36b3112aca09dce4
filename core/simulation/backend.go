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

const (
	reportInterval = 100 * time.Millisecond // time between two load reports of a server to each node
	reportDelay    = 50 * time.Millisecond  // age of a load report on arrival
	listInterval   = 500 * time.Millisecond // time between two VM lists
	downtime       = 150 * time.Millisecond // time from a crash of a server to its restart
)

// Server is a simulated backend server and its faults.
type Server struct {
	VM            event.VM
	Start         id.Start
	Cold          int           // attempts in flight that it can handle just after its start
	Warm          int           // attempts in flight that it can handle once it is warm
	ServiceTime   time.Duration // time to complete a non-streaming attempt, and to the first token of a stream
	TokenInterval time.Duration // time between the tokens of a stream
	Tokens        int           // number of tokens of a stream

	Leaving        bool
	ErrorRate      float64 // probability that an attempt fails with an error
	ErrorStatus    int     // status of that error, which says nothing of the effect; 0 for 500
	LostAnswerRate float64 // probability that the connection breaks after the work is done
	SlowFactor     float64 // factor for ServiceTime, 0 means 1
	Down           bool    // nothing listens at its address
	Completed      int     // attempts completed since the last start
	Overload       int     // attempts received beyond its capacity while it was cold, see excess
	Received       int     // attempts received over all starts

	running    map[attemptKey]*attempt
	startCount int
}

// attempt is an attempt in flight on a server.
type attempt struct {
	node   id.Node
	exempt bool // does not count towards overload, see excess
}

// attemptKey identifies an attempt of one process of a node.
type attemptKey struct {
	node       id.Node
	generation uint64
	attempt    id.Attempt
}

// Backends is the set of backend servers. It records the effects of requests with a key.
type Backends struct {
	Servers        map[id.Server]*Server
	Poison         string         // a request whose input contains it crashes the server that runs it
	Effects        map[string]int // number of effects by idempotency key
	EffectLog      []Effect       // all effects, in order
	ReportInterval time.Duration  // time between two load reports of a server
	Crashes        int            // crashes caused by Poison
	Jitter         time.Duration  // maximum extra delay of an answer, so that answers arrive out of order
	IgnoreCancel   bool           // servers ignore cancellations
	names          []id.Server
	world          *World
}

// Effect is one effect of a request with a key.
type Effect struct {
	Key     string
	Request id.Request
	Sent    time.Time // when the attempt was dispatched
	At      time.Time
}

// ServerStarts is implemented by a stepper that knows the newest start ID of a server.
type ServerStarts interface {
	Start(id.Server) id.Start
}

// NewBackends returns an empty set whose servers report to all nodes of the world.
func NewBackends(w *World) *Backends {
	b := &Backends{Servers: map[id.Server]*Server{}, Effects: map[string]int{}, ReportInterval: reportInterval, world: w}
	w.AfterFunc(0, b.sendLoadReports)
	w.AfterFunc(0, b.sendVMList)
	return b
}

// Add adds a cold server.
func (b *Backends) Add(s *Server) {
	name := id.Server(s.VM.Name)
	b.Servers[name] = s
	b.names = append(b.names, name)
	b.restartServer(s)
}

// restartServer gives a server a new start ID and breaks the connections of all attempts in flight.
func (b *Backends) restartServer(s *Server) {
	for _, key := range s.sortedAttempts() {
		b.deliver(key.node, key, event.AttemptFailed{Attempt: key.attempt, Kind: event.FailBroken, Reason: "connection reset"})
	}
	s.startCount++
	s.Start = id.Start(s.VM.Name + "#" + strconv.Itoa(s.startCount))
	s.running = map[attemptKey]*attempt{}
	s.Completed = 0
	s.Down = false
}

// sortedAttempts returns the attempts in flight in a fixed order, so that runs are reproducible.
func (s *Server) sortedAttempts() []attemptKey {
	return slices.SortedFunc(maps.Keys(s.running), func(x, y attemptKey) int {
		return cmp.Or(cmp.Compare(x.node, y.node), cmp.Compare(x.generation, y.generation), cmp.Compare(x.attempt, y.attempt))
	})
}

// Restart restarts a server without warning; it is cold afterwards.
func (b *Backends) Restart(name id.Server) { b.restartServer(b.Servers[name]) }

// crash ends a server's process and restarts it cold after downtime.
func (b *Backends) crash(s *Server) {
	b.restartServer(s)
	s.Down = true
	b.world.AfterFunc(downtime, func() { s.Down = false })
}

// Capacity returns how many attempts in flight the server can handle now. It doubles each time that as many attempts as
// it could handle have completed, because caches fill and code is compiled.
func (s *Server) Capacity() int {
	n, done := s.Cold, s.Completed
	for n < s.Warm && done >= n {
		done -= n
		n *= 2
	}
	return min(n, s.Warm)
}

// Handle performs dispatches, cancellations and orders. It reports whether the action was one of them.
func (b *Backends) Handle(from id.Node, a event.Action) bool {
	switch a := a.(type) {
	case event.Dispatch:
		generation := b.world.nodes[from].generation
		knownStart := id.Start("")
		if k, ok := b.world.nodes[from].stepper.(ServerStarts); ok {
			knownStart = k.Start(a.Server)
		}
		sentAt := b.world.Now
		b.world.AfterFunc(b.world.delay(), func() { b.receive(from, generation, knownStart, sentAt, a) })
	case event.Cancel:
		if b.IgnoreCancel {
			return true
		}
		generation := b.world.nodes[from].generation
		if s, ok := b.Servers[a.Server]; ok && s.running[attemptKey{from, generation, a.Attempt}] != nil {
			s.running[attemptKey{from, generation, a.Attempt}].exempt = true
		}
		b.world.AfterFunc(b.world.delay(), func() {
			if s, ok := b.Servers[a.Server]; ok && !b.world.Partitioned(from, s.VM.FailureDomain) {
				delete(s.running, attemptKey{from, generation, a.Attempt})
			}
		})
	case event.Order:
		generation := b.world.nodes[from].generation
		b.world.AfterFunc(b.world.delay(), func() {
			s, ok := b.Servers[a.Server]
			if !ok || s.Down || b.world.Partitioned(from, s.VM.FailureDomain) {
				b.deliver(from, attemptKey{generation: generation}, event.OrderResult{Order: a, Code: event.CodeUnavailable})
				return
			}
			b.deliver(from, attemptKey{generation: generation}, event.OrderResult{Order: a, Code: event.CodeOK})
		})
	default:
		return false
	}
	return true
}

// receive starts an attempt on a server, unless the server cannot be reached or crashes.
func (b *Backends) receive(from id.Node, generation uint64, knownStart id.Start, sentAt time.Time, a event.Dispatch) {
	key := attemptKey{from, generation, a.Attempt}
	s, ok := b.Servers[a.Server]
	if !ok || s.Down || b.world.Partitioned(from, s.VM.FailureDomain) {
		b.deliver(from, key, event.AttemptFailed{Attempt: a.Attempt, Kind: event.FailUnsent, Reason: "connection refused"})
		return
	}
	s.Received++
	s.running[key] = &attempt{node: from, exempt: knownStart != s.Start}
	if s.Capacity() < s.Warm && s.excess() > 0 && knownStart == s.Start {
		s.Overload++
	}
	if len(s.running) > 2*s.Capacity() {
		b.crash(s)
		return
	}
	if b.Poison != "" && contains(a.Input, b.Poison) {
		b.Crashes++
		b.world.AfterFunc(s.ServiceTime/2, func() {
			if _, still := s.running[key]; still {
				b.crash(s)
			}
		})
		return
	}
	b.serve(from, key, s, sentAt, a)
}

// excess returns by how many attempts in flight a server exceeds its capacity. An attempt does not count if its node
// had not handled any report, answer or message of the server's current start when it dispatched the attempt, or has
// cancelled the attempt since.
func (s *Server) excess() int {
	n := 0
	for _, a := range s.running {
		if !a.exempt {
			n++
		}
	}
	return n - s.Capacity()
}

// serve schedules the effect, the output and the end of an attempt.
func (b *Backends) serve(from id.Node, key attemptKey, s *Server, sentAt time.Time, a event.Dispatch) {
	start := s.Start
	took := s.ServiceTime
	if s.SlowFactor > 0 {
		took = time.Duration(float64(took) * s.SlowFactor)
	}
	alive := func() bool {
		_, still := s.running[key]
		return still && s.Start == start && !s.Down
	}
	fails := b.world.Rand.Float64() < s.ErrorRate
	if !a.Stream {
		b.world.AfterFunc(took, func() {
			if !alive() {
				return
			}
			if fails {
				b.finish(from, key, s, s.failure(a.Attempt, start))
				return
			}
			if a.Key != "" {
				b.Effects[a.Key]++
				b.EffectLog = append(b.EffectLog, Effect{a.Key, a.Request, sentAt, b.world.Now})
			}
			b.complete(from, key, s, event.AttemptDone{Attempt: a.Attempt, Data: Output(a), Start: start, Took: took})
		})
		return
	}
	for i := a.Offset; i < s.Tokens; i++ {
		b.world.AfterFunc(took+time.Duration(i-a.Offset)*s.TokenInterval, func() {
			if alive() {
				b.deliver(from, key, event.AttemptOutput{Attempt: a.Attempt, Seq: i, Tokens: 1, Data: Token(a, i)})
			}
		})
	}
	total := took + time.Duration(s.Tokens-a.Offset)*s.TokenInterval
	b.world.AfterFunc(total, func() {
		if !alive() {
			return
		}
		if fails {
			b.finish(from, key, s, s.failure(a.Attempt, start))
			return
		}
		b.complete(from, key, s, event.AttemptDone{Attempt: a.Attempt, Tokens: s.Tokens, Start: start, Took: total})
	})
}

// failure returns the error with which an attempt fails.
func (s *Server) failure(a id.Attempt, start id.Start) event.AttemptFailed {
	if s.ErrorStatus != 0 {
		return event.AttemptFailed{Attempt: a, Kind: event.FailBroken, Start: start, Status: s.ErrorStatus, Reason: "unexpected status"}
	}
	return event.AttemptFailed{Attempt: a, Kind: event.FailError, Start: start, Status: 500, Reason: "internal error"}
}

// complete ends a successful attempt, whose result is lost with probability LostAnswerRate.
func (b *Backends) complete(from id.Node, key attemptKey, s *Server, done event.AttemptDone) {
	s.Completed++
	done.Leaving = s.Leaving
	if b.world.Rand.Float64() < s.LostAnswerRate {
		b.finish(from, key, s, event.AttemptFailed{Attempt: key.attempt, Kind: event.FailBroken, Reason: "connection reset"})
		return
	}
	b.finish(from, key, s, done)
}

func (b *Backends) finish(from id.Node, key attemptKey, s *Server, ev event.Event) {
	delete(s.running, key)
	b.deliver(from, key, ev)
}

// deliver sends an event to the process that dispatched the attempt, if it still runs.
func (b *Backends) deliver(to id.Node, key attemptKey, ev event.Event) {
	after := b.world.delay()
	if b.Jitter > 0 {
		after += time.Duration(b.world.Rand.Int64N(int64(b.Jitter)))
	}
	b.world.push(delivery{at: b.world.Now.Add(after), to: to, generation: key.generation, ev: ev})
}

// Running returns the number of attempts in flight.
func (s *Server) Running() int { return len(s.running) }

// sendLoadReports sends the load of every server to every node that it can reach.
func (b *Backends) sendLoadReports() {
	for _, name := range b.names {
		s := b.Servers[name]
		for _, node := range b.world.order {
			if !b.world.Up(node) || b.world.Partitioned(node, s.VM.FailureDomain) {
				continue
			}
			if s.Down {
				b.world.Inject(node, event.LoadQueryFailed{Server: name, Refused: true}, 0)
				continue
			}
			b.world.Inject(node, event.LoadReport{
				Server: name, Start: s.Start, Version: s.VM.Version, Running: len(s.running), Limit: s.Warm,
				Warm: s.Capacity() == s.Warm, Leaving: s.Leaving, At: b.world.Now,
			}, reportDelay)
		}
	}
	b.world.AfterFunc(b.ReportInterval, b.sendLoadReports)
}

// sendVMList sends the VM list to every node that can reach the platform.
func (b *Backends) sendVMList() {
	var vms []event.VM
	for _, name := range b.world.order {
		self := b.world.Self(name)
		vms = append(vms, event.VM{Name: string(name), Kind: "entry", Addr: self.Addr, FailureDomain: self.FailureDomain, Region: self.Region})
	}
	for _, name := range b.names {
		vms = append(vms, b.Servers[name].VM)
	}
	for _, name := range b.world.order {
		if b.world.Up(name) && b.world.Platform.reachable(name) {
			b.world.Inject(name, event.VMList{List: vms}, b.world.Platform.Latency)
		}
	}
	b.world.AfterFunc(listInterval, b.sendVMList)
}

// Output returns the result of a non-streaming stage. It depends only on the name and the input of the stage.
func Output(a event.Dispatch) []byte { return output(a.Stage, a.Input, a.Prior) }

func output(stage string, input, prior []byte) []byte {
	sum := xxhash.Sum64(append(append([]byte(stage+"|"), input...), prior...))
	return []byte(fmt.Sprintf("%s:%016x", stage, sum))
}

// Token returns token i of a streaming stage.
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
