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

// MaxValue is the largest value of an object in bytes.
const MaxValue = 1 << 20

const (
	defaultWriteRate = 300  // conditional updates a second; the platform promises several hundred
	defaultReadRate  = 2000 // other calls a second
	burstDivisor     = 4    // a burst may have as many calls as a quarter of a second allows
	historyLimit     = 8192 // changes kept for watches; a watch from an older change reports a gap
	vmHistoryLimit   = 256  // VM lists kept to serve the list with VMLagMS
)

// Faults configures fault injection. The zero value is a healthy platform.
type Faults struct {
	Down           bool    `json:"down"`       // every call is answered with 503
	SlowMS         int     `json:"slow_ms"`    // delay added to every call
	LostAnswerRate float64 `json:"lost_after"` // share of puts that take effect but whose response is lost
	LostCallRate   float64 `json:"lost_call"`  // share of calls that are lost before they take effect
	LateRate       float64 `json:"late_share"` // share of puts whose response is lost and that take effect later
	LateMS         int     `json:"late_ms"`    // delay of late puts
	Gaps           int     `json:"gaps"`       // number of future watch responses that drop their changes and report a gap
	VMLagMS        int     `json:"vm_lag_ms"`  // age of the VM list
}

// Counts holds the number of calls by kind and by outcome since the start.
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

// vmList is the VM list as of a point in time.
type vmList struct {
	at   time.Time
	list []event.VM
}

// Platform is a stand-in for the platform's object API and VM list.
type Platform struct {
	writeLimiter, readLimiter *rate.Limiter

	mu          sync.Mutex
	rng         *rand.Rand
	objects     map[string]object
	history     []change // history[i] has the sequence number firstSeq+i
	firstSeq    uint64
	seq         uint64
	changed     chan struct{} // closed and replaced by each change
	undo        []undoEntry   // oldest first
	era         uint64
	vmHistory   []vmList
	faults      Faults
	counts      Counts
	pendingPuts sync.WaitGroup
	stop        chan struct{}
	closeOnce   sync.Once
}

// Option configures a Platform.
type Option func(*Platform)

// WithRates sets the limits on conditional updates and on all other calls, in calls per second.
func WithRates(writes, reads float64) Option {
	return func(p *Platform) {
		p.writeLimiter = newLimiter(writes)
		p.readLimiter = newLimiter(reads)
	}
}

// WithSeed sets the seed of the faults that affect a share of the calls.
func WithSeed(seed uint64) Option {
	return func(p *Platform) { p.rng = rand.New(rand.NewPCG(seed, 0)) }
}

// New returns a platform without objects, VMs or faults.
func New(opts ...Option) *Platform {
	p := &Platform{
		writeLimiter: newLimiter(defaultWriteRate),
		readLimiter:  newLimiter(defaultReadRate),
		rng:          rand.New(rand.NewPCG(1, 0)),
		objects:      map[string]object{},
		firstSeq:     2, // the empty store has the sequence number 1, because a watch after 0 asks for the current number
		seq:          1,
		era:          1,
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

// Close ends waiting watches and cancels late puts.
func (p *Platform) Close() {
	p.closeOnce.Do(func() { close(p.stop) })
	p.pendingPuts.Wait()
}

// SetVMs replaces the VM list; callers see it after the configured lag.
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

// Faults returns the current faults.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Counts returns the number of calls so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Get returns an object's value and version. Version 0 means that the object does not exist.
func (p *Platform) Get(name string) ([]byte, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.objects[name]
	return slices.Clone(o.value), o.version
}

// put writes an object if its current version matches and returns the new version.
func (p *Platform) put(name string, version uint64, value []byte) (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.objects[name]
	if o.version != version {
		p.counts.Conflicts++
		return 0, false
	}
	p.recordUndo(name, o)
	o = object{value: value, version: version + 1}
	p.objects[name] = o
	p.seq++
	p.history = append(p.history, change{Name: name, Version: o.version})
	if len(p.history) > historyLimit {
		excess := len(p.history) - historyLimit
		p.history = slices.Delete(p.history, 0, excess)
		p.firstSeq += uint64(excess)
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return o.version, true
}

// changesAfter returns the changes with a name prefix after a sequence number, the current sequence number, whether
// changes may be missing, and the channel that the next change closes.
func (p *Platform) changesAfter(prefix string, after uint64) (found []change, seq uint64, gap bool, changed <-chan struct{}) {
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
