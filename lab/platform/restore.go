package platform

import (
	"slices"
	"time"
)

const (
	// eraHeader is the header of all answers that names the era of the store.
	eraHeader = "Era"
	// maxCopyAge is the age of the oldest copy from which the store can be restored.
	maxCopyAge = 30 * time.Second
)

// Copy names the copy from which the store is restored.
type Copy struct {
	AgeMS int `json:"age_ms"` // 30,000 at most
}

// undoEntry is an object as it was before a change.
type undoEntry struct {
	at     time.Time
	name   string
	before object // without a version if it did not exist
}

// recordUndo records an object before it changes. The caller must hold p.mu.
func (p *Platform) recordUndo(name string, before object) {
	now := time.Now()
	expired := slices.IndexFunc(p.undo, func(u undoEntry) bool { return now.Sub(u.at) <= maxCopyAge })
	if expired < 0 {
		expired = len(p.undo)
	}
	p.undo = append(slices.Delete(p.undo, 0, expired), undoEntry{now, name, before})
}

// Era returns the number of the era, which begins at 1.
func (p *Platform) Era() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.era
}

// Restore brings the store back from a copy of the given age and begins a new era. Changes since then are forgotten, and versions and
// sequence numbers are given out again. Waiting watches are answered with a gap if they wait for a later sequence number.
func (p *Platform) Restore(age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	from := time.Now().Add(-age)
	for n := len(p.undo) - 1; n >= 0 && p.undo[n].at.After(from); n-- {
		p.revert(p.undo[n])
		p.undo = p.undo[:n]
	}
	p.era++
	close(p.changed)
	p.changed = make(chan struct{})
}

// revert takes the last change back. The caller must hold p.mu.
func (p *Platform) revert(u undoEntry) {
	if u.before.version == 0 {
		delete(p.objects, u.name)
	} else {
		p.objects[u.name] = u.before
	}
	p.seq--
	if n := len(p.history); n > 0 {
		p.history = p.history[:n-1]
	}
	p.firstSeq = min(p.firstSeq, p.seq+1)
}
