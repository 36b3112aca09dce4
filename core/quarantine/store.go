package quarantine

import (
	"time"

	"bluebellflow/core/event"
)

// store is the state of the platform object. It keeps the counters for nodes that start when no peer knows them.
type store struct {
	inFlight bool
	dirty    bool // this node has counted a crash that the object may lack
	nextRead time.Time
	lastSeq  uint64
}

func (g *Guard) readStore() []event.Action {
	if g.store.inFlight || g.noGossip {
		return nil
	}
	return g.callStore(event.PlatformCall{Op: event.OpGet})
}

func (g *Guard) callStore(c event.PlatformCall) []event.Action {
	g.store.lastSeq++
	g.store.inFlight, g.store.nextRead = true, time.Time{}
	c.Owner, c.Seq, c.Name = owner, g.store.lastSeq, objectName
	return []event.Action{c}
}

// handleResult merges the object that was read and writes it if it lacks crashes that this node has counted.
func (g *Guard) handleResult(now time.Time, r event.PlatformResult) []event.Action {
	if r.Call.Seq != g.store.lastSeq {
		return nil
	}
	g.store.inFlight = false
	if r.Call.Op == event.OpPut {
		if r.Code == event.CodeOK {
			if g.store.dirty {
				return g.readStore() // a crash was counted after the value was encoded
			}
			return nil
		}
		g.store.dirty = true
		// Reading again resolves a conflict or a lost answer.
		g.store.nextRead = now.Add(time.Duration(g.self.Rand.Int64N(int64(storeRetryInterval))))
		return nil
	}
	var o event.Object
	switch r.Code {
	case event.CodeOK:
		o = r.Objects[0]
	case event.CodeNotFound:
	default:
		g.store.nextRead = now.Add(storeRetryInterval)
		return nil
	}
	if !g.counters.mergeObject(o.Value, now) || !g.store.dirty {
		g.store.dirty = false
		return nil
	}
	g.store.dirty = false
	return g.callStore(event.PlatformCall{Op: event.OpPut, Version: o.Version, Value: g.counters.encodeObject(now)})
}
