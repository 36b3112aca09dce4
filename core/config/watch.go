package config

import (
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/member"
	"bluebellflow/core/retry"
)

// readState tracks reads of the head. Watchers read it to learn of changes, and every process reads it when it starts.
type readState struct {
	callSeq      uint64 // the read in flight, 0 for none
	rereadNeeded bool   // a change was announced during the read in flight
	retry        retry.Timer
	poll         retry.Timer // set on watchers only
	watching     bool
	answered     bool // the platform has answered at least once
}

func (c *Config) handleView(now time.Time, view *member.View) {
	first := c.view == nil
	c.view = view
	watches := slices.Contains(c.domainWatchers(), c.self.Node)
	switch {
	case watches && !c.read.watching:
		c.out = append(c.out, event.PlatformCall{Owner: owner, Op: event.OpWatch, Name: headName})
		c.read.watching = true
		c.read.poll.Set(now, pollInterval)
		c.readHead(now)
	case watches && c.read.poll.Next().IsZero():
		c.read.poll.Set(now, pollInterval)
		c.readHead(now)
	case !watches:
		c.read.poll.Clear()
	}
	if first && c.revision == 0 {
		for _, peer := range c.domainWatchers() {
			c.send(peer, Ask{Known: c.revision})
		}
	}
}

// domainWatchers returns the nodes of this node's failure domain that watch the head.
func (c *Config) domainWatchers() []id.Node {
	var out []id.Node
	for _, n := range c.view.Owners(headName, watchersPerDomain, member.InDomain(c.self.FailureDomain)) {
		out = append(out, n.ID)
	}
	return out
}

func (c *Config) readHead(now time.Time) {
	if c.read.callSeq != 0 {
		c.read.rereadNeeded = true
		return
	}
	c.read.rereadNeeded = false
	c.read.callSeq = c.startCall(now, pendingCall{purpose: purposeReadHead}, event.PlatformCall{Op: event.OpGet, Name: headName})
}

func (c *Config) handleHeadRead(now time.Time, ev event.PlatformResult) {
	c.read.callSeq = 0
	head, object, err := headFromResult(ev)
	switch {
	case ev.Code != event.CodeOK && ev.Code != event.CodeNotFound:
		// A node that is not a watcher reads the platform only when it starts; afterwards its peers keep it up to date.
		if c.read.rereadNeeded || !c.read.answered && c.revision == 0 || !c.read.poll.Next().IsZero() {
			c.read.retry.Fail(now, c.self.Rand)
		}
		return
	case err != nil:
		c.log("ignored", "head version %d: %v", object.Version, err)
	case head.Revision == 0:
		c.ready = true
	default:
		c.startPull(now, head, object.Value, "")
	}
	c.read.answered = true
	c.read.retry.Clear()
	if c.read.rereadNeeded {
		c.readHead(now)
	}
}

// gossipToPeer sends the revision alternately to a watcher of this node's failure domain and to a random node. Contact
// with watchers bounds the time until a new revision arrives; contact with random nodes connects domains whose watchers
// are cut off.
func (c *Config) gossipToPeer() {
	if c.view == nil || len(c.view.Nodes) < 2 {
		return
	}
	c.gossipRounds++
	peers := slices.DeleteFunc(c.domainWatchers(), func(n id.Node) bool { return n == c.self.Node })
	if c.gossipRounds%2 == 0 || len(peers) == 0 {
		c.send(c.view.Nodes[c.self.Rand.IntN(len(c.view.Nodes))].ID, Have{Revision: c.revision})
		return
	}
	c.send(peers[c.self.Rand.IntN(len(peers))], Have{Revision: c.revision})
}

// broadcastRevision sends a new revision to all nodes of this node's failure domain and to one node of each other domain.
func (c *Config) broadcastRevision() {
	if c.view == nil {
		return
	}
	others := id.NewSet[id.FailureDomain]()
	for _, n := range c.view.Nodes {
		if n.FailureDomain == c.self.FailureDomain {
			c.send(n.ID, Have{Revision: c.revision})
			continue
		}
		others.Add(n.FailureDomain)
	}
	for _, d := range others.Sorted() {
		for _, n := range c.view.Owners(string(c.self.Node), 1, member.InDomain(d)) {
			c.send(n.ID, Have{Revision: c.revision})
		}
	}
}
