package soak_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bluebellflow/platform/standin"
)

// fault is one thing that goes wrong for a while.
type fault struct {
	at, span time.Duration
	extra    time.Duration // that its beginning may take
	name     string
	begin    func(w *world)
	end      func(w *world)
}

// draw returns a plan of faults over a span. Each object has one fault at a time, so that the end of one does not end
// another.
func draw(rng *rand.Rand, w *world, span time.Duration) []fault {
	var plan []fault
	busy := map[string]time.Duration{}
	for at := 500 * time.Millisecond; at < span; at += time.Duration(100+rng.IntN(500)) * time.Millisecond {
		object, f := drawOne(rng, w)
		f.at, f.span = at, time.Duration(200+rng.IntN(2300))*time.Millisecond
		if at < busy[object] {
			continue
		}
		busy[object] = at + f.span + f.extra + 500*time.Millisecond
		plan = append(plan, f)
	}
	return plan
}

func drawOne(rng *rand.Rand, w *world) (string, fault) {
	switch rng.IntN(7) {
	case 5:
		n := w.nodes[rng.IntN(len(w.nodes))]
		m := []mode{silent, reset, oneWay, slow}[rng.IntN(4)]
		return "peers " + n.name, fault{
			name:  fmt.Sprintf("links of peers to %s mode %d", n.name, m),
			begin: func(*world) { n.peers.set(m) }, end: func(*world) { n.peers.set(pass) },
		}
	case 6:
		return "config", fault{name: "configuration", begin: func(w *world) { w.configure() }, end: func(*world) {}}
	case 0:
		trouble := []standin.StoreFault{standin.StoreUnavailable, standin.StoreTooManyRequests, standin.StoreUnresponsive, standin.StoreDropsAnswers}[rng.IntN(4)]
		return "store", fault{
			name:  fmt.Sprintf("store trouble %d", trouble),
			begin: func(w *world) { w.Store.SetFault(trouble); w.Store.CompactHistory() },
			end:   func(w *world) { w.Store.SetFault(standin.StoreOK) },
		}
	case 1:
		n := w.nodes[rng.IntN(len(w.nodes))]
		m := []mode{silent, reset}[rng.IntN(2)]
		return "link " + n.name, fault{
			name:  fmt.Sprintf("store link of %s mode %d", n.name, m),
			begin: func(*world) { n.link.set(m) }, end: func(*world) { n.link.set(pass) },
		}
	case 2:
		return drawNode(rng, w.nodes[rng.IntN(len(w.nodes))])
	default:
		servers := w.Servers("")
		return drawServer(rng, w, servers[rng.IntN(len(servers))])
	}
}

func drawNode(rng *rand.Rand, n *node) (string, fault) {
	switch rng.IntN(3) {
	case 0:
		return n.name, fault{name: "kill " + n.name, begin: func(w *world) { w.kill(n) }, end: func(w *world) { w.start(n) }}
	case 1:
		return n.name, fault{
			name:  "freeze " + n.name,
			begin: func(w *world) { w.freeze(n) }, end: func(w *world) { w.thaw(n) },
		}
	default:
		return n.name, fault{
			name: "stop " + n.name, extra: stopLimit,
			begin: func(w *world) {
				if !w.term(n) {
					w.Recorder.ReportViolation("%s does not stop within its grace", n.name)
				}
			},
			end: func(w *world) { w.start(n) },
		}
	}
}

func drawServer(rng *rand.Rand, w *world, s *standin.Server) (string, fault) {
	path := w.paths[s.ID]
	spoil := func(name string, f standin.Faults) fault {
		return fault{name: name + " " + s.ID, begin: func(*world) { s.SetFaults(f) }, end: func(*world) { s.SetFaults(standin.Faults{}) }}
	}
	switch rng.IntN(8) {
	case 0:
		return s.ID, fault{
			name: "crash " + s.ID, begin: func(*world) { s.Crash() },
			end: func(w *world) {
				if err := s.Start(); err != nil {
					w.tell("%s does not start: %v", s.ID, err)
				}
			},
		}
	case 1:
		return s.ID, fault{name: "silence " + s.ID, begin: func(*world) { path.set(silent) }, end: func(*world) { path.set(pass) }}
	case 2:
		return s.ID, fault{name: "reset " + s.ID, begin: func(*world) { path.set(reset) }, end: func(*world) { path.set(pass) }}
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
