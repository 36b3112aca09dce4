package mesh

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"bluebellflow/core/id"
	"bluebellflow/core/typename"
	"bluebellflow/core/wire"
)

// session is a connection to a peer, with a control and a bulk stream in each direction.
type session struct {
	mesh      *Mesh
	conn      net.Conn
	mux       *yamux.Session
	remote    hello // first frame received from the peer
	dialed    bool  // by this node
	startedAt time.Time
	peer      *peer // nil if the session was not adopted

	stopOnce   sync.Once
	stopping   chan struct{} // closed by stop
	retireOnce sync.Once
	retired    chan struct{} // closed by retire
}

// dialer returns the node that dialed the session.
func (s *session) dialer() id.Node {
	if s.dialed {
		return s.mesh.self.Node
	}
	return s.remote.Node
}

// stop makes the session end.
func (s *session) stop() { s.stopOnce.Do(func() { close(s.stopping) }) }

// retire stops writing and ends the session after a delay, so that messages in transit can still arrive.
func (s *session) retire(delay time.Duration) {
	s.retireOnce.Do(func() { close(s.retired) })
	started := s.mesh.tasks.Go(func(ctx context.Context) {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-s.stopping:
		case <-timer.C:
		}
		s.stop()
	})
	if !started {
		s.stop()
	}
}

// establish performs the handshake on a new connection and starts its session. want is the dialed peer, empty for an
// accepted connection.
func (m *Mesh) establish(ctx context.Context, conn net.Conn, want id.Node) error {
	deadline := time.Now().Add(m.timing.Dial)
	if err := conn.SetDeadline(deadline); err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if tlsConn, ok := conn.(*tls.Conn); ok {
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			return fmt.Errorf("TLS: %w", err)
		}
	}
	mux, err := m.newMux(conn, want != "")
	if err != nil {
		return err
	}
	s := &session{mesh: m, conn: conn, mux: mux, dialed: want != "", startedAt: time.Now(), stopping: make(chan struct{}), retired: make(chan struct{})}
	if err := s.handshake(deadline, want); err != nil {
		_ = mux.Close()
		return err
	}
	return nil
}

func (m *Mesh) newMux(conn net.Conn, dialed bool) (*yamux.Session, error) {
	config := yamux.DefaultConfig()
	config.AcceptBacklog = int(streamKindCount)
	config.KeepAliveInterval = m.timing.KeepAlive
	config.ConnectionWriteTimeout = m.timing.Write
	config.StreamOpenTimeout = m.timing.Write
	config.StreamCloseTimeout = m.timing.Write
	config.LogOutput = nil
	config.Logger = log.New(io.Discard, "", 0)
	if dialed {
		return yamux.Client(conn, config)
	}
	return yamux.Server(conn, config)
}

// handshake opens this node's streams, reads the hello of the peer's first stream and starts the session's goroutines.
func (s *session) handshake(deadline time.Time, want id.Node) error {
	var out [streamKindCount]net.Conn
	for kind := range streamKindCount {
		stream, err := s.openStream(kind, deadline)
		if err != nil {
			return err
		}
		out[kind] = stream
	}
	in, h, err := s.acceptStream(deadline)
	if err != nil {
		return err
	}
	s.remote = h
	if err := s.checkPeer(want); err != nil {
		return err
	}
	if err := s.conn.SetDeadline(time.Time{}); err != nil {
		return err
	}
	kept := s.mesh.adopt(s)
	if err := s.serve(out, in); err != nil {
		return err
	}
	if !kept {
		// The peer may have sent messages over this session before it adopted the other one.
		s.retire(s.mesh.timing.Retire)
	}
	return nil
}

func (s *session) openStream(kind streamKind, deadline time.Time) (net.Conn, error) {
	stream, err := s.mux.Open()
	if err != nil {
		return nil, fmt.Errorf("open stream: %w", err)
	}
	first, err := encodeHello(hello{Node: s.mesh.self.Node, Incarnation: s.mesh.self.Incarnation, StreamKind: uint32(kind)})
	if err != nil {
		return nil, err
	}
	if err := stream.SetWriteDeadline(deadline); err != nil {
		return nil, err
	}
	if _, err := stream.Write(first); err != nil {
		return nil, fmt.Errorf("write hello: %w", err)
	}
	return stream, nil
}

func (s *session) acceptStream(deadline time.Time) (net.Conn, hello, error) {
	stream, err := s.mux.Accept()
	if err != nil {
		return nil, hello{}, fmt.Errorf("accept stream: %w", err)
	}
	if err := stream.SetReadDeadline(deadline); err != nil {
		return nil, hello{}, err
	}
	raw, err := readFrame(stream, maxHelloBytes)
	if err != nil {
		return nil, hello{}, fmt.Errorf("read hello: %w", err)
	}
	h, err := decodeHello(raw)
	if err != nil {
		return nil, hello{}, err
	}
	return stream, h, stream.SetReadDeadline(time.Time{})
}

// checkPeer returns an error if the peer is not the dialed one, uses this node's name, or has a certificate for another
// node.
func (s *session) checkPeer(want id.Node) error {
	if want != "" && s.remote.Node != want {
		return fmt.Errorf("dialed %s but reached %s", want, s.remote.Node)
	}
	if s.remote.Node == s.mesh.self.Node {
		return fmt.Errorf("peer claims the name %s of this node", s.remote.Node)
	}
	tlsConn, ok := s.conn.(*tls.Conn)
	if !ok {
		return nil
	}
	chain := tlsConn.ConnectionState().PeerCertificates
	if len(chain) == 0 {
		return errors.New("peer sent no certificate")
	}
	if err := chain[0].VerifyHostname(string(s.remote.Node)); err != nil {
		return fmt.Errorf("peer %s: %w", s.remote.Node, err)
	}
	return nil
}

// serve starts the session's goroutines. The session ends when the first of them returns.
func (s *session) serve(out [streamKindCount]net.Conn, in net.Conn) error {
	jobs := []func() error{
		func() error { return s.read(in) },
		func() error { return s.acceptSecondStream() },
	}
	for kind := range streamKindCount {
		if s.peer != nil {
			jobs = append(jobs, func() error { return s.write(out[kind], s.peer, kind) })
		}
	}
	var running sync.WaitGroup
	running.Add(len(jobs))
	for _, job := range jobs {
		started := s.mesh.tasks.Go(func(context.Context) {
			defer running.Done()
			if err := job(); err != nil {
				s.reportError(err)
			}
			s.stop()
		})
		if !started {
			running.Done()
			s.stop()
		}
	}
	started := s.mesh.tasks.Go(func(ctx context.Context) {
		select {
		case <-ctx.Done():
		case <-s.stopping:
		case <-s.mux.CloseChan():
		}
		s.stop()
		_ = s.mux.Close()
		running.Wait()
		s.mesh.sessionEnded(s)
	})
	if !started {
		s.stop()
		_ = s.mux.Close()
		s.mesh.sessionEnded(s)
		return errors.New("too many sessions, or the mesh is closing")
	}
	return nil
}

// reportError reports the error that ends a session, unless the session was stopped locally or closed by the peer.
func (s *session) reportError(err error) {
	select {
	case <-s.stopping:
		return
	default:
	}
	if errors.Is(err, io.EOF) || errors.Is(err, yamux.ErrSessionShutdown) {
		return
	}
	s.mesh.vars.Add("peer_sessions_failed", 1)
	s.mesh.reportError(fmt.Errorf("session with %s: %w", s.remote.Node, err))
}

// acceptSecondStream reads from the peer's second stream and returns an error if the peer opens a third one.
func (s *session) acceptSecondStream() error {
	stream, h, err := s.acceptStream(time.Now().Add(s.mesh.timing.Dial))
	if err != nil {
		return err
	}
	if h.Node != s.remote.Node || h.Incarnation != s.remote.Incarnation || h.StreamKind == s.remote.StreamKind {
		return fmt.Errorf("second stream from %s of kind %d does not match the first", h.Node, h.StreamKind)
	}
	started := s.mesh.tasks.Go(func(context.Context) {
		s.reportError(s.read(stream))
		s.stop()
	})
	if !started {
		return errors.New("too many sessions, or the mesh is closing")
	}
	if _, err := s.mux.Accept(); err != nil {
		return err
	}
	return errors.New("peer opened a third stream")
}

// read delivers the messages of one stream. A malformed message ends the session; one of an unknown kind is skipped.
func (s *session) read(stream io.Reader) error {
	for {
		raw, err := readFrame(stream, wire.MaxMessage)
		if err != nil {
			return err
		}
		ev, err := s.mesh.codec.Decode(raw)
		if errors.Is(err, wire.ErrUnknownKind) {
			s.mesh.vars.Add("peer_messages_unknown", 1)
			continue
		}
		if err != nil {
			return err
		}
		if ev.From != s.remote.Node || ev.Incarnation != s.remote.Incarnation {
			return fmt.Errorf("message from %s in the session of %s", ev.From, s.remote.Node)
		}
		s.mesh.vars.Add("peer_messages_received", 1)
		s.mesh.vars.Add("peer_bytes_received", int64(prefixSize+len(raw)))
		s.mesh.vars.Add("peer_bytes_received_"+typename.Of(ev.Body), int64(prefixSize+len(raw)))
		s.mesh.deliver(ev)
	}
}

// write writes the peer's queued messages of one kind to a stream until the session ends or is retired.
func (s *session) write(stream net.Conn, p *peer, kind streamKind) error {
	for {
		select {
		case <-s.stopping:
			return nil
		case <-s.retired:
			<-s.stopping
			return nil
		case msg := <-p.queues[kind]:
			p.writing.Add(1)
			err := s.writeMessage(stream, msg)
			p.writing.Add(-1)
			if err != nil {
				return err
			}
		}
	}
}

// writeMessage writes a message. It drops messages that were queued for too long, because an old heartbeat would make a
// failed node look alive.
func (s *session) writeMessage(stream net.Conn, msg message) error {
	if time.Since(msg.queuedAt) > s.mesh.timing.MaxQueueTime {
		s.mesh.countDrop("stale")
		return nil
	}
	if err := stream.SetWriteDeadline(time.Now().Add(s.mesh.timing.Write)); err != nil {
		return err
	}
	if _, err := stream.Write(msg.raw); err != nil {
		s.mesh.countDrop("write")
		return err
	}
	s.mesh.vars.Add("peer_messages_sent", 1)
	s.mesh.vars.Add("peer_bytes_sent", int64(len(msg.raw)))
	return nil
}
