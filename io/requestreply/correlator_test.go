package requestreply_test

import (
	"context"
	"errors"
	"testing"
	"time"

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

// TestStop guards against a command whose caller gets no answer because the event loop, which decides about it, has ended.
func TestStop(t *testing.T) {
	g := NewWithT(t)
	build := func(n uint64) event.Event { return event.Command{Number: n} }
	var correlator *requestreply.Correlator
	correlator = requestreply.New(func(event.Event) { correlator.Stop() })
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for range 2 { // the second one comes after the end
		_, err := correlator.Do(ctx, build)
		g.Expect(err).To(MatchError(requestreply.ErrStopped))
	}
	correlator.Complete(event.CommandResult{Number: 1})
}
