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
	defaultServiceTime = 20 * time.Millisecond // service time of one call
	defaultLimit       = 16                    // calls at once; more are answered with 429
	leavingGrace       = 3 * time.Second       // after that a leaving runner should get no new calls
	retryAfter         = "1"                   // seconds
)

// Faults are the faults of a runner; the zero value is a healthy runner.
// The shares are drawn in the order of the fields, and at most one strikes a call.
type Faults struct {
	Down           bool    `json:"down"`       // resets every connection
	SlowFactor     float64 `json:"slow"`       // calls take this many times as long; 0 means 1
	RejectRate     float64 `json:"reject"`     // share of calls answered with 503, not run
	FailRate       float64 `json:"fail"`       // share of calls answered with 500, without effect
	LostCallRate   float64 `json:"lost_call"`  // share of calls whose connection breaks, without effect
	LostAnswerRate float64 `json:"lost_after"` // share of calls whose connection breaks after the effect
	LateRate       float64 `json:"late_share"` // share of calls whose connection breaks before the effect
	LateMS         int     `json:"late_ms"`    // how much later those calls have their effect
}

// Counts is the work of a runner since it was created.
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

// outcome is what the faults do to one call.
type outcome uint8

const (
	succeed outcome = iota
	reject
	fail
	dropBefore
	dropAfter
	dropThenEffect
)

// Server is one process of a service.
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

// Option changes a new runner.
type Option func(*Server)

// WithServiceTime sets the service time of one call.
func WithServiceTime(d time.Duration) Option { return func(r *Server) { r.serviceTime = d } }

// WithLimit sets the calls that the runner handles at once.
func WithLimit(n int) Option { return func(r *Server) { r.limit = n } }

// WithSeed sets the seed of the faults that strike a share of the calls.
func WithSeed(seed uint64) Option {
	return func(r *Server) { r.rng = rand.New(rand.NewPCG(seed, 0)) }
}

// New returns a healthy runner that writes its effects to the ledger; Close ends its late effects.
func New(name id.Server, version id.Version, ledger *EffectLog, opts ...Option) *Server {
	r := &Server{
		name: name, version: version, effects: ledger, serviceTime: defaultServiceTime, limit: defaultLimit,
		rng: rand.New(rand.NewPCG(1, 0)), starts: 1, stop: make(chan struct{}),
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Close drops late effects that are still to come.
func (r *Server) Close() {
	r.mu.Lock()
	select {
	case <-r.stop:
	default:
		close(r.stop)
	}
	r.mu.Unlock()
	r.pendingEffects.Wait()
}

// SetFaults replaces the faults.
func (r *Server) SetFaults(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Faults returns the faults in force.
func (r *Server) Faults() Faults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

// Counts returns the work so far.
func (r *Server) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}

// Restart gives the runner a new start identity; calls in flight go on, because the effects are in the ledger.
func (r *Server) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts++
	r.leavingSince, r.refusing = time.Time{}, false
}

// Leave announces that the runner leaves; with refuse it also takes no new calls.
func (r *Server) Leave(refuse bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leavingSince.IsZero() {
		r.leavingSince = time.Now()
	}
	r.refusing = refuse
}

// Load returns the load report.
func (r *Server) Load() backendapi.LoadReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	return backendapi.LoadReport{
		Start: r.startLocked(), Version: r.version, Running: r.running, Limit: r.limit, Warm: true,
		Leaving: !r.leavingSince.IsZero(), At: time.Now().UnixMilli(),
	}
}

func (r *Server) startLocked() id.Start { return id.Start(fmt.Sprintf("%s-%d", r.name, r.starts)) }

// drawOutcomeLocked decides what happens to a call.
func (r *Server) drawOutcomeLocked() outcome {
	x := r.rng.Float64()
	for _, c := range []struct {
		share float64
		what  outcome
	}{
		{r.faults.RejectRate, reject},
		{r.faults.FailRate, fail},
		{r.faults.LostCallRate, dropBefore},
		{r.faults.LostAnswerRate, dropAfter},
		{r.faults.LateRate, dropThenEffect},
	} {
		if x < c.share {
			return c.what
		}
		x -= c.share
	}
	return succeed
}

// admit takes a call and returns its fate, its service time and the delay of a late effect.
func (r *Server) admit() (what outcome, took, lateBy time.Duration, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.counts.LastArrival = now.UnixMilli()
	if !r.leavingSince.IsZero() && now.Sub(r.leavingSince) > leavingGrace {
		r.counts.LeavingArrivals++
	}
	what = r.drawOutcomeLocked()
	if what == reject || r.refusing {
		r.counts.Rejected++
		return reject, 0, 0, http.StatusServiceUnavailable
	}
	if r.running >= r.limit {
		r.counts.Rejected++
		return reject, 0, 0, http.StatusTooManyRequests
	}
	r.running++
	r.counts.Calls++
	r.counts.LargestLoad = max(r.counts.LargestLoad, r.running)
	took = r.serviceTime
	if r.faults.SlowFactor > 0 {
		took = time.Duration(float64(took) * r.faults.SlowFactor)
	}
	r.counts.BusyMS += float64(took) / float64(time.Millisecond)
	return what, took, time.Duration(r.faults.LateMS) * time.Millisecond, 0
}

func (r *Server) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}

func (r *Server) recordEffect(run backendapi.RunRequest) {
	r.mu.Lock()
	r.counts.Effects++
	r.mu.Unlock()
	r.effects.add(run.Key, run.Input)
}

// Handler serves the backend protocol and the control endpoints.
func (r *Server) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/v1/run", r.resetWhenDown(r.handleRun)).Methods(http.MethodPost)
	m.HandleFunc("/v1/run/{attempt}", r.resetWhenDown(func(w http.ResponseWriter, _ *http.Request) {
		// A call to a plain service cannot be taken back.
		w.WriteHeader(http.StatusNoContent)
	})).Methods(http.MethodDelete)
	m.HandleFunc("/v1/load", r.resetWhenDown(func(w http.ResponseWriter, _ *http.Request) {
		backendapi.WriteJSON(w, http.StatusOK, r.Load())
	})).Methods(http.MethodGet)
	m.HandleFunc("/v1/cache", r.resetWhenDown(func(w http.ResponseWriter, q *http.Request) {
		after, _ := strconv.ParseUint(q.URL.Query().Get("after"), 10, 64)
		backendapi.WriteJSON(w, http.StatusOK, backendapi.CacheUpdate{
			Start: r.Load().Start, Seq: after + 1, Added: []string{}, Removed: []string{},
		})
	})).Methods(http.MethodGet)
	m.HandleFunc("/v1/orders", r.resetWhenDown(r.handleOrder)).Methods(http.MethodPost)
	r.registerControl(m.PathPrefix("/lab").Subrouter())
	return m
}

func (r *Server) resetWhenDown(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		if r.Faults().Down {
			netpartition.Reset(w)
			return
		}
		next(w, q)
	}
}

func (r *Server) handleRun(w http.ResponseWriter, q *http.Request) {
	run, err := backendapi.DecodeRun(w, q)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	report := r.Load()
	w.Header().Set(backendapi.StartHeader, string(report.Start))
	if report.Leaving {
		w.Header().Set(backendapi.LeavingHeader, "1")
	}
	what, took, lateBy, status := r.admit()
	if status != 0 {
		w.Header().Set("Retry-After", retryAfter)
		http.Error(w, "takes no calls", status)
		return
	}
	defer r.release()
	timer := time.NewTimer(took)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.stop:
		netpartition.Reset(w)
		return
	}
	r.respond(w, run, what, took, lateBy)
}

// respond has the effect of a call and answers it.
func (r *Server) respond(w http.ResponseWriter, run backendapi.RunRequest, what outcome, took, lateBy time.Duration) {
	switch what {
	case fail:
		r.updateCounts(func(c *Counts) { c.Failed++ })
		http.Error(w, "call failed", http.StatusInternalServerError)
		return
	case dropBefore:
		r.updateCounts(func(c *Counts) { c.Lost++ })
		netpartition.Reset(w)
		return
	case dropThenEffect:
		r.updateCounts(func(c *Counts) { c.Lost++ })
		r.recordEffectLater(run, lateBy)
		netpartition.Reset(w)
		return
	case dropAfter:
		r.recordEffect(run)
		r.updateCounts(func(c *Counts) { c.Lost++ })
		netpartition.Reset(w)
		return
	case succeed, reject:
	}
	r.recordEffect(run)
	text := answer.Source{Body: run.Input, Prior: run.Prior, Stage: run.Stage, Version: r.version}.Token(0, 1)
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

func (r *Server) recordEffectLater(run backendapi.RunRequest, after time.Duration) {
	r.pendingEffects.Go(func() {
		timer := time.NewTimer(after)
		defer timer.Stop()
		select {
		case <-timer.C:
			r.recordEffect(run)
		case <-r.stop:
		}
	})
}

func (r *Server) updateCounts(change func(*Counts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.counts)
}

func (r *Server) handleOrder(w http.ResponseWriter, q *http.Request) {
	var o backendapi.Order
	if !backendapi.ReadJSON(w, q, &o) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.Kind == backendapi.OrderLoad {
		r.version = o.Version
	}
}

// registerControl serves the endpoints that set faults and read counts.
func (r *Server) registerControl(m *mux.Router) {
	backendapi.RegisterControl(m, r.SetFaults, r.Faults, r.Counts)
	m.HandleFunc("/effects", func(w http.ResponseWriter, _ *http.Request) {
		backendapi.WriteJSON(w, http.StatusOK, r.effects.Effects())
	}).Methods(http.MethodGet)
	m.HandleFunc("/effects/{body:[0-9]+}", func(w http.ResponseWriter, q *http.Request) {
		hash, err := strconv.ParseUint(mux.Vars(q)["body"], 10, 64)
		if err != nil {
			http.Error(w, "bad hash", http.StatusBadRequest)
			return
		}
		backendapi.WriteJSON(w, http.StatusOK, r.effects.countByHash(hash))
	}).Methods(http.MethodGet)
	for path, do := range map[string]func(){
		"/restart": r.Restart,
		"/leave":   func() { r.Leave(false) },
		"/refuse":  func() { r.Leave(true) },
	} {
		m.HandleFunc(path, func(http.ResponseWriter, *http.Request) { do() }).Methods(http.MethodPost)
	}
}
