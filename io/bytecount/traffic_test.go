package bytecount_test

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"bluebellflow/io/bytecount"
)

// TestDial guards against a metric that misses one of the two directions.
func TestDial(t *testing.T) {
	g := NewWithT(t)
	near, far := net.Pipe()
	var total atomic.Int64
	dial := bytecount.WrapDial(func(context.Context, string, string) (net.Conn, error) { return near, nil },
		func(n int64) { total.Add(n) })
	c, err := dial(t.Context(), "tcp", "")
	g.Expect(err).NotTo(HaveOccurred())
	done := make(chan error, 1)
	go func() {
		buf := make([]byte, 5)
		if _, err := io.ReadFull(far, buf); err != nil {
			done <- err
			return
		}
		_, err := far.Write([]byte("abc"))
		done <- err
	}()
	_, err = c.Write([]byte("hello"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.ReadFull(c, make([]byte, 3))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(<-done).To(Succeed())
	g.Expect(total.Load()).To(BeEquivalentTo(8))
	g.Expect(c.Close()).To(Succeed())
	g.Expect(far.Close()).To(Succeed())
}
