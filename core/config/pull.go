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
	// pullTimeout is the wait for a peer before another source is tried.
	pullTimeout = 250 * time.Millisecond
	// maxPartCalls bounds the parts read from the platform at once.
	maxPartCalls = 16
	// platformEvery is how often the platform is tried instead of a peer.
	platformEvery = 3
)

// pullState brings this node to a newer revision.
type pullState struct {
	peerRevisions map[id.Node]id.Revision // newer revisions that peers have
	headRequested bool                    // a peer was asked for its head
	head          *Head                   // the revision that is being pulled, nil for none
	rawHead       []byte
	missing       map[string]string // part name by digest
	fetched       map[string][]byte // parts by digest
	inFlight      id.Set[string]    // digests being read from the platform
	source        id.Node           // empty for the platform
	retry         retry.Timer
}

// isNewer reports whether a revision is worth pulling.
func (c *Config) isNewer(r id.Revision) bool {
	if c.noRevisionFloor {
		return r != c.revision && r != 0
	}
	return r > c.revision && r > c.rejected
}

// noteRevision notes that a peer has a newer revision and asks for it.
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

// startPull starts to pull the parts of a head. An empty source stands for the platform.
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
		if have, ok := c.partNames[digest]; ok {
			p.fetched[digest], _ = c.tree.Part(have)
		} else if have, ok := old[digest]; ok {
			p.fetched[digest] = have
		} else {
			p.missing[digest] = name
		}
	}
	p.retry.Clear()
	c.pullParts(now)
}

// pullParts requests parts that are missing, or installs the tree if none is.
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

// retryPull tries another source.
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

// sendParts sends parts that a peer fetches, as many as fit into one message.
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
	fresh := false
	for _, src := range s.Parts {
		fresh = c.addPart(src) || fresh
	}
	switch {
	case fresh:
		c.pullParts(now)
	case len(s.Parts) == 0 && from == p.source:
		// The peer has moved on to a newer revision and no longer has these parts.
		c.requestHead(now, from)
	}
}

// addPart keeps a part if it is missing.
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

// installPulled builds the tree of the pulled head from the tree in force and the parts that differ.
func (c *Config) installPulled(now time.Time) {
	p := &c.pull
	head, raw, got := p.head, p.rawHead, p.fetched
	p.head, p.rawHead, p.missing, p.fetched = nil, nil, nil, nil
	p.retry.Clear()
	changes := map[string][]byte{}
	for _, name := range settings.ChangedParts(c.tree.Digests(), head.Parts) {
		changes[name] = got[head.Parts[name]] // nil removes a part that the head does not have
	}
	tree, err := c.tree.WithParts(changes)
	if err != nil {
		c.rejected = max(c.rejected, head.Revision)
		c.prunePeerRevisions()
		c.log("rejected", "revision %d does not check: %v", head.Revision, err)
		return
	}
	c.install(now, *head, raw, tree)
}

// install puts a tree in force.
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
	c.announce()
	c.resumeCommit(now)
}

// prunePeerRevisions drops what peers said about revisions that are no longer worth pulling.
func (c *Config) prunePeerRevisions() {
	for peer, r := range c.pull.peerRevisions {
		if !c.isNewer(r) {
			delete(c.pull.peerRevisions, peer)
		}
	}
}
