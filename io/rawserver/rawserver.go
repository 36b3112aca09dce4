package rawserver

import (
	"net"
	"net/netip"
	"sync/atomic"
)

// Server accepts connections on a loopback address.
type Server struct {
	listener net.Listener
	conns    atomic.Int64
}

// Start starts a server that passes each connection to serve, in a goroutine of its own, and closes it afterwards. It returns
// an error if no port can be opened.
func Start(serve func(net.Conn)) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: listener}
	go s.accept(serve)
	return s, nil
}

func (s *Server) accept(serve func(net.Conn)) {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return // closed
		}
		s.conns.Add(1)
		go func() {
			defer func() { _ = conn.Close() }()
			serve(conn)
		}()
	}
}

// Addr returns the address of the server.
func (s *Server) Addr() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

// Conns returns the number of connections that were accepted.
func (s *Server) Conns() int64 { return s.conns.Load() }

// Close stops accepting connections; open ones stay open until serve returns.
func (s *Server) Close() error { return s.listener.Close() }
