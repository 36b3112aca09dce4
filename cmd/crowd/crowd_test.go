package crowd_test

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/platform/standin"
)

const (
	// crowdSize is the number of connections of a crowd. It is lower than the limit on descriptors.
	crowdSize = 300
	// silentSize is the number of connections that send nothing. It is higher than the limit on descriptors.
	silentSize = 500
	// pipelineSize is the number of connections that pipeline requests, and pipelineDepth the requests on each.
	pipelineSize, pipelineDepth = 20, 2000
	// bodyBytes is the largest legal body, and sentBytes what a caller sends of it before it stops.
	bodyBytes, sentBytes = 1 << 20, 1_000_000
	// overBytes is what a caller sends of a body that is over the limit.
	overBytes = 4 << 20
	// headerBytes is the size of a header with many short parts; the limit of the configuration is 16,384.
	headerBytes = 12_000
	// sendTimeout is how long a caller tries to send, and holdTime how long the connections stay open afterwards.
	sendTimeout, holdTime = 3 * time.Second, time.Second
	// slowInterval is the time between two bytes of a slow caller.
	slowInterval = 50 * time.Millisecond
	// smallBuffer is the receive buffer of a caller that does not read, in bytes.
	smallBuffer = 4 << 10
)

// TestCrowds guards against callers that terminate or stall a process, or take more memory or descriptors than its VM has.
// The crowds run one after the other, also those of another run of this test.
func TestCrowds(t *testing.T) {
	g := NewWithT(t)
	lock, err := os.OpenFile(filepath.Join(os.TempDir(), "bluebellflow-crowd.lock"), os.O_CREATE|os.O_RDWR, 0o600)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = lock.Close() }()
	g.Expect(syscall.Flock(int(lock.Fd()), syscall.LOCK_EX)).To(Succeed())
	program := filepath.Join(t.TempDir(), "bluebellflow")
	out, err := exec.Command("go", "build", "-o", program, "bluebellflow/cmd/bluebellflow").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	for _, c := range []struct {
		name  string
		start func(*testing.T, string) *target
	}{{"gateway", startGateway}, {"serve", startServe}} {
		t.Run(c.name, func(t *testing.T) {
			target := c.start(t, program)
			for _, k := range kinds {
				for _, p := range target.paths {
					t.Run(k.name+"/"+p.name, func(t *testing.T) { runCrowd(t, target, k, p) })
				}
			}
		})
	}
}

// kind is a kind of callers outside the limits.
type kind struct {
	name  string
	conns int
	send  func(*caller)
}

var kinds = []kind{
	{"bodies in one piece", crowdSize, func(c *caller) { c.body(sentBytes, false) }},
	{"bodies in small pieces", crowdSize, func(c *caller) { c.body(1000, false) }},
	{"bodies in chunks", crowdSize, func(c *caller) { c.body(1000, true) }},
	{"bodies over the limit", crowdSize, func(c *caller) { c.tooLarge(false) }},
	{"chunks over the limit", crowdSize, func(c *caller) { c.tooLarge(true) }},
	{"header fields", crowdSize, func(c *caller) { c.unfinished(fields(headerBytes), "") }},
	{"query", crowdSize, func(c *caller) {
		c.query = "?" + strings.Repeat("a&", headerBytes/2)
		c.unfinished("", "")
	}},
	{"prompt parts", crowdSize, func(c *caller) {
		c.unfinished(standin.PromptHeader+": "+strings.Repeat("a:1,", headerBytes/4)+"b:1\r\n", "")
	}},
	{"JSON fields", crowdSize, func(c *caller) { c.unfinished("", "{"+strings.Repeat(`"a":1,`, sentBytes/6)) }},
	{"small chunks", crowdSize, func(c *caller) { c.chunks(strings.Repeat("1\r\nx\r\n", 20_000)) }},
	{"chunk extensions", crowdSize, func(c *caller) {
		c.chunks(strings.Repeat("1;a="+strings.Repeat("b", 1000)+"\r\nx\r\n", 200))
	}},
	{"trailers", crowdSize, func(c *caller) { c.chunks("1\r\nx\r\n0\r\n" + fields(headerBytes)) }},
	{"pipelined requests", pipelineSize, func(c *caller) {
		for range pipelineDepth {
			c.write(c.head() + c.complete())
		}
	}},
	{"slow headers", crowdSize, func(c *caller) { c.slowly(c.head()) }},
	{"slow bodies", crowdSize, func(c *caller) {
		c.unfinished("", strings.Repeat("x", sentBytes-1000))
		c.slowly(strings.Repeat("x", 1000))
	}},
	{"unread responses", crowdSize, func(c *caller) { c.write(c.head() + c.complete()) }},
	{"nothing sent", silentSize, func(*caller) {}},
}

// fields returns headers with short names, of n bytes together.
func fields(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "x%03x:\r\n", i)
	}
	return b.String()
}

// caller is one connection of a crowd. After an error it sends nothing more.
type caller struct {
	path
	index int
	query string
	conn  net.Conn
	err   error
}

func (c *caller) write(text string) {
	if c.err == nil {
		_, c.err = io.WriteString(c.conn, text)
	}
}

// slowly sends a text byte by byte.
func (c *caller) slowly(text string) {
	for i := 0; i < len(text) && c.err == nil; i++ {
		time.Sleep(slowInterval)
		c.write(text[i : i+1])
	}
}

// head returns the request line and the headers of a request without the empty line.
func (c *caller) head() string {
	return c.method + " " + c.target + c.query + " HTTP/1.1\r\nHost: " + c.host + "\r\n" + c.headers
}

// complete returns the rest of a request without a body.
func (c *caller) complete() string { return "Content-Length: 0\r\n\r\n" }

// unfinished sends headers, and a part of a body of the largest legal size.
func (c *caller) unfinished(headers, body string) {
	c.write(c.head() + headers + fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes))
	c.write(body)
}

// body sends a body in pieces and stops just before its end. One caller of ten sends the end, too.
func (c *caller) body(piece int, chunked bool) {
	length, format := fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes), "%s"
	if chunked {
		length, format = "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%%s\r\n", piece)
	}
	c.write(c.head() + length)
	text := fmt.Sprintf(format, strings.Repeat("x", piece))
	for sent := 0; sent < sentBytes; sent += piece {
		c.write(text)
	}
	switch {
	case c.index%10 > 0:
	case chunked:
		c.write("0\r\n\r\n")
	default:
		c.write(strings.Repeat("x", bodyBytes-sentBytes))
	}
}

// tooLarge sends a body that is over the limit.
func (c *caller) tooLarge(chunked bool) {
	if chunked {
		c.chunks(strings.Repeat("8000\r\n"+strings.Repeat("x", 0x8000)+"\r\n", overBytes/0x8000))
		return
	}
	c.write(c.head() + fmt.Sprintf("Content-Length: %d\r\n\r\n", 4*overBytes))
	c.write(strings.Repeat("x", overBytes))
}

// chunks sends a chunked body without its end.
func (c *caller) chunks(text string) {
	c.write(c.head() + "Transfer-Encoding: chunked\r\n\r\n")
	c.write(text)
}

// runCrowd sends a crowd to a process, and checks the process.
func runCrowd(t *testing.T, target *target, k kind, p path) {
	g := NewWithT(t)
	target.prepare(t)
	release := make(chan struct{})
	var sent, open sync.WaitGroup
	for i := range k.conns {
		sent.Add(1)
		open.Go(func() {
			conn, err := net.DialTimeout("tcp", p.addr, sendTimeout)
			if err != nil {
				sent.Done() // the process may refuse connections
				return
			}
			defer func() { _ = conn.Close() }()
			_ = conn.(*net.TCPConn).SetReadBuffer(smallBuffer)
			_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
			k.send(&caller{path: p, index: i, conn: conn})
			sent.Done()
			<-release
		})
	}
	descriptors := target.watchDescriptors()
	sent.Wait()
	time.Sleep(holdTime)
	peak, descriptorPeak := target.peakMemory(), descriptors()
	close(release)
	open.Wait()
	answered := target.awaitAnswer()
	t.Logf("memory %d MB, descriptors %d, answered %v", peak>>20, descriptorPeak, answered == nil)
	g.Expect(target.exited()).To(BeFalse(), "the process has ended: %s", target.log)
	g.Expect(peak>>20).To(BeNumerically("<=", target.memoryMB), "megabytes")
	g.Expect(descriptorPeak).To(BeNumerically("<=", descriptorLimit-reservedDescriptors), "descriptors")
	g.Expect(answered).NotTo(HaveOccurred())
}
