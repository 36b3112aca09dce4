package gate_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/gate"
)

// TestCrashingRequest guards against a request that crashes one server after another because each retry has a new name,
// and against refusing a different request of the same caller.
func TestCrashingRequest(t *testing.T) {
	w := newLoadedHarness(t)
	for n := range 3 {
		ticket := w.arrive("lend", func(f *gate.RequestInfo) { f.Fingerprint = 7 })
		server := onlyAction[gate.Forward](w).Server.ID
		w.end(ticket, gate.Result{Fail: event.FailBroken})
		w.put(fleet.Servers, string(server), fmt.Sprintf("loans %d", 10+n), "") // its process has restarted
		w.run(time.Second)
	}
	w.arrive("lend", func(f *gate.RequestInfo) { f.Fingerprint = 7 })
	refused := onlyAction[gate.Refuse](w)
	w.g.Expect(refused.Status).To(Equal(http.StatusServiceUnavailable))
	w.g.Expect(refused.After).To(BeNumerically(">", time.Minute))
	w.arrive("lend", func(f *gate.RequestInfo) { f.Fingerprint = 8 })
	onlyAction[gate.Forward](w)
}
