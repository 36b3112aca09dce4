package catalog

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"bluebellflow/core/id"
)

// Kind says what may be repeated of a route's requests.
type Kind uint8

const (
	// Safe requests may run more than once.
	Safe Kind = iota + 1
	// Unsafe requests run at most once.
	Unsafe
	// Stream requests are answered by a sequence of events and run at most once, unless the route is resumable.
	Stream
)

// Route says which requests go to which pool, and how.
type Route struct {
	Name             string
	Host             string
	Prefix           string // begins and ends with a slash
	Kind             Kind
	Timeout          time.Duration // longest time without a final answer
	LatencyObjective time.Duration // time to the answer, or to a stream's first event, that earns full credit
	MaxEventGap      time.Duration // longest pause between two events of a stream that is still on time
	CallerTimeout    time.Duration // after which callers leave a stream that has brought no event, 0 if they do not
	Priority         int           // 0 is the most urgent
	Targets          []Target
	MaxAttempts      int // servers that one request may run on
	Stages           []Stage
	Anonymous        bool // callers need no key
	Sticky           bool // requests carry the parts of their prompt
	Resumable        bool // a stream may continue on another server
}

// Target is a pool that gets part of a route's requests.
type Target struct {
	Pool   id.Pool
	Weight int
}

// Stage is work that is done before a request can run.
type Stage struct {
	Pool        id.Pool
	After       []int // stages whose results it reads
	ResultBytes int   // approximate size of a result
}

// Pool describes a set of servers that do the same work.
type Pool struct {
	Name       id.Pool
	HealthPath string  // path of the health check
	MaxConns   int     // connections that a server accepts from all callers together
	ColdRate   float64 // requests a second that a cold server bears, 0 for no limit
	Pieces     *Pieces // nil for a pool that runs no stages
}

// Pieces describes the batched calls of a pool that runs stages. Each value is for one server.
type Pieces struct {
	MaxCalls       int           // calls in progress at once
	MaxQueuedCalls int           // calls that may wait
	MaxBatch       int           // pieces in one call
	CallTime       time.Duration // fixed time of a call
	PieceTime      time.Duration // approximate time of a piece on top of that
	ResultMemory   int64         // bytes for results
	ResultTTL      time.Duration // time that a result is kept at most
}

// Workspace is a customer with the keys of its callers.
type Workspace struct {
	Name     id.Workspace
	Keys     []string
	Priority int // takes precedence over the route's priority unless negative
}

// NoPriority leaves the priority to the route.
const NoPriority = -1

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Config is a whole configuration.
type Config struct {
	Version    uint64
	Routes     []Route
	Pools      []Pool
	Workspaces []Workspace
	Limits     Limits
}

// Catalog is a configuration that can be searched. It does not change.
type Catalog struct {
	version     uint64
	limits      Limits
	hosts       map[string][]*Route // longest prefix first
	pools       map[id.Pool]*Pool
	keys        map[string]*Workspace
	keyRequired bool // requests need a key
}

// New checks a configuration and returns its catalog.
func New(c Config) (*Catalog, error) {
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
		if err := out.checkRoute(r); err != nil {
			problems = append(problems, fmt.Errorf("route %q: %w", r.Name, err))
			continue
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
	if c.Version == 0 {
		problems = append(problems, errors.New("configuration without a version"))
	}
	return out, errors.Join(problems...)
}

func (c *Catalog) checkRoute(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fmt.Errorf("prefix %q does not begin and end with a slash", r.Prefix)
	}
	if len(r.Targets) == 0 {
		return errors.New("no pool")
	}
	for i, s := range r.Stages {
		pool, ok := c.pools[s.Pool]
		if !ok || pool.Pieces == nil {
			return fmt.Errorf("stage %d: pool %q runs no stages", i, s.Pool)
		}
		for _, before := range s.After {
			if before < 0 || before >= i {
				return fmt.Errorf("stage %d: comes after stage %d", i, before)
			}
		}
	}
	return nil
}

// Version returns the version of the configuration; higher ones are newer.
func (c *Catalog) Version() uint64 { return c.version }

// Limits returns the limits on callers.
func (c *Catalog) Limits() Limits { return c.limits }

// Route returns the route with the longest prefix that begins the path, or nil.
func (c *Catalog) Route(host, path string) *Route {
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Pool returns a pool by its name, or nil.
func (c *Catalog) Pool(name id.Pool) *Pool { return c.pools[name] }

// Workspace returns the workspace that holds a key, or nil.
func (c *Catalog) Workspace(key string) *Workspace { return c.keys[key] }

// KeyRequired reports whether callers need a key.
func (c *Catalog) KeyRequired() bool { return c.keyRequired }

// AtMostOnce reports whether a request of the route must not run twice.
func (r *Route) AtMostOnce() bool {
	return r.Kind == Unsafe || (r.Kind == Stream && !r.Resumable)
}

// FinalStages returns the stages that no other stage follows, among those that a request has pieces for.
func (r *Route) FinalStages(pieces []int) []int {
	followed := make([]bool, len(r.Stages))
	for i, s := range r.Stages {
		if pieces[i] == 0 {
			continue
		}
		for _, before := range s.After {
			followed[before] = true
		}
	}
	var out []int
	for i := range r.Stages {
		if pieces[i] > 0 && !followed[i] {
			out = append(out, i)
		}
	}
	return out
}
