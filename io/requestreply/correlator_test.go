package requestreply_test

import (
	"context"
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/io/requestreply"
)

// TestCorrelator guards against results that reach the wrong command, arrive twice, or block the event loop.
func TestCorrelator(t *testing.T) {
	g := NewWithT(t)
	var correlator *requestreply.Correlator
	correlator = requestreply.New(func(ev event.Event) {
		n := ev.(event.Command).Number
		correlator.Complete(event.CommandResult{Number: n + 100, Value: "other"})
		correlator.Complete(event.CommandResult{Number: n, Value: n})
		correlator.Complete(event.CommandResult{Number: n, Value: "again"})
	})
	build := func(n uint64) event.Event { return event.Command{Number: n} }
	for want := uint64(1); want <= 3; want++ {
		result, err := correlator.Do(context.Background(), build)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.Value).To(Equal(want))
	}
	unanswered := requestreply.New(func(event.Event) {})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := unanswered.Do(ctx, build)
	g.Expect(errors.Is(err, context.Canceled)).To(BeTrue())
}
