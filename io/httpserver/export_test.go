package httpserver

import "net"

// WrapConns makes a server that does not serve yet use wrappers of the connections that it accepts.
func (s *Server) WrapConns(wrap func(net.Conn) net.Conn) {
	s.listener = wrappingListener{s.listener, wrap}
}

type wrappingListener struct {
	connListener
	wrap func(net.Conn) net.Conn
}

// Accept returns a wrapper of the next connection.
func (l wrappingListener) Accept() (net.Conn, error) {
	conn, err := l.connListener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(conn), nil
}
