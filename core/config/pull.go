package config

import (
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/retry"
	"bluebellflow/core/settings"
)

const (
	// pullTimeout is how long to wait for a peer before another source is tried.
	pullTimeout = 250 * time.Millisecond
	// maxPartCalls is the maximum number of parts that are read from, or written to, the platform concurrently.
	maxPartCalls = 16
	// platformEvery makes every third retry read from the platform instead of a peer.
	platformEvery = 3
)

// pullState tracks the transfer of a newer revision to this node.
type pullState struct {
	peerRevisions map[id.Node]id.Revision // newer revisions known to be in force on peers
	headRequested bool                    // a peer was sent an Ask
	head          *Head                   // head of the revision being pulled, nil for none
	rawHead       []byte
	missing       map[string]string // names of parts to fetch, by digest
	fetched       map[string][]byte // fetched parts by digest
	inFlight      id.Set[string]    // digests being read from the platform
	source        id.Node           // the peer to fetch from; empty for the platform
	retry         retry.Timer
}

// isNewer reports whether a revision is newer than the one in force and was not rejected.
func (c *Config) isNewer(r id.Revision) bool {
	if c.noRevisionFloor {
		return r != c.revision && r != 0
	}
	return r > c.revision && r > c.rejected
}

// noteRevision records a newer revision of a peer and requests its head.
func (c *Config) noteRevision(now time.Time, from id.Node, r id.Revision) {
	if !c.isNewer(r) || from == c.self.Node {
		return
	}
	c.pull.peerRevisions[from] = r
	if c.pull.head != nil && c.pull.head.Revision >= r || c.pull.headRequested {
		return
	}
	c.requestHead(now, from)
}

func (c *Config) requestHead(now time.Time, peer id.Node) {
	c.pull.headRequested = true
	known := c.revision
	if c.noRevisionFloor {
		known = 0
	}
	c.send(peer, Ask{Known: known})
	c.pull.retry.Set(now, pullTimeout)
}

// startPull starts to fetch the parts of a head that this node lacks. An empty source stands for the platform.
func (c *Config) startPull(now time.Time, head Head, raw []byte, source id.Node) {
	c.pull.headRequested = false
	if !c.isNewer(head.Revision) || c.pull.head != nil && c.pull.head.Revision >= head.Revision {
		return
	}
	p := &c.pull
	old := p.fetched
	p.head, p.rawHead, p.source = &head, raw, source
	p.missing, p.fetched, p.inFlight = map[string]string{}, map[string][]byte{}, id.NewSet[string]()
	for name, digest := range head.Parts {
		if part, ok := c.partNames[digest]; ok {
			p.fetched[digest], _ = c.tree.Part(part)
		} else if src, ok := old[digest]; ok {
			p.fetched[digest] = src
		} else {
			p.missing[digest] = name
		}
	}
	p.retry.Clear()
	c.pullParts(now)
}

// pullParts requests the missing parts, or installs the configuration if none is missing.
func (c *Config) pullParts(now time.Time) {
	p := &c.pull
	if len(p.missing) == 0 {
		c.installPulled(now)
		return
	}
	p.retry.Set(now, pullTimeout)
	digests := sortedKeys(p.missing)
	if p.source != "" {
		c.send(p.source, Fetch{Digests: digests[:min(len(digests), maxFetchParts)]})
		return
	}
	for _, digest := range digests {
		if len(p.inFlight) >= maxPartCalls {
			return
		}
		if !p.inFlight.Has(digest) {
			p.inFlight.Add(digest)
			c.startCall(now, pendingCall{purpose: purposeReadPart, digest: digest}, event.PlatformCall{Op: event.OpGet, Name: partObjectName(digest)})
		}
	}
}

// retryPull continues a pull from another source.
func (c *Config) retryPull(now time.Time) {
	p := &c.pull
	p.headRequested = false
	var peers []id.Node
	for _, peer := range sortedKeys(p.peerRevisions) {
		if p.head == nil || p.peerRevisions[peer] >= p.head.Revision {
			peers = append(peers, peer)
		}
	}
	p.retry.Fail(now, c.self.Rand)
	platform := len(peers) == 0 || p.retry.Failures()%platformEvery == 0
	if !platform {
		p.source = peers[c.self.Rand.IntN(len(peers))]
	}
	switch {
	case p.head == nil && platform && len(p.peerRevisions) > 0:
		c.readHead(now)
	case p.head == nil && platform:
		p.retry.Clear()
	case p.head == nil:
		c.requestHead(now, p.source)
	default:
		if platform {
			p.source = ""
		}
		c.pullParts(now)
	}
}

// sendParts answers Fetch with as many of the parts as fit into one message.
func (c *Config) sendParts(to id.Node, f Fetch) {
	var out Supply
	size := 0
	for _, digest := range f.Digests {
		src, ok := c.tree.Part(c.partNames[digest])
		if !ok {
			continue
		}
		if size += len(src); size > maxSupplyBytes && len(out.Parts) > 0 {
			break
		}
		out.Parts = append(out.Parts, src)
	}
	c.send(to, out)
}

func (c *Config) handleParts(now time.Time, from id.Node, s Supply) {
	p := &c.pull
	if p.head == nil {
		return
	}
	added := false
	for _, src := range s.Parts {
		added = c.addPart(src) || added
	}
	switch {
	case added:
		c.pullParts(now)
	case len(s.Parts) == 0 && from == p.source:
		// The peer has a newer revision by now and no longer has these parts.
		c.requestHead(now, from)
	}
}

// addPart stores a part if it is missing, and reports whether it was.
func (c *Config) addPart(src []byte) bool {
	p := &c.pull
	digest := settings.Digest(src)
	if _, ok := p.missing[digest]; !ok {
		return false
	}
	delete(p.missing, digest)
	p.fetched[digest] = slices.Clone(src)
	return true
}

func (c *Config) handlePartRead(now time.Time, digest string, ev event.PlatformResult) {
	p := &c.pull
	if p.head == nil {
		return
	}
	p.inFlight.Delete(digest)
	if ev.Code == event.CodeOK && len(ev.Objects) > 0 && c.addPart(ev.Objects[0].Value) {
		c.pullParts(now)
		return
	}
	if p.retry.Next().IsZero() {
		p.retry.Fail(now, c.self.Rand)
	}
}

// installPulled builds the settings tree of the pulled head from the tree in force and the parts that differ.
func (c *Config) installPulled(now time.Time) {
	p := &c.pull
	head, raw, fetched := p.head, p.rawHead, p.fetched
	p.head, p.rawHead, p.missing, p.fetched = nil, nil, nil, nil
	p.retry.Clear()
	changes := map[string][]byte{}
	for _, name := range settings.ChangedParts(c.tree.Digests(), head.Parts) {
		changes[name] = fetched[head.Parts[name]] // nil removes a part that the head does not list
	}
	tree, err := c.tree.WithParts(changes)
	if err != nil {
		c.rejected = max(c.rejected, head.Revision)
		c.prunePeerRevisions()
		c.log("rejected", "revision %d is invalid: %v", head.Revision, err)
		return
	}
	c.install(now, *head, raw, tree)
}

// install puts a revision and its settings tree in force.
func (c *Config) install(now time.Time, head Head, raw []byte, tree *settings.Tree) {
	if !c.isNewer(head.Revision) {
		return
	}
	c.revision, c.rawHead, c.tree, c.ready = head.Revision, raw, tree, true
	c.partNames = make(map[string]string, len(head.Parts))
	for name, digest := range head.Parts {
		c.partNames[digest] = name
	}
	c.prunePeerRevisions()
	if c.pull.head != nil && !c.isNewer(c.pull.head.Revision) {
		c.pull.head, c.pull.missing, c.pull.fetched = nil, nil, nil
	}
	if c.pull.head == nil && len(c.pull.peerRevisions) > 0 {
		c.pull.retry.Set(now, 0)
	}
	c.log("installed", "revision %d", head.Revision)
	c.out = append(c.out, Changed{Revision: c.revision, Tree: tree})
	c.broadcastRevision()
	c.resumeCommit(now)
}

// prunePeerRevisions forgets peers whose revision is no longer newer than the one in force.
func (c *Config) prunePeerRevisions() {
	for peer, r := range c.pull.peerRevisions {
		if !c.isNewer(r) {
			delete(c.pull.peerRevisions, peer)
		}
	}
}
