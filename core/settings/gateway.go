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
)

// Gateway holds the settings of one gateway process.
type Gateway struct {
	Name          id.Node
	FailureDomain id.FailureDomain
	Region        id.Region
	Peer          netip.AddrPort // address for other nodes
	Advertise     netip.AddrPort // address at which other nodes reach Peer; invalid if it is the same
	Caller        netip.AddrPort // address for callers
	Ready         netip.AddrPort // address for the load balancer's question whether the node is ready
	Metrics       netip.AddrPort // address for metrics; invalid for none
	Store         netip.AddrPort // address of the platform's store
	Memory        int            // memory limit of the process in megabytes, 0 for none
	Cores         float64        // processor cores of the VM, 0 if not known
	Bounds        Bounds
}

// Bounds are limits that hold for all nodes together.
type Bounds struct {
	Grace time.Duration // from the request to stop to the end of the process
	Cold  ColdBound
	Retry RetryBound
}

// ColdBound is the rate of requests to a cold server.
type ColdBound struct {
	RateFactor float64 // multiple of the rate that the server bears
	RateSlack  float64 // requests a second on top of that
}

// RetryBound is the budget of repeated sends to a pool.
type RetryBound struct {
	Ratio float64       // repeats for each request
	Slack float64       // repeats on top of that
	Span  time.Duration // window in which both are counted
}

// ParseGateway reads the settings of one gateway process. The error holds all Findings.
func ParseGateway(name string, src []byte) (*Gateway, error) {
	g := &Gateway{}
	r, root, ok := newReader(name, src)
	if !ok {
		return nil, r.findings.err()
	}
	given := id.NewSet[string]()
	for _, m := range r.object("gateway", root) {
		given.Add(m.key)
		r.gatewayMember(g, m)
	}
	if _, isObject := root.Value.(*hujson.Object); isObject {
		for _, key := range []string{"name", "domain", "peer", "caller", "ready", "store", "bounds"} {
			if !given.Has(key) {
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
	what := "gateway." + m.key
	switch m.key {
	case "name":
		g.Name = id.Node(r.name(what, m.value))
	case "domain":
		g.FailureDomain = id.FailureDomain(r.name(what, m.value))
	case "region":
		g.Region = id.Region(r.name(what, m.value))
	case "peer":
		g.Peer = r.addr(what, m.value)
	case "advertise":
		g.Advertise = r.addr(what, m.value)
	case "caller":
		g.Caller = r.addr(what, m.value)
	case "ready":
		g.Ready = r.addr(what, m.value)
	case "metrics":
		g.Metrics = r.addr(what, m.value)
	case "store":
		g.Store = r.addr(what, m.value)
	case "memory":
		g.Memory, _ = r.positiveInt(what, m.value, maxMemoryMB)
	case "cores":
		g.Cores = r.number(what, m.value, maxCores)
	case "bounds":
		r.bounds(&g.Bounds, m)
	default:
		r.reportUnknownKey("gateway", m)
	}
}

func (r *reader) bounds(b *Bounds, m member) {
	for _, f := range r.object("gateway.bounds", m.value) {
		what := "gateway.bounds." + f.key
		switch f.key {
		case "grace":
			b.Grace, _ = r.duration(what, f.value, time.Second, maxGrace)
		case "cold":
			for _, c := range r.object(what, f.value) {
				switch c.key {
				case "over":
					b.Cold.RateFactor = r.number(what+".over", c.value, maxRatio)
				case "slack":
					b.Cold.RateSlack = r.number(what+".slack", c.value, maxSlack)
				default:
					r.reportUnknownKey(what, c)
				}
			}
		case "retry":
			r.retryBound(&b.Retry, what, f)
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

func (r *reader) retryBound(b *RetryBound, what string, m member) {
	for _, f := range r.object(what, m.value) {
		switch f.key {
		case "ratio":
			b.Ratio = r.number(what+".ratio", f.value, maxRatio)
		case "slack":
			b.Slack = r.number(what+".slack", f.value, maxSlack)
		case "span":
			b.Span, _ = r.duration(what+".span", f.value, time.Second, maxRetryWindow)
		default:
			r.reportUnknownKey(what, f)
		}
	}
	if !hasKey(m.value, "span") {
		r.report(m.offset, "%s: span is required", what)
	}
}

// number reads a number from 0 to a limit.
func (r *reader) number(what string, v hujson.Value, high float64) float64 {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '0' {
		r.report(v.StartOffset, "%s: want a number, not %s", what, describeValue(v))
		return 0
	}
	f, err := strconv.ParseFloat(string(lit), 64)
	if err != nil || f < 0 || f > high {
		r.report(v.StartOffset, "%s: %s is outside 0 to %g", what, describeValue(v), high)
		return 0
	}
	return f
}
