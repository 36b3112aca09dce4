// Package netpartition separates failure domains from each other and from the platform, inside the stand-ins.
package netpartition

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"bluebellflow/core/id"
)

// DomainHeader names the failure domain that a request comes from.
const DomainHeader = "Bluebellflow-Domain"

// blockedTimeout bounds how long a request over a cut link stays without an answer.
const blockedTimeout = 30 * time.Second

// maxControlBytes bounds the body of a control request, in bytes.
const maxControlBytes = 1 << 16

// Partition says which failure domains are cut off; all stand-ins of a fleet share one.
type Partition struct {
	mu      sync.Mutex
	cut     id.Set[id.FailureDomain]
	sources map[netip.Prefix]id.FailureDomain
	open    map[*link]struct{}
}

type link struct {
	from, to id.FailureDomain
	cancel   context.CancelFunc
}

// New returns a partition that cuts nothing.
func New() *Partition {
	return &Partition{
		cut:     id.NewSet[id.FailureDomain](),
		sources: map[netip.Prefix]id.FailureDomain{},
		open:    map[*link]struct{}{},
	}
}

// AddSource assigns the requests from a range of addresses to a failure domain.
func (p *Partition) AddSource(from netip.Prefix, d id.FailureDomain) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sources[from] = d
}

// Cut separates a domain from all others and from the platform, and breaks its open connections to them.
func (p *Partition) Cut(d id.FailureDomain) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut.Add(d)
	for l := range p.open {
		if p.blockedLocked(l.from, l.to) {
			l.cancel()
		}
	}
}

// Heal connects a domain again.
func (p *Partition) Heal(d id.FailureDomain) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut.Delete(d)
}

// Blocked reports whether a domain cannot reach another; the platform is in the empty domain.
// A request of unknown origin is never blocked.
func (p *Partition) Blocked(from, to id.FailureDomain) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.blockedLocked(from, to)
}

func (p *Partition) blockedLocked(from, to id.FailureDomain) bool {
	return from != "" && from != to && (p.cut.Has(from) || p.cut.Has(to))
}

// Wrap guards a server in the domain `to`.
// Requests come from the domain `from`, or if that is empty from the one that their header or source address names.
// A blocked request gets no answer, as with dropped packets, until its caller gives up.
func (p *Partition) Wrap(from, to id.FailureDomain, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		origin := from
		if origin == "" {
			origin = p.origin(r)
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		l := &link{from: origin, to: to, cancel: cancel}
		if !p.openLink(l) {
			waitBlocked(r.Context())
			Reset(w)
			return
		}
		defer p.closeLink(l)
		next.ServeHTTP(w, r.WithContext(ctx))
		if ctx.Err() != nil && r.Context().Err() == nil {
			Reset(w)
		}
	})
}

func (p *Partition) origin(r *http.Request) id.FailureDomain {
	if d := r.Header.Get(DomainHeader); d != "" {
		return id.FailureDomain(d)
	}
	addr, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for prefix, d := range p.sources {
		if prefix.Contains(addr.Addr()) {
			return d
		}
	}
	return ""
}

func (p *Partition) openLink(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.blockedLocked(l.from, l.to) {
		return false
	}
	p.open[l] = struct{}{}
	return true
}

func (p *Partition) closeLink(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, l)
}

func waitBlocked(ctx context.Context) {
	timer := time.NewTimer(blockedTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Reset breaks the connection of a request with a TCP reset, so that the caller gets no further byte.
func Reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// controlRequest is the body of POST /lab/cut.
type controlRequest struct {
	Domain  id.FailureDomain `json:"domain"`
	Cut     bool             `json:"cut"`
	Sources []netip.Prefix   `json:"sources"` // addresses whose requests come from the domain
}

// Control serves POST /lab/cut, which cuts a domain or connects it again.
func (p *Partition) Control() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var o controlRequest
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&o); r.Method != http.MethodPost || err != nil || o.Domain == "" {
			http.Error(w, "want POST of {\"domain\",\"cut\",\"sources\"}", http.StatusBadRequest)
			return
		}
		for _, s := range o.Sources {
			p.AddSource(s, o.Domain)
		}
		if o.Cut {
			p.Cut(o.Domain)
		} else {
			p.Heal(o.Domain)
		}
	})
}
