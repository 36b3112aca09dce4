package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// idleCheckInterval is the time between two checks for idle caller connections.
const idleCheckInterval = time.Second

// idleConns tracks the idle connections of callers and closes those that exceed the timeout.
type idleConns struct {
	mu      sync.Mutex
	since   map[net.Conn]time.Time // when each idle connection became idle
	timeout time.Duration          // 0 for none
}

func newIdleConns() *idleConns { return &idleConns{since: map[net.Conn]time.Time{}} }

// setTimeout sets how long a connection may stay idle; 0 means without limit.
func (c *idleConns) setTimeout(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timeout = timeout
}

// trackState records a connection's state; it is the ConnState hook of an http.Server.
func (c *idleConns) trackState(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s != http.StateIdle {
		delete(c.since, conn)
		return
	}
	c.since[conn] = time.Now()
}

// run periodically closes connections that exceed the idle timeout, until the context ends.
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
