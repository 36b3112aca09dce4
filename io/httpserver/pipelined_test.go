package httpserver_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// pipelineServer flushes the head of its first response and waits. It answers the next request with 500 if its connection seems to
// have ended.
type pipelineServer struct {
	flushed, release chan struct{}
	first            bool
}

func (s *pipelineServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.first {
		s.first = true
		_ = http.NewResponseController(w).Flush()
		close(s.flushed)
		<-s.release
		return
	}
	_, err := io.ReadAll(r.Body)
	time.Sleep(pause)
	if err != nil || r.Context().Err() != nil {
		w.WriteHeader(http.StatusInternalServerError)
	}
}

// drainPipelined sends a second request together with the first one, whose response ends after the beginning of a drain, and expects
// that both are answered.
func drainPipelined(t *testing.T, second, rest string) {
	g := NewWithT(t)
	h := &pipelineServer{flushed: make(chan struct{}), release: make(chan struct{})}
	s := startWatched(t, &http.Server{Handler: h})
	conn := s.dial(t)
	s.send(t, conn, request+second)
	g.Eventually(h.flushed, testTimeout).Should(BeClosed())
	s.Drain(func() {})
	close(h.release)
	time.Sleep(pause / 2)
	_, err := io.WriteString(conn, rest)
	g.Expect(err).NotTo(HaveOccurred())

	responses := bufio.NewReader(conn)
	for range 2 {
		resp, err := http.ReadResponse(responses, nil)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(resp.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	}
	s.Stop(testTimeout)
	g.Eventually(s.served, testTimeout).Should(Receive(BeNil()))
}

// TestPipelinedRequest guards against a server that closes a connection as idle although it has read the next request together with
// the previous one.
func TestPipelinedRequest(t *testing.T) {
	t.Run("whole", func(t *testing.T) { drainPipelined(t, request, "") })
	t.Run("no body", func(t *testing.T) { drainPipelined(t, "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "") })
	t.Run("head", func(t *testing.T) {
		drainPipelined(t, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n", "body")
	})
}
