package soak_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"bluebellflow/platform/standin"
)

// fault is a fault that is injected for some time.
type fault struct {
	at, span   time.Duration
	beginLimit time.Duration // maximum duration of begin
	name       string
	begin      func(h *harness)
	end        func(h *harness)
}

// drawPlan returns a random plan of faults that begin within span. Each object has at most one fault at a time, so that
// the end of one fault does not end another.
func drawPlan(rng *rand.Rand, h *harness, span time.Duration) []fault {
	var plan []fault
	busyUntil := map[string]time.Duration{}
	for at := 500 * time.Millisecond; at < span; at += time.Duration(100+rng.IntN(500)) * time.Millisecond {
		object, f := drawFault(rng, h)
		f.at, f.span = at, time.Duration(200+rng.IntN(2300))*time.Millisecond
		if at < busyUntil[object] {
			continue
		}
		busyUntil[object] = at + f.span + f.beginLimit + 500*time.Millisecond
		plan = append(plan, f)
	}
	// Drawn last, so that the plans of earlier seeds keep their other faults.
	for _, s := range h.Servers("") {
		if rng.IntN(4) == 0 {
			plan = append(plan, drawReport(rng, s, span))
		}
	}
	return append(plan, drawOddEntry(rng, span), drawCrowd(rng, h, span), drawRestore(rng, span))
}

// drawRestore returns a fault in which the store loses the changes of some seconds. The operator writes the configuration again
// a moment later.
func drawRestore(rng *rand.Rand, span time.Duration) fault {
	watches := []standin.Watches{standin.KeepWatches, standin.EndWatches}[rng.IntN(2)]
	var from standin.Copy
	return fault{
		at: time.Duration(rng.Int64N(int64(span))), span: time.Duration(1+rng.IntN(4)) * time.Second, name: fmt.Sprintf("store restored, watches %d", watches),
		begin: func(h *harness) { from = h.Store.Snapshot() },
		end: func(h *harness) {
			h.Store.Restore(from, watches)
			time.Sleep(500 * time.Millisecond)
			h.Store.Put("config", "main", h.Config())
		},
	}
}

// drawReport returns a fault in which a server says something of itself. A server that has said that it is leaving exits, and
// starts again.
func drawReport(rng *rand.Rand, s *standin.Server, span time.Duration) fault {
	r := []standin.Report{{Limit: 0.5 + 3*rng.Float64()}, {RetryAfter: time.Second}, {Leaving: true}}[rng.IntN(3)]
	return fault{
		at: time.Duration(rng.Int64N(int64(span))), span: time.Second, name: fmt.Sprintf("report of %s %+v", s.ID, r),
		begin: func(*harness) { s.SetReport(r) },
		end: func(h *harness) {
			s.SetReport(standin.Report{})
			if !r.Leaving {
				return
			}
			s.Crash()
			if err := s.Start(); err != nil {
				h.logEvent("%s does not start: %v", s.ID, err)
			}
		},
	}
}

// drawOddEntry returns a fault in which another writer leaves an entry among those of the servers that cannot be read.
func drawOddEntry(rng *rand.Rand, span time.Duration) fault {
	specs := []string{strings.Repeat("[", 5000) + strings.Repeat("]", 5000), `{"slots":1e999}`, `"text"`, `{"address":"127.0.0.1:0"}`}
	spec := specs[rng.IntN(len(specs))]
	return fault{
		at: time.Duration(rng.Int64N(int64(span))), span: time.Second, name: fmt.Sprintf("odd entry %.20s", spec),
		begin: func(h *harness) { h.Store.PutRaw("servers", "odd", []byte(spec)) }, end: func(*harness) {},
	}
}

func drawFault(rng *rand.Rand, h *harness) (string, fault) {
	switch rng.IntN(7) {
	case 5:
		n := h.nodes[rng.IntN(len(h.nodes))]
		m := []mode{blackhole, reset, oneWay, delayed}[rng.IntN(4)]
		return "peers " + n.name, fault{
			name:  fmt.Sprintf("peer links to %s mode %d", n.name, m),
			begin: func(*harness) { n.peerProxy.set(m) }, end: func(*harness) { n.peerProxy.set(passThrough) },
		}
	case 6:
		return "config", fault{name: "configuration", begin: func(h *harness) { h.writeNextConfig() }, end: func(*harness) {}}
	case 0:
		f := []standin.StoreFault{standin.StoreUnavailable, standin.StoreTooManyRequests, standin.StoreUnresponsive, standin.StoreDropsAnswers}[rng.IntN(4)]
		return "store", fault{
			name:  fmt.Sprintf("store fault %d", f),
			begin: func(h *harness) { h.Store.SetFault(f); h.Store.CompactHistory() },
			end:   func(h *harness) { h.Store.SetFault(standin.StoreOK) },
		}
	case 1:
		n := h.nodes[rng.IntN(len(h.nodes))]
		m := []mode{blackhole, reset}[rng.IntN(2)]
		return "link " + n.name, fault{
			name:  fmt.Sprintf("store link of %s mode %d", n.name, m),
			begin: func(*harness) { n.storeProxy.set(m) }, end: func(*harness) { n.storeProxy.set(passThrough) },
		}
	case 2:
		return drawNodeFault(rng, h.nodes[rng.IntN(len(h.nodes))])
	default:
		servers := h.Servers("")
		return drawServerFault(rng, h, servers[rng.IntN(len(servers))])
	}
}

func drawNodeFault(rng *rand.Rand, n *node) (string, fault) {
	switch rng.IntN(3) {
	case 0:
		return n.name, fault{name: "kill " + n.name, begin: func(h *harness) { h.kill(n) }, end: func(h *harness) { h.start(n) }}
	case 1:
		return n.name, fault{
			name:  "freeze " + n.name,
			begin: func(h *harness) { h.freeze(n) }, end: func(h *harness) { h.thaw(n) },
		}
	default:
		return n.name, fault{
			name: "stop " + n.name, beginLimit: stopTimeout,
			begin: func(h *harness) {
				if !h.terminate(n) {
					h.Recorder.ReportViolation("%s does not stop within its grace period", n.name)
				}
			},
			end: func(h *harness) { h.start(n) },
		}
	}
}

func drawServerFault(rng *rand.Rand, h *harness, s *standin.Server) (string, fault) {
	proxy := h.serverProxies[s.ID]
	withFaults := func(name string, f standin.Faults) fault {
		return fault{name: name + " " + s.ID, begin: func(*harness) { s.SetFaults(f) }, end: func(*harness) { s.SetFaults(standin.Faults{}) }}
	}
	switch rng.IntN(8) {
	case 0:
		return s.ID, fault{
			name: "crash " + s.ID, begin: func(*harness) { s.Crash() },
			end: func(h *harness) {
				if err := s.Start(); err != nil {
					h.logEvent("%s does not start: %v", s.ID, err)
				}
			},
		}
	case 1:
		return s.ID, fault{name: "silence " + s.ID, begin: func(*harness) { proxy.set(blackhole) }, end: func(*harness) { proxy.set(passThrough) }}
	case 2:
		return s.ID, fault{name: "reset " + s.ID, begin: func(*harness) { proxy.set(reset) }, end: func(*harness) { proxy.set(passThrough) }}
	case 3:
		return s.ID, withFaults("slow", standin.Faults{SlowFactor: 5})
	case 4:
		return s.ID, withFaults("errors", standin.Faults{ErrorRate: 0.4})
	case 5:
		return s.ID, withFaults("lose", standin.Faults{LostAnswerRate: 0.4})
	case 6:
		return s.ID, withFaults("hang", standin.Faults{HangRate: 0.4})
	default:
		return s.ID, withFaults("shed", standin.Faults{RejectRate: 0.6})
	}
}
