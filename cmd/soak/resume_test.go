package soak_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/platform/standin"
)

// restartPause is the time between two streams whose servers crash. A crashed server restarts in less.
const restartPause = time.Second

// checkResumedStreams lets the servers of streams crash at different events. Each stream must be whole at its caller, except if
// the server that continues it repeats an event.
func (h *harness) checkResumedStreams() {
	for i, faults := range [][]standin.StreamFault{
		{{After: 1}},
		{{After: 3, Inside: true}},
		{{}},
		{{Inside: true}},
		{{After: 2}, {After: 1, Inside: true}},
		{{After: 2}, {}},
		{{After: 2}, {Repeat: true}},
	} {
		n := h.nodes[i%len(h.nodes)]
		h.logEvent("stream faults %+v at %s", faults, n.name)
		h.BreakStreams(faults...)
		got := h.caller.Do(context.Background(), n.callerAddr, h.newRequest(h.rng, standin.RouteAnswers))
		repeats := faults[len(faults)-1].Repeat
		h.g.Expect(got.Status).To(Equal(http.StatusOK), "request %s, faults %+v, %v", got.Request, faults, got.Err)
		h.g.Expect(got.Err != nil).To(Equal(repeats), "request %s, faults %+v, %v", got.Request, faults, got.Err)
		time.Sleep(restartPause)
	}
}
