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

// retryAfter is what operators are told when the platform cannot be reached.
const retryAfter = 5 * time.Second

// maxStale is how often a head older than the revision in force is read again. If it stays older, the platform
// has lost updates, and changes build on the revision in force, so that no revision is used twice.
const maxStale = 3

// stage is the progress of a commit.
type stage uint8

const (
	idle     stage = iota
	reading0       // the head is being read
	waiting        // this node lacks the parts of the head that the change builds on
	storing        // new parts are being written
	putting        // the head is being written
	pausing        // a retry is due later
)

// change is one Apply that has no answer yet.
type change struct {
	id       string
	apply    Apply
	tree     *settings.Tree // for a whole configuration
	deadline time.Time
}

// committing is the commit in progress; it takes all changes that wait into one update of the head.
type committing struct {
	queue   []change
	batch   []change // the changes in the head that is being written
	stage   stage
	call    uint64 // the read or the update of the head in flight
	doubt   bool   // an update of the head with this batch may have taken effect or may still do so
	version uint64
	base    id.Revision
	head    Head
	raw     []byte
	tree    *settings.Tree
	store   map[string][]byte // parts to write, by digest
	storing id.Set[string]
	retry   retry.Timer
	count   uint64
}

func (m *committing) deadline() time.Time {
	var next time.Time
	for _, ch := range m.queue {
		next = retry.Earliest(next, ch.deadline)
	}
	for _, ch := range m.batch {
		next = retry.Earliest(next, ch.deadline)
	}
	return next
}

func (c *Config) apply(now time.Time, a Apply) {
	m := &c.commit
	m.count++
	ch := change{id: fmt.Sprintf("%s.%d", c.self.Incarnation, m.count), apply: a, deadline: now.Add(c.timeout)}
	if a.Workspace == "" {
		ch.tree = a.Tree
		if ch.tree == nil {
			tree, err := settings.Parse("settings", a.Source)
			if err != nil {
				c.refuse(ch, event.ProblemInvalid, "the settings do not check:\n%v", err)
				return
			}
			ch.tree = tree
		}
	}
	m.queue = append(m.queue, ch)
	c.commitNext(now)
}

// commitNext starts a commit if none is in progress.
func (c *Config) commitNext(now time.Time) {
	m := &c.commit
	if m.stage == idle && len(m.queue) > 0 {
		c.readBase(now)
	}
}

func (c *Config) readBase(now time.Time) {
	c.commit.stage = reading0
	c.commit.call = c.call(now, call{purpose: forBase}, event.PlatformCall{Op: event.OpGet, Name: headName})
}

func (c *Config) pauseCommit(now time.Time) {
	c.commit.stage = pausing
	c.commit.retry.Fail(now, c.self.Rand)
}

func (c *Config) baseRead(now time.Time, ev event.PlatformResult) {
	m := &c.commit
	if m.stage != reading0 || m.call != ev.Call.Seq {
		return
	}
	if ev.Code != event.CodeOK && ev.Code != event.CodeNotFound {
		c.pauseCommit(now)
		return
	}
	head, object, err := headOf(ev)
	if err != nil {
		c.log("waiting", "head version %d: %v", object.Version, err)
		c.pauseCommit(now)
		return
	}
	if head.Revision > 0 {
		c.aim(now, head, object.Value, "")
	}
	if m.stage != reading0 || !c.settle(now, head, object.Version) {
		return
	}
	c.plan(now, head, object.Version)
}

// settle decides what became of a batch whose update was lost; it returns false if it is still open.
func (c *Config) settle(now time.Time, head Head, version uint64) bool {
	m := &c.commit
	if !m.doubt {
		m.queue = slices.Concat(m.batch, m.queue)
		m.batch = nil
		return true
	}
	if len(m.batch) == 0 {
		m.doubt = false
		return true
	}
	_, found := head.find(m.batch[0].id)
	switch {
	case found:
		c.committed(head)
	case version == m.version:
		// The lost update may still take effect, so nothing else may be said before an equal one decides.
		c.putHead(now)
		return false
	case head.covers(m.base):
		m.queue = slices.Concat(m.batch, m.queue)
	default:
		for _, ch := range m.batch {
			c.refuse(ch, event.ProblemUnknown, "so many changes followed that the outcome cannot be read back")
		}
	}
	m.batch, m.doubt = nil, false
	return true
}

// plan builds the next head from all changes that wait.
func (c *Config) plan(now time.Time, head Head, version uint64) {
	m := &c.commit
	if len(m.queue) == 0 {
		m.stage = idle
		m.retry.Clear()
		return
	}
	if head.Revision < c.revision && m.retry.Failures() < maxStale {
		c.pauseCommit(now) // a newer head was installed while the read was in flight
		return
	}
	first := slices.IndexFunc(m.queue, func(ch change) bool { return ch.apply.Workspace != "" })
	if first >= 0 && head.Revision > c.revision && head.Revision > c.rejected {
		m.stage = waiting
		m.retry.Fail(now, c.self.Rand)
		return
	}
	m.version, m.base = version, head.Revision
	next := Head{Revision: max(head.Revision, c.revision), Parts: head.Parts, Changes: slices.Clone(head.Changes)}
	tree := c.tree
	if c.revision < head.Revision {
		tree = nil // not known here; only a whole configuration can be put in its place
	}
	for _, ch := range m.queue {
		built, ok := c.build(ch, tree, next.Revision)
		if !ok {
			continue
		}
		tree = built
		next.Revision++
		next.Changes = append(next.Changes, Change{ID: ch.id, Revision: next.Revision})
		m.batch = append(m.batch, ch)
	}
	m.queue = nil
	if len(m.batch) == 0 {
		m.stage = idle
		m.retry.Clear()
		return
	}
	next.Changes = next.Changes[max(0, len(next.Changes)-keptChanges):]
	next.Parts = tree.Digests()
	c.storeParts(now, head, next, tree)
}

// build returns the tree after a change, or answers the change if there is none.
func (c *Config) build(ch change, base *settings.Tree, revision id.Revision) (*settings.Tree, bool) {
	if ch.apply.Expect != 0 && ch.apply.Expect != revision {
		c.refuse(ch, event.ProblemRefused, "conflict: expected revision %d, but revision %d is in force", ch.apply.Expect, revision)
		return nil, false
	}
	if ch.tree != nil {
		return ch.tree, true
	}
	if base == nil {
		c.refuse(ch, event.ProblemRefused, "revision %d does not check on this node; apply a whole configuration", revision)
		return nil, false
	}
	tree, err := base.WithWorkspace(ch.apply.Workspace, ch.apply.Source)
	if err != nil {
		c.refuse(ch, event.ProblemInvalid, "the workspace does not check:\n%v", err)
		return nil, false
	}
	return tree, true
}

// storeParts writes the parts that the head before did not have, and then the head.
func (c *Config) storeParts(now time.Time, before, next Head, tree *settings.Tree) {
	m := &c.commit
	raw, err := json.Marshal(next)
	if err != nil || len(raw) > maxContent {
		for _, ch := range m.batch {
			c.refuse(ch, event.ProblemInvalid, "the head object cannot be written: %d bytes, %v", len(raw), err)
		}
		m.batch = nil
		m.stage = idle
		return
	}
	m.head, m.raw, m.tree = next, raw, tree
	m.store, m.storing = map[string][]byte{}, id.NewSet[string]()
	known := id.NewSet(slices.Collect(maps.Values(before.Parts))...)
	for name, digest := range next.Parts {
		if !known.Has(digest) {
			m.store[digest], _ = tree.Part(name)
		}
	}
	m.stage = storing
	c.storeMore(now)
}

func (c *Config) storeMore(now time.Time) {
	m := &c.commit
	if len(m.store) == 0 {
		c.putHead(now)
		return
	}
	for _, digest := range sortedKeys(m.store) {
		if len(m.storing) >= maxReads {
			return
		}
		if !m.storing.Has(digest) {
			m.storing.Add(digest)
			c.call(now, call{purpose: forStore, digest: digest},
				event.PlatformCall{Op: event.OpPut, Name: partObject(digest), Value: m.store[digest]})
		}
	}
}

func (c *Config) partStored(now time.Time, digest string, ev event.PlatformResult) {
	m := &c.commit
	if m.stage != storing || !m.storing.Has(digest) {
		return
	}
	m.storing.Delete(digest)
	// A conflict means that the part is there already: its name is the digest of its content.
	if ev.Code == event.CodeOK || ev.Code == event.CodeConflict {
		delete(m.store, digest)
		c.storeMore(now)
		return
	}
	if m.retry.Next().IsZero() {
		m.retry.Fail(now, c.self.Rand)
	}
}

func (c *Config) putHead(now time.Time) {
	m := &c.commit
	m.stage = putting
	m.retry.Clear()
	m.call = c.call(now, call{purpose: forHead}, event.PlatformCall{Op: event.OpPut, Name: headName, Version: m.version, Value: m.raw})
}

func (c *Config) headPut(now time.Time, ev event.PlatformResult) {
	m := &c.commit
	// The result of an update that was given up must not be taken for that of the update in progress.
	if m.stage != putting || m.call != ev.Call.Seq {
		return
	}
	switch ev.Code {
	case event.CodeOK:
		head, raw, tree := m.head, m.raw, m.tree
		c.committed(head)
		m.batch, m.doubt, m.stage = nil, false, idle
		m.raw, m.tree = nil, nil
		m.retry.Clear()
		c.install(now, head, raw, tree)
		c.commitNext(now)
	case event.CodeConflict:
		c.readBase(now)
	case event.CodeUnknown:
		if c.noReadBack {
			for _, ch := range m.batch {
				c.refuse(ch, event.ProblemRefused, "not committed: the platform did not answer")
			}
			m.batch = nil
		}
		m.doubt = true
		c.readBase(now)
	default:
		c.pauseCommit(now)
	}
}

// committed answers the changes of the batch with the revisions that the head gives them.
func (c *Config) committed(head Head) {
	for _, ch := range c.commit.batch {
		revision, _ := head.find(ch.id)
		c.log("committed", "revision %d, change %s", revision, ch.id)
		c.out = append(c.out, event.CommandResult{Number: ch.apply.Number, Value: Applied{Revision: revision, Change: ch.id}})
	}
}

func (c *Config) refuse(ch change, kind event.ProblemKind, format string, args ...any) {
	fault := &event.Problem{Kind: kind, Detail: fmt.Sprintf(format, args...)}
	if kind == event.ProblemRefused {
		fault.RetryAfter = retryAfter
	}
	c.log("refused", "change %s: %s", ch.id, fault.Detail)
	c.out = append(c.out, event.CommandResult{Number: ch.apply.Number, Fault: fault})
}

// commitInstalled goes on with a commit that waited for the parts of the head that it builds on.
func (c *Config) commitInstalled(now time.Time) {
	if c.commit.stage == waiting {
		c.commit.retry.Clear()
		c.readBase(now)
	}
}

func (c *Config) commitTimers(now time.Time) {
	m := &c.commit
	if m.retry.Due(now) {
		switch m.stage {
		case storing:
			c.storeMore(now)
		case pausing, waiting:
			c.readBase(now)
		}
	}
	c.expireChanges(now)
}

// expireChanges answers changes whose time is over. A change that may have been written is unknown,
// any other was not committed and will not be.
func (c *Config) expireChanges(now time.Time) {
	m := &c.commit
	late := func(ch change) bool { return !ch.deadline.After(now) }
	m.queue = slices.DeleteFunc(m.queue, func(ch change) bool {
		if late(ch) {
			c.refuse(ch, event.ProblemRefused, "not committed: the platform cannot be reached")
			return true
		}
		return false
	})
	if !slices.ContainsFunc(m.batch, late) {
		return
	}
	// The batch is written as a whole, so one late change ends it for all; the others are put again if that is safe.
	open := m.doubt || m.stage == putting
	for _, ch := range m.batch {
		switch {
		case open:
			c.refuse(ch, event.ProblemUnknown, "the platform did not confirm the change; read the configuration to see whether it was made")
		case late(ch):
			c.refuse(ch, event.ProblemRefused, "not committed: the platform cannot be reached")
		default:
			m.queue = append(m.queue, ch)
		}
	}
	m.batch, m.doubt, m.store = nil, false, nil
	if m.stage != reading0 && m.stage != pausing {
		c.pauseCommit(now)
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
