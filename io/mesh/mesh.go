package mesh

import (
	"context"
	"crypto/tls"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/wire"
	"bluebellflow/io/tasks"
)

const (
	// maxTasks limits the goroutines of all sessions and dials; a session needs six.
	maxTasks = 16384
	// maxHandshakes limits the accepted connections whose handshake is not complete.
	maxHandshakes = 256
	// controlQueueSize and bulkQueueSize limit the queued messages per peer.
	controlQueueSize = 1024
	bulkQueueSize    = 64
	// bulkThreshold is the size in bytes above which a message is sent over the bulk stream.
	bulkThreshold = 16 << 10
)

// Resolve returns the address of a node.
type Resolve func(id.Node) (netip.AddrPort, bool)

// Mesh maintains a node's sessions with its peers.
type Mesh struct {
	self        event.Self
	codec       *wire.Codec
	resolve     Resolve
	deliver     func(event.Event)
	tls         *tls.Config
	tasks       *tasks.Group
	vars        *expvar.Map
	reportError func(error)
	timing      Timing

	listener   net.Listener
	handshakes chan struct{}

	mu    sync.Mutex
	peers map[id.Node]*peer
}

// Timing holds the timeouts and intervals of a mesh.
type Timing struct {
	Dial         time.Duration // timeout for each of dialing and the handshake
	Write        time.Duration // timeout for one write; a peer that does not read is disconnected
	KeepAlive    time.Duration // interval of yamux pings
	MaxQueueTime time.Duration // messages that were queued for longer are dropped instead of sent
	Backoff      time.Duration // pause after a failed dial; doubles with each failure, up to 32 times this value
	Idle         time.Duration // a peer without a session to which nothing was sent for this time is no longer dialed
	Retire       time.Duration // a session superseded by another one with the same peer is closed after this time
}

// DefaultTiming returns the timing for nodes with a few milliseconds of latency between them.
func DefaultTiming() Timing {
	return Timing{
		Dial: time.Second, Write: 5 * time.Second, KeepAlive: 5 * time.Second, MaxQueueTime: time.Second,
		Backoff: 50 * time.Millisecond, Idle: 10 * time.Second, Retire: time.Second,
	}
}

// LowLatencyTiming returns the timing for nodes that need each other's replies within a second.
func LowLatencyTiming() Timing {
	return Timing{
		Dial: 500 * time.Millisecond, Write: 2 * time.Second, KeepAlive: 5 * time.Second, MaxQueueTime: 700 * time.Millisecond,
		Backoff: 50 * time.Millisecond, Idle: 10 * time.Second, Retire: 500 * time.Millisecond,
	}
}

// Option changes a mesh's defaults.
type Option func(*Mesh)

// WithTLS makes all sessions use mutual TLS; see LoadTLS.
func WithTLS(config *tls.Config) Option { return func(m *Mesh) { m.tls = config } }

// WithTiming replaces DefaultTiming.
func WithTiming(t Timing) Option { return func(m *Mesh) { m.timing = t } }

// WithVars sets the map in which messages, bytes and sessions are counted.
func WithVars(vars *expvar.Map) Option { return func(m *Mesh) { m.vars = vars } }

// WithErrorHandler sets the function that receives errors of sessions and dials.
func WithErrorHandler(report func(error)) Option { return func(m *Mesh) { m.reportError = report } }

// New returns a mesh that passes received messages and changes of peer links to deliver, which must not block. resolve
// is called only by Send.
func New(self event.Self, codec *wire.Codec, resolve Resolve, deliver func(event.Event), opts ...Option) *Mesh {
	m := &Mesh{
		self:        self,
		codec:       codec,
		resolve:     resolve,
		deliver:     deliver,
		tasks:       tasks.New(maxTasks),
		vars:        new(expvar.Map),
		reportError: func(error) {},
		timing:      DefaultTiming(),
		handshakes:  make(chan struct{}, maxHandshakes),
		peers:       map[id.Node]*peer{},
	}
	for _, o := range opts {
		o(m)
	}
	return m
}

// SetListener sets the listener on which Run accepts peers; the mesh closes it.
func (m *Mesh) SetListener(listener net.Listener) { m.listener = listener }

// Run accepts peers until the context ends; it returns after all sessions are closed.
func (m *Mesh) Run(ctx context.Context) error {
	if m.listener == nil {
		return errors.New("mesh: Run called without a listener")
	}
	stop := context.AfterFunc(ctx, func() { _ = m.listener.Close() })
	defer stop()
	defer m.tasks.Close()
	for {
		conn, err := m.listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return fmt.Errorf("mesh: %w", err)
			}
			// Errors such as a lack of file descriptors are temporary, so Run continues.
			m.reportError(fmt.Errorf("accept peer: %w", err))
			if !sleepWithJitter(ctx, m.timing.Backoff) {
				return nil
			}
			continue
		}
		m.handleConn(conn)
	}
}

// handleConn starts the handshake of an accepted connection. It closes the connection if too many handshakes are in
// progress.
func (m *Mesh) handleConn(conn net.Conn) {
	select {
	case m.handshakes <- struct{}{}:
	default:
		m.vars.Add("peer_refused", 1)
		_ = conn.Close()
		return
	}
	started := m.tasks.Go(func(ctx context.Context) {
		err := m.acceptPeer(ctx, conn)
		<-m.handshakes
		if err != nil {
			_ = conn.Close()
			m.vars.Add("peer_refused", 1)
			m.reportError(fmt.Errorf("accept peer at %s: %w", conn.RemoteAddr(), err))
		}
	})
	if !started {
		<-m.handshakes
		_ = conn.Close()
	}
}

func (m *Mesh) acceptPeer(ctx context.Context, conn net.Conn) error {
	if m.tls != nil {
		conn = tls.Server(conn, m.tls.Clone())
	}
	return m.establish(ctx, conn, "")
}

// Send encodes a message, with the sender's configuration revision and version of the domain records, and queues it for its
// receiver without blocking. A message that cannot be queued is dropped and counted; senders repeat messages that must
// arrive.
func (m *Mesh) Send(s event.Send, revision id.Revision, domains uint64) {
	if s.To == m.self.Node {
		m.countDrop("self")
		return
	}
	if err := s.Body.Check(); err != nil {
		m.countDrop("check") // a receiver would end the session
		m.reportError(fmt.Errorf("message %T to %s: %w", s.Body, s.To, err))
		return
	}
	raw, err := m.codec.Encode(wire.Envelope{
		From: m.self.Node, Incarnation: m.self.Incarnation, Revision: revision, Domains: domains,
	}, s.Body)
	if err != nil {
		m.countDrop("encode")
		m.reportError(fmt.Errorf("encode message to %s: %w", s.To, err))
		return
	}
	p := m.getPeer(s.To)
	if addr, ok := m.resolve(s.To); ok {
		p.setAddr(addr)
	}
	select {
	case p.queues[streamKindFor(raw, bulkThreshold)] <- message{raw: frame(raw), queuedAt: time.Now()}:
	default:
		m.countDrop("full")
	}
	m.dial(p)
}

// Reconnect closes the session with a peer from which no messages arrive; the next message to it opens a new session.
func (m *Mesh) Reconnect(name id.Node) {
	m.mu.Lock()
	var s *session
	if p, ok := m.peers[name]; ok {
		s = p.session
	}
	m.mu.Unlock()
	if s != nil {
		m.vars.Add("peer_relinked", 1)
		s.stop()
	}
}

func (m *Mesh) countDrop(reason string) {
	m.vars.Add("peer_dropped", 1)
	m.vars.Add("peer_dropped_"+reason, 1)
}

// Flush waits until all messages queued for connected peers are written, or until the context ends.
func (m *Mesh) Flush(ctx context.Context) {
	for m.pending() > 0 && sleepWithJitter(ctx, time.Millisecond) {
		continue
	}
}

// pending returns the number of messages for connected peers that are queued or being written.
func (m *Mesh) pending() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	var count int64
	for _, p := range m.peers {
		if p.session != nil {
			count += int64(len(p.queues[controlStream])+len(p.queues[bulkStream])) + p.writing.Load()
		}
	}
	return count
}

// SessionCount returns the number of peers with a session.
func (m *Mesh) SessionCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, p := range m.peers {
		if p.session != nil {
			count++
		}
	}
	return count
}

// getPeer returns the peer of that name, creating it if necessary, and renews its lastSend.
func (m *Mesh) getPeer(name id.Node) *peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[name]
	if !ok {
		m.removeIdlePeers()
		p = &peer{name: name}
		p.queues[controlStream] = make(chan message, controlQueueSize)
		p.queues[bulkStream] = make(chan message, bulkQueueSize)
		m.peers[name] = p
	}
	p.lastSend = time.Now()
	return p
}

// removeIdlePeers removes peers without a session to which nothing was sent for Timing.Idle, so that replaced VMs and
// made-up names do not accumulate in memory. The caller holds m.mu.
func (m *Mesh) removeIdlePeers() {
	for name, p := range m.peers {
		if p.session == nil && !p.dialing && time.Since(p.lastSend) > m.timing.Idle {
			delete(m.peers, name)
		}
	}
}
