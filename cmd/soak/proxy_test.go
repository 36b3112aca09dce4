package soak_test

import (
	"io"
	"net"
	"slices"
	"sync"
	"time"
)

// mode is what a proxy does with connections.
type mode int

const (
	passThrough mode = iota
	// blackhole carries nothing; what was open is closed when the proxy passes again, so that nothing arrives late.
	blackhole
	// reset ends connections at once.
	reset
	// oneWay carries nothing back to the side that connects.
	oneWay
	// delayed carries everything late.
	delayed
)

// proxyDelay is how late a slow proxy carries what it reads.
const proxyDelay = 80 * time.Millisecond

// proxy stands between a process and a server on loopback.
type proxy struct {
	listener net.Listener
	target   func() string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
	group sync.WaitGroup
}

// newProxy starts a proxy to whatever address target returns.
func newProxy(target func() string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: map[net.Conn]bool{}}
	p.group.Go(p.accept)
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

// set changes what the proxy does.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m == reset || (m == passThrough && (p.mode == blackhole || p.mode == oneWay)) {
		p.closeAll()
	}
	p.mode = m
}

func (p *proxy) closeAll() {
	for c := range p.conns {
		_ = c.Close()
	}
	clear(p.conns)
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// track notes a connection; it reports false if it was closed instead.
func (p *proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == reset {
		_ = c.Close()
		return false
	}
	p.conns[c] = true
	return true
}

func (p *proxy) untrack(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = c.Close()
	delete(p.conns, c)
}

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.track(near) {
			p.group.Go(func() { p.relay(near) })
		}
	}
}

func (p *proxy) relay(near net.Conn) {
	defer p.untrack(near)
	far, err := net.DialTimeout("tcp", p.target(), time.Second)
	if err != nil || !p.track(far) {
		return
	}
	defer p.untrack(far)
	var both sync.WaitGroup
	both.Go(func() { p.copyBytes(far, near, blackhole, blackhole) })
	both.Go(func() { p.copyBytes(near, far, blackhole, oneWay) })
	both.Wait()
}

// copyBytes carries bytes in one direction until one side ends; in some modes it drops them.
func (p *proxy) copyBytes(to, from net.Conn, drops ...mode) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		present := p.currentMode()
		if slices.Contains(drops, present) {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if present == delayed {
			time.Sleep(proxyDelay)
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(reset)
	p.group.Wait()
}
