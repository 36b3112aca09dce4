package service

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"bluebellflow/core/id"
	"bluebellflow/lab/answer"
	"bluebellflow/lab/backendapi"
	"bluebellflow/lab/netpartition"
)

const (
	defaultServiceTime = 20 * time.Millisecond
	defaultLimit       = 16              // concurrent calls; more are answered with 429
	leavingGrace       = 3 * time.Second // after this time, calls that still arrive at a leaving server count as LeavingArrivals
	retryAfter         = "1"             // value of the Retry-After header, in seconds
)

// Faults are the faults injected into a server; the zero value is a healthy server.
// At most one of the rates applies to a call; they are drawn in the order of the fields.
type Faults struct {
	Down           bool    `json:"down"`       // resets every connection
	SlowFactor     float64 `json:"slow"`       // multiplier of the service time; 0 means 1
	RejectRate     float64 `json:"reject"`     // share of calls answered with 503 without being executed
	FailRate       float64 `json:"fail"`       // share of calls answered with 500, without effect
	LostCallRate   float64 `json:"lost_call"`  // share of calls whose connection breaks without an effect
	LostAnswerRate float64 `json:"lost_after"` // share of calls whose connection breaks after the effect
	LateRate       float64 `json:"late_share"` // share of calls whose effect happens after the connection breaks
	LateMS         int     `json:"late_ms"`    // delay of that effect, in milliseconds
}

// Counts holds the counters of a server since it was created.
type Counts struct {
	Calls           int     `json:"calls"`
	Effects         int     `json:"effects"`
	Rejected        int     `json:"rejected"`
	Failed          int     `json:"failed"`
	Lost            int     `json:"lost"`
	BusyMS          float64 `json:"busy_ms"`
	LargestLoad     int     `json:"largest_load"`
	LeavingArrivals int     `json:"leaving_arrivals"`
	LastArrival     int64   `json:"last_arrival"` // Unix milliseconds
}

// outcome is the result of a call under the injected faults.
type outcome uint8

const (
	succeed outcome = iota
	reject
	fail
	dropBefore     // the connection breaks, without an effect
	dropAfter      // the connection breaks after the effect
	dropThenEffect // the connection breaks, and the effect happens later
)

// Server is one simulated process of a service.
type Server struct {
	name        id.Server
	effects     *EffectLog
	serviceTime time.Duration
	limit       int

	mu             sync.Mutex
	rng            *rand.Rand
	version        id.Version
	starts         int
	running        int
	leavingSince   time.Time
	refusing       bool
	faults         Faults
	counts         Counts
	pendingEffects sync.WaitGroup
	stop           chan struct{}
}

// Option configures a server.
type Option func(*Server)

// WithServiceTime sets the service time of one call.
func WithServiceTime(d time.Duration) Option { return func(s *Server) { s.serviceTime = d } }

// WithLimit sets the number of calls that the server handles concurrently.
func WithLimit(n int) Option { return func(s *Server) { s.limit = n } }

// WithSeed sets the seed of the random numbers that select which calls a fault affects.
func WithSeed(seed uint64) Option {
	return func(s *Server) { s.rng = rand.New(rand.NewPCG(seed, 0)) }
}

// New returns a healthy server that records its effects in the given log; Close discards its pending effects.
func New(name id.Server, version id.Version, effects *EffectLog, opts ...Option) *Server {
	s := &Server{
		name: name, version: version, effects: effects, serviceTime: defaultServiceTime, limit: defaultLimit,
		rng: rand.New(rand.NewPCG(1, 0)), starts: 1, stop: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Close discards pending effects and breaks the calls in progress.
func (s *Server) Close() {
	s.mu.Lock()
	select {
	case <-s.stop:
	default:
		close(s.stop)
	}
	s.mu.Unlock()
	s.pendingEffects.Wait()
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the injected faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the current counters.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Restart gives the server a new start ID. Calls in flight continue, because their effects are in the shared log.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts++
	s.leavingSince, s.refusing = time.Time{}, false
}

// Leave marks the server as leaving; with refuse it also rejects new calls.
func (s *Server) Leave(refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leavingSince.IsZero() {
		s.leavingSince = time.Now()
	}
	s.refusing = refuse
}

// Load returns the load report.
func (s *Server) Load() backendapi.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return backendapi.LoadReport{
		Start: s.startLocked(), Version: s.version, Running: s.running, Limit: s.limit, Warm: true,
		Leaving: !s.leavingSince.IsZero(), At: time.Now().UnixMilli(),
	}
}

func (s *Server) startLocked() id.Start { return id.Start(fmt.Sprintf("%s-%d", s.name, s.starts)) }

// drawOutcomeLocked draws the outcome of a call from the fault rates.
func (s *Server) drawOutcomeLocked() outcome {
	x := s.rng.Float64()
	for _, c := range []struct {
		share   float64
		outcome outcome
	}{
		{s.faults.RejectRate, reject},
		{s.faults.FailRate, fail},
		{s.faults.LostCallRate, dropBefore},
		{s.faults.LostAnswerRate, dropAfter},
		{s.faults.LateRate, dropThenEffect},
	} {
		if x < c.share {
			return c.outcome
		}
		x -= c.share
	}
	return succeed
}

// admit accepts a call and returns its outcome, its service time and the delay of a late effect; a status other than 0
// rejects the call.
func (s *Server) admit() (result outcome, took, lateBy time.Duration, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.counts.LastArrival = now.UnixMilli()
	if !s.leavingSince.IsZero() && now.Sub(s.leavingSince) > leavingGrace {
		s.counts.LeavingArrivals++
	}
	result = s.drawOutcomeLocked()
	if result == reject || s.refusing {
		s.counts.Rejected++
		return reject, 0, 0, http.StatusServiceUnavailable
	}
	if s.running >= s.limit {
		s.counts.Rejected++
		return reject, 0, 0, http.StatusTooManyRequests
	}
	s.running++
	s.counts.Calls++
	s.counts.LargestLoad = max(s.counts.LargestLoad, s.running)
	took = s.serviceTime
	if s.faults.SlowFactor > 0 {
		took = time.Duration(float64(took) * s.faults.SlowFactor)
	}
	s.counts.BusyMS += float64(took) / float64(time.Millisecond)
	return result, took, time.Duration(s.faults.LateMS) * time.Millisecond, 0
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Server) recordEffect(run backendapi.RunRequest) {
	s.mu.Lock()
	s.counts.Effects++
	s.mu.Unlock()
	s.effects.add(run.Key, run.Input)
}

// Handler returns the handler for the backend protocol and the control endpoints.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/run", s.resetWhenDown(s.handleRun)).Methods(http.MethodPost)
	router.HandleFunc("/v1/run/{attempt}", s.resetWhenDown(func(w http.ResponseWriter, _ *http.Request) {
		// A call to a conventional service cannot be cancelled.
		w.WriteHeader(http.StatusNoContent)
	})).Methods(http.MethodDelete)
	router.HandleFunc("/v1/load", s.resetWhenDown(func(w http.ResponseWriter, _ *http.Request) {
		backendapi.WriteJSON(w, http.StatusOK, s.Load())
	})).Methods(http.MethodGet)
	router.HandleFunc("/v1/cache", s.resetWhenDown(func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		backendapi.WriteJSON(w, http.StatusOK, backendapi.CacheUpdate{
			Start: s.Load().Start, Seq: after + 1, Added: []string{}, Removed: []string{},
		})
	})).Methods(http.MethodGet)
	router.HandleFunc("/v1/orders", s.resetWhenDown(s.handleOrder)).Methods(http.MethodPost)
	s.registerControl(router.PathPrefix("/lab").Subrouter())
	return router
}

func (s *Server) resetWhenDown(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.Faults().Down {
			netpartition.Reset(w)
			return
		}
		next(w, r)
	}
}

func (s *Server) handleRun(w http.ResponseWriter, r *http.Request) {
	run, err := backendapi.DecodeRun(w, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	report := s.Load()
	w.Header().Set(backendapi.StartHeader, string(report.Start))
	w.Header().Set(backendapi.AttemptHeader, run.Attempt)
	if report.Leaving {
		w.Header().Set(backendapi.LeavingHeader, "1")
	}
	result, took, lateBy, status := s.admit()
	if status != 0 {
		w.Header().Set("Retry-After", retryAfter)
		http.Error(w, "call rejected", status)
		return
	}
	defer s.release()
	timer := time.NewTimer(took)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.stop:
		netpartition.Reset(w)
		return
	}
	s.respond(w, run, result, took, lateBy)
}

// respond records the effect of a call and writes its response, as its outcome requires.
func (s *Server) respond(w http.ResponseWriter, run backendapi.RunRequest, result outcome, took, lateBy time.Duration) {
	switch result {
	case fail:
		s.updateCounts(func(c *Counts) { c.Failed++ })
		http.Error(w, "call failed", http.StatusInternalServerError)
		return
	case dropBefore:
		s.updateCounts(func(c *Counts) { c.Lost++ })
		netpartition.Reset(w)
		return
	case dropThenEffect:
		s.updateCounts(func(c *Counts) { c.Lost++ })
		s.recordEffectLater(run, lateBy)
		netpartition.Reset(w)
		return
	case dropAfter:
		s.recordEffect(run)
		s.updateCounts(func(c *Counts) { c.Lost++ })
		netpartition.Reset(w)
		return
	case succeed, reject:
	}
	s.recordEffect(run)
	text := answer.Source{Body: run.Input, Prior: run.Prior, Stage: run.Stage, Version: s.version}.Token(0, 1)
	if run.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprintf(w, "event: part\ndata: {\"seq\":0,\"tokens\":1,\"text\":%q}\n\n", text)
		_, _ = fmt.Fprintf(w, "event: end\ndata: {\"tokens\":1,\"took\":%d}\n\n", took.Milliseconds())
		return
	}
	w.Header().Set(backendapi.TookHeader, strconv.FormatInt(took.Milliseconds(), 10))
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = strings.NewReader(text).WriteTo(w)
}

func (s *Server) recordEffectLater(run backendapi.RunRequest, after time.Duration) {
	s.pendingEffects.Go(func() {
		timer := time.NewTimer(after)
		defer timer.Stop()
		select {
		case <-timer.C:
			s.recordEffect(run)
		case <-s.stop:
		}
	})
}

func (s *Server) updateCounts(change func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counts)
}

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order backendapi.Order
	if !backendapi.ReadJSON(w, r, &order) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if order.Kind == backendapi.OrderLoad {
		s.version = order.Version
	}
}

// registerControl registers the endpoints that inject faults and return counters and effects.
func (s *Server) registerControl(router *mux.Router) {
	backendapi.RegisterControl(router, s.SetFaults, s.Faults, s.Counts)
	router.HandleFunc("/effects", func(w http.ResponseWriter, _ *http.Request) {
		backendapi.WriteJSON(w, http.StatusOK, s.effects.Effects())
	}).Methods(http.MethodGet)
	router.HandleFunc("/effects/{body:[0-9]+}", func(w http.ResponseWriter, r *http.Request) {
		hash, err := strconv.ParseUint(mux.Vars(r)["body"], 10, 64)
		if err != nil {
			http.Error(w, "invalid body hash", http.StatusBadRequest)
			return
		}
		backendapi.WriteJSON(w, http.StatusOK, s.effects.countByHash(hash))
	}).Methods(http.MethodGet)
	for path, do := range map[string]func(){
		"/restart": s.Restart,
		"/leave":   func() { s.Leave(false) },
		"/refuse":  func() { s.Leave(true) },
	} {
		router.HandleFunc(path, func(http.ResponseWriter, *http.Request) { do() }).Methods(http.MethodPost)
	}
}
