package loadshare

import (
	"cmp"
	"slices"
	"time"

	"bluebellflow/core/cost"
)

const (
	// fullInterval is the time between two complete messages about fullServers servers or fewer, and longer in proportion to more of
	// them. It bounds how long a lost message matters.
	fullInterval = 5 * time.Second
	fullServers  = 256
	// readsPerRequest is the number of readUnits that count like a request in the order of changes.
	readsPerRequest = 8
	// maxChanges bounds the servers in other messages, so that their bytes do not grow with the servers. The largest changes go
	// first.
	maxChanges = 96
	// keepaliveInterval is the longest time between two messages.
	keepaliveInterval = time.Second
)

// table is the work by the hash of the server. Servers without work are not in it.
type table map[uint32]Load

// apply brings a table up to date with a message.
func (t table) apply(d Digest) {
	if d.Full {
		clear(t)
	}
	for _, l := range d.Servers {
		if l.idle() {
			delete(t, l.Server)
		} else if _, known := t[l.Server]; known || len(t) < maxLoads {
			t[l.Server] = l
		}
	}
}

// add adds the work of another table.
func (t table) add(o table) {
	for server, l := range o {
		if old, known := t[server]; known || len(t) < maxLoads {
			t[server] = old.plus(l)
		}
	}
}

// differs reports whether a change of the work at a server is worth a message: the more work there is, the less a request matters.
func differs(old, now Load) bool {
	if old.idle() != now.idle() {
		return true
	}
	far := func(a, b, most uint32) bool { return max(a, b)-min(a, b) > most }
	return far(old.Requests, now.Requests, old.Requests/8) || far(old.Read, now.Read, 4+old.Read/8) || far(old.Write, now.Write, 4+old.Write/4)
}

// outbox makes the messages for one receiver or several that get the same.
type outbox struct {
	scope  Scope
	sent   table // what the receivers know
	sentAt time.Time
	fullAt time.Time
	turn   uint64 // number of the message, which decides between changes of the same size
}

// restart makes the next message complete, for a new receiver.
func (o *outbox) restart() { o.fullAt = time.Time{} }

// next returns the message about a table, and whether there is anything to tell.
func (o *outbox) next(now time.Time, t table) (Digest, bool) {
	interval := fullInterval * time.Duration(max(1, len(t)/fullServers))
	d := Digest{Scope: o.scope, Full: now.Sub(o.fullAt) >= interval}
	if d.Full {
		o.sent, o.fullAt = table{}, now
	}
	d.Servers = o.changes(t)
	if !d.Full {
		d.Servers = d.Servers[:min(len(d.Servers), maxChanges)]
	}
	if !d.Full && len(d.Servers) == 0 && now.Sub(o.sentAt) < keepaliveInterval {
		return Digest{}, false
	}
	o.sentAt = now
	o.turn++
	o.sent.apply(Digest{Servers: d.Servers})
	return d, true
}

// changes returns the servers of which the receivers do not know the work, those with the largest changes first.
func (o *outbox) changes(t table) []Load {
	var out []Load
	for server, l := range t {
		if differs(o.sent[server], l) {
			out = append(out, l)
		}
	}
	for server := range o.sent {
		if _, left := t[server]; !left {
			out = append(out, Load{Server: server})
		}
	}
	slices.SortFunc(out, func(a, b Load) int {
		return cmp.Or(
			cmp.Compare(change(o.sent[b.Server], b), change(o.sent[a.Server], a)),
			cmp.Compare(cost.Mix(uint64(a.Server), o.turn), cost.Mix(uint64(b.Server), o.turn)))
	})
	return out
}

// change returns the size of a change of the work at a server, in requests.
func change(old, now Load) int {
	distance := func(a, b uint32) int { return int(max(a, b) - min(a, b)) }
	return distance(old.Requests, now.Requests) + distance(old.Read, now.Read)/readsPerRequest
}

// inbox is what another node has told.
type inbox struct {
	table
	at time.Time // of the last message
}

// receive records a message.
func (b *inbox) receive(now time.Time, d Digest) {
	b.at = now
	b.apply(d)
}

// fresh reports whether the sender has been heard lately.
func (b *inbox) fresh(now time.Time) bool { return now.Sub(b.at) < silence }
