package selfreport_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/core/selfreport"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var process = selfreport.Process{Server: "s", Start: "1"}

// choices returns the outcomes that actions log.
func choices(actions []event.Action) []string {
	var out []string
	for _, a := range actions {
		if l, ok := a.(event.Log); ok {
			out = append(out, l.Choice)
		}
	}
	return out
}

// TestLog guards against a log that does not tell what servers say of themselves, or repeats it for each response.
func TestLog(t *testing.T) {
	g := NewWithT(t)
	tr := selfreport.New(event.Self{Node: "n"})
	limited := selfreport.Report{Limited: true, Rate: 1.4}
	leaving := selfreport.Report{Leaving: true}
	for _, c := range []struct {
		at, sent time.Duration
		report   selfreport.Report
		want     []string
	}{
		{1, 0, selfreport.Report{}, nil},
		{2, 1, limited, []string{"limit 1.4/s"}},
		{3, 1, limited, nil},
		{4, 1, selfreport.Report{}, nil}, // sent before the limit was named
		{5, 4, selfreport.Report{Pause: time.Second}, []string{"no limit", "pause 1s"}},
		{6, 5, leaving, []string{"leaving"}},
		{7, 6, leaving, nil},
	} {
		actions := tr.Observe(epoch.Add(c.at*time.Second), process, epoch.Add(c.sent*time.Second), c.report)
		g.Expect(choices(actions)).To(Equal(c.want), "at %d", c.at)
	}
}
