package upstream

import (
	"context"
	"net/netip"
	"time"

	"bluebellflow/core/connlimit"
)

// getIdle returns an idle connection that can be reused for a request, or nil. For an at-most-once request it accepts only a
// connection that was idle for less than connlimit.MaxIdleAtMostOnce.
func (c *Client) getIdle(addr netip.AddrPort, req *Request) *conn {
	for {
		cn := c.popIdle(addr)
		if cn == nil {
			return nil
		}
		cn.idleTimer.Stop()
		age := time.Since(cn.idleSince)
		if age < cn.idleTimeout && (!req.AtMostOnce || age < connlimit.MaxIdleAtMostOnce) && !cn.hasSent(req.ID) && cn.reusable() {
			c.vars.Add("upstream_reused", 1)
			return cn
		}
		_ = cn.Close()
		c.release(addr)
		if req.AtMostOnce {
			return nil // the others have been idle for longer
		}
	}
}

// popIdle takes the most recently used idle connection to a server into use, or returns nil.
func (c *Client) popIdle(addr netip.AddrPort) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idleConns[addr]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	c.setIdle(addr, list[:len(list)-1])
	c.inUse[addr]++
	return cn
}

func (c *Client) setIdle(addr netip.AddrPort, list []*conn) {
	if len(list) == 0 {
		delete(c.idleConns, addr)
		return
	}
	c.idleConns[addr] = list
}

// release counts a connection as no longer in use.
func (c *Client) release(addr netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseLocked(addr)
}

func (c *Client) releaseLocked(addr netip.AddrPort) {
	if c.inUse[addr]--; c.inUse[addr] == 0 {
		delete(c.inUse, addr)
	}
}

// putIdle keeps a connection for reuse, or closes it if the client is closed or has as many of them as it may.
func (c *Client) putIdle(cn *conn, limit connlimit.Limit) {
	cn.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseLocked(cn.addr)
	most := limit.MaxIdle(c.inUse[cn.addr], maxIdleConns)
	if most < maxIdleConns {
		c.closeOldestIdle(cn.addr, len(c.idleConns[cn.addr])+1-most)
	}
	if c.closed || len(c.idleConns[cn.addr]) >= most {
		_ = cn.Close()
		return
	}
	cn.idleTimer = time.AfterFunc(cn.idleTimeout, func() { c.closeExpired(cn) })
	c.idleConns[cn.addr] = append(c.idleConns[cn.addr], cn)
}

// closeOldestIdle closes up to n idle connections to a server, those first that have been idle for longest.
func (c *Client) closeOldestIdle(addr netip.AddrPort, n int) {
	list := c.idleConns[addr]
	n = min(max(0, n), len(list))
	for _, cn := range list[:n] {
		cn.idleTimer.Stop()
		_ = cn.Close()
		c.vars.Add("upstream_closed_for_limit", 1)
	}
	c.setIdle(addr, list[n:])
}

// closeExpired closes a connection if it is still idle.
func (c *Client) closeExpired(cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idleConns[cn.addr]
	for i, other := range list {
		if other == cn {
			c.setIdle(cn.addr, append(list[:i:i], list[i+1:]...))
			_ = cn.Close()
			return
		}
	}
}

// dial opens a connection, and closes idle ones before if they would exceed the limit together with it.
func (c *Client) dial(ctx context.Context, addr netip.AddrPort, limit connlimit.Limit) (*conn, error) {
	c.mu.Lock()
	c.closeOldestIdle(addr, limit.ExcessIdle(c.inUse[addr], len(c.idleConns[addr])))
	c.inUse[addr]++
	c.mu.Unlock()
	c.vars.Add("upstream_dialed", 1)
	began := time.Now()
	raw, err := c.dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		c.release(addr)
		c.vars.Add("upstream_dial_failed", 1)
		return nil, err
	}
	cn := newConn(raw, addr)
	cn.opening = time.Since(began)
	return cn, nil
}
