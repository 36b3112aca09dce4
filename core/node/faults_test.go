package node_test

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"bluebellflow/core/id"
)

// place is where a fault strikes: a node, another one that it exchanges messages with, and a backend server.
type place struct {
	node, other id.Node
	server      id.Server
}

// fault is one thing that goes wrong, and how it ends.
type fault struct {
	name  string
	begin func(s *system, p place)
	end   func(s *system, p place)

	local     bool // strikes one node, so that the one that acts and its peer are different cases
	separates bool // some nodes cannot reach some others by any path
	repeats   bool // another request crashes servers
}

func nothing(*system, place) {}

func domainOf(s *system, n id.Node) id.FailureDomain { return s.Self(n).FailureDomain }

func start(s *system, p place) {
	if !s.Up(p.node) {
		s.Start(p.node)
	}
}

// heal ends cuts and losses of all faults at once; a later fault of the same kind ends early with it.
func heal(s *system, _ place) {
	s.Heal()
	s.Network.Loss, s.Network.Repeat = 0, 0
}

func platform(change func(s *system, p place)) fault {
	return fault{begin: change, end: func(s *system, _ place) {
		p := s.Platform
		p.Down, p.Latency, p.LoseAnswer, p.LateEffect, p.WatchGap = false, 2*time.Millisecond, 0, 0, 0
		clear(p.CutDomains)
	}}
}

func (f fault) named(name string) fault {
	f.name = name
	return f
}

// faults are the ones that users name; each acts at a place and ends by itself or with end.
var faults = []fault{
	{name: "node killed", local: true, begin: func(s *system, p place) { s.Kill(p.node) }, end: start},
	{name: "node replaced at once", local: true, begin: func(s *system, p place) {
		s.Kill(p.node)
		s.AfterFunc(time.Millisecond, func() { start(s, p) })
	}, end: nothing},
	{name: "node frozen past its lease", local: true, begin: func(s *system, p place) { s.Freeze(p.node, 6*time.Second) }, end: nothing},
	{name: "node frozen briefly", local: true, begin: func(s *system, p place) { s.Freeze(p.node, 700*time.Millisecond) }, end: nothing},
	{name: "node stopped as planned", local: true, begin: func(s *system, p place) { s.stop(p.node) }, end: nothing},
	{name: "link cut one way", local: true, begin: func(s *system, p place) { s.Cut(p.node, p.other) }, end: heal},
	{name: "link cut both ways", begin: func(s *system, p place) {
		s.Cut(p.node, p.other)
		s.Cut(p.other, p.node)
	}, end: heal},
	{name: "domain cut from domains", local: true, separates: true, begin: func(s *system, p place) { s.PartitionDomain(domainOf(s, p.node)) }, end: heal},
	{name: "messages lost and repeated", begin: func(s *system, _ place) { s.Network.Loss, s.Network.Repeat = 0.2, 0.2 }, end: heal},
	platform(func(s *system, p place) { s.Platform.CutDomains.Add(domainOf(s, p.node)) }).named("domain cut from platform"),
	platform(func(s *system, _ place) { s.Platform.Down = true }).named("platform down"),
	platform(func(s *system, _ place) { s.Platform.Latency = 700 * time.Millisecond }).named("platform slow"),
	platform(func(s *system, _ place) { s.Platform.LoseAnswer = 0.5 }).named("platform answers lost"),
	platform(func(s *system, _ place) { s.Platform.LateEffect = 0.5 }).named("platform late effects"),
	platform(func(s *system, _ place) { s.Platform.WatchGap = 1 }).named("watch gap"),
	{name: "backend server turned cold", begin: func(s *system, p place) { s.backends.Restart(p.server) }, end: nothing},
	{name: "backend server leaves", begin: func(s *system, p place) { s.books.leave(p.server) }, end: nothing},
	{name: "crash on one request", repeats: true, begin: func(s *system, _ place) { s.poison() }, end: nothing},
	{name: "answers lost after the work", begin: func(s *system, p place) { s.backends.Servers[p.server].LostResultRate = 0.5 }, end: func(s *system, p place) {
		s.backends.Servers[p.server].LostResultRate = 0
	}},
	{name: "late answers", begin: func(s *system, p place) { s.backends.Servers[p.server].SlowFactor = 30 }, end: func(s *system, p place) {
		s.backends.Servers[p.server].SlowFactor = 0
	}},
	{name: "two operators race", begin: func(s *system, p place) {
		s.drain(p.node, domainOf(s, p.other))
		s.restore(p.other, domainOf(s, p.other))
	}, end: nothing},
}

// someServer draws a server of a pool whose name begins with the prefix.
func someServer(s *system, rng *rand.Rand, pool string) id.Server {
	var names []id.Server
	for name := range s.backends.Servers {
		if strings.HasPrefix(string(name)[len("d0-"):], pool) {
			names = append(names, name)
		}
	}
	slices.Sort(names) // the order of a map is random
	return names[rng.IntN(len(names))]
}

// otherNode draws a node that is not the given one.
func otherNode(s *system, rng *rand.Rand, not id.Node) id.Node {
	for {
		if n := s.Nodes()[rng.IntN(len(s.Nodes()))]; n != not {
			return n
		}
	}
}
