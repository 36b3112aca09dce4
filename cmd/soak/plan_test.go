package soak_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bluebellflow/platform/standin"
)

// fault is one thing that goes wrong for a while.
type fault struct {
	at, span   time.Duration
	beginLimit time.Duration // that its beginning may take
	name       string
	begin      func(w *harness)
	end        func(w *harness)
}

// drawPlan returns a plan of faults over a span. Each object has one fault at a time, so that the end of one does not end
// another.
func drawPlan(rng *rand.Rand, w *harness, span time.Duration) []fault {
	var plan []fault
	busy := map[string]time.Duration{}
	for at := 500 * time.Millisecond; at < span; at += time.Duration(100+rng.IntN(500)) * time.Millisecond {
		object, f := drawFault(rng, w)
		f.at, f.span = at, time.Duration(200+rng.IntN(2300))*time.Millisecond
		if at < busy[object] {
			continue
		}
		busy[object] = at + f.span + f.beginLimit + 500*time.Millisecond
		plan = append(plan, f)
	}
	return plan
}

func drawFault(rng *rand.Rand, w *harness) (string, fault) {
	switch rng.IntN(7) {
	case 5:
		n := w.nodes[rng.IntN(len(w.nodes))]
		m := []mode{blackhole, reset, oneWay, delayed}[rng.IntN(4)]
		return "peers " + n.name, fault{
			name:  fmt.Sprintf("links of peers to %s mode %d", n.name, m),
			begin: func(*harness) { n.peerProxy.set(m) }, end: func(*harness) { n.peerProxy.set(passThrough) },
		}
	case 6:
		return "config", fault{name: "configuration", begin: func(w *harness) { w.writeNextConfig() }, end: func(*harness) {}}
	case 0:
		trouble := []standin.StoreFault{standin.StoreUnavailable, standin.StoreTooManyRequests, standin.StoreUnresponsive, standin.StoreDropsAnswers}[rng.IntN(4)]
		return "store", fault{
			name:  fmt.Sprintf("store trouble %d", trouble),
			begin: func(w *harness) { w.Store.SetFault(trouble); w.Store.CompactHistory() },
			end:   func(w *harness) { w.Store.SetFault(standin.StoreOK) },
		}
	case 1:
		n := w.nodes[rng.IntN(len(w.nodes))]
		m := []mode{blackhole, reset}[rng.IntN(2)]
		return "link " + n.name, fault{
			name:  fmt.Sprintf("store link of %s mode %d", n.name, m),
			begin: func(*harness) { n.storeProxy.set(m) }, end: func(*harness) { n.storeProxy.set(passThrough) },
		}
	case 2:
		return drawNodeFault(rng, w.nodes[rng.IntN(len(w.nodes))])
	default:
		servers := w.Servers("")
		return drawServerFault(rng, w, servers[rng.IntN(len(servers))])
	}
}

func drawNodeFault(rng *rand.Rand, n *node) (string, fault) {
	switch rng.IntN(3) {
	case 0:
		return n.name, fault{name: "kill " + n.name, begin: func(w *harness) { w.kill(n) }, end: func(w *harness) { w.start(n) }}
	case 1:
		return n.name, fault{
			name:  "freeze " + n.name,
			begin: func(w *harness) { w.freeze(n) }, end: func(w *harness) { w.thaw(n) },
		}
	default:
		return n.name, fault{
			name: "stop " + n.name, beginLimit: stopTimeout,
			begin: func(w *harness) {
				if !w.terminate(n) {
					w.Recorder.ReportViolation("%s does not stop within its grace", n.name)
				}
			},
			end: func(w *harness) { w.start(n) },
		}
	}
}

func drawServerFault(rng *rand.Rand, w *harness, s *standin.Server) (string, fault) {
	path := w.serverProxies[s.ID]
	spoil := func(name string, f standin.Faults) fault {
		return fault{name: name + " " + s.ID, begin: func(*harness) { s.SetFaults(f) }, end: func(*harness) { s.SetFaults(standin.Faults{}) }}
	}
	switch rng.IntN(8) {
	case 0:
		return s.ID, fault{
			name: "crash " + s.ID, begin: func(*harness) { s.Crash() },
			end: func(w *harness) {
				if err := s.Start(); err != nil {
					w.logEvent("%s does not start: %v", s.ID, err)
				}
			},
		}
	case 1:
		return s.ID, fault{name: "silence " + s.ID, begin: func(*harness) { path.set(blackhole) }, end: func(*harness) { path.set(passThrough) }}
	case 2:
		return s.ID, fault{name: "reset " + s.ID, begin: func(*harness) { path.set(reset) }, end: func(*harness) { path.set(passThrough) }}
	case 3:
		return s.ID, spoil("slow", standin.Faults{SlowFactor: 5})
	case 4:
		return s.ID, spoil("errors", standin.Faults{ErrorRate: 0.4})
	case 5:
		return s.ID, spoil("lose", standin.Faults{LostAnswerRate: 0.4})
	case 6:
		return s.ID, spoil("hang", standin.Faults{HangRate: 0.4})
	default:
		return s.ID, spoil("shed", standin.Faults{RejectRate: 0.6})
	}
}
