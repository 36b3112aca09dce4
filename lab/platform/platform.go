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
	defaultWrites  = 300  // conditional updates a second; the platform promises several hundred
	defaultReads   = 2000 // other calls a second
	burstShare     = 4    // a quarter of a second's calls may come at once
	historyLimit   = 8192 // changes kept for watches; older ones read as a gap
	vmHistoryLimit = 256  // VM lists kept to serve the list with a lag
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
	writes, reads *rate.Limiter

	mu      sync.Mutex
	rng     *rand.Rand
	objects map[string]object
	log     []change // log[i] has the sequence number first+i
	first   uint64
	seq     uint64
	wake    chan struct{}
	vms     []vmList
	faults  Faults
	counts  Counts
	late    sync.WaitGroup
	stop    chan struct{}
	once    sync.Once
}

// Option changes a new platform.
type Option func(*Platform)

// WithRates sets the calls a second of conditional updates and of all other calls.
func WithRates(writes, reads float64) Option {
	return func(p *Platform) {
		p.writes = limiter(writes)
		p.reads = limiter(reads)
	}
}

// WithSeed sets the seed of the faults that strike a share of the calls.
func WithSeed(seed uint64) Option {
	return func(p *Platform) { p.rng = rand.New(rand.NewPCG(seed, 0)) }
}

// New returns an empty, healthy platform.
func New(opts ...Option) *Platform {
	p := &Platform{
		writes:  limiter(defaultWrites),
		reads:   limiter(defaultReads),
		rng:     rand.New(rand.NewPCG(1, 0)),
		objects: map[string]object{},
		first:   2, // sequence number 1 is the empty store, because a watch after 0 asks for the current number
		seq:     1,
		wake:    make(chan struct{}),
		stop:    make(chan struct{}),
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

func limiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/burstShare)))
}

// Close ends waiting watches and late effects.
func (p *Platform) Close() {
	p.once.Do(func() { close(p.stop) })
	p.late.Wait()
}

// SetVMs replaces the VM list; readers see it after the lag.
func (p *Platform) SetVMs(list []event.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = append(p.vms, vmList{at: time.Now(), list: slices.Clone(list)})
	if len(p.vms) > vmHistoryLimit {
		p.vms = slices.Delete(p.vms, 0, len(p.vms)-vmHistoryLimit)
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
	p.log = append(p.log, change{Name: name, Version: o.version})
	if len(p.log) > historyLimit {
		drop := len(p.log) - historyLimit
		p.log = slices.Delete(p.log, 0, drop)
		p.first += uint64(drop)
	}
	close(p.wake)
	p.wake = make(chan struct{})
	return o.version, true
}

// changes returns the changes under a prefix after a sequence number, and the channel that the next change closes.
func (p *Platform) changes(prefix string, after uint64) (found []change, seq uint64, gap bool, wake <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if after+1 < p.first || after > p.seq {
		return nil, p.seq, true, p.wake
	}
	for _, c := range p.log[after+1-p.first:] {
		if strings.HasPrefix(c.Name, prefix) {
			found = append(found, c)
		}
	}
	if len(found) > 0 && p.faults.Gaps > 0 {
		p.faults.Gaps--
		return nil, p.seq, true, p.wake
	}
	return found, p.seq, false, p.wake
}

// Handler serves the object API, the VM list and the control endpoints.
func (p *Platform) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/objects", p.call(p.list)).Methods(http.MethodGet)
	r.HandleFunc("/objects/{name:[A-Za-z0-9/_.-]+}", p.call(p.get)).Methods(http.MethodGet)
	r.HandleFunc("/objects/{name:[A-Za-z0-9/_.-]+}", p.call(p.putCall)).Methods(http.MethodPut)
	r.HandleFunc("/watch", p.call(p.watch)).Methods(http.MethodGet)
	r.HandleFunc("/vms", p.call(p.vmCall)).Methods(http.MethodGet)
	p.control(r.PathPrefix("/lab").Subrouter())
	return r
}
