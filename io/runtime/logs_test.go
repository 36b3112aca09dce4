package runtime

import (
	"bytes"
	"expvar"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
)

// TestLineRate guards against a log that grows with the load without bound, and against lines that are left out
// without a word.
func TestLineRate(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	vars := new(expvar.Map)
	w := newLogWriter(log.New(&out), vars)
	const decisions = 3 * lineBurst
	began := time.Now()
	for range decisions {
		w.logDecision(event.Log{Kind: "place"})
		for len(w.lines) > 0 {
			(<-w.lines)()
		}
	}
	written := strings.Count(out.String(), "place")
	allowed := lineBurst + int(linesPerSecond*time.Since(began).Seconds()) + 1
	g.Expect(written).To(And(BeNumerically(">=", lineBurst), BeNumerically("<=", allowed)))
	g.Expect(vars.Get("log_lines_suppressed").String()).NotTo(Equal("0"))
	time.Sleep(10 * time.Millisecond) // for some more lines
	w.logDecision(event.Log{Kind: "place"})
	w.drain()
	g.Expect(out.String()).To(ContainSubstring("suppress"))
}
