package proxy_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/proxy"
)

// TestCrashingRequest guards against a request that crashes one server after another because each retry has a new name,
// and against refusing a different request of the same caller.
func TestCrashingRequest(t *testing.T) {
	h := newLoadedHarness(t)
	for n := range 3 {
		ticket := h.arrive("lend", func(r *proxy.RequestInfo) { r.Fingerprint = 7 })
		server := onlyAction[proxy.Forward](h).Server.ID
		h.end(ticket, proxy.Result{Fail: event.FailBroken})
		h.put(fleet.KindServers, string(server), fmt.Sprintf("loans %d", 10+n), "") // its process has restarted
		h.run(time.Second)
	}
	h.arrive("lend", func(r *proxy.RequestInfo) { r.Fingerprint = 7 })
	refused := onlyAction[proxy.Refuse](h)
	h.g.Expect(refused.Status).To(Equal(http.StatusServiceUnavailable))
	h.g.Expect(refused.After).To(BeNumerically(">", time.Minute))
	h.arrive("lend", func(r *proxy.RequestInfo) { r.Fingerprint = 8 })
	onlyAction[proxy.Forward](h)
}
