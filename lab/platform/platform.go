package platform

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"bluebellflow/core/event"
)

// MaxValue is the largest value in bytes.
const MaxValue = 1 << 20

const (
	defaultWriteRate = 300  // conditional updates a second; the platform promises several hundred
	defaultReadRate  = 2000 // other calls a second
	burstDivisor     = 4    // a quarter of a second's calls may come at once
	historyLimit     = 8192 // changes kept for watches; older ones read as a gap
	vmHistoryLimit   = 256  // VM lists kept to serve the list with a lag
)

// Faults are the faults that the platform shows; the zero value is a healthy platform.
type Faults struct {
	Down           bool    `json:"down"`       // every call is answered with 503
	SlowMS         int     `json:"slow_ms"`    // added to every call
	LostAnswerRate float64 `json:"lost_after"` // share of puts that take effect and whose answer is lost
	LostCallRate   float64 `json:"lost_call"`  // share of calls that are lost before they take effect
	LateRate       float64 `json:"late_share"` // share of puts that are lost and take effect later
	LateMS         int     `json:"late_ms"`    // how much later
	Gaps           int     `json:"gaps"`       // number of coming watch answers that drop their changes and report a gap
	VMLagMS        int     `json:"vm_lag_ms"`  // age of the VM list
}

// Counts are the calls by kind and by outcome since the start.
type Counts struct {
	Get       int `json:"get"`
	Put       int `json:"put"`
	List      int `json:"list"`
	Watch     int `json:"watch"`
	VMs       int `json:"vms"`
	Conflicts int `json:"conflicts"`
	Limited   int `json:"limited"`
	Lost      int `json:"lost"`
	Late      int `json:"late"`
}

type object struct {
	value   []byte
	version uint64
}

type change struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

type vmList struct {
	at   time.Time
	list []event.VM
}

// Platform is the stand-in of the object API and the VM list.
type Platform struct {
	writeLimiter, readLimiter *rate.Limiter

	mu          sync.Mutex
	rng         *rand.Rand
	objects     map[string]object
	history     []change // log[i] has the sequence number first+i
	firstSeq    uint64
	seq         uint64
	changed     chan struct{}
	vmHistory   []vmList
	faults      Faults
	counts      Counts
	pendingPuts sync.WaitGroup
	stop        chan struct{}
	closeOnce   sync.Once
}

// Option changes a new platform.
type Option func(*Platform)

// WithRates sets the calls a second of conditional updates and of all other calls.
func WithRates(writes, reads float64) Option {
	return func(p *Platform) {
		p.writeLimiter = newLimiter(writes)
		p.readLimiter = newLimiter(reads)
	}
}

// WithSeed sets the seed of the faults that strike a share of the calls.
func WithSeed(seed uint64) Option {
	return func(p *Platform) { p.rng = rand.New(rand.NewPCG(seed, 0)) }
}

// New returns an empty, healthy platform.
func New(opts ...Option) *Platform {
	p := &Platform{
		writeLimiter: newLimiter(defaultWriteRate),
		readLimiter:  newLimiter(defaultReadRate),
		rng:          rand.New(rand.NewPCG(1, 0)),
		objects:      map[string]object{},
		firstSeq:     2, // sequence number 1 is the empty store, because a watch after 0 asks for the current number
		seq:          1,
		changed:      make(chan struct{}),
		stop:         make(chan struct{}),
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/burstDivisor)))
}

// Close ends waiting watches and late effects.
func (p *Platform) Close() {
	p.closeOnce.Do(func() { close(p.stop) })
	p.pendingPuts.Wait()
}

// SetVMs replaces the VM list; readers see it after the lag.
func (p *Platform) SetVMs(list []event.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vmHistory = append(p.vmHistory, vmList{at: time.Now(), list: slices.Clone(list)})
	if len(p.vmHistory) > vmHistoryLimit {
		p.vmHistory = slices.Delete(p.vmHistory, 0, len(p.vmHistory)-vmHistoryLimit)
	}
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Faults returns the faults in force.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Counts returns the calls so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Get returns an object's value and version; version 0 means that there is none.
func (p *Platform) Get(name string) ([]byte, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.objects[name]
	return slices.Clone(o.value), o.version
}

// put writes an object if its version matches and returns the new version.
func (p *Platform) put(name string, version uint64, value []byte) (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.objects[name]
	if o.version != version {
		p.counts.Conflicts++
		return 0, false
	}
	o = object{value: value, version: version + 1}
	p.objects[name] = o
	p.seq++
	p.history = append(p.history, change{Name: name, Version: o.version})
	if len(p.history) > historyLimit {
		drop := len(p.history) - historyLimit
		p.history = slices.Delete(p.history, 0, drop)
		p.firstSeq += uint64(drop)
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return o.version, true
}

// changesAfter returns the changes under a prefix after a sequence number, and the channel that the next change closes.
func (p *Platform) changesAfter(prefix string, after uint64) (found []change, seq uint64, gap bool, wake <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if after+1 < p.firstSeq || after > p.seq {
		return nil, p.seq, true, p.changed
	}
	for _, c := range p.history[after+1-p.firstSeq:] {
		if strings.HasPrefix(c.Name, prefix) {
			found = append(found, c)
		}
	}
	if len(found) > 0 && p.faults.Gaps > 0 {
		p.faults.Gaps--
		return nil, p.seq, true, p.changed
	}
	return found, p.seq, false, p.changed
}

// Handler serves the object API, the VM list and the control endpoints.
func (p *Platform) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/objects", p.withFaults(p.handleList)).Methods(http.MethodGet)
	r.HandleFunc("/objects/{name:[A-Za-z0-9/_.-]+}", p.withFaults(p.handleGet)).Methods(http.MethodGet)
	r.HandleFunc("/objects/{name:[A-Za-z0-9/_.-]+}", p.withFaults(p.handlePut)).Methods(http.MethodPut)
	r.HandleFunc("/watch", p.withFaults(p.handleWatch)).Methods(http.MethodGet)
	r.HandleFunc("/vms", p.withFaults(p.handleVMs)).Methods(http.MethodGet)
	p.registerControl(r.PathPrefix("/lab").Subrouter())
	return r
}
