package loadshare

import (
	"cmp"
	"slices"
	"time"
)

const (
	// fullInterval is the time between two complete messages. It bounds how long a lost message matters.
	fullInterval = 5 * time.Second
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
}

// restart makes the next message complete, for a new receiver.
func (o *outbox) restart() { o.fullAt = time.Time{} }

// next returns the message about a table, and whether there is anything to tell.
func (o *outbox) next(now time.Time, t table) (Digest, bool) {
	d := Digest{Scope: o.scope, Full: now.Sub(o.fullAt) >= fullInterval}
	if d.Full {
		o.sent, o.fullAt = table{}, now
	}
	for server, l := range t {
		if differs(o.sent[server], l) {
			d.Servers = append(d.Servers, l)
		}
	}
	for server := range o.sent {
		if _, left := t[server]; !left {
			d.Servers = append(d.Servers, Load{Server: server})
		}
	}
	if !d.Full && len(d.Servers) == 0 && now.Sub(o.sentAt) < keepaliveInterval {
		return Digest{}, false
	}
	slices.SortFunc(d.Servers, func(a, b Load) int { return cmp.Compare(a.Server, b.Server) })
	o.sentAt = now
	o.sent.apply(Digest{Servers: d.Servers})
	return d, true
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
