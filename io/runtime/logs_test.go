package runtime

import (
	"bytes"
	"expvar"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
)

// TestLineRate guards against a log that grows with the load without limit, and against suppressed lines that the log
// does not mention.
func TestLineRate(t *testing.T) { synctest.Test(t, testLineRate) }

func testLineRate(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	vars := new(expvar.Map)
	w := newLogWriter(log.New(&out), vars)
	const decisions = 3 * lineBurst
	for range decisions {
		w.logDecision(event.Log{Kind: "place"})
		for len(w.lines) > 0 {
			(<-w.lines)()
		}
	}
	written := strings.Count(out.String(), "place")
	g.Expect(written).To(Equal(lineBurst), "all at one moment")
	g.Expect(vars.Get("log_lines_suppressed").String()).NotTo(Equal("0"))
	time.Sleep(10 * time.Millisecond) // until more lines are allowed
	w.logDecision(event.Log{Kind: "place"})
	w.drain()
	g.Expect(out.String()).To(ContainSubstring("suppress"))
}
