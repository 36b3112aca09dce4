package config

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/retry"
	"bluebellflow/core/settings"
)

// retryAfter is the retry delay given to operators with a refused change.
const retryAfter = 5 * time.Second

// maxStaleReads is how many times a head older than the revision in force is read again. If it stays older, the platform
// has lost updates. New changes are then numbered from the revision in force, so that no revision is used twice.
const maxStaleReads = 3

// stage is the progress of a commit.
type stage uint8

const (
	stageIdle    stage = iota
	stageReading       // the head is being read
	stageWaiting       // this node is still pulling the revision that the change is based on
	stageStoring       // new parts are being written
	stagePutting       // the head is being written
	stageBackoff       // waiting to retry
)

// pendingChange is an Apply that has no answer yet.
type pendingChange struct {
	id       string
	apply    Apply
	tree     *settings.Tree // the new tree; nil if the change replaces one workspace
	deadline time.Time
}

// commitState tracks the commit in progress, which combines all queued changes into one update of the head.
type commitState struct {
	queue        []pendingChange
	batch        []pendingChange // the changes in the head that is being written
	stage        stage
	callSeq      uint64 // the read or update of the head in flight
	uncertain    bool   // an update with this batch may have taken effect or may still do so
	baseVersion  uint64
	baseRevision id.Revision
	head         Head
	rawHead      []byte
	tree         *settings.Tree
	unstored     map[string][]byte // parts to write, by digest
	inFlight     id.Set[string]    // digests of parts being written
	retry        retry.Timer
	lastID       uint64
}

func (m *commitState) nextDeadline() time.Time {
	var next time.Time
	for _, ch := range m.queue {
		next = retry.Earliest(next, ch.deadline)
	}
	for _, ch := range m.batch {
		next = retry.Earliest(next, ch.deadline)
	}
	return next
}

func (c *Config) handleApply(now time.Time, a Apply) {
	m := &c.commit
	m.lastID++
	ch := pendingChange{id: fmt.Sprintf("%s.%d", c.self.Incarnation, m.lastID), apply: a, deadline: now.Add(c.timeout)}
	if a.Workspace == "" {
		ch.tree = a.Tree
		if ch.tree == nil {
			tree, err := settings.Parse("settings", a.Source)
			if err != nil {
				c.refuse(ch, event.ProblemInvalid, "the settings are invalid:\n%v", err)
				return
			}
			ch.tree = tree
		}
	}
	m.queue = append(m.queue, ch)
	c.startCommit(now)
}

// startCommit starts a commit if none is in progress.
func (c *Config) startCommit(now time.Time) {
	m := &c.commit
	if m.stage == stageIdle && len(m.queue) > 0 {
		c.readBase(now)
	}
}

func (c *Config) readBase(now time.Time) {
	c.commit.stage = stageReading
	c.commit.callSeq = c.startCall(now, pendingCall{purpose: purposeReadBase}, event.PlatformCall{Op: event.OpGet, Name: headName})
}

func (c *Config) retryCommitLater(now time.Time) {
	c.commit.stage = stageBackoff
	c.commit.retry.Fail(now, c.self.Rand)
}

func (c *Config) handleBaseRead(now time.Time, ev event.PlatformResult) {
	m := &c.commit
	if m.stage != stageReading || m.callSeq != ev.Call.Seq {
		return
	}
	if ev.Code != event.CodeOK && ev.Code != event.CodeNotFound {
		c.retryCommitLater(now)
		return
	}
	head, object, err := headFromResult(ev)
	if err != nil {
		c.log("waiting", "head version %d: %v", object.Version, err)
		c.retryCommitLater(now)
		return
	}
	if head.Revision > 0 {
		c.startPull(now, head, object.Value, "")
	}
	if m.stage != stageReading || !c.resolveBatch(now, head, object.Version) {
		return
	}
	c.prepareHead(now, head, object.Version)
}

// resolveBatch finds out whether the update of a batch whose outcome is unknown has taken effect. It returns false if
// that is still undecided.
func (c *Config) resolveBatch(now time.Time, head Head, version uint64) bool {
	m := &c.commit
	if !m.uncertain {
		m.queue = slices.Concat(m.batch, m.queue)
		m.batch = nil
		return true
	}
	if len(m.batch) == 0 {
		m.uncertain = false
		return true
	}
	_, found := head.revisionOf(m.batch[0].id)
	switch {
	case found:
		c.answerCommitted(head)
	case version == m.baseVersion:
		// The earlier update may still take effect. Nothing may be answered before the same update, made again, either
		// succeeds or conflicts.
		c.putHead(now)
		return false
	case head.covers(m.baseRevision):
		m.queue = slices.Concat(m.batch, m.queue)
	default:
		for _, ch := range m.batch {
			c.refuse(ch, event.ProblemUnknown, "the outcome cannot be read back because too many changes followed")
		}
	}
	m.batch, m.uncertain = nil, false
	return true
}

// prepareHead builds the next head from all queued changes.
func (c *Config) prepareHead(now time.Time, head Head, version uint64) {
	m := &c.commit
	if len(m.queue) == 0 {
		m.stage = stageIdle
		m.retry.Clear()
		return
	}
	if head.Revision < c.revision && m.retry.Failures() < maxStaleReads {
		c.retryCommitLater(now) // a newer head was installed while the read was in flight
		return
	}
	first := slices.IndexFunc(m.queue, func(ch pendingChange) bool { return ch.apply.Workspace != "" })
	if first >= 0 && head.Revision > c.revision && head.Revision > c.rejected {
		m.stage = stageWaiting
		m.retry.Fail(now, c.self.Rand)
		return
	}
	m.baseVersion, m.baseRevision = version, head.Revision
	next := Head{Revision: max(head.Revision, c.revision), Parts: head.Parts, Changes: slices.Clone(head.Changes)}
	tree := c.tree
	if c.revision < head.Revision {
		tree = nil // this node does not have the head's tree, so only a whole configuration can be committed
	}
	for _, ch := range m.queue {
		built, ok := c.applyChange(ch, tree, next.Revision)
		if !ok {
			continue
		}
		tree = built
		next.Revision++
		next.Changes = append(next.Changes, AcceptedChange{ID: ch.id, Revision: next.Revision})
		m.batch = append(m.batch, ch)
	}
	m.queue = nil
	if len(m.batch) == 0 {
		m.stage = stageIdle
		m.retry.Clear()
		return
	}
	next.Changes = next.Changes[max(0, len(next.Changes)-keptChanges):]
	next.Parts = tree.Digests()
	c.storeParts(now, head, next, tree)
}

// applyChange returns the tree after a change. If the change cannot be made, it answers it and returns false.
func (c *Config) applyChange(ch pendingChange, base *settings.Tree, revision id.Revision) (*settings.Tree, bool) {
	if ch.apply.Expect != 0 && ch.apply.Expect != revision {
		c.refuse(ch, event.ProblemRefused, "conflict: expected revision %d, but revision %d is in force", ch.apply.Expect, revision)
		return nil, false
	}
	if ch.tree != nil {
		return ch.tree, true
	}
	if base == nil {
		c.refuse(ch, event.ProblemRefused, "revision %d is invalid on this node; apply a whole configuration", revision)
		return nil, false
	}
	tree, err := base.WithWorkspace(ch.apply.Workspace, ch.apply.Source)
	if err != nil {
		c.refuse(ch, event.ProblemInvalid, "the workspace is invalid:\n%v", err)
		return nil, false
	}
	return tree, true
}

// storeParts writes the parts that the previous head does not list, and then the new head.
func (c *Config) storeParts(now time.Time, prev, next Head, tree *settings.Tree) {
	m := &c.commit
	raw, err := json.Marshal(next)
	if err != nil || len(raw) > maxValueSize {
		for _, ch := range m.batch {
			c.refuse(ch, event.ProblemInvalid, "the head object cannot be written: %d bytes, %v", len(raw), err)
		}
		m.batch = nil
		m.stage = stageIdle
		return
	}
	m.head, m.rawHead, m.tree = next, raw, tree
	m.unstored, m.inFlight = map[string][]byte{}, id.NewSet[string]()
	known := id.NewSet(slices.Collect(maps.Values(prev.Parts))...)
	for name, digest := range next.Parts {
		if !known.Has(digest) {
			m.unstored[digest], _ = tree.Part(name)
		}
	}
	m.stage = stageStoring
	c.storeNextParts(now)
}

func (c *Config) storeNextParts(now time.Time) {
	m := &c.commit
	if len(m.unstored) == 0 {
		c.putHead(now)
		return
	}
	for _, digest := range sortedKeys(m.unstored) {
		if len(m.inFlight) >= maxPartCalls {
			return
		}
		if !m.inFlight.Has(digest) {
			m.inFlight.Add(digest)
			c.startCall(now, pendingCall{purpose: purposePutPart, digest: digest},
				event.PlatformCall{Op: event.OpPut, Name: partObjectName(digest), Value: m.unstored[digest]})
		}
	}
}

func (c *Config) handlePartPut(now time.Time, digest string, ev event.PlatformResult) {
	m := &c.commit
	if m.stage != stageStoring || !m.inFlight.Has(digest) {
		return
	}
	m.inFlight.Delete(digest)
	// A conflict means that the part exists already, because its name is the digest of its content.
	if ev.Code == event.CodeOK || ev.Code == event.CodeConflict {
		delete(m.unstored, digest)
		c.storeNextParts(now)
		return
	}
	if m.retry.Next().IsZero() {
		m.retry.Fail(now, c.self.Rand)
	}
}

func (c *Config) putHead(now time.Time) {
	m := &c.commit
	m.stage = stagePutting
	m.retry.Clear()
	m.callSeq = c.startCall(now, pendingCall{purpose: purposePutHead}, event.PlatformCall{Op: event.OpPut, Name: headName, Version: m.baseVersion, Value: m.rawHead})
}

func (c *Config) handleHeadPut(now time.Time, ev event.PlatformResult) {
	m := &c.commit
	// The result of an abandoned update must not be mistaken for that of the update in progress.
	if m.stage != stagePutting || m.callSeq != ev.Call.Seq {
		return
	}
	switch ev.Code {
	case event.CodeOK:
		head, raw, tree := m.head, m.rawHead, m.tree
		c.answerCommitted(head)
		m.batch, m.uncertain, m.stage = nil, false, stageIdle
		m.rawHead, m.tree = nil, nil
		m.retry.Clear()
		c.install(now, head, raw, tree)
		c.startCommit(now)
	case event.CodeConflict:
		c.readBase(now)
	case event.CodeUnknown:
		if c.noReadBack {
			for _, ch := range m.batch {
				c.refuse(ch, event.ProblemRefused, "not committed: the platform did not answer")
			}
			m.batch = nil
		}
		m.uncertain = true
		c.readBase(now)
	default:
		c.retryCommitLater(now)
	}
}

// answerCommitted answers the changes of the batch with the revisions that the head lists for them.
func (c *Config) answerCommitted(head Head) {
	for _, ch := range c.commit.batch {
		revision, _ := head.revisionOf(ch.id)
		c.log("committed", "revision %d, change %s", revision, ch.id)
		c.out = append(c.out, event.CommandResult{Number: ch.apply.Number, Value: Applied{Revision: revision, Change: ch.id}})
	}
}

func (c *Config) refuse(ch pendingChange, kind event.ProblemKind, format string, args ...any) {
	fault := &event.Problem{Kind: kind, Detail: fmt.Sprintf(format, args...)}
	if kind == event.ProblemRefused {
		fault.RetryAfter = retryAfter
	}
	c.log("refused", "change %s: %s", ch.id, fault.Detail)
	c.out = append(c.out, event.CommandResult{Number: ch.apply.Number, Fault: fault})
}

// resumeCommit continues a commit that waited for the revision on which it is based.
func (c *Config) resumeCommit(now time.Time) {
	if c.commit.stage == stageWaiting {
		c.commit.retry.Clear()
		c.readBase(now)
	}
}

func (c *Config) runCommitTimers(now time.Time) {
	m := &c.commit
	if m.retry.Due(now) {
		switch m.stage {
		case stageStoring:
			c.storeNextParts(now)
		case stageBackoff, stageWaiting:
			c.readBase(now)
		}
	}
	c.expireChanges(now)
}

// expireChanges answers changes whose deadline has passed. The outcome of a change that may have been written is
// unknown; any other change was not committed and will not be.
func (c *Config) expireChanges(now time.Time) {
	m := &c.commit
	expired := func(ch pendingChange) bool { return !ch.deadline.After(now) }
	m.queue = slices.DeleteFunc(m.queue, func(ch pendingChange) bool {
		if expired(ch) {
			c.refuse(ch, event.ProblemRefused, "not committed: the platform cannot be reached")
			return true
		}
		return false
	})
	if !slices.ContainsFunc(m.batch, expired) {
		return
	}
	// The batch is written as a whole, so an expired change ends the whole batch. The other changes are queued again if the
	// batch cannot have been written.
	uncertain := m.uncertain || m.stage == stagePutting
	for _, ch := range m.batch {
		switch {
		case uncertain:
			c.refuse(ch, event.ProblemUnknown, "the platform did not confirm the change; read the configuration to see whether it was made")
		case expired(ch):
			c.refuse(ch, event.ProblemRefused, "not committed: the platform cannot be reached")
		default:
			m.queue = append(m.queue, ch)
		}
	}
	m.batch, m.uncertain, m.unstored = nil, false, nil
	if m.stage != stageReading && m.stage != stageBackoff {
		c.retryCommitLater(now)
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
