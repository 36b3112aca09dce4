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

// TestCrashingRequest guards against a request that crashes one server after the other under new names, and against the
// refusal of another request of the same caller.
func TestCrashingRequest(t *testing.T) {
	w := newLoadedHarness(t)
	for n := range 3 {
		ticket := w.arrive("lend", func(f *proxy.RequestInfo) { f.Fingerprint = 7 })
		server := onlyAction[proxy.Forward](w).Server.ID
		w.end(ticket, proxy.Result{Fail: event.FailBroken})
		w.put(fleet.KindServers, string(server), fmt.Sprintf("loans %d", 10+n), "") // its process has started again
		w.run(time.Second)
	}
	w.arrive("lend", func(f *proxy.RequestInfo) { f.Fingerprint = 7 })
	refused := onlyAction[proxy.Refuse](w)
	w.g.Expect(refused.Status).To(Equal(http.StatusServiceUnavailable))
	w.g.Expect(refused.After).To(BeNumerically(">", time.Minute))
	w.arrive("lend", func(f *proxy.RequestInfo) { f.Fingerprint = 8 })
	onlyAction[proxy.Forward](w)
}
