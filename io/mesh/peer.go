package mesh

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

// maxDoublings limits how often the pause between failed dials doubles.
const maxDoublings = 5

// message is an encoded frame in a queue.
type message struct {
	raw      []byte
	queuedAt time.Time
}

// peer is another node with the messages queued for it and its session, if any.
type peer struct {
	name   id.Node
	queues [streamKindCount]chan message
	// writing is the number of messages taken from a queue but not written yet.
	writing atomic.Int64

	addrMu sync.Mutex
	addr   netip.AddrPort

	// Guarded by Mesh.mu.
	session  *session
	dialing  bool
	failures int // consecutive failed dials and sessions shorter than Timing.Idle
	lastSend time.Time
}

func (p *peer) setAddr(addr netip.AddrPort) {
	p.addrMu.Lock()
	defer p.addrMu.Unlock()
	p.addr = addr
}

func (p *peer) getAddr() netip.AddrPort {
	p.addrMu.Lock()
	defer p.addrMu.Unlock()
	return p.addr
}

// dial starts dialLoop for a peer unless it has a session or is already being dialed.
func (m *Mesh) dial(p *peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p.session != nil || p.dialing {
		return
	}
	p.dialing = m.tasks.Go(func(ctx context.Context) { m.dialLoop(ctx, p) })
}

// dialLoop dials a peer until it has a session or nothing was sent to it for Timing.Idle.
func (m *Mesh) dialLoop(ctx context.Context, p *peer) {
	defer m.dialEnded(p)
	for m.needsSession(p) {
		if failures := m.failureCount(p); failures > 0 && !sleepWithJitter(ctx, m.timing.Backoff<<min(failures-1, maxDoublings)) {
			return
		}
		if !m.needsSession(p) {
			return
		}
		err := m.dialOnce(ctx, p)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			m.recordFailure(p)
			m.vars.Add("peer_dial_failed", 1)
			m.reportError(fmt.Errorf("dial peer %s: %w", p.name, err))
		}
	}
}

// needsSession reports whether a peer has no session but needs one. It removes the peer if nothing was sent to it for
// Timing.Idle.
func (m *Mesh) needsSession(p *peer) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p.session != nil {
		return false
	}
	if time.Since(p.lastSend) <= m.timing.Idle {
		return true
	}
	if m.peers[p.name] == p {
		delete(m.peers, p.name)
	}
	return false
}

func (m *Mesh) dialEnded(p *peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p.dialing = false
}

func (m *Mesh) failureCount(p *peer) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return p.failures
}

func (m *Mesh) recordFailure(p *peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p.failures++
}

func (m *Mesh) dialOnce(ctx context.Context, p *peer) error {
	addr := p.getAddr()
	if !addr.IsValid() {
		return errors.New("address is unknown")
	}
	dialer := net.Dialer{Timeout: m.timing.Dial}
	conn, err := dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return err
	}
	if m.tls != nil {
		config := m.tls.Clone()
		config.ServerName = string(p.name)
		conn = tls.Client(conn, config)
	}
	if err := m.establish(ctx, conn, p.name); err != nil {
		_ = conn.Close()
		return err
	}
	return nil
}

// adopt makes a session the peer's current one, or reports that the existing session is kept instead. Both nodes choose
// the same session: between two processes, the session dialed by the node with the smaller name is kept, and of two
// sessions dialed by the same node the later one.
func (m *Mesh) adopt(s *session) (kept bool) {
	p := m.getPeer(s.remote.Node)
	m.mu.Lock()
	old := p.session
	if old != nil && old.remote.Incarnation == s.remote.Incarnation && old.dialer() != s.dialer() && old.dialer() < s.dialer() {
		m.mu.Unlock()
		return false
	}
	p.session = s
	m.mu.Unlock()
	s.peer = p
	if old == nil {
		m.vars.Add("peers", 1)
		m.deliver(event.PeerLink{Peer: p.name, Up: true})
		return true
	}
	if old.remote.Incarnation != s.remote.Incarnation {
		m.deliver(event.PeerLink{Peer: p.name, Up: false})
		m.deliver(event.PeerLink{Peer: p.name, Up: true})
	}
	old.retire(m.timing.Retire)
	return true
}

// sessionEnded removes a session from its peer and reports the link as down, unless another session has replaced it.
func (m *Mesh) sessionEnded(s *session) {
	p := s.peer
	if p == nil {
		return
	}
	m.mu.Lock()
	current := p.session == s
	if current {
		p.session = nil
		if time.Since(s.startedAt) < m.timing.Idle {
			p.failures++
		} else {
			p.failures = 0
		}
	}
	m.mu.Unlock()
	if current {
		m.vars.Add("peers", -1)
		m.deliver(event.PeerLink{Peer: p.name, Up: false})
	}
}

// sleepWithJitter waits for a random time between d/2 and d, so that nodes do not dial in lockstep. It reports false if
// the context ended first.
func sleepWithJitter(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d/2 + rand.N(d/2+1))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
