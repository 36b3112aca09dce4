// Package netpartition simulates network partitions between failure domains, and between them and the platform.
// The simulated servers and the simulated platform enforce the partition on the requests that they serve.
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

// DomainHeader is the header that names the failure domain of a request's sender.
const DomainHeader = "Bluebellflow-Domain"

// blockedTimeout bounds how long a blocked request stays open without an answer.
const blockedTimeout = 30 * time.Second

// maxControlBytes is the largest body of a control request.
const maxControlBytes = 1 << 16

// Partition holds the set of failure domains that are cut off. The servers of an environment share one Partition.
type Partition struct {
	mu      sync.Mutex
	cut     id.Set[id.FailureDomain]
	sources map[netip.Prefix]id.FailureDomain
	open    map[*openRequest]struct{}
}

// openRequest is a request in flight between two failure domains.
type openRequest struct {
	from, to id.FailureDomain
	cancel   context.CancelFunc
}

// New returns a Partition in which every domain is connected.
func New() *Partition {
	return &Partition{
		cut:     id.NewSet[id.FailureDomain](),
		sources: map[netip.Prefix]id.FailureDomain{},
		open:    map[*openRequest]struct{}{},
	}
}

// AddSource assigns requests from an address range to a failure domain.
func (p *Partition) AddSource(from netip.Prefix, d id.FailureDomain) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sources[from] = d
}

// Cut disconnects a domain from all others and from the platform, and aborts requests in flight between them.
func (p *Partition) Cut(d id.FailureDomain) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut.Add(d)
	for req := range p.open {
		if p.blockedLocked(req.from, req.to) {
			req.cancel()
		}
	}
}

// Heal reconnects a domain.
func (p *Partition) Heal(d id.FailureDomain) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut.Delete(d)
}

// Blocked reports whether one domain cannot reach another. The empty domain as the target stands for the platform.
// A request from an unknown domain is never blocked.
func (p *Partition) Blocked(from, to id.FailureDomain) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.blockedLocked(from, to)
}

func (p *Partition) blockedLocked(from, to id.FailureDomain) bool {
	return from != "" && from != to && (p.cut.Has(from) || p.cut.Has(to))
}

// Wrap applies the partition to a server. The parameter to is the server's domain, empty for the platform. The parameter
// from is the domain of the callers; if it is empty, DomainHeader or the source address determines the domain of each.
// A blocked request gets no answer, as with dropped packets, until its caller gives up or blockedTimeout has passed.
func (p *Partition) Wrap(from, to id.FailureDomain, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		origin := from
		if origin == "" {
			origin = p.origin(r)
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		req := &openRequest{from: origin, to: to, cancel: cancel}
		if !p.addOpen(req) {
			waitBlocked(r.Context())
			Reset(w)
			return
		}
		defer p.removeOpen(req)
		next.ServeHTTP(w, r.WithContext(ctx))
		if ctx.Err() != nil && r.Context().Err() == nil {
			Reset(w)
		}
	})
}

// origin returns the failure domain of a request's sender, or the empty domain if it is unknown.
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

// addOpen registers a request in flight; it returns false if the request is blocked.
func (p *Partition) addOpen(req *openRequest) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.blockedLocked(req.from, req.to) {
		return false
	}
	p.open[req] = struct{}{}
	return true
}

func (p *Partition) removeOpen(req *openRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, req)
}

// waitBlocked returns when the context ends or blockedTimeout has passed.
func waitBlocked(ctx context.Context) {
	timer := time.NewTimer(blockedTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Reset closes the connection of a request with a TCP reset, so that the caller receives no further byte.
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
	Sources []netip.Prefix   `json:"sources"` // address ranges of the domain
}

// Control serves POST /lab/cut, which cuts or heals a domain.
func (p *Partition) Control() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var req controlRequest
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&req); r.Method != http.MethodPost || err != nil || req.Domain == "" {
			http.Error(w, "expected POST with a body of {\"domain\",\"cut\",\"sources\"}", http.StatusBadRequest)
			return
		}
		for _, s := range req.Sources {
			p.AddSource(s, req.Domain)
		}
		if req.Cut {
			p.Cut(req.Domain)
		} else {
			p.Heal(req.Domain)
		}
	})
}
