package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/proxy"
	"bluebellflow/io/gateway"
	"bluebellflow/io/upstream"
)

// dialect reads only the name of a request.
type dialect struct{ gateway.Dialect }

func (dialect) RequestInfo(r *http.Request) (proxy.RequestInfo, error) {
	return proxy.RequestInfo{Name: id.Request(r.URL.Path)}, nil
}

func (dialect) SetRefusalHeaders(http.Header, id.Request) {}

// TestRequestAfterLoop guards against a request that gets no response because the event loop, which decides about it, has
// ended.
func TestRequestAfterLoop(t *testing.T) {
	arrived := make(chan event.Event, 16)
	server := gateway.New(dialect{}, upstream.New(), func(ev event.Event) { arrived <- ev })
	front := httptest.NewServer(server)
	defer front.Close()
	client := &http.Client{Timeout: 5 * time.Second}
	expectRefused := func(t *testing.T, meanwhile func()) {
		g := NewWithT(t)
		status, after := make(chan int, 1), make(chan string, 1)
		go func() {
			resp, err := client.Get(front.URL)
			if err != nil {
				status <- 0
				return
			}
			_ = resp.Body.Close()
			status <- resp.StatusCode
			after <- resp.Header.Get("Retry-After")
		}()
		meanwhile()
		g.Eventually(status, 10*time.Second).Should(Receive(Equal(http.StatusServiceUnavailable)))
		g.Expect(<-after).NotTo(BeEmpty())
	}
	t.Run("arrived before", func(t *testing.T) {
		expectRefused(t, func() {
			<-arrived
			server.Stop()
		})
	})
	t.Run("arrives later", func(t *testing.T) { expectRefused(t, func() {}) })
}
