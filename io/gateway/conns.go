package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// idleCheckInterval is how often unused connections of callers are looked at.
const idleCheckInterval = time.Second

// idleConns knows which connections of callers are unused, and since when.
type idleConns struct {
	mu      sync.Mutex
	since   map[net.Conn]time.Time
	timeout time.Duration
}

func newIdleConns() *idleConns { return &idleConns{since: map[net.Conn]time.Time{}} }

// setTimeout sets how long a connection may stay unused, 0 for any time.
func (c *idleConns) setTimeout(limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timeout = limit
}

// trackState follows a connection, as a hook of http.Server.
func (c *idleConns) trackState(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s != http.StateIdle {
		delete(c.since, conn)
		return
	}
	c.since[conn] = time.Now()
}

// run closes the connections that have been unused for too long until the context ends.
func (c *idleConns) run(ctx context.Context) error {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			c.closeExpired(now)
		}
	}
}

func (c *idleConns) closeExpired(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.since {
		if c.timeout > 0 && now.Sub(since) > c.timeout {
			delete(c.since, conn)
			_ = conn.Close()
		}
	}
}
