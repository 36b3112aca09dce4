package experiment

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"bluebellflow/core/id"
	"bluebellflow/lab/engine"
	"bluebellflow/lab/load"
	"bluebellflow/lab/platform"
	"bluebellflow/lab/service"
	"bluebellflow/lab/testbed"
)

const (
	maxRepeats  = 20
	maxPolicies = 10
	maxFaults   = 100
)

// Seconds is a time in a file, in seconds.
type Seconds float64

// Duration returns the time as a duration.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// Experiment is a settings file: what runs, what arrives and what fails when.
type Experiment struct {
	Name       string          `json:"name"`
	About      string          `json:"about"`
	Deployment string          `json:"deployment"` // kitab or vordach
	Seed       uint64          `json:"seed"`
	Repeats    int             `json:"repeats"`  // runs of each policy, with the seeds seed, seed+1 …
	Policies   []string        `json:"policies"` // passed on to the nodes; "default" is the full system
	Load       Load            `json:"load"`
	Cold       map[id.Pool]int `json:"cold"` // servers of a pool that start cold
	Faults     []Fault         `json:"faults"`
}

// Load is the rate of requests over time.
type Load struct {
	Seconds Seconds `json:"seconds"`
	Rate    float64 `json:"rate"` // requests a second
	Bursts  []Burst `json:"bursts"`
}

// Burst is a time with additional requests.
type Burst struct {
	At      Seconds `json:"at"`
	Seconds Seconds `json:"seconds"`
	Rate    float64 `json:"rate"`
}

// Kind is a kind of fault or of operator action.
type Kind string

// Kinds of faults and the fields that they use.
const (
	PlatformFault Kind = "platform" // platform
	EngineFault   Kind = "engine"   // pool, domain, servers, engine
	ServiceFault  Kind = "service"  // pool, domain, servers, service
	Restart       Kind = "restart"  // pool, domain, servers
	ResetWarmup   Kind = "chill"    // pool, domain, servers
	Leave         Kind = "leave"    // pool, domain, servers
	Remove        Kind = "remove"   // pool, domain, servers
	AddServers    Kind = "add"      // pool, servers, version, warm
	VersionDefect Kind = "bad"      // version, bad
	Cut           Kind = "cut"      // domain
	Heal          Kind = "heal"     // domain
	KillNode      Kind = "kill"     // node
	StopNode      Kind = "stop"     // node
	AdminCall     Kind = "admin"    // method, path, body or edit
)

// Fault is something that happens at a time of the run.
type Fault struct {
	At       Seconds          `json:"at"`
	Kind     Kind             `json:"kind"`
	Pool     id.Pool          `json:"pool"`
	Domain   id.FailureDomain `json:"domain"`
	Servers  int              `json:"servers"` // how many, the first by name; 0 means all
	Version  id.Version       `json:"version"`
	Warm     bool             `json:"warm"`
	Node     int              `json:"node"` // index in the list of nodes
	Platform *platform.Faults `json:"platform"`
	Engine   *engine.Faults   `json:"engine"`
	Service  *service.Faults  `json:"service"`
	Defect   *engine.Defect   `json:"bad"`
	Method   string           `json:"method"`
	Path     string           `json:"path"` // below /admin/v1/
	Body     json.RawMessage  `json:"body"` // "@+20s" in it becomes the time 20 s after the fault
	Edit     *Edit            `json:"edit"` // reads the path, replaces a text and writes the result back
}

// Edit is a replacement in a text.
type Edit struct {
	Find    string `json:"find"`
	Replace string `json:"replace"`
}

// Parse reads an experiment from JSON with comments and reports everything that is wrong with it.
func Parse(name string, src []byte) (Experiment, error) {
	plain, err := hujson.Standardize(bytes.Clone(src))
	if err != nil {
		return Experiment{}, fmt.Errorf("%s: %w", name, err)
	}
	e := Experiment{Repeats: 1, Policies: []string{"default"}, Seed: 1}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&e); err != nil {
		return Experiment{}, fmt.Errorf("%s:%s: %w", name, errorPosition(plain, err), err)
	}
	if err := e.Check(); err != nil {
		return Experiment{}, fmt.Errorf("%s: %w", name, err)
	}
	return e, nil
}

// errorPosition returns line and column of a decoding error, as far as it tells.
func errorPosition(src []byte, err error) string {
	var syntax *json.SyntaxError
	var typ *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return lineColumn(src, int(syntax.Offset))
	case errors.As(err, &typ):
		return lineColumn(src, int(typ.Offset))
	}
	if _, field, ok := strings.Cut(err.Error(), "unknown field "); ok {
		return lineColumn(src, max(0, bytes.Index(src, []byte(field))))
	}
	return lineColumn(src, len(src))
}

func lineColumn(src []byte, offset int) string {
	before := src[:min(max(offset, 0), len(src))]
	return fmt.Sprintf("%d:%d", bytes.Count(before, []byte("\n"))+1, len(before)-bytes.LastIndexByte(before, '\n'))
}

// Check reports everything that is wrong with the experiment.
func (e Experiment) Check() error {
	var problems []error
	add := func(format string, args ...any) { problems = append(problems, fmt.Errorf(format, args...)) }
	if e.Name == "" || strings.ContainsAny(e.Name, "/\\ ") {
		add("name %q is empty or not usable as a file name", e.Name)
	}
	if e.Repeats < 1 || e.Repeats > maxRepeats {
		add("repeats: %d is not between 1 and %d", e.Repeats, maxRepeats)
	}
	if len(e.Policies) < 1 || len(e.Policies) > maxPolicies {
		add("policies: %d are not between 1 and %d", len(e.Policies), maxPolicies)
	}
	if len(e.Faults) > maxFaults {
		add("faults: more than %d", maxFaults)
	}
	if err := e.loadShape().Check(); err != nil {
		add("load: %w", err)
	}
	d, err := e.description()
	if err != nil {
		add("%w", err)
		return errors.Join(problems...)
	}
	if err := d.Check(); err != nil {
		add("cold: %w", err)
	}
	for i, f := range e.Faults {
		if err := f.check(d); err != nil {
			add("fault %d (%s at %v s): %w", i+1, f.Kind, float64(f.At), err)
		}
		if f.At < 0 || f.At > e.Load.Seconds {
			add("fault %d (%s): at %v s is outside of the run", i+1, f.Kind, float64(f.At))
		}
	}
	return errors.Join(problems...)
}

// hasRequiredFields lists the fields that the kinds of fault cannot do without.
var hasRequiredFields = map[Kind]func(f Fault) bool{
	PlatformFault: func(f Fault) bool { return f.Platform != nil },
	EngineFault:   func(f Fault) bool { return f.Pool != "" && f.Engine != nil },
	ServiceFault:  func(f Fault) bool { return f.Pool != "" && f.Service != nil },
	Restart:       func(f Fault) bool { return f.Pool != "" },
	ResetWarmup:   func(f Fault) bool { return f.Pool != "" },
	Leave:         func(f Fault) bool { return f.Pool != "" },
	Remove:        func(f Fault) bool { return f.Pool != "" },
	AddServers:    func(f Fault) bool { return f.Pool != "" && f.Servers > 0 && f.Version != "" },
	VersionDefect: func(f Fault) bool { return f.Version != "" && f.Defect != nil },
	Cut:           func(f Fault) bool { return f.Domain != "" },
	Heal:          func(f Fault) bool { return f.Domain != "" },
	KillNode:      func(f Fault) bool { return f.Node >= 0 },
	StopNode:      func(f Fault) bool { return f.Node >= 0 },
	AdminCall:     func(f Fault) bool { return f.Path != "" && (f.Method != "") != (f.Edit != nil) },
}

func (f Fault) check(d testbed.Description) error {
	complete, ok := hasRequiredFields[f.Kind]
	if !ok {
		return errors.New("unknown kind")
	}
	if !complete(f) {
		return errors.New("a field that this kind needs is missing or wrong")
	}
	if f.Pool != "" {
		p, ok := d.Pool(f.Pool)
		if !ok {
			return fmt.Errorf("unknown pool %q", f.Pool)
		}
		if p.IsService() && (f.Kind == EngineFault || f.Kind == ResetWarmup) || !p.IsService() && f.Kind == ServiceFault {
			return fmt.Errorf("pool %q is of another kind", f.Pool)
		}
	}
	if f.Domain != "" {
		for _, known := range d.Domains {
			if known == f.Domain {
				return nil
			}
		}
		return fmt.Errorf("unknown failure domain %q", f.Domain)
	}
	return nil
}

// description returns the deployment with the cold servers of the experiment.
func (e Experiment) description() (testbed.Description, error) {
	d, err := testbed.DescriptionByName(e.Deployment)
	if err != nil {
		return d, err
	}
	for i := range d.Pools {
		if cold, ok := e.Cold[d.Pools[i].Name]; ok {
			d.Pools[i].Cold = cold
		}
	}
	for name := range e.Cold {
		if p, ok := d.Pool(name); !ok || p.IsService() {
			return d, fmt.Errorf("cold: %q is no pool of model runners", name)
		}
	}
	return d, nil
}

func (e Experiment) loadShape() load.Shape {
	s := load.Shape{Length: e.Load.Seconds.Duration(), Rate: e.Load.Rate}
	for _, b := range e.Load.Bursts {
		s.Bursts = append(s.Bursts, load.Burst{At: b.At.Duration(), Length: b.Seconds.Duration(), Rate: b.Rate})
	}
	return s
}
