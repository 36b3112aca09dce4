package main

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// request is what a consumer sends.
type request struct {
	route, method, path, key, body string
	headers                        [][2]string
	limit                          time.Duration
	leave                          time.Duration // after which the consumer closes its sending side, 0 for never
}

var lastName atomic.Uint64

// consumer sends one request after the other over a channel that it keeps.
type consumer struct {
	world *world
	name  string
	zone  string
	conn  net.Conn
	br    *bufio.Reader
	to    *gateway
	used  int
}

// connect opens a channel to a machine in rotation, chosen by a hash of the consumer.
func (c *consumer) connect(only *gateway) bool {
	if c.conn != nil {
		return true
	}
	g := only
	if g == nil {
		list := c.world.rotation(c.zone)
		if len(list) == 0 {
			return false
		}
		h := fnv.New32a()
		_, _ = io.WriteString(h, c.name)
		g = list[int(h.Sum32())%len(list)]
	}
	conn, err := net.DialTimeout("tcp", g.caller, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.br, c.to, c.used = conn, bufio.NewReader(conn), g, 0
	return true
}

func (c *consumer) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// do sends a request and reads its answer.
func (c *consumer) do(only *gateway, r request) *sent {
	if !c.connect(only) {
		time.Sleep(100 * time.Millisecond)
		return nil
	}
	s := &sent{name: fmt.Sprintf("%016x", lastName.Add(1)), route: r.route, key: r.key, body: r.body, gateway: c.to, kept: c.used > 0}
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", r.method, r.path, host, s.name, r.limit.Milliseconds())
	if r.key != "" {
		_, _ = fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", r.key)
	}
	for _, h := range r.headers {
		_, _ = fmt.Fprintf(&b, "%s: %s\r\n", h[0], h[1])
	}
	if r.method == http.MethodPost {
		_, _ = fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n" + r.body)
	c.world.rec.send(s)
	c.used++
	_ = c.conn.SetDeadline(time.Now().Add(r.limit + 500*time.Millisecond))
	if _, err := c.conn.Write(b.Bytes()); err != nil {
		c.world.rec.lost(s, false, err)
		c.drop()
		return s
	}
	if r.leave > 0 {
		conn := c.conn.(*net.TCPConn)
		leaving := time.AfterFunc(r.leave, func() {
			c.world.rec.log("%s leaves: its consumer closes its sending side", s.name)
			_ = conn.CloseWrite()
		})
		defer leaving.Stop()
		defer c.drop()
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: r.method})
	if err != nil {
		c.world.rec.lost(s, false, err)
		c.drop()
		return s
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.world.rec.lost(s, true, err)
		c.drop()
		return s
	}
	c.world.rec.answer(s, resp.StatusCode, resp.Header.Get("Response-Seal"), bytes.Count(body, []byte("id: ")))
	if resp.Close || resp.StatusCode >= http.StatusInternalServerError {
		c.drop()
	}
	return s
}

// loop sends requests until the world ends, with a pause between them.
func (c *consumer) loop(pause time.Duration, next func() request) {
	for !c.world.ended() {
		c.do(nil, next())
		time.Sleep(pause)
	}
	c.drop()
}
