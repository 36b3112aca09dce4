package requestreply_test

import (
	"context"
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/io/requestreply"
)

// TestCorrelator guards against answers that reach the wrong command, come twice, or block the event loop.
func TestCorrelator(t *testing.T) {
	g := NewWithT(t)
	var desk *requestreply.Correlator
	desk = requestreply.New(func(ev event.Event) {
		n := ev.(event.Command).Number
		desk.Complete(event.CommandResult{Number: n + 100, Value: "other"})
		desk.Complete(event.CommandResult{Number: n, Value: n})
		desk.Complete(event.CommandResult{Number: n, Value: "again"})
	})
	build := func(n uint64) event.Event { return event.Command{Number: n} }
	for want := uint64(1); want <= 3; want++ {
		answer, err := desk.Do(context.Background(), build)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Value).To(Equal(want))
	}
	silent := requestreply.New(func(event.Event) {})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := silent.Do(ctx, build)
	g.Expect(errors.Is(err, context.Canceled)).To(BeTrue())
}
