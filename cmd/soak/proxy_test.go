package soak_test

import (
	"io"
	"net"
	"slices"
	"sync"
	"time"
)

// mode is how a proxy treats connections.
type mode int

const (
	// passThrough forwards bytes in both directions.
	passThrough mode = iota
	// blackhole discards bytes in both directions. Connections that are open in this mode are closed at the change to
	// passThrough, so that nothing arrives late.
	blackhole
	// reset closes connections at once.
	reset
	// oneWay discards the bytes from the server to the client.
	oneWay
	// delayed forwards bytes after proxyDelay.
	delayed
)

// proxyDelay is the delay of the bytes that a proxy forwards in mode delayed.
const proxyDelay = 80 * time.Millisecond

// proxy is a TCP proxy on loopback that injects network faults.
type proxy struct {
	listener net.Listener
	target   func() string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
	group sync.WaitGroup
}

// newProxy starts a proxy that connects to the address that target returns at each connection.
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

// set changes the mode.
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

// track adds a connection, or closes it and returns false if the mode is reset.
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
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.track(client) {
			p.group.Go(func() { p.relay(client) })
		}
	}
}

func (p *proxy) relay(client net.Conn) {
	defer p.untrack(client)
	server, err := net.DialTimeout("tcp", p.target(), time.Second)
	if err != nil || !p.track(server) {
		return
	}
	defer p.untrack(server)
	var group sync.WaitGroup
	group.Go(func() { p.copyBytes(server, client, blackhole, blackhole) })
	group.Go(func() { p.copyBytes(client, server, blackhole, oneWay) })
	group.Wait()
}

// copyBytes forwards bytes in one direction until either connection ends. If a read returns in one of discardModes, it
// discards these and all further bytes.
func (p *proxy) copyBytes(to, from net.Conn, discardModes ...mode) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		current := p.currentMode()
		if slices.Contains(discardModes, current) {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if current == delayed {
			time.Sleep(proxyDelay)
		}
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
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
