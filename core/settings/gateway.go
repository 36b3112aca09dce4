package settings

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/tailscale/hujson"

	"bluebellflow/core/id"
)

const (
	maxSlack       = 1_000_000
	maxRatio       = 1000
	maxMemoryMB    = 1 << 20
	maxCores       = 10_000
	maxRetryWindow = 10 * time.Minute
	maxDutyRate    = 100_000
	minLease       = 500 * time.Millisecond
	maxLease       = 10 * time.Minute
	maxReportTime  = time.Hour
)

// Gateway holds the settings of one gateway process.
type Gateway struct {
	Name          id.Node
	FailureDomain id.FailureDomain
	Region        id.Region
	Peer          netip.AddrPort // listen address for other nodes
	Advertise     netip.AddrPort // address at which other nodes reach Peer, if it differs; otherwise invalid
	Caller        netip.AddrPort // listen address for callers
	Ready         netip.AddrPort // listen address for readiness checks of the load balancer
	Metrics       netip.AddrPort // listen address for metrics; invalid if disabled
	Store         netip.AddrPort // address of the platform's store
	Memory        int            // memory limit of the process in megabytes, 0 for no limit
	Descriptors   int            // descriptors that the process may open, 0 for its limit, at most those of the smallest VM
	Cores         float64        // CPU cores of the VM, 0 if unknown
	Callers       Callers
	Bounds        Bounds
	Duties        *Duties // nil if there are none
}

// Duties holds the calls to the operator's control service that one node at a time makes.
type Duties struct {
	Control netip.AddrPort // address of the service
	Rate    float64        // calls per second that it accepts from all nodes together
	Names   []string       // of the duties
	Lease   time.Duration  // after which another node may take over
	Window  time.Duration  // for which usage is reported
	Late    time.Duration  // time after the end of a window in which its report is due
}

// Bounds holds limits that apply to all nodes together.
type Bounds struct {
	Grace time.Duration // from the stop signal to the end of the process
	Cold  ColdBound
	Retry RetryBound
}

// ColdBound limits the rate of requests to a cold server.
type ColdBound struct {
	RateFactor float64 // multiplies the rate that the server can handle
	RateSlack  float64 // requests per second added to it
}

// RetryBound is the retry budget of a pool.
type RetryBound struct {
	Ratio float64       // retries per request
	Slack float64       // retries added to it
	Span  time.Duration // window in which requests and retries are counted
}

// ParseGateway parses the settings of one gateway process. The error is a Findings with all errors found.
func ParseGateway(name string, src []byte) (*Gateway, error) {
	g := &Gateway{Callers: defaultCallers()}
	r, root, ok := newReader(name, src)
	if !ok {
		return nil, r.findings.err()
	}
	seen := id.NewSet[string]()
	for _, m := range r.object("gateway", root) {
		seen.Add(m.key)
		r.gatewayMember(g, m)
	}
	if _, isObject := root.Value.(*hujson.Object); isObject {
		for _, key := range []string{"name", "domain", "peer", "caller", "ready", "store", "bounds"} {
			if !seen.Has(key) {
				r.report(root.StartOffset, "gateway: %s is required", key)
			}
		}
	}
	if err := r.findings.err(); err != nil {
		return nil, err
	}
	return g, nil
}

func (r *reader) gatewayMember(g *Gateway, m member) {
	path := "gateway." + m.key
	switch m.key {
	case "name":
		g.Name = id.Node(r.name(path, m.value))
	case "domain":
		g.FailureDomain = id.FailureDomain(r.name(path, m.value))
	case "region":
		g.Region = id.Region(r.name(path, m.value))
	case "peer":
		g.Peer = r.addr(path, m.value)
	case "advertise":
		g.Advertise = r.addr(path, m.value)
	case "caller":
		g.Caller = r.addr(path, m.value)
	case "ready":
		g.Ready = r.addr(path, m.value)
	case "metrics":
		g.Metrics = r.addr(path, m.value)
	case "store":
		g.Store = r.addr(path, m.value)
	case "memory":
		g.Memory, _ = r.positiveInt(path, m.value, maxMemoryMB)
	case "descriptors":
		g.Descriptors, _ = r.positiveInt(path, m.value, maxDescriptors)
	case "callers":
		r.callers(&g.Callers, path, m)
	case "cores":
		g.Cores = r.number(path, m.value, maxCores)
	case "bounds":
		r.bounds(&g.Bounds, m)
	case "duties":
		g.Duties = &Duties{}
		r.duties(g.Duties, path, m)
	default:
		r.reportUnknownKey("gateway", m)
	}
}

func (r *reader) bounds(b *Bounds, m member) {
	for _, f := range r.object("gateway.bounds", m.value) {
		path := "gateway.bounds." + f.key
		switch f.key {
		case "grace":
			b.Grace, _ = r.duration(path, f.value, time.Second, maxGrace)
		case "cold":
			for _, c := range r.object(path, f.value) {
				switch c.key {
				case "over":
					b.Cold.RateFactor = r.number(path+".over", c.value, maxRatio)
				case "slack":
					b.Cold.RateSlack = r.number(path+".slack", c.value, maxSlack)
				default:
					r.reportUnknownKey(path, c)
				}
			}
		case "retry":
			r.retryBound(&b.Retry, path, f)
		default:
			r.reportUnknownKey("gateway.bounds", f)
		}
	}
	for _, key := range []string{"grace", "cold", "retry"} {
		if !hasKey(m.value, key) {
			r.report(m.offset, "gateway.bounds: %s is required", key)
		}
	}
}

func (r *reader) retryBound(b *RetryBound, path string, m member) {
	for _, f := range r.object(path, m.value) {
		switch f.key {
		case "ratio":
			b.Ratio = r.number(path+".ratio", f.value, maxRatio)
		case "slack":
			b.Slack = r.number(path+".slack", f.value, maxSlack)
		case "span":
			b.Span, _ = r.duration(path+".span", f.value, time.Second, maxRetryWindow)
		default:
			r.reportUnknownKey(path, f)
		}
	}
	if !hasKey(m.value, "span") {
		r.report(m.offset, "%s: span is required", path)
	}
}

func (r *reader) duties(d *Duties, path string, m member) {
	for _, f := range r.object(path, m.value) {
		path := path + "." + f.key
		switch f.key {
		case "control":
			d.Control = r.addr(path, f.value)
		case "rate":
			if d.Rate = r.number(path, f.value, maxDutyRate); d.Rate == 0 {
				r.report(f.value.StartOffset, "%s: want more than 0 calls a second", path)
			}
		case "list":
			for _, v := range r.array(path, f.value) {
				d.Names = append(d.Names, r.stringValue(path, v))
			}
		case "lease":
			d.Lease, _ = r.duration(path, f.value, minLease, maxLease)
		case "window":
			d.Window, _ = r.duration(path, f.value, time.Second, maxReportTime)
		case "late":
			d.Late, _ = r.duration(path, f.value, time.Second, maxReportTime)
		default:
			r.reportUnknownKey("gateway.duties", f)
		}
	}
	for _, key := range []string{"control", "rate", "list", "lease", "window", "late"} {
		if !hasKey(m.value, key) {
			r.report(m.offset, "%s: %s is required", path, key)
		}
	}
}

// number reads a number from 0 to high.
func (r *reader) number(path string, v hujson.Value, high float64) float64 {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '0' {
		r.report(v.StartOffset, "%s: want a number, not %s", path, describeValue(v))
		return 0
	}
	f, err := strconv.ParseFloat(string(lit), 64)
	if err != nil || f < 0 || f > high {
		r.report(v.StartOffset, "%s: %s is outside 0 to %g", path, describeValue(v), high)
		return 0
	}
	return f
}
