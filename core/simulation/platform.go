package simulation

import (
	"maps"
	"slices"
	"strings"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

// callTimeout is how long a client waits for an answer of the platform before it gives up.
const callTimeout = time.Second

// Platform is the object API with the faults that the real one has.
type Platform struct {
	Latency    time.Duration
	Down       bool                      // every call is unavailable
	CutDomains id.Set[id.FailureDomain]  // domains that cannot reach it
	LoseAnswer float64                   // probability that a call takes effect and its answer is lost
	LoseCall   float64                   // probability that a call and its answer are lost without effect
	LateEffect float64                   // probability that a lost put takes effect only later
	WatchGap   float64                   // probability that a change event is dropped and a gap is reported instead
	Objects    map[string]event.Object   // committed state, for oracles
	History    map[string][]event.Object // every committed version
	Calls      map[event.Op]int          // calls seen, for cost figures
	world      *World
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

func (p *Platform) call(from id.Node, c event.PlatformCall) {
	p.Calls[c.Op]++
	h := p.world.nodes[from]
	if c.Op == event.OpWatch {
		h.watched = append(h.watched, c.Name)
		return
	}
	life := h.generation
	answer := func(after time.Duration, r event.PlatformResult) {
		r.Call = c
		p.world.push(delivery{at: p.world.Now.Add(after), to: from, generation: life, ev: r})
	}
	if !p.reachable(from) {
		answer(p.Latency, event.PlatformResult{Code: event.CodeUnavailable})
		return
	}
	if p.world.Rand.Float64() < p.LoseCall {
		answer(callTimeout, event.PlatformResult{Code: event.CodeUnknown})
		return
	}
	if c.Op == event.OpPut && p.world.Rand.Float64() < p.LateEffect {
		p.world.AfterFunc(2*callTimeout, func() { p.apply(c) })
		answer(callTimeout, event.PlatformResult{Code: event.CodeUnknown})
		return
	}
	lost := p.world.Rand.Float64() < p.LoseAnswer
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

// notifyWatchers tells the watchers of an object; a watcher that cannot reach the platform learns of a gap later.
func (p *Platform) notifyWatchers(o event.Object) {
	for _, name := range p.world.order {
		h := p.world.nodes[name]
		watches := slices.ContainsFunc(h.watched, func(prefix string) bool { return strings.HasPrefix(o.Name, prefix) })
		if !watches || !h.up {
			continue
		}
		if !p.reachable(name) || p.world.Rand.Float64() < p.WatchGap {
			p.reportGap(name, h.generation)
			continue
		}
		p.world.Inject(name, event.ObjectChanged{Name: o.Name, Version: o.Version}, p.Latency)
	}
}

// reportGap reports a gap once the node reaches the platform again.
func (p *Platform) reportGap(name id.Node, life uint64) {
	p.world.AfterFunc(callTimeout, func() {
		h := p.world.nodes[name]
		if !h.up || h.generation != life {
			return
		}
		if !p.reachable(name) {
			p.reportGap(name, life)
			return
		}
		p.world.Inject(name, event.ObjectChanged{}, 0)
	})
}
