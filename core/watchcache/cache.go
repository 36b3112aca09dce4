package watchcache

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

const (
	// gossipInterval is how often a node compares revisions with a peer; a change that only some nodes know reaches all
	// within a few intervals.
	gossipInterval = time.Second
	// gossipFanout is how many peers are told of a new revision at once.
	gossipFanout = 2
	// SettleTime is how long the store must have been reachable before a missing object counts as deleted by its owner:
	// objects that expired while the store was unreachable are written again within that time.
	SettleTime = 2 * time.Second
	// peerReportTTL is how long a peer's report that the store answers it and that its kinds are settled stays valid.
	peerReportTTL = 2500 * time.Millisecond
	// peerReportLag is how long such reports are ignored after the store has stopped answering this node: the peer may not
	// have noticed yet.
	peerReportLag = time.Second
	// maxPeers bounds the peers with which a node compares revisions.
	maxPeers = 6
	// maxTombstones bounds the deletions remembered per kind; a peer that is further behind gets the whole kind.
	maxTombstones = 512
)

// Cache holds a node's copies of some object kinds.
type Cache struct {
	eraState
	self       event.Self
	kinds      []string
	kindCaches map[string]*kindCache
	peers      []id.Node
	nextGossip time.Time
	advanced   bool // some revision has advanced since the last gossip

	sources         sources
	mustFollow      bool           // follow the store even if a source does
	followsStore    bool           // this node follows the store itself
	followsAsSource bool           // the Follows in effect say that this node is the source of the others
	early           earlyReply     // of a source whose changes have not arrived
	peerSettledAt   time.Time      // when a peer last reported that its kinds are settled
	following       id.Set[string] // kinds with a Follow in effect
}

// kindCache is the copy of one kind.
type kindCache struct {
	revision         uint64
	objects          map[string]Object
	tombstones       []Tombstone // oldest first
	tombstoneFloor   uint64      // deletions up to this revision are no longer remembered
	loaded           bool
	outdated         bool                        // the copy is of an earlier era
	newer            func(old, next Object) bool // nil if only revisions order the versions of an object
	kept             map[string]Object           // of an earlier era, and newer than what the store has
	lateAllowed      bool                        // changes may be late if a watch is lost
	storeUp          bool                        // the store answers this node or its source
	storeUpChangedAt time.Time                   // when storeUp last changed
	storeLostAt      time.Time                   // when storeUp last became false
	reachable        bool                        // the store answers this node, its source or a peer that has reported so
	reachableSince   time.Time                   // when reachable last changed, or earlier if a peer's kinds were already settled
}

// New returns an empty Cache of some kinds. The first kind must be the one through which nodes find each other; it is
// followed from the beginning.
func New(self event.Self, kinds ...string) *Cache {
	c := &Cache{self: self, kinds: kinds, kindCaches: map[string]*kindCache{}, following: id.NewSet[string]()}
	for _, kind := range kinds {
		c.kindCaches[kind] = &kindCache{objects: map[string]Object{}, kept: map[string]Object{}}
	}
	return c
}

// AllowLate lets the watch of a kind wait as long at the source as at other nodes, which saves calls. A change is then late if
// the watch is lost.
func (c *Cache) AllowLate(kind string) { c.kindCaches[kind].lateAllowed = true }

// SetPeers sets the nodes of the cluster. A node compares revisions with only maxPeers of them, chosen by hash, because
// each peer costs a connection.
func (c *Cache) SetPeers(nodes []id.Node) {
	c.peers = slices.DeleteFunc(slices.Clone(nodes), func(n id.Node) bool { return n == c.self.Node })
	rank := func(n id.Node) uint64 { return xxhash.Sum64String(string(c.self.Node) + "/" + string(n)) }
	slices.SortFunc(c.peers, func(a, b id.Node) int { return cmp.Compare(rank(a), rank(b)) })
	c.peers = c.peers[:min(len(c.peers), maxPeers)]
}

// Loaded reports whether a kind has been loaded.
func (c *Cache) Loaded(kind string) bool { return c.kindCaches[kind].loaded }

// Revision returns the revision that the copy of a kind has reached.
func (c *Cache) Revision(kind string) uint64 { return c.kindCaches[kind].revision }

// StoreUp reports whether the store answers this node or its source for a kind, and since when that has been so.
func (c *Cache) StoreUp(kind string) (up bool, since time.Time) {
	k := c.kindCaches[kind]
	return k.storeUp, k.storeUpChangedAt
}

// Object returns an object of a copy.
func (c *Cache) Object(kind, name string) (Object, bool) {
	o, ok := c.kindCaches[kind].objects[name]
	return o, ok
}

// Names returns the names of all objects of a kind in ascending order.
func (c *Cache) Names(kind string) []string {
	return slices.Sorted(maps.Keys(c.kindCaches[kind].objects))
}

// SetSource sets the node from which this node polls changes, empty for none, and the alternates that it polls while that one
// does not confirm that the store answers it. With mustFollow set, this node follows the store itself in any case.
func (c *Cache) SetSource(now time.Time, source id.Node, alternates []id.Node, mustFollow bool) {
	c.mustFollow = mustFollow || source == c.self.Node
	c.sources.set(now, c.self.Node, source, alternates)
}

// FollowsStore reports whether this node follows the store itself.
func (c *Cache) FollowsStore() bool { return c.followsStore }

// Next returns the time of the next timer.
func (c *Cache) Next() time.Time {
	if at := c.sources.nextPoll; c.pollsSource() && at.Before(c.nextGossip) {
		return at
	}
	return c.nextGossip
}

// Step handles one event.
func (c *Cache) Step(now time.Time, ev event.Event) []event.Action {
	var out []event.Action
	if c.nextGossip.IsZero() {
		c.nextGossip = now.Add(gossipInterval)
		c.sources.failingSince = now
	}
	switch ev := ev.(type) {
	case StoreEra:
		out = append(out, c.learnEra(now, ev.Era, "the store")...)
	case Listed:
		out = append(out, c.handleListed(now, ev)...)
	case Updated:
		out = append(out, c.handleUpdated(now, ev)...)
	case StoreLink:
		if c.following.Has(ev.Kind) {
			out = append(out, c.handleStoreLink(now, ev)...)
		}
	case event.Receive:
		out = append(out, c.handleMessage(now, ev)...)
	}
	out = append(out, c.updateFollowing(now)...)
	out = append(out, c.updateReachability(now)...)
	if c.pollsSource() {
		for _, to := range c.sources.poll(now) {
			out = append(out, event.Send{To: to, Body: c.knownRevisions(now, true)})
		}
	}
	if c.advanced || !now.Before(c.nextGossip) {
		out = append(out, c.gossip(now)...)
	}
	return out
}

// pollsSource reports whether this node polls another node for changes.
func (c *Cache) pollsSource() bool {
	return c.sources.primary != "" && c.sources.primary != c.self.Node
}

// updateFollowing starts or stops following the store. This node follows it if it must, or if no source has confirmed for a
// while that the store answers it. Until the first confirmation it follows the first kind, and each other kind until it is
// loaded, because callers arrive before a source is known.
func (c *Cache) updateFollowing(now time.Time) []event.Action {
	want := c.mustFollow || c.sources.silent(now) || c.followsStore && !c.sources.reliable(now)
	var out []event.Action
	if want != c.followsStore {
		out = append(out, event.Log{Kind: "store", Choice: map[bool]string{true: "follow", false: "rely on source"}[want], Reason: "source=" + string(c.sources.polled)})
	}
	c.followsStore = want
	asSource := c.sources.primary == c.self.Node
	changed := asSource != c.followsAsSource
	c.followsAsSource = asSource
	for i, kind := range c.kinds {
		initial := !c.sources.everConfirmed && (i == 0 || !c.kindCaches[kind].loaded)
		k := c.kindCaches[kind]
		switch following := c.following.Has(kind); {
		case (want || initial) && (!following || c.refollow || changed && !k.lateAllowed):
			c.following.Add(kind)
			out = append(out, Follow{Kind: kind, Era: c.era, Revision: k.revision, AsSource: asSource && !k.lateAllowed})
		case !want && !initial && following:
			c.following.Delete(kind)
			out = append(out, Unfollow{Kind: kind})
		}
	}
	c.refollow = false
	return out
}

// handlePollReply records whether the store answers a source. The source has sent its changes before the reply. One of another
// era does not confirm anything.
func (c *Cache) handlePollReply(now time.Time, from id.Node, reply PollReply) []event.Action {
	out := c.learnPeerEra(now, reply.Era, from)
	if !c.inEra(reply.Era) {
		reply.Up, reply.Settled = false, false
	} else if reply.Up && c.lacks(reply.Revisions) {
		c.early = earlyReply{reply, from, now}
		return out
	}
	if from == c.early.from {
		c.early = earlyReply{}
	}
	if reply.Settled {
		out = append(out, c.handlePeerSettled(now)...)
	}
	if !c.sources.reply(now, from, reply.Up) || c.followsStore {
		return out
	}
	for _, kind := range c.kinds {
		if !c.following.Has(kind) {
			out = append(out, c.handleStoreLink(now, StoreLink{Kind: kind, Up: reply.Up})...)
		}
	}
	return out
}

// earlyReply is a confirmation that has arrived before its changes, which are sent on another stream if they are large.
type earlyReply struct {
	reply PollReply
	from  id.Node
	at    time.Time
}

// handleEarlyReply handles an early reply once its changes have arrived, as of the time of its own arrival. After answerTimeout it no
// longer counts.
func (c *Cache) handleEarlyReply(now time.Time) []event.Action {
	early := c.early
	if early.from == "" || c.lacks(early.reply.Revisions) {
		return nil
	}
	c.early = earlyReply{}
	if now.Sub(early.at) >= answerTimeout || !c.inEra(early.reply.Era) {
		return nil
	}
	return c.handlePollReply(early.at, early.from, early.reply)
}

// lacks reports whether the copy of a kind has not reached a revision.
func (c *Cache) lacks(revisions []KindRevision) bool {
	for _, r := range revisions {
		if k, ok := c.kindCaches[r.Kind]; ok && k.revision < r.Known {
			return true
		}
	}
	return false
}

func (c *Cache) handleStoreLink(now time.Time, ev StoreLink) []event.Action {
	k, ok := c.kindCaches[ev.Kind]
	if !ok || k.storeUp == ev.Up {
		return nil
	}
	k.storeUp, k.storeUpChangedAt = ev.Up, now
	if !ev.Up {
		k.storeLostAt = now
	}
	choice := "lost"
	if ev.Up {
		choice = "regained"
	}
	out := []event.Action{event.Log{Kind: "store", Stage: ev.Kind, Choice: choice, Reason: "revision " + strconv.FormatUint(k.revision, 10)}}
	return append(out, c.updateReachability(now)...)
}

// settled reports whether the store has been reachable for SettleTime.
func (k *kindCache) settled(now time.Time) bool {
	return k.reachable && now.Sub(k.reachableSince) >= SettleTime
}

// handlePeerSettled records that a peer's kinds are settled, and settles this node's. The store may reject this node while
// it serves the others, so that no objects expire: an object that is missing afterwards was deleted by its owner.
func (c *Cache) handlePeerSettled(now time.Time) []event.Action {
	c.peerSettledAt = now
	var out []event.Action
	for _, kind := range c.kinds {
		if k := c.kindCaches[kind]; k.acceptsPeerReport(now) && !k.settled(now) && !k.outdated {
			k.reachable, k.reachableSince = true, now.Add(-SettleTime)
			out = append(out, Reachability{Kind: kind, Up: true, Settled: true})
		}
	}
	return out
}

// acceptsPeerReport reports whether a peer's report that arrived at the given time counts.
func (k *kindCache) acceptsPeerReport(at time.Time) bool {
	return !at.IsZero() && at.Sub(k.storeLostAt) >= peerReportLag
}

// updateReachability updates, for each kind, whether the store is reachable. A kind that has not been listed in this era counts as
// unreachable.
func (c *Cache) updateReachability(now time.Time) []event.Action {
	var out []event.Action
	for _, kind := range c.kinds {
		k := c.kindCaches[kind]
		peerReachable := k.acceptsPeerReport(c.peerSettledAt) && now.Sub(c.peerSettledAt) < peerReportTTL
		if reachable := (k.storeUp || peerReachable) && !k.outdated; reachable != k.reachable {
			k.reachable, k.reachableSince = reachable, now
			out = append(out, Reachability{Kind: kind, Up: reachable})
		}
	}
	return out
}

// handleListed replaces the copy of a kind by a list, unless the list is older.
func (c *Cache) handleListed(now time.Time, ev Listed) []event.Action {
	out := c.learnEra(now, ev.Era, "the store")
	k, ok := c.kindCaches[ev.Kind]
	if !ok || ev.Era < c.era || ev.Revision < k.revision {
		return out
	}
	return append(out, c.replaceObjects(ev.Kind, k, ev.Revision, ev.Objects, k.settled(now))...)
}

func (c *Cache) replaceObjects(kind string, k *kindCache, revision uint64, objects []Object, settled bool) []event.Action {
	if k.outdated {
		return c.replaceOutdated(kind, k, revision, objects)
	}
	var out []event.Action
	listed := id.NewSet[string]()
	for _, o := range objects {
		listed.Add(o.Name)
		out = append(out, c.putObject(kind, k, o)...)
	}
	for _, name := range slices.Sorted(maps.Keys(k.objects)) {
		if !listed.Has(name) {
			out = append(out, c.deleteObject(kind, k, Tombstone{Name: name, Revision: revision, Settled: settled})...)
		}
	}
	return append(out, c.advanceRevision(kind, k, revision)...)
}

func (c *Cache) handleUpdated(now time.Time, ev Updated) []event.Action {
	out := c.learnEra(now, ev.Era, "the store")
	k, ok := c.kindCaches[ev.Kind]
	if !ok || !k.loaded || k.outdated || ev.Era < c.era || ev.Revision < k.revision {
		return out
	}
	for _, o := range ev.Objects {
		out = append(out, c.putObject(ev.Kind, k, o)...)
	}
	for _, name := range ev.Deleted {
		out = append(out, c.deleteObject(ev.Kind, k, Tombstone{Name: name, Revision: ev.Revision, Settled: k.settled(now)})...)
	}
	return append(out, c.advanceRevision(ev.Kind, k, ev.Revision)...)
}

func (c *Cache) putObject(kind string, k *kindCache, o Object) []event.Action {
	if old, known := k.objects[o.Name]; known && old.Revision >= o.Revision {
		return nil
	}
	k.objects[o.Name] = o
	k.dropKept(o)
	return []event.Action{ObjectChanged{Kind: kind, Object: o}}
}

func (c *Cache) deleteObject(kind string, k *kindCache, t Tombstone) []event.Action {
	old, known := k.objects[t.Name]
	if known && old.Revision > t.Revision {
		return nil
	}
	if known || t.Revision > k.revision {
		k.remember(t) // also of an unknown object, which a peer may have
	}
	if !known {
		return nil
	}
	delete(k.objects, t.Name)
	return []event.Action{ObjectDeleted{Kind: kind, Name: t.Name, Settled: t.Settled}}
}

// remember adds a deletion to those that peers are told of.
func (k *kindCache) remember(t Tombstone) {
	if len(k.tombstones) == maxTombstones {
		k.tombstoneFloor = k.tombstones[0].Revision
		k.tombstones = slices.Delete(k.tombstones, 0, 1)
	}
	k.tombstones = append(k.tombstones, t)
}

func (c *Cache) advanceRevision(kind string, k *kindCache, revision uint64) []event.Action {
	if revision > k.revision {
		k.revision = revision
		c.advanced = true
	}
	if k.loaded {
		return nil
	}
	k.loaded = true
	k.tombstoneFloor = revision
	return []event.Action{KindLoaded{Kind: kind}}
}

// gossip sends this node's revisions to a few peers.
func (c *Cache) gossip(now time.Time) []event.Action {
	count := 1
	if c.advanced {
		count = gossipFanout
	}
	c.advanced = false
	c.nextGossip = now.Add(gossipInterval)
	known := c.knownRevisions(now, false)
	var out []event.Action
	for _, i := range c.self.Rand.Perm(len(c.peers)) {
		if len(out) == count {
			break
		}
		out = append(out, event.Send{To: c.peers[i], Body: known})
	}
	return out
}

func (c *Cache) knownRevisions(now time.Time, poll bool) KnownRevisions {
	msg := KnownRevisions{Poll: poll, Settled: c.allSettled(now), Era: c.era}
	for _, kind := range c.kinds {
		k := c.kindCaches[kind]
		msg.Revisions = append(msg.Revisions, KindRevision{Kind: kind, Known: k.revision, Kept: k.keptDigest()})
	}
	return msg
}

func (c *Cache) handleMessage(now time.Time, ev event.Receive) []event.Action {
	switch b := ev.Body.(type) {
	case KnownRevisions:
		return c.handleKnownRevisions(now, ev.From, b)
	case ChangeSet:
		out := append(c.learnPeerEra(now, b.Era, ev.From), c.applyChangeSet(b)...)
		return append(out, c.handleEarlyReply(now)...)
	case PollReply:
		return c.handlePollReply(now, ev.From, b)
	}
	return nil
}

// handleKnownRevisions handles the revisions that a peer knows. A peer of an earlier era knows none of this one. One that names
// no era after it has changed is of an earlier release, or has just started and learns the era from the reply.
func (c *Cache) handleKnownRevisions(now time.Time, from id.Node, msg KnownRevisions) []event.Action {
	out := c.learnPeerEra(now, msg.Era, from)
	switch {
	case c.inEra(msg.Era):
		if msg.Settled {
			out = append(out, c.handlePeerSettled(now)...)
		}
	case msg.Era == 0:
		if !msg.Poll && !msg.Reply {
			out = append(out, c.replyRevisions(now, from))
		}
		return out
	default:
		msg.Revisions = slices.Clone(msg.Revisions)
		for i := range msg.Revisions {
			msg.Revisions[i].Known = 0
		}
	}
	return append(out, c.sendChanges(now, from, msg)...)
}

// sendChanges sends a peer the changes that it lacks. If the peer has newer revisions, this node answers with its own, so that
// the peer sends its changes.
func (c *Cache) sendChanges(now time.Time, from id.Node, msg KnownRevisions) []event.Action {
	var out []event.Action
	var sent []KindRevision
	behind := false
	for _, r := range msg.Revisions {
		k, ok := c.kindCaches[r.Kind]
		if !ok {
			continue
		}
		kept := k.keptDigest()
		if r.Known < k.revision || kept != 0 && kept != r.Kept {
			s := k.changesSince(r.Kind, r.Known)
			s.Settled, s.Era, s.Kept = k.settled(now), c.era, k.keptObjects()
			for _, part := range s.split() {
				out = append(out, event.Send{To: from, Body: part})
			}
			sent = append(sent, KindRevision{Kind: r.Kind, Known: k.revision})
		}
		behind = behind || r.Known > k.revision || r.Kept != 0 && r.Kept != kept
	}
	if behind && !msg.Reply {
		out = append(out, c.replyRevisions(now, from))
	}
	if msg.Poll {
		out = append(out, event.Send{To: from, Body: PollReply{Up: c.allUp(), Settled: c.allSettled(now), Era: c.era, Revisions: sent}})
	}
	return out
}

func (c *Cache) replyRevisions(now time.Time, to id.Node) event.Action {
	reply := c.knownRevisions(now, false)
	reply.Reply = true
	return event.Send{To: to, Body: reply}
}

// allUp reports whether the store answers this node itself for every kind, and has listed all of them in this era. Reports of
// other nodes do not count, so that two nodes cannot confirm each other.
func (c *Cache) allUp() bool {
	for _, kind := range c.kinds {
		if k := c.kindCaches[kind]; !k.storeUp || k.outdated {
			return false
		}
	}
	return c.followsStore
}

// allSettled reports whether the store answers this node itself and every kind is settled.
func (c *Cache) allSettled(now time.Time) bool {
	for _, kind := range c.kinds {
		if !c.kindCaches[kind].settled(now) {
			return false
		}
	}
	return c.allUp()
}

// changesSince returns the changes after a revision, or the whole kind if not all deletions since then are remembered.
// There may be no change: the receiver then learns that its copy is valid up to the newer revision. A copy of an earlier era has none.
func (k *kindCache) changesSince(kind string, since uint64) ChangeSet {
	if k.outdated {
		return ChangeSet{Kind: kind}
	}
	s := ChangeSet{Kind: kind, Revision: k.revision, Since: since, Whole: since < k.tombstoneFloor || since == 0}
	for _, name := range slices.Sorted(maps.Keys(k.objects)) {
		if o := k.objects[name]; s.Whole || o.Revision > since {
			s.Objects = append(s.Objects, o)
		}
	}
	if s.Whole {
		return s
	}
	for _, t := range k.tombstones {
		if t.Revision > since {
			s.Tombs = append(s.Tombs, t)
		}
	}
	return s
}

func (c *Cache) applyChangeSet(s ChangeSet) []event.Action {
	k, ok := c.kindCaches[s.Kind]
	if !ok || !c.inEra(s.Era) {
		return nil
	}
	return append(c.applyChanges(k, s), c.applyKept(s.Kind, k, s.Kept)...)
}

func (c *Cache) applyChanges(k *kindCache, s ChangeSet) []event.Action {
	if s.Revision <= k.revision {
		return nil
	}
	if s.Whole {
		return c.replaceObjects(s.Kind, k, s.Revision, s.Objects, s.Settled)
	}
	if !k.loaded || k.outdated || s.Since > k.revision {
		return nil // changes between the two revisions are missing
	}
	var out []event.Action
	for _, o := range s.Objects {
		out = append(out, c.putObject(s.Kind, k, o)...)
	}
	for _, t := range s.Tombs {
		out = append(out, c.deleteObject(s.Kind, k, t)...)
	}
	advanced := c.advanced
	out = append(out, c.advanceRevision(s.Kind, k, s.Revision)...)
	if s.More {
		c.advanced = advanced // peers that heard of a part would send the others again
	}
	return out
}
