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
	// maxTasks bounds the goroutines of all sessions and dials; a session needs six.
	maxTasks = 16384
	// maxHandshakes bounds the connections that have not yet named their peer.
	maxHandshakes = 256
	// controlQueueSize and bulkQueue bound the messages that wait for one peer.
	controlQueueSize = 1024
	bulkQueueSize    = 64
	// bulkThreshold is the size in bytes above which a message goes over the bulk stream.
	bulkThreshold = 16 << 10
)

// Resolve finds the address of a node.
type Resolve func(id.Node) (netip.AddrPort, bool)

// Mesh holds the sessions to all peers of one node.
type Mesh struct {
	self    event.Self
	codec   *wire.Codec
	resolve Resolve
	deliver func(event.Event)
	tls     *tls.Config
	tasks   *tasks.Group
	vars    *expvar.Map
	report  func(error)
	timing  Timing

	listener   net.Listener
	handshakes chan struct{}

	mu    sync.Mutex
	peers map[id.Node]*peer
}

// Timing are the waits of the mesh.
type Timing struct {
	Dial         time.Duration // for one dial and for naming each other
	Write        time.Duration // for one write; a peer that does not read is cut off
	KeepAlive    time.Duration // between two yamux pings
	MaxQueueTime time.Duration // a message that waited longer is dropped instead of sent
	Backoff      time.Duration // first pause after a failed dial; doubles up to 32 times that
	Idle         time.Duration // a peer without session to which nothing was sent this long is not dialed again
	Retire       time.Duration // a session that lost against a second one of the same pair is closed after this time
}

// DefaultTiming fit nodes that are at most a few milliseconds apart.
func DefaultTiming() Timing {
	return Timing{
		Dial: time.Second, Write: 5 * time.Second, KeepAlive: 5 * time.Second, MaxQueueTime: time.Second,
		Backoff: 50 * time.Millisecond, Idle: 10 * time.Second, Retire: time.Second,
	}
}

// LowLatencyTiming fit nodes that depend on each other's answers within a second.
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

// WithTiming replaces the waits.
func WithTiming(t Timing) Option { return func(m *Mesh) { m.timing = t } }

// WithVars counts messages, bytes and sessions in the given map.
func WithVars(vars *expvar.Map) Option { return func(m *Mesh) { m.vars = vars } }

// WithReport passes on errors of sessions and dials.
func WithReport(report func(error)) Option { return func(m *Mesh) { m.report = report } }

// New returns a mesh; messages and links go to deliver, which must not block. resolve is called only by Send.
func New(self event.Self, codec *wire.Codec, resolve Resolve, deliver func(event.Event), opts ...Option) *Mesh {
	m := &Mesh{
		self:       self,
		codec:      codec,
		resolve:    resolve,
		deliver:    deliver,
		tasks:      tasks.New(maxTasks),
		vars:       new(expvar.Map),
		report:     func(error) {},
		timing:     DefaultTiming(),
		handshakes: make(chan struct{}, maxHandshakes),
		peers:      map[id.Node]*peer{},
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
		return errors.New("mesh: Run without a listener")
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
			// Running out of file descriptors ends by itself; the mesh must not.
			m.report(fmt.Errorf("accept peer: %w", err))
			if !sleepJittered(ctx, m.timing.Backoff) {
				return nil
			}
			continue
		}
		m.handleConn(conn)
	}
}

// handleConn starts the handshake of a connection, or closes it if too many are unfinished.
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
			m.report(fmt.Errorf("peer at %s: %w", conn.RemoteAddr(), err))
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

// Send encodes a message and queues it for its receiver without blocking. A message that cannot be
// queued is dropped and counted: its sender repeats what matters.
func (m *Mesh) Send(s event.Send, revision id.Revision, domains uint64) {
	if s.To == m.self.Node {
		m.countDrop("self")
		return
	}
	raw, err := m.codec.Encode(wire.Envelope{
		From: m.self.Node, Incarnation: m.self.Incarnation, Revision: revision, Domains: domains,
	}, s.Body)
	if err != nil {
		m.countDrop("encode")
		m.report(fmt.Errorf("message to %s: %w", s.To, err))
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

// Reconnect ends the session with a peer, because nothing comes over it; the next message opens a new one.
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

func (m *Mesh) countDrop(why string) {
	m.vars.Add("peer_dropped", 1)
	m.vars.Add("peer_dropped_"+why, 1)
}

// Flush waits until what is queued for connected peers has been written, or until the context ends.
func (m *Mesh) Flush(ctx context.Context) {
	for m.pending() > 0 && sleepJittered(ctx, time.Millisecond) {
		continue
	}
}

// pending counts the messages that are queued for peers with a session or are being written.
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

// removeIdlePeers forgets peers that have no session and to which nothing was sent for a while, so that
// replaced VMs and invented names do not fill the memory. The caller holds the lock.
func (m *Mesh) removeIdlePeers() {
	for name, p := range m.peers {
		if p.session == nil && !p.dialing && time.Since(p.lastSend) > m.timing.Idle {
			delete(m.peers, name)
		}
	}
}
