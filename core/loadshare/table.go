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
	// maxChanges bounds the servers in a message that is not complete, so that its size does not grow with the number of servers.
	// The largest changes are sent first.
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
	exceeds := func(a, b, most uint32) bool { return max(a, b)-min(a, b) > most }
	return exceeds(old.Requests, now.Requests, old.Requests/8) || exceeds(old.Read, now.Read, 4+old.Read/8) || exceeds(old.Write, now.Write, 4+old.Write/4)
}

// outbox makes the messages for one receiver or several that get the same.
type outbox struct {
	scope  Scope
	sent   table // work that the receivers have
	sentAt time.Time
	fullAt time.Time
	count  uint64 // number of messages, which varies the order of changes of the same size
}

// restart makes the next message complete, for a new receiver.
func (o *outbox) restart() { o.fullAt = time.Time{} }

// next returns the message about a table, and whether there is one to send.
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
	o.count++
	o.sent.apply(Digest{Servers: d.Servers})
	return d, true
}

// changes returns the servers whose work differs from what the receivers have, those with the largest changes first.
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
			cmp.Compare(cost.Mix(uint64(a.Server), o.count), cost.Mix(uint64(b.Server), o.count)))
	})
	return out
}

// change returns the size of a change of the work at a server, in requests.
func change(old, now Load) int {
	distance := func(a, b uint32) int { return int(max(a, b) - min(a, b)) }
	return distance(old.Requests, now.Requests) + distance(old.Read, now.Read)/readsPerRequest
}

// inbox holds the work from another node.
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
func (b *inbox) fresh(now time.Time) bool { return now.Sub(b.at) < silenceTimeout }
