package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// sweepPeriod is how often unused connections of callers are looked at.
const sweepPeriod = time.Second

// conns knows which connections of callers are unused, and since when.
type conns struct {
	mu    sync.Mutex
	idle  map[net.Conn]time.Time
	limit time.Duration
}

func newConns() *conns { return &conns{idle: map[net.Conn]time.Time{}} }

// setIdle sets how long a connection may stay unused, 0 for any time.
func (c *conns) setIdle(limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit = limit
}

// state follows a connection, as a hook of http.Server.
func (c *conns) state(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s != http.StateIdle {
		delete(c.idle, conn)
		return
	}
	c.idle[conn] = time.Now()
}

// run closes the connections that have been unused for too long until the context ends.
func (c *conns) run(ctx context.Context) error {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			c.sweep(now)
		}
	}
}

func (c *conns) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idle {
		if c.limit > 0 && now.Sub(since) > c.limit {
			delete(c.idle, conn)
			_ = conn.Close()
		}
	}
}
