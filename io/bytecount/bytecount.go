package bytecount

import (
	"context"
	"net"
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// WrapDial returns a dialer whose connections call add with the size of each read and write, HTTP headers included.
func WrapDial(dial DialFunc, add func(bytes int64)) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		raw, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: raw, add: add}, nil
	}
}

// conn reports the size of each read and write to add.
type conn struct {
	net.Conn
	add func(int64)
}

// Read reads from the connection and counts the bytes.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.add(int64(n))
	return n, err
}
