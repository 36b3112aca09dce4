package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is one attempt of a client.
type request struct {
	id, method, path, key, body string
	headers                     []string // "Name: value"
	limit                       time.Duration
}

// answer is what a client gets.
type answer struct {
	status     int // 0 for none
	retryAfter string
	sealed     bool
	body       string
	complete   bool
	err        error
}

const host = "api.example"

// send sends a request on a new connection and reads its answer.
func send(addr string, r request) answer {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(r.limit))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", r.method, r.path, host, r.id, r.limit.Milliseconds(), r.key)
	for _, h := range r.headers {
		b.WriteString(h + "\r\n")
	}
	if r.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n" + r.body)
	if _, err := conn.Write([]byte(b.String())); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(conn), r.method)
}

func readAnswer(br *bufio.Reader, method string) answer {
	resp, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	a := answer{status: resp.StatusCode, retryAfter: resp.Header.Get("Retry-After"), sealed: resp.Header.Get("Response-Seal") != ""}
	var body strings.Builder
	buf := make([]byte, 4096)
	for {
		n, err := resp.Body.Read(buf)
		body.Write(buf[:n])
		if err != nil {
			a.complete = err.Error() == "EOF"
			if !a.complete {
				a.err = err
			}
			break
		}
	}
	a.body = body.String()
	return a
}
