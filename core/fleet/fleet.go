package fleet

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/retry"
	"bluebellflow/core/watchcache"
)

// Entry is a server's entry in the store, written by the server itself.
type Entry struct {
	Pool     id.Pool
	Addr     netip.AddrPort
	Domain   id.FailureDomain
	Version  id.Version
	Slots    int
	Draining bool
	Cold     time.Duration // remaining time during which the server is cold
	Start    id.Start      // identifies the process; empty if unknown
}

// Decoder decodes objects of the store.
type Decoder interface {
	Server(spec []byte) (Entry, error)
}

// Server is the state of a backend server as known to this node.
type Server struct {
	ID id.Server
	Entry
	coldUntil time.Time
}

// Cold reports whether the server can take requests only at its cold rate.
func (s *Server) Cold(now time.Time) bool { return now.Before(s.coldUntil) }

type (
	// ServerChanged reports a new server or a changed entry.
	ServerChanged struct {
		event.Internal
		Server *Server
		// Restarted means that the entry belongs to another process than before.
		Restarted bool
	}
	// ServerRemoved reports that a server has no valid entry any more and must not be used.
	ServerRemoved struct {
		event.Internal
		Server *Server
	}
)

// Object kinds that the fleet reads from the store.
const (
	KindServers     = "servers"
	KindEvacuations = "evacuations"
)

// Fleet holds the backend servers, by name and by pool.
type Fleet struct {
	restored
	decoder         Decoder
	servers         map[id.Server]*Server
	pools           map[id.Pool][]*Server
	evacuated       id.Set[id.FailureDomain]
	serverStore     settling
	evacuationStore settling
	missing         map[id.Server]*Server
}

// New returns a fleet without servers.
func New(decoder Decoder) *Fleet {
	return &Fleet{
		restored: newRestored(),
		decoder:  decoder, servers: map[id.Server]*Server{}, pools: map[id.Pool][]*Server{},
		evacuated: id.NewSet[id.FailureDomain](), missing: map[id.Server]*Server{},
	}
}

// Pool returns the servers of a pool, sorted by ID. The caller must not modify the slice.
func (f *Fleet) Pool(name id.Pool) []*Server { return f.pools[name] }

// Server returns the server of the given name, or nil if there is none.
func (f *Fleet) Server(name id.Server) *Server { return f.servers[name] }

// Usable reports whether a server may get new work, and the reason if it may not.
func (f *Fleet) Usable(s *Server) (bool, string) {
	switch {
	case s.Draining:
		return false, "draining"
	case f.evacuated.Has(s.Domain):
		return false, "failure domain evacuated"
	}
	return true, ""
}

// Next returns the time of the next timer, or the zero time if there is none.
func (f *Fleet) Next() time.Time {
	return retry.Earliest(f.nextMissing(), f.nextRestored())
}

// nextMissing returns when servers whose entries are missing are removed, or the zero time if there are none.
func (f *Fleet) nextMissing() time.Time {
	if len(f.missing) == 0 {
		return time.Time{}
	}
	return f.serverStore.settledAt()
}

// Step handles one event.
func (f *Fleet) Step(now time.Time, ev event.Event) []event.Action {
	var out []event.Action
	switch ev := ev.(type) {
	case watchcache.EraChanged:
		f.handleEraChanged(now)
	case watchcache.Reachability:
		f.handleReachability(now, ev)
	case watchcache.ObjectChanged:
		out = f.handleObjectChanged(now, ev)
	case watchcache.ObjectDeleted:
		out = f.handleObjectDeleted(now, ev)
	}
	if next := f.nextMissing(); !next.IsZero() && !now.Before(next) {
		out = append(out, f.expire(now)...)
	}
	return append(out, f.expireRestored(now)...)
}

// handleReachability records whether the store is reachable.
func (f *Fleet) handleReachability(now time.Time, ev watchcache.Reachability) {
	switch ev.Kind {
	case KindServers:
		f.serverStore.handle(now, ev)
	case KindEvacuations:
		f.evacuationStore.handle(now, ev)
	}
}

func (f *Fleet) handleObjectChanged(now time.Time, ev watchcache.ObjectChanged) []event.Action {
	switch ev.Kind {
	case KindEvacuations:
		f.evacuated.Add(id.FailureDomain(ev.Object.Name))
		f.missingEvacuated.Delete(id.FailureDomain(ev.Object.Name))
		return []event.Action{event.Log{Kind: "domain", Choice: "evacuate " + ev.Object.Name, Reason: fmt.Sprintf("revision %d", ev.Object.Revision)}}
	case KindServers:
		return f.update(now, ev.Object)
	}
	return nil
}

// update applies a server's entry. A server whose entry cannot be decoded is removed. One whose entry names another pool than
// before is a new server.
func (f *Fleet) update(now time.Time, o watchcache.Object) []event.Action {
	name := id.Server(o.Name)
	entry, err := f.decoder.Server(o.Spec)
	if err != nil {
		f.dropHeldEntry(name)
		out := []event.Action{event.Log{Kind: "server", Stage: o.Name, Choice: "ignore", Reason: err.Error()}}
		if s, known := f.servers[name]; known {
			out = append(out, f.remove(s, "entry cannot be decoded")...)
		}
		return out
	}
	s, known := f.servers[name]
	var out []event.Action
	if f.held(o, entry) {
		entry.Draining = true
		out = append(out, event.Log{Kind: "server", Stage: o.Name, Choice: "hold", Reason: "the store has come back with its entry from before it left"})
	}
	if known && s.Pool != entry.Pool {
		out = append(out, f.remove(s, "entry names pool "+string(entry.Pool))...)
		known = false
	}
	restarted := known && (s.Start != entry.Start || s.Addr != entry.Addr)
	if !known {
		s = &Server{ID: name}
	}
	changed := !known || s.Draining != entry.Draining || restarted
	s.Entry = entry
	delete(f.missing, name)
	s.coldUntil = f.coldUntil(now, s, restarted)
	if !known {
		f.index(s)
	}
	out = append(out, ServerChanged{Server: s, Restarted: restarted})
	if changed {
		out = append(out, event.Log{Kind: "server", Stage: o.Name, Choice: s.logChoice(restarted), Reason: fmt.Sprintf(
			"pool=%s addr=%s domain=%s version=%s cold=%s revision=%d", s.Pool, s.Addr, s.Domain, s.Version, entry.Cold, o.Revision)})
	}
	return out
}

// coldUntil returns until when a server is cold by its entry, or by the one before it if the store may have come back with this
// one.
func (f *Fleet) coldUntil(now time.Time, s *Server, restarted bool) time.Time {
	var until time.Time
	if s.Cold(now) && !restarted && f.inFirstList() {
		until = s.coldUntil
	}
	if end := now.Add(s.Entry.Cold); s.Entry.Cold > 0 && end.After(until) {
		until = end
	}
	return until
}

func (s *Server) logChoice(restarted bool) string {
	switch {
	case s.Draining:
		return "draining"
	case restarted:
		return "restarted"
	}
	return "ready"
}

func (f *Fleet) index(s *Server) {
	f.servers[s.ID] = s
	list := append(slices.Clone(f.pools[s.Pool]), s)
	slices.SortFunc(list, func(a, b *Server) int { return compareIDs(a.ID, b.ID) })
	f.pools[s.Pool] = list
}

func compareIDs(a, b id.Server) int {
	if a < b {
		return -1
	}
	return 1
}

func (f *Fleet) unindex(s *Server) {
	delete(f.servers, s.ID)
	delete(f.missing, s.ID)
	f.pools[s.Pool] = slices.DeleteFunc(slices.Clone(f.pools[s.Pool]), func(o *Server) bool { return o == s })
}

func (f *Fleet) remove(s *Server, reason string) []event.Action {
	f.unindex(s)
	return []event.Action{
		ServerRemoved{Server: s},
		event.Log{Kind: "server", Stage: string(s.ID), Choice: "gone", Reason: fmt.Sprintf("%s pool=%s addr=%s", reason, s.Pool, s.Addr)},
	}
}

// handleObjectDeleted handles the deletion of an object. A server's entry may expire while the store is unreachable, and
// a running server writes it again afterwards. Therefore, unless the deletion is settled or the server was draining, the
// server stays until the store has been reachable for SettleTime. So do evacuations that a restored store has lost.
func (f *Fleet) handleObjectDeleted(now time.Time, ev watchcache.ObjectDeleted) []event.Action {
	switch ev.Kind {
	case KindEvacuations:
		if domain := id.FailureDomain(ev.Name); !ev.Settled && f.evacuationsLost {
			f.missingEvacuated.Add(domain)
			return nil
		}
		return []event.Action{f.returnDomain(id.FailureDomain(ev.Name), "")}
	case KindServers:
		f.dropHeldEntry(id.Server(ev.Name))
		s, known := f.servers[id.Server(ev.Name)]
		if !known {
			return nil
		}
		if ev.Settled || s.Draining {
			f.recordDeparture(now, s)
			return f.remove(s, "entry removed")
		}
		f.missing[s.ID] = s
	}
	return nil
}

// returnDomain ends the evacuation of a failure domain.
func (f *Fleet) returnDomain(domain id.FailureDomain, reason string) event.Action {
	f.evacuated.Delete(domain)
	f.missingEvacuated.Delete(domain)
	return event.Log{Kind: "domain", Choice: "return " + string(domain), Reason: reason}
}

// expire removes the servers whose entries were not written again in time.
func (f *Fleet) expire(now time.Time) []event.Action {
	var out []event.Action
	for _, name := range slices.Sorted(maps.Keys(f.missing)) {
		f.recordDeparture(now, f.missing[name])
		out = append(out, f.remove(f.missing[name], "entry was not written again after the store became reachable")...)
	}
	return out
}
