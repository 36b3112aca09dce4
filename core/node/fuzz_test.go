package node_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bluebellflow/core/domain"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

// TestAnyFaults guards against violations under random schedules of faults, commands and requests that the fault matrix
// does not contain.
func TestAnyFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSystem(rapid.Uint64().Draw(t, "seed"))
		s.backends.ReportInterval = denseReports
		node := rapid.SampledFrom(s.Nodes())
		millis := func(least, most int) time.Duration {
			return time.Duration(rapid.IntRange(least, most).Draw(t, "ms")) * time.Millisecond
		}
		rounds := 0
		act := func(f func(*rapid.T)) func(*rapid.T) {
			return func(t *rapid.T) {
				if rounds++; rounds <= maxRounds {
					f(t)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if v := slices.Concat(s.callers.Violations, s.oracle.violations); len(v) > 0 {
					t.Fatal(strings.Join(v, "\n"))
				}
			},
			"requests": act(func(t *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(t, "count") {
					if to, ok := s.readyNode(); ok {
						s.disconnectOrRepeat(s.send(to))
					}
					s.Run(loadGap)
				}
			}),
			"fault": act(func(t *rapid.T) {
				f := rapid.SampledFrom(faults).Draw(t, "fault")
				p := faultTarget{node: node.Draw(t, "node"), other: node.Draw(t, "other"), server: someServer(s, s.Rand, "")}
				s.injected = append(s.injected, f)
				f.begin(s, p)
				s.AfterFunc(millis(1, 5000), func() { f.end(s, p) })
			}),
			"command": act(func(t *rapid.T) {
				d := domainName(rapid.IntRange(0, domains-1).Draw(t, "domain"))
				switch rapid.IntRange(0, 2).Draw(t, "command") {
				case 0:
					s.command(node.Draw(t, "node"), func(c event.Command) event.Event { return domain.Drain{Command: c, Domain: d, By: "one"} })
				case 1:
					s.command(node.Draw(t, "node"), func(c event.Command) event.Event { return domain.Restore{Command: c, Domain: d, By: "two"} })
				default:
					s.setWeight(id.Workspace(rapid.SampledFrom([]string{"north", "south"}).Draw(t, "workspace")), rapid.IntRange(1, 9).Draw(t, "weight"))
				}
			}),
			"resend": act(func(*rapid.T) { s.resend() }),
			"run":    act(func(*rapid.T) { s.Run(millis(1, 1500)) }),
		})
		s.finish()
		if v := s.check(); len(v) > 0 {
			t.Fatal(strings.Join(v[:min(4, len(v))], "\n"))
		}
	})
}

// maxRounds limits the actions of one schedule.
const maxRounds = 30
