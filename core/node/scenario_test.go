package node_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bluebellflow/core/canary"
	"bluebellflow/core/config"
	"bluebellflow/core/domain"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/node"
	"bluebellflow/core/simulation"
)

const (
	loadDuration   = 6 * time.Second        // how long callers send requests
	loadGap        = 20 * time.Millisecond  // between two requests
	faultDuration  = 3 * time.Second        // duration of a fault that does not end by itself
	healAfter      = 9 * time.Second        // when all faults have ended
	settleDuration = 21 * time.Second       // covers deadlines, the settlement of actions and the time for which a suspect request runs alone on a server
	sparseReports  = 500 * time.Millisecond // interval of load reports while no requests are sent, to save CPU time
	denseReports   = 100 * time.Millisecond
	maxSends       = 5           // sends of one key
	balancerDelay  = time.Second // how long the load balancer still sends callers to a node that is not ready
	stoppedNode    = id.Node("d2-n2")
	keyIssuer      = id.Node("d0-n0")
)

// runScenario runs one scenario that goes through all life cycles: load on both pipelines, streams, one-time keys, a
// server restart, a drain and a restore, two configuration changes, a rollout, a request that crashes servers, a leaving
// server, a planned stop, and resends.
func (s *system) runScenario() {
	s.backends.ReportInterval = denseReports
	s.AfterFunc(0, func() {
		s.command(keyIssuer, func(c event.Command) event.Event { return node.IssueKeys{Command: c, Count: 4} })
	})
	s.AfterFunc(300*time.Millisecond, func() { s.backends.Restart("d0-model-2") })
	s.AfterFunc(500*time.Millisecond, func() { s.drain("d1-n1", "d2") })
	s.AfterFunc(800*time.Millisecond, func() { s.setWeight("north", 3) })
	s.AfterFunc(900*time.Millisecond, func() { s.rollOut("d1-n0") })
	s.AfterFunc(time.Second, func() { s.sendPoison() })
	s.AfterFunc(1200*time.Millisecond, func() { s.oracle.markLeaving("d1-encoder-0") })
	s.AfterFunc(1500*time.Millisecond, func() { s.stop(stoppedNode) })
	for i := range 3 { // one of them breaks a stream whose first tokens were already forwarded
		s.AfterFunc(2300*time.Millisecond+time.Duration(i)*70*time.Millisecond, func() { s.backends.Restart(s.busiest("model")) })
	}
	s.AfterFunc(4200*time.Millisecond, func() { s.restore("d0-n2", "d2") })
	s.AfterFunc(4500*time.Millisecond, func() { s.setWeight("south", 5) })
	s.AfterFunc(7*time.Second, func() { s.startExited() })
	for at := time.Second; at < healAfter+8*time.Second; at += time.Second {
		s.AfterFunc(at, s.resend)
	}
	for range int(loadDuration / loadGap) {
		if to, ok := s.readyNode(); ok {
			s.disconnectOrRepeat(s.send(to))
		}
		s.Run(loadGap)
	}
	s.Run(healAfter - loadDuration)
	s.BeforeAction = nil
	s.finish()
}

// finish ends all faults, waits until all requests have settled, and reads the state of all nodes.
func (s *system) finish() {
	s.healAll()
	s.Run(4 * time.Second)
	s.backends.ReportInterval = sparseReports
	s.Run(settleDuration - 4*time.Second)
	s.oracle.readAll()
	s.Run(2 * time.Second)
}

// disconnectOrRepeat lets some callers hang up in the middle of a stream, and others repeat a request through another node
// while the first send is still running.
func (s *system) disconnectOrRepeat(req *simulation.SentRequest) {
	switch s.requestCount % 20 {
	case 0:
		s.AfterFunc(60*time.Millisecond, func() { s.callers.Disconnect(req) })
	case 10:
		for _, after := range []time.Duration{100, 120} {
			s.AfterFunc(after*time.Millisecond, func() {
				if to, ok := s.readyNode(); ok && req.End == nil {
					s.callers.Send(to, req.Arrival)
				}
			})
		}
	}
}

// readyNode returns a random node that the load balancer may choose.
func (s *system) readyNode() (id.Node, bool) {
	var open []id.Node
	for _, n := range s.Nodes() {
		if since, unready := s.oracle.unreadySince[n]; s.Up(n) && (!unready || s.Now.Sub(since) < balancerDelay) {
			open = append(open, n)
		}
	}
	if len(open) == 0 {
		return "", false
	}
	return open[s.Rand.IntN(len(open))], true
}

// command sends an operator command to a node.
func (s *system) command(to id.Node, make func(event.Command) event.Event) {
	if !s.Up(to) {
		return
	}
	s.commandCount++
	number := 1000 + uint64(s.commandCount)
	ev := make(event.Command{Number: number})
	s.oracle.recordCommand(to, number, ev)
	s.Inject(to, ev, 0)
}

func (s *system) drain(to id.Node, d id.FailureDomain) {
	s.command(to, func(c event.Command) event.Event { return domain.Drain{Command: c, Domain: d, By: "one"} })
}

func (s *system) restore(to id.Node, d id.FailureDomain) {
	s.command(to, func(c event.Command) event.Event { return domain.Restore{Command: c, Domain: d, By: "two"} })
}

// busiest returns the server of a pool with the most attempts in flight; its restart breaks some of them.
func (s *system) busiest(pool id.Pool) id.Server {
	best := id.Server("")
	for _, name := range slices.Sorted(maps.Keys(s.backends.Servers)) {
		server := s.backends.Servers[name]
		if server.VM.Pool == pool && (best == "" || server.Running() > s.backends.Servers[best].Running()) {
			best = name
		}
	}
	return best
}

// rollOut begins a rollout of the next version of the retrievers.
func (s *system) rollOut(to id.Node) {
	s.command(to, func(c event.Command) event.Event {
		return canary.Begin{Command: c, Name: "next", Pool: "retriever", From: "v1", To: "v2", Deadline: s.Now.Add(time.Minute)}
	})
}

// setWeight changes the configuration of one workspace.
func (s *system) setWeight(ws id.Workspace, weight int) {
	to, ok := s.readyNode()
	if !ok {
		return
	}
	source := []byte(fmt.Sprintf(`{"weight": %d}`, weight))
	s.command(to, func(c event.Command) event.Event { return config.Apply{Command: c, Source: source, Workspace: ws} })
}

func (s *system) stop(name id.Node) {
	if s.Up(name) {
		s.oracle.stopGenerations[name] = s.Generation(name)
		s.Inject(name, event.Stop{}, 0)
	}
}

// startExited starts the nodes whose planned stop has ended.
func (s *system) startExited() {
	for _, n := range s.Nodes() {
		if s.Exited(n) {
			s.Start(n)
		}
	}
}

// sendPoison sends a request that crashes its servers several times through random nodes.
func (s *system) sendPoison() {
	s.backends.Poison = "poison"
	for i := range 6 {
		s.AfterFunc(time.Duration(i)*300*time.Millisecond, func() {
			if to, ok := s.readyNode(); ok {
				s.callers.Send(to, event.RequestArrived{Workspace: "north", Pipeline: "answer", Body: []byte("poison"), Priority: 3})
			}
		})
	}
}

// resend repeats each request with a key whose outcome is missing or unknown, with the same key through another node.
func (s *system) resend() {
	last := map[string]*simulation.SentRequest{}
	var keys []string
	sends := map[string]int{}
	for _, req := range s.callers.Requests {
		if key := req.Arrival.Key; key != "" {
			if last[key] == nil {
				keys = append(keys, key)
			}
			last[key] = req
			sends[key]++
		}
	}
	for _, key := range keys {
		req := last[key]
		if sends[key] >= maxSends || !s.callers.Unsettled(req) {
			continue
		}
		if to, ok := s.readyNode(); ok && to != req.Node {
			s.callers.Send(to, req.Arrival)
		}
	}
}

// useKeys sends requests with one-time keys, alternately to the node that issued them and to another one.
func (s *system) useKeys(at id.Node, keys []string) {
	for i, key := range keys {
		to := at
		if i%2 == 1 {
			to = nodeName((i+1)%domains, i%nodesPerDomain)
		}
		if s.Up(to) {
			s.requestCount++
			s.callers.Send(to, event.RequestArrived{
				Workspace: "south", Pipeline: "loan", Key: key, Body: []byte(fmt.Sprintf("request %d", s.requestCount)), Priority: 3,
			})
		}
	}
}

// healAll ends every fault; planned stops go on.
func (s *system) healAll() {
	s.Heal()
	s.Network.Loss, s.Network.Repeat = 0, 0
	p := s.Platform
	p.Down, p.Latency, p.LostAnswerRate, p.LateEffectRate, p.WatchGapRate = false, 2*time.Millisecond, 0, 0, 0
	clear(p.CutDomains)
	for _, b := range s.backends.Servers {
		b.LostAnswerRate, b.SlowFactor = 0, 0
	}
	for _, n := range s.Nodes() {
		if !s.Up(n) {
			s.Start(n)
		}
	}
}
