package scalesim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
	"bluebellflow/core/selfreport"
)

const (
	poolName id.Pool = "models"
	// slots is the number of requests that a server works on at the same time.
	slots = 12
	// coldTime is how long a server is cold after its start, and coldRate the requests per second that it begins then.
	coldTime = 3 * time.Second
	coldRate = 11
	// meanWork is the mean time of a server for a request. It varies between half and one and a half of that.
	meanWork = time.Second
	// maxSlotWait is how long a request waits for a slot before it is refused.
	maxSlotWait = time.Second
	// maxQueue is the number of requests that wait at a server.
	maxQueue = 24
	// startTime is Scale.Boot: the time from an order until a server serves.
	startTime = 8 * time.Second
)

// job is a request.
type job struct {
	arrived time.Duration
	ends    time.Duration // when its server has finished it, 0 while it waits
	node    *node
	server  *server
}

// server is a server of the pool.
type server struct {
	*fleet.Server
	coldUntil time.Duration
	nextCold  time.Duration // when it may begin the next request while it is cold
	running   []*job
	queue     []*job
}

func (s *server) load() selfreport.Load {
	return selfreport.Load{Running: len(s.running), Waiting: len(s.queue), Slots: slots}
}

// addServer starts a server.
func (w *World) addServer(domain id.FailureDomain, cold bool) {
	w.started++
	name := id.Server(fmt.Sprintf("s%04d", w.started))
	s := &server{Server: &fleet.Server{ID: name, Entry: fleet.Entry{Pool: poolName, Domain: domain, Slots: slots}}}
	if cold {
		s.coldUntil = w.now + coldTime
	}
	w.servers = append(w.servers, s)
}

// Pool returns the servers that the store lists.
func (w *World) Pool(id.Pool) []*fleet.Server {
	var out []*fleet.Server
	for _, s := range w.servers {
		out = append(out, s.Server)
	}
	return out
}

// Usable reports whether a server may get requests.
func (w *World) Usable(s *fleet.Server) (bool, string) {
	return !s.Draining && !w.evacuated.Has(s.Domain), ""
}

// count returns the number of servers in a failure domain that do not drain.
func (w *World) count(domain id.FailureDomain) int {
	n := 0
	for _, s := range w.servers {
		if s.Domain == domain && !s.Draining {
			n++
		}
	}
	return n
}

// crash removes servers with their requests, and starts as many again after a time, 0 for never.
func (w *World) crash(domain id.FailureDomain, n int, back time.Duration) {
	w.servers = slices.DeleteFunc(w.servers, func(s *server) bool {
		if s.Domain != domain || n == 0 {
			return false
		}
		n--
		w.result.Broken += len(s.running) + len(s.queue)
		if back > 0 {
			w.at(w.now+back, func() { w.addServer(domain, true) })
		}
		return true
	})
}

// scaleTo carries out an order: servers start after the boot time, or the last ones drain.
func (w *World) scaleTo(domain id.FailureDomain, desired int) {
	have := w.count(domain) + w.booting[domain]
	for ; have < desired; have++ {
		w.booting[domain]++
		w.at(w.now+startTime, func() {
			w.booting[domain]--
			w.addServer(domain, true)
		})
	}
	for _, s := range slices.Backward(w.servers) {
		if have > desired && s.Domain == domain && !s.Draining {
			s.Draining = true
			have--
		}
	}
}

// arrive sends the requests of a tick to servers.
func (w *World) arrive(tick time.Duration) {
	mean := w.pattern.Rate * w.pattern.Shape(w.now) * tick.Seconds()
	usable := slices.DeleteFunc(slices.Clone(w.servers), func(s *server) bool {
		ok, _ := w.Usable(s.Server)
		return !ok
	})
	for range poisson(w.rng, mean) {
		w.result.Requests++
		w.place(&job{arrived: w.now, node: w.nodes[w.rng.IntN(len(w.nodes))]}, usable)
	}
}

// poisson returns a random number of the Poisson distribution.
func poisson(rng *rand.Rand, mean float64) int {
	n, left := 0, math.Exp(-mean)
	for p := rng.Float64(); p > left; p *= rng.Float64() {
		n++
	}
	return n
}

// choices is the number of servers whose load is compared for a request.
const choices = 2

// place sends a request to the less loaded one of a few of the usable servers.
func (w *World) place(j *job, usable []*server) {
	var best *server
	for range min(choices, len(usable)) {
		s := usable[w.rng.IntN(len(usable))]
		if best == nil || len(s.running)+len(s.queue) < len(best.running)+len(best.queue) {
			best = s
		}
	}
	if best == nil || len(best.queue) >= maxQueue {
		w.refuse(j)
		return
	}
	j.server = best
	best.queue = append(best.queue, j)
}

func (w *World) refuse(j *job) {
	w.result.Refused++
	j.node.autoscaler.Refused(poolName, meanWork)
}

// work lets the servers end, begin and refuse requests.
func (w *World) work() {
	for _, s := range w.servers {
		s.running = slices.DeleteFunc(s.running, func(j *job) bool { return j.ends <= w.now })
		for len(s.queue) > 0 && len(s.running) < slots && (w.now >= s.coldUntil || w.now >= s.nextCold) {
			j := s.queue[0]
			s.queue = s.queue[1:]
			s.nextCold = w.now + time.Second/coldRate
			j.ends = w.now + meanWork/2 + time.Duration(w.rng.Int64N(int64(meanWork)))
			s.running = append(s.running, j)
			w.result.wait(w.now - j.arrived)
			j.node.autoscaler.ObserveLoad(poolName, s.Domain, s.load())
		}
		s.queue = slices.DeleteFunc(s.queue, func(j *job) bool {
			late := w.now-j.arrived > maxSlotWait
			if late {
				w.refuse(j)
			}
			return late
		})
	}
	w.servers = slices.DeleteFunc(w.servers, func(s *server) bool { return s.Draining && len(s.running)+len(s.queue) == 0 })
}
