package tasks_test

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"bluebellflow/io/tasks"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestGroup guards against more goroutines than the limit and against goroutines that outlive Close.
func TestGroup(t *testing.T) {
	g := NewWithT(t)
	group := tasks.New(1)
	block := func(ctx context.Context) { <-ctx.Done() }
	g.Expect(group.Go(block)).To(BeTrue())
	g.Expect(group.Go(block)).To(BeFalse(), "second goroutine of a group with limit 1")
	group.Close()
	g.Expect(group.Active()).To(BeZero())
	g.Expect(group.Go(block)).To(BeFalse(), "goroutine of a closed group")
}
