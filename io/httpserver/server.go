package httpserver

import (
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// lateHeadFactor is the time after which CloseIdle closes a connection without a complete head, as a multiple of ReadHeaderTimeout.
// net/http applies that timeout by itself from the fourth byte on, and answers some of these requests.
const lateHeadFactor = 2

// Server is an HTTP server with its listener.
type Server struct {
	http     *http.Server
	listener connListener
	guard    *Guard        // nil for none
	served   chan struct{} // closed when no connection is accepted any more
	stopped  chan struct{} // closed at the end of Stop

	mu          sync.Mutex
	conns       map[*trackedConn]struct{} // that are not closed
	onEmpty     []func()                  // called when no connection is open
	beforeClose func()                    // called before connections in use are closed, nil for none

	onUnanswered func(Unanswered) // nil for none
	phase        atomic.Int32     // the Cause for which the server closes connections, 0 for none
}

// Option configures a Server.
type Option func(*Server)

// WithGuard keeps the connections within the limits of a guard, which no other server uses.
func WithGuard(g *Guard) Option { return func(s *Server) { s.guard = g } }

// New listens on an address for an HTTP server, which is not used otherwise.
func New(addr netip.AddrPort, server *http.Server, opts ...Option) (*Server, error) {
	if !addr.IsValid() {
		return nil, errors.New("no address")
	}
	s := &Server{http: server, served: make(chan struct{}), stopped: make(chan struct{}), conns: map[*trackedConn]struct{}{}}
	for _, o := range opts {
		o(s)
	}
	if s.guard != nil {
		if err := s.guard.limits.check(); err != nil {
			return nil, err
		}
		s.guard.install(server)
	}
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	s.listener = &queueListener{TCPListener: listener}
	s.track(server)
	return s, nil
}

// Addr returns the address of the listener.
func (s *Server) Addr() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

// BeforeClose sets a function that Stop calls if it closes connections in use.
func (s *Server) BeforeClose(f func()) { s.beforeClose = f }

// Serve accepts connections until the server fails, or until Stop has returned.
func (s *Server) Serve() error {
	var accept net.Listener = trackingListener{s.listener, s}
	if s.guard != nil {
		accept = &listener{accept, s.guard}
	}
	err := s.http.Serve(accept)
	close(s.served)
	if !errors.Is(err, net.ErrClosed) {
		return err
	}
	<-s.stopped
	return nil
}

// Drain accepts what waits in the queue of the listener, and closes it and all idle connections. Requests on open connections are
// served, and each connection is closed after its response. It then calls empty as soon as no connection is open; empty must not
// block.
func (s *Server) Drain(empty func()) {
	s.listener.end()
	<-s.served
	s.phase.Store(int32(ByDrain))
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIdle(ByDrain)
	}
	s.onEmpty = append(s.onEmpty, empty)
	s.callIfEmpty()
}

// CloseIdle closes the connections that have been idle for longer than a time, 0 for none. A connection on which a request begins is
// not idle; it is closed if the head does not arrive for much longer than http.Server.ReadHeaderTimeout.
func (s *Server) CloseIdle(longest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for c := range s.conns {
		c.closeExpired(now, longest, lateHeadFactor*s.http.ReadHeaderTimeout)
	}
}

// Stop drains the server, and closes the connections that are open after the timeout. Serve must have been called.
func (s *Server) Stop(timeout time.Duration) {
	defer close(s.stopped)
	empty := make(chan struct{})
	s.Drain(func() { close(empty) })
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-empty:
	case <-timer.C:
		if s.beforeClose != nil {
			s.beforeClose()
		}
	}
	s.phase.Store(int32(ByExit))
	_ = s.http.Close()
}

// closing returns why the server closes connections at present, 0 if it does not.
func (s *Server) closing() Cause { return Cause(s.phase.Load()) }

// Close closes the listener of a server that has not served.
func (s *Server) Close() error { return s.listener.Close() }

// trackState records the state that net/http reports of a connection.
func (s *Server) trackState(c *trackedConn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.conns[c] = struct{}{}
	case http.StateIdle:
		c.becomeIdle()
		if s.closing() != 0 {
			c.closeIdle(ByDrain)
		}
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
		s.callIfEmpty()
	}
}

// callIfEmpty tells the drains if no connection is open. The caller must hold s.mu.
func (s *Server) callIfEmpty() {
	if len(s.conns) > 0 {
		return
	}
	for _, empty := range s.onEmpty {
		empty()
	}
	s.onEmpty = nil
}
