package upstream

import (
	"context"
	"errors"
	"net/netip"
	"syscall"
	"time"
)

// probeTimeout bounds Refuses. A server that runs accepts a connection in about 1 ms.
const probeTimeout = 50 * time.Millisecond

// Refuses reports whether a server refuses connections, which means that its process has ended.
func (c *Client) Refuses(ctx context.Context, addr netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := c.dialer.DialContext(ctx, "tcp", addr.String())
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
