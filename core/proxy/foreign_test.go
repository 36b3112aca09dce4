package proxy_test

import (
	"testing"
	"time"

	"bluebellflow/core/batch"
	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/proxy"
)

// TestForeignEntry guards against a process that ends because another writer, or a server that starts again for another service,
// writes an entry under the id of a stage server, at any moment of a job.
func TestForeignEntry(t *testing.T) {
	for _, pool := range []string{"nowhere", "loans", "model"} {
		for name, before := range map[string]func(h *harness){
			"no job":      func(*harness) {},
			"a call runs": func(h *harness) { h.arrive("draft", func(r *proxy.RequestInfo) { r.Pieces = []int{2} }) },
			"results are kept": func(h *harness) {
				h.arrive("draft", func(r *proxy.RequestInfo) { r.Pieces = []int{1} })
				call := onlyAction[batch.StartCall](h)
				h.step(batch.CallEnded{Call: call.Call, Outcomes: []batch.Outcome{{Handle: "h"}}})
			},
			"results are to be freed": func(h *harness) {
				ticket := h.arrive("draft", func(r *proxy.RequestInfo) { r.Pieces = []int{1} })
				call := onlyAction[batch.StartCall](h)
				h.step(batch.CallEnded{Call: call.Call, Outcomes: []batch.Outcome{{Handle: "h"}}})
				h.step(proxy.Disconnected{Ticket: ticket})
			},
		} {
			t.Run(pool+", "+name, func(t *testing.T) {
				h := newLoadedHarness(t)
				before(h)
				h.put(fleet.KindServers, "times-1", pool+" 9", "")
				h.run(3 * time.Second)
				h.put(fleet.KindServers, "times-1", "times 4", "")
				h.run(3 * time.Second)
				h.step(event.Tick{})
				h.arrive("draft", func(r *proxy.RequestInfo) { r.Pieces = []int{1} })
				onlyAction[batch.StartCall](h)
			})
		}
	}
}
