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

// conns tracks the connections of callers and closes those that are idle for longer than the timeout.
type conns struct {
	mu        sync.Mutex
	idleSince map[net.Conn]time.Time // when each idle connection became idle
	timeout   time.Duration          // 0 for none
	open      int                    // connections that are not closed
	onEmpty   func()                 // called when no connection is open, nil for none
}

func newConns() *conns { return &conns{idleSince: map[net.Conn]time.Time{}} }

// setTimeout sets how long a connection may stay idle; 0 means without limit.
func (c *conns) setTimeout(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timeout = timeout
}

// trackState records a connection's state; it is the ConnState hook of an http.Server.
func (c *conns) trackState(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.idleSince, conn)
	switch s {
	case http.StateNew:
		c.open++
	case http.StateIdle:
		c.idleSince[conn] = time.Now()
	case http.StateClosed:
		c.open--
		c.callIfEmpty()
	}
}

// notifyEmpty calls f when no connection is open, at once if there is none now. f must not block.
func (c *conns) notifyEmpty(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onEmpty = f
	c.callIfEmpty()
}

func (c *conns) callIfEmpty() {
	if c.open == 0 && c.onEmpty != nil {
		c.onEmpty()
		c.onEmpty = nil
	}
}

// run periodically closes connections that exceed the idle timeout, until the context ends.
func (c *conns) run(ctx context.Context) error {
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

func (c *conns) closeExpired(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idleSince {
		if c.timeout > 0 && now.Sub(since) > c.timeout {
			delete(c.idleSince, conn)
			_ = conn.Close()
		}
	}
}
