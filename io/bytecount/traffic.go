package bytecount

import (
	"context"
	"net"
)

// DialFunc opens connections, as net.Dialer.DialContext does.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// WrapDial returns a dialer whose connections report every byte read or written to add, headers included.
func WrapDial(dial DialFunc, add func(bytes int64)) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		opened, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: opened, add: add}, nil
	}
}

type conn struct {
	net.Conn
	add func(int64)
}

// Read counts what arrives.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.add(int64(n))
	return n, err
}

// Write counts what is sent.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.add(int64(n))
	return n, err
}
