package catalog

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"bluebellflow/core/dag"
	"bluebellflow/core/id"
)

// Kind says whether the requests of a route may be retried.
type Kind uint8

const (
	// Safe requests may run more than once.
	Safe Kind = iota + 1
	// Unsafe requests run at most once.
	Unsafe
	// Stream requests get a sequence of events as response. They run at most once, unless the route is resumable.
	Stream
)

// Route selects requests by host and path prefix, and says which pools run them and how.
type Route struct {
	Name             string
	Host             string
	Prefix           string // begins and ends with a slash
	Kind             Kind
	Timeout          time.Duration // maximum time until the final response
	LatencyObjective time.Duration // target time to the response, or to the first event of a stream
	MaxEventGap      time.Duration // target for the longest pause between two events of a stream
	CallerTimeout    time.Duration // expected time after which callers abandon a stream without events, 0 if they do not
	Priority         int           // 0 is the highest
	Targets          []Target
	MaxAttempts      int // maximum number of servers that a request may be tried on
	Stages           []Stage
	Anonymous        bool // callers need no API key
	Sticky           bool // prefer servers that have the request's prompt prefix cached
	Resumable        bool // a stream may be continued by another server
	// Problem tells why requests of the route cannot be served, nil if they can.
	Problem error
}

// Target is a pool that receives a share of a route's requests.
type Target struct {
	Pool   id.Pool
	Weight int
}

// MaxStages is the maximum number of stages of a route.
const MaxStages = 256

// Stage is preparatory work that must be done before a request can run.
type Stage struct {
	Pool        id.Pool
	After       []int // indexes of the stages whose results it needs
	ResultBytes int   // approximate size of a result
}

// Pool describes a set of servers that do the same work.
type Pool struct {
	Name       id.Pool
	HealthPath string  // HTTP path of the health check
	MaxConns   int     // maximum number of connections to a server, over all nodes
	ColdRate   float64 // requests per second that a cold server can handle, 0 for no limit
	Pieces     *Pieces // nil for a pool that runs no stages
	Scale      *Scale  // nil for a pool whose number of servers is fixed
}

// Scale bounds the number of servers of a pool in each failure domain.
type Scale struct {
	Min, Max int
	Boot     time.Duration // from an order until the servers start to serve
}

// Pieces configures the batched calls of a pool that runs stages. A stage of a request consists of pieces, each of which
// is an item of a batch. All values are per server.
type Pieces struct {
	MaxCalls       int           // maximum number of concurrent calls
	MaxQueuedCalls int           // maximum number of calls waiting at the server
	MaxBatch       int           // maximum number of pieces in a call
	CallTime       time.Duration // fixed duration of a call
	PieceTime      time.Duration // approximate additional duration for each piece
	ResultMemory   int64         // bytes available for results
	ResultTTL      time.Duration // maximum time that a result is kept
}

// Workspace is a customer with the API keys of its callers.
type Workspace struct {
	Name     id.Workspace
	Keys     []string
	Priority int // overrides the route's priority unless negative
}

// NoPriority is the Workspace.Priority that does not override the route's priority.
const NoPriority = -1

// Limits bound the size of callers' requests and the time that they may take to arrive.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Config is a complete configuration.
type Config struct {
	Version    uint64
	Routes     []Route
	Pools      []Pool
	Workspaces []Workspace
	Limits     Limits
	Problems   []error // parts that could not be decoded
}

// Catalog is an immutable configuration with indexes for lookups.
type Catalog struct {
	version     uint64
	limits      Limits
	hosts       map[string][]*Route // by lower-case host; longest prefix first
	pools       map[id.Pool]*Pool
	keys        map[string]*Workspace
	keyRequired bool // callers need an API key
	problem     error
}

// New returns the catalog of a configuration. A route that cannot be served has a Problem and leaves the rest in force.
func New(c Config) (*Catalog, error) {
	if c.Version == 0 {
		return nil, errors.New("configuration has no version")
	}
	out := &Catalog{
		version: c.Version, limits: c.Limits, keyRequired: len(c.Workspaces) > 0,
		hosts: map[string][]*Route{}, pools: map[id.Pool]*Pool{}, keys: map[string]*Workspace{},
	}
	var problems []error
	for i := range c.Pools {
		out.pools[c.Pools[i].Name] = &c.Pools[i]
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		r.Problem = cmp.Or(r.Problem, out.checkRoute(r))
		if r.Problem != nil {
			problems = append(problems, fmt.Errorf("route %q: %w", r.Name, r.Problem))
		}
		host := strings.ToLower(r.Host)
		out.hosts[host] = append(out.hosts[host], r)
	}
	for _, routes := range out.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Workspaces {
		for _, key := range c.Workspaces[i].Keys {
			out.keys[key] = &c.Workspaces[i]
		}
	}
	out.problem = errors.Join(append(problems, c.Problems...)...)
	return out, nil
}

// Problem returns what of the configuration cannot be used, nil for nothing.
func (c *Catalog) Problem() error { return c.problem }

func (c *Catalog) checkRoute(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fmt.Errorf("prefix %q does not begin and end with a slash", r.Prefix)
	}
	if len(r.Targets) == 0 {
		return errors.New("no target pool")
	}
	return c.checkStages(r.Stages)
}

// checkStages checks the stages of a route, which may depend on each other in any order but a circle. It removes stages that
// one names twice, because a piece reads each result once.
func (c *Catalog) checkStages(stages []Stage) error {
	if len(stages) > MaxStages {
		return fmt.Errorf("%d stages, at most %d are supported", len(stages), MaxStages)
	}
	for i := range stages {
		s := &stages[i]
		pool, ok := c.pools[s.Pool]
		if !ok || pool.Pieces == nil {
			return fmt.Errorf("stage %d: pool %q runs no stages", i, s.Pool)
		}
		for _, prior := range s.After {
			if prior < 0 || prior >= len(stages) {
				return fmt.Errorf("stage %d: depends on stage %d, which does not exist", i, prior)
			}
		}
		s.After = slices.Compact(slices.Sorted(slices.Values(s.After)))
	}
	if _, err := dag.Order(len(stages), func(i int) []int { return stages[i].After }); err != nil {
		return fmt.Errorf("stages %w", err)
	}
	return nil
}

// Version returns the version of the configuration. A higher version is newer.
func (c *Catalog) Version() uint64 { return c.version }

// Limits returns the limits on callers' requests.
func (c *Catalog) Limits() Limits { return c.limits }

// Route returns the route of the host with the longest prefix of the path, or nil if there is none.
func (c *Catalog) Route(host, path string) *Route {
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Pool returns the pool of the given name, or nil if there is none.
func (c *Catalog) Pool(name id.Pool) *Pool { return c.pools[name] }

// Pools returns all pools, sorted by name.
func (c *Catalog) Pools() []*Pool {
	return slices.SortedFunc(maps.Values(c.pools), func(a, b *Pool) int { return cmp.Compare(a.Name, b.Name) })
}

// Workspace returns the workspace that an API key belongs to, or nil if there is none.
func (c *Catalog) Workspace(key string) *Workspace { return c.keys[key] }

// KeyRequired reports whether callers need an API key, except on anonymous routes.
func (c *Catalog) KeyRequired() bool { return c.keyRequired }

// Admits reports whether the route and the key of a request are known. The body of another request need not be read.
func (c *Catalog) Admits(host, path, key string) bool {
	r := c.Route(host, path)
	return r != nil && (!c.keyRequired || r.Anonymous || c.Workspace(key) != nil)
}

// AtMostOnce reports whether a request of the route must not run more than once.
func (r *Route) AtMostOnce() bool {
	return r.Kind == Unsafe || (r.Kind == Stream && !r.Resumable)
}

// FinalStages returns the indexes of the stages whose results no other stage needs. pieces is the number of pieces that
// a request has for each stage; stages without pieces are ignored.
func (r *Route) FinalStages(pieces []int) []int {
	needed := make([]bool, len(r.Stages))
	for i, s := range r.Stages {
		if pieces[i] == 0 {
			continue
		}
		for _, prior := range s.After {
			needed[prior] = true
		}
	}
	var out []int
	for i := range r.Stages {
		if pieces[i] > 0 && !needed[i] {
			out = append(out, i)
		}
	}
	return out
}
