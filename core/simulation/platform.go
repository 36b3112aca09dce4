package simulation

import (
	"maps"
	"slices"
	"strings"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

// callTimeout is how long a client waits for an answer of the platform.
const callTimeout = time.Second

// Platform simulates the platform's object API and its faults.
type Platform struct {
	Latency        time.Duration
	Down           bool                      // every call fails as unavailable
	CutDomains     id.Set[id.FailureDomain]  // failure domains that cannot reach the platform
	LostAnswerRate float64                   // probability that a call takes effect but its answer is lost
	LostCallRate   float64                   // probability that a call is lost without effect
	LateEffectRate float64                   // probability that a put without an answer takes effect only after the timeout
	WatchGapRate   float64                   // probability that a change event is dropped and a gap is reported instead
	Objects        map[string]event.Object   // committed state, for tests
	History        map[string][]event.Object // every committed version
	Calls          map[event.Op]int          // number of calls, for cost figures
	world          *World
}

func newPlatform(w *World) *Platform {
	return &Platform{
		Latency:    2 * time.Millisecond,
		CutDomains: id.NewSet[id.FailureDomain](),
		Objects:    map[string]event.Object{},
		History:    map[string][]event.Object{},
		Calls:      map[event.Op]int{},
		world:      w,
	}
}

func (p *Platform) reachable(name id.Node) bool {
	return !p.Down && !p.CutDomains.Has(p.world.nodes[name].self.FailureDomain)
}

// call performs a platform call of a node and schedules the answer.
func (p *Platform) call(from id.Node, c event.PlatformCall) {
	p.Calls[c.Op]++
	n := p.world.nodes[from]
	if c.Op == event.OpWatch {
		n.watched = append(n.watched, c.Name)
		return
	}
	generation := n.generation
	answer := func(after time.Duration, r event.PlatformResult) {
		r.Call = c
		p.world.push(delivery{at: p.world.Now.Add(after), to: from, generation: generation, ev: r})
	}
	if !p.reachable(from) {
		answer(p.Latency, event.PlatformResult{Code: event.CodeUnavailable})
		return
	}
	if p.world.Rand.Float64() < p.LostCallRate {
		answer(callTimeout, event.PlatformResult{Code: event.CodeUnknown})
		return
	}
	if c.Op == event.OpPut && p.world.Rand.Float64() < p.LateEffectRate {
		p.world.AfterFunc(2*callTimeout, func() { p.apply(c) })
		answer(callTimeout, event.PlatformResult{Code: event.CodeUnknown})
		return
	}
	lost := p.world.Rand.Float64() < p.LostAnswerRate
	p.world.AfterFunc(p.Latency/2, func() {
		if lost {
			p.apply(c)
			answer(callTimeout, event.PlatformResult{Code: event.CodeUnknown})
			return
		}
		answer(p.Latency/2, p.apply(c))
	})
}

func (p *Platform) apply(c event.PlatformCall) event.PlatformResult {
	old, exists := p.Objects[c.Name]
	switch c.Op {
	case event.OpGet:
		if !exists {
			return event.PlatformResult{Code: event.CodeNotFound}
		}
		return event.PlatformResult{Code: event.CodeOK, Objects: []event.Object{old}}
	case event.OpList:
		var found []event.Object
		for _, name := range slices.Sorted(maps.Keys(p.Objects)) {
			if strings.HasPrefix(name, c.Name) {
				found = append(found, event.Object{Name: name, Version: p.Objects[name].Version})
			}
		}
		return event.PlatformResult{Code: event.CodeOK, Objects: found}
	case event.OpPut:
		if old.Version != c.Version {
			return event.PlatformResult{Code: event.CodeConflict}
		}
		next := event.Object{Name: c.Name, Version: old.Version + 1, Value: slices.Clone(c.Value)}
		p.Objects[c.Name] = next
		p.History[c.Name] = append(p.History[c.Name], next)
		p.notifyWatchers(next)
		return event.PlatformResult{Code: event.CodeOK, Objects: []event.Object{{Name: c.Name, Version: next.Version}}}
	}
	return event.PlatformResult{Code: event.CodeUnavailable}
}

// notifyWatchers reports a change to the watchers of an object. A watcher that misses it gets a gap report later.
func (p *Platform) notifyWatchers(o event.Object) {
	for _, name := range p.world.order {
		n := p.world.nodes[name]
		watches := slices.ContainsFunc(n.watched, func(prefix string) bool { return strings.HasPrefix(o.Name, prefix) })
		if !watches || !n.up {
			continue
		}
		if !p.reachable(name) || p.world.Rand.Float64() < p.WatchGapRate {
			p.reportGap(name, n.generation)
			continue
		}
		p.world.Inject(name, event.ObjectChanged{Name: o.Name, Version: o.Version}, p.Latency)
	}
}

// reportGap tells a watcher that it missed changes, as soon as it can reach the platform.
func (p *Platform) reportGap(name id.Node, generation uint64) {
	p.world.AfterFunc(callTimeout, func() {
		n := p.world.nodes[name]
		if !n.up || n.generation != generation {
			return
		}
		if !p.reachable(name) {
			p.reportGap(name, generation)
			return
		}
		p.world.Inject(name, event.ObjectChanged{}, 0)
	})
}
