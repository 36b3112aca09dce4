package mesh

import (
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
)

// slowConn is a connection whose Read returns errors only after a delay.
type slowConn struct {
	net.Conn
	delay time.Duration
}

func (c slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		time.Sleep(c.delay)
	}
	return n, err
}

func cpuTime(g Gomega) time.Duration {
	var usage syscall.Rusage
	g.Expect(syscall.Getrusage(syscall.RUSAGE_SELF, &usage)).To(Succeed())
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestCloseWithoutSpin guards against streams that busy-wait while their session closes. In yamux v0.1.2 they do so
// until the session's reader has returned, which may never happen on a machine that runs one thread at a time.
func TestCloseWithoutSpin(t *testing.T) {
	g := NewWithT(t)
	const delay = 500 * time.Millisecond
	near, far := net.Pipe()
	m := New(event.Self{Node: "a"}, newCodec(), nil, func(event.Event) {}, WithTiming(LowLatencyTiming()))
	mux, err := m.newMux(slowConn{near, delay}, true)
	g.Expect(err).NotTo(HaveOccurred())
	peer, err := m.newMux(far, false)
	g.Expect(err).NotTo(HaveOccurred())
	stream, err := mux.Open()
	g.Expect(err).NotTo(HaveOccurred())
	ended := make(chan error)
	go func() {
		_, err := stream.Read(make([]byte, 1))
		ended <- err
	}()
	time.Sleep(20 * time.Millisecond) // until Read blocks
	before := cpuTime(g)
	g.Expect(mux.Close()).To(Succeed())
	g.Eventually(ended, testTimeout).Should(Receive(HaveOccurred()))
	g.Expect(cpuTime(g) - before).To(BeNumerically("<", delay/2))
	g.Expect(peer.Close()).To(Succeed())
}
