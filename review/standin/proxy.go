package main

import (
	"net"
	"sync"
	"time"
)

// proxy passes channels on to an address. It can make channels silent for good: they stay open, but nothing passes any more.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	pairs map[*pair]bool
}

// pair is one channel through the proxy.
type pair struct {
	a, b   net.Conn
	silent chan struct{}
	once   sync.Once

	mu   sync.Mutex
	last time.Time // when bytes last passed
}

func newProxy(target string) *proxy {
	p := &proxy{listener: listen("127.0.0.1:0"), target: target, pairs: map[*pair]bool{}}
	go p.accept()
	return p
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		a, err := p.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			b, err := net.Dial("tcp", p.target)
			if err != nil {
				_ = a.Close()
				return
			}
			x := &pair{a: a, b: b, silent: make(chan struct{}), last: time.Now()}
			p.mu.Lock()
			p.pairs[x] = true
			p.mu.Unlock()
			done := make(chan struct{}, 2)
			go x.copy(a, b, done)
			go x.copy(b, a, done)
			<-done
			_ = a.Close()
			_ = b.Close()
			<-done
			p.mu.Lock()
			delete(p.pairs, x)
			p.mu.Unlock()
		}()
	}
}

// copy passes bytes on until the channel ends. On a silent channel it reads and drops them.
func (x *pair) copy(dst, src net.Conn, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		select {
		case <-x.silent:
			if err != nil {
				return
			}
			continue
		default:
		}
		if n > 0 {
			x.mu.Lock()
			x.last = time.Now()
			x.mu.Unlock()
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// silence makes the channels silent that have carried nothing for at least idle, and returns how many there are of all.
func (p *proxy) silence(idle time.Duration) (silenced, open int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for x := range p.pairs {
		open++
		x.mu.Lock()
		quiet := time.Since(x.last) >= idle
		x.mu.Unlock()
		if quiet {
			silenced++
			x.once.Do(func() { close(x.silent) })
		}
	}
	return silenced, open
}

// cutIdle closes each channel that has carried nothing for a time, until stop is closed.
func (p *proxy) cutIdle(idle time.Duration, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		p.mu.Lock()
		for x := range p.pairs {
			x.mu.Lock()
			quiet := time.Since(x.last) >= idle
			x.mu.Unlock()
			if quiet {
				_ = x.a.Close()
				_ = x.b.Close()
			}
		}
		p.mu.Unlock()
	}
}
