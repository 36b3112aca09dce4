package domain

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/retry"
)

// retryAfter is the retry delay given to operators when the platform cannot be reached.
const retryAfter = 5 * time.Second

// stage is the progress of a commit.
type stage uint8

const (
	stageIdle    stage = iota
	stageReading       // the object is being read
	stagePutting       // the object is being written
	stageBackoff       // waiting to retry
)

// task is a command to commit, or a provisional drain that is being committed.
type task struct {
	number      uint64
	domain      id.FailureDomain
	by          string
	drain       bool
	changeID    string
	baseEpoch   uint64 // latest epoch known when the command arrived; the change gets the next one
	record      Record // the record being written
	baseUnknown bool   // the node had no records yet, so baseEpoch is set when it has learned them
	receivedAt  time.Time
	answered    bool
}

// commitState tracks the commit in progress, which combines all queued tasks into one update of the object.
type commitState struct {
	queue       []task
	batch       []task
	stage       stage
	callSeq     uint64 // the read or update in flight
	uncertain   bool   // the update may have taken effect or may still do so
	baseVersion uint64
	updateID    string // ID of the update, to read back whether it has taken effect
	raw         []byte
	retry       retry.Timer
	due         time.Time // when the next unanswered task is accepted provisionally or refused
	lastID      uint64
}

func (m *commitState) nextDeadline() time.Time { return m.due }

func (s *Domains) handleCommand(now time.Time, t task) {
	if t.domain == "" || len(t.domain) > maxNameLen || len(t.by) > maxNameLen {
		s.refuse(t, event.ProblemInvalid, fmt.Sprintf("failure domain %.40q does not exist, or the operator's name has more than %d bytes", t.domain, maxNameLen))
		return
	}
	m := &s.commit
	m.lastID++
	t.changeID = fmt.Sprintf("%s.%d", s.self.Incarnation, m.lastID)
	t.baseEpoch = s.records[t.domain].Epoch
	t.baseUnknown = !s.ready
	t.receivedAt = now
	m.queue = append(m.queue, t)
	if m.stage == stageBackoff && m.retry.Failures() > 0 && t.drain {
		// The platform has just failed, so the drain does not wait for it.
		s.acceptProvisionally(now)
		return
	}
	s.startCommit(now)
}

// startCommit starts a commit if there is something to commit and no commit is in progress.
func (s *Domains) startCommit(now time.Time) {
	m := &s.commit
	if m.stage == stageIdle && (len(m.queue) > 0 || len(s.uncommitted()) > 0) {
		s.readBase(now)
	}
}

// uncommitted returns the provisional records that this node has to commit: those that it accepted itself, and on a
// watcher all others, because the node that accepted them may be down.
func (s *Domains) uncommitted() []Record {
	var out []Record
	isWatcher := s.isWatcher()
	for _, d := range sortedKeys(s.records) {
		r := s.records[d]
		if r.Provisional && (isWatcher || strings.HasPrefix(r.Change, string(s.self.Incarnation))) {
			out = append(out, r)
		}
	}
	return out
}

func (s *Domains) readBase(now time.Time) {
	s.commit.stage = stageReading
	s.commit.callSeq = s.startCall(now, purposeReadBase, event.PlatformCall{Op: event.OpGet, Name: objectName})
}

func (s *Domains) retryCommitLater(now time.Time) {
	s.commit.stage = stageBackoff
	s.commit.retry.Fail(now, s.self.Rand)
}

func (s *Domains) handleBaseRead(now time.Time, ev event.PlatformResult) {
	m := &s.commit
	if m.stage != stageReading || m.callSeq != ev.Call.Seq {
		return
	}
	o, version, err := objectFromResult(ev)
	if err != nil || ev.Code != event.CodeOK && ev.Code != event.CodeNotFound {
		s.retryCommitLater(now)
		s.acceptProvisionally(now)
		return
	}
	if !s.resolveBatch(now, o, version) {
		return
	}
	s.mergeObject(now, o)
	s.prepareUpdate(now, o, version)
}

// resolveBatch finds out whether the update of a batch whose outcome is unknown has taken effect. It returns false if
// that is still undecided.
func (s *Domains) resolveBatch(now time.Time, o object, version uint64) bool {
	m := &s.commit
	switch {
	case !m.uncertain:
		s.requeue()
	case slices.Contains(o.Updates, m.updateID):
		s.answerCommitted()
	case version == m.baseVersion:
		// The earlier update may still take effect. Nothing may be answered before the same update, made again, either
		// succeeds or conflicts.
		s.putObject(now)
		return false
	case o.covers(version - m.baseVersion):
		s.requeue()
	default:
		for _, t := range m.batch {
			s.refuse(t, event.ProblemUnknown, "the outcome cannot be read back because too many changes followed")
		}
	}
	m.batch, m.uncertain = nil, false
	return true
}

// requeue puts the unanswered tasks of the batch back into the queue. Drains that were accepted provisionally are found
// by uncommitted again.
func (s *Domains) requeue() {
	m := &s.commit
	m.queue = slices.Concat(slices.DeleteFunc(m.batch, func(t task) bool { return t.answered }), m.queue)
	m.batch = nil
}

// prepareUpdate builds the next object from the queued tasks, at most one for each domain.
func (s *Domains) prepareUpdate(now time.Time, o object, version uint64) {
	m := &s.commit
	changed := id.NewSet[id.FailureDomain]()
	var later []task
	for _, t := range m.queue {
		if changed.Has(t.domain) {
			later = append(later, t)
			continue
		}
		if t.baseUnknown {
			t.baseEpoch, t.baseUnknown = s.records[t.domain].Epoch, false
		}
		if s.answerDecided(o, t) {
			continue
		}
		t.record = Record{
			Domain: t.domain, Epoch: t.baseEpoch + 1, Drained: t.drain, By: t.by, At: now.UnixMilli(), Change: t.changeID,
		}
		changed.Add(t.domain)
		m.batch = append(m.batch, t)
	}
	m.queue = later
	for _, r := range s.uncommitted() {
		if !changed.Has(r.Domain) {
			m.batch = append(m.batch, task{domain: r.Domain, answered: true, record: committedRecord(r, o.recordOf(r.Domain))})
		}
	}
	if len(m.batch) == 0 {
		m.stage = stageIdle
		m.retry.Clear()
		return
	}
	m.lastID++
	m.updateID = fmt.Sprintf("%s.%d", s.self.Incarnation, m.lastID)
	changes := make([]Record, len(m.batch))
	for i, t := range m.batch {
		changes[i] = t.record
	}
	raw, err := json.Marshal(o.withUpdate(m.updateID, changes))
	if err != nil {
		s.log("failed", "encode domains: %v", err)
		s.requeue()
		s.retryCommitLater(now)
		return
	}
	m.raw, m.baseVersion = raw, version
	s.putObject(now)
}

// answerDecided answers a task that the record on the platform already fulfils or contradicts, and reports whether it
// did.
func (s *Domains) answerDecided(o object, t task) bool {
	cur := o.recordOf(t.domain)
	switch {
	case cur.Epoch > t.baseEpoch:
		s.refuseConflict(t, o.winnerOf(t.domain, t.baseEpoch+1))
		return true
	case cur.Epoch == t.baseEpoch && cur.Drained == t.drain:
		s.answer(t, Outcome{Domain: t.domain, State: stateAfter(cur), Epoch: cur.Epoch, By: cur.By})
		return true
	}
	return false
}

// committedRecord returns the record to commit for a provisional drain. If a restore was committed with the same epoch
// meanwhile, the drain takes precedence and gets the next epoch.
func committedRecord(r, current Record) Record {
	r.Provisional = false
	if current.Epoch == r.Epoch {
		r.Epoch++
	}
	return r
}

func (s *Domains) putObject(now time.Time) {
	m := &s.commit
	m.stage = stagePutting
	m.callSeq = s.startCall(now, purposePut, event.PlatformCall{Op: event.OpPut, Name: objectName, Version: m.baseVersion, Value: m.raw})
}

func (s *Domains) handlePut(now time.Time, ev event.PlatformResult) {
	m := &s.commit
	// The result of an abandoned update must not be mistaken for that of the update in progress.
	if m.stage != stagePutting || m.callSeq != ev.Call.Seq {
		return
	}
	code := ev.Code
	if s.noConditionalUpdate && code == event.CodeConflict {
		code = event.CodeOK
	}
	switch code {
	case event.CodeOK:
		s.answerCommitted()
		var learned []Record
		for _, t := range m.batch {
			if s.merge(now, t.record) {
				learned = append(learned, t.record)
			}
		}
		s.broadcastRecords(learned)
		m.batch, m.uncertain, m.stage = nil, false, stageIdle
		m.retry.Clear()
		s.startCommit(now)
	case event.CodeConflict:
		s.readBase(now)
	case event.CodeUnknown:
		m.uncertain = true
		s.readBase(now)
	default:
		s.retryCommitLater(now)
		s.acceptProvisionally(now)
	}
}

// answerCommitted answers the tasks of the committed batch.
func (s *Domains) answerCommitted() {
	for _, t := range s.commit.batch {
		r := t.record
		s.log("committed", "domain %s %s, epoch %d, by %s", r.Domain, r.verb(), r.Epoch, r.By)
		s.answer(t, Outcome{Domain: r.Domain, State: stateAfter(r), Epoch: r.Epoch, By: r.By, Won: true})
	}
}

// stateAfter returns the state right after a change. A restored domain is ramping.
func stateAfter(r Record) State {
	switch {
	case r.Drained:
		return Drained
	case r.Epoch == 0:
		return Active
	}
	return Ramping
}

// acceptProvisionally accepts all unanswered drains without the platform.
func (s *Domains) acceptProvisionally(now time.Time) {
	m := &s.commit
	keep := m.queue[:0:0]
	for _, t := range m.queue {
		if !t.drain || t.baseUnknown && !s.ready {
			// Without records, the drain could get an epoch so low that all other nodes ignore it.
			keep = append(keep, t)
			continue
		}
		if t.baseUnknown {
			t.baseEpoch = s.records[t.domain].Epoch
		}
		s.acceptDrain(now, t, false)
	}
	m.queue = keep
	for i, t := range m.batch {
		if t.drain && !t.answered {
			s.acceptDrain(now, t, m.uncertain || m.stage == stagePutting)
			m.batch[i].answered = true
		}
	}
}

// acceptDrain answers a drain from the records of this node. If the domain is active and no other change has been
// committed since the drain arrived, it creates a provisional record.
func (s *Domains) acceptDrain(now time.Time, t task, uncertain bool) {
	cur := s.records[t.domain]
	switch {
	case cur.Epoch > t.baseEpoch && !cur.Provisional && cur.Change != t.changeID:
		if uncertain && cur.Epoch > t.baseEpoch+1 {
			s.refuse(t, event.ProblemUnknown, fmt.Sprintf("the platform did not confirm the drain, and %s has %s the domain since", cur.By, cur.verb()))
			return
		}
		s.refuseConflict(t, cur)
		return
	case !cur.Drained:
		cur = Record{Domain: t.domain, Epoch: t.baseEpoch + 1, Drained: true, By: t.by, At: now.UnixMilli(), Change: t.changeID, Provisional: true}
		s.merge(now, cur)
		s.broadcastRecords([]Record{cur})
	}
	s.answer(t, Outcome{
		Domain: t.domain, State: Drained, Epoch: cur.Epoch, By: cur.By,
		Won: cur.Change == t.changeID && !cur.Provisional, Provisional: cur.Provisional,
	})
}

func (s *Domains) answer(t task, o Outcome) {
	if !t.answered {
		s.out = append(s.out, event.CommandResult{Number: t.number, Value: o})
	}
}

func (s *Domains) refuseConflict(t task, winner Record) {
	s.refuse(t, event.ProblemRefused, fmt.Sprintf("conflict: %s %s domain %s first, epoch %d", winner.By, winner.verb(), t.domain, winner.Epoch))
}

func (s *Domains) refuse(t task, kind event.ProblemKind, detail string) {
	if t.answered {
		return
	}
	s.log("refused", "domain %s: %s", t.domain, detail)
	s.out = append(s.out, event.CommandResult{Number: t.number, Fault: &event.Problem{Kind: kind, Detail: detail}})
}

func (s *Domains) runCommitTimers(now time.Time) {
	m := &s.commit
	if m.retry.Due(now) && m.stage == stageBackoff {
		s.readBase(now)
	}
	s.expireTasks(now)
}

// expireTasks accepts overdue drains provisionally and answers restores whose deadline has passed.
func (s *Domains) expireTasks(now time.Time) {
	m := &s.commit
	expired := func(t task) bool { return !t.answered && !s.answerDeadline(t).After(now) }
	if slices.ContainsFunc(m.queue, func(t task) bool { return t.drain && expired(t) }) ||
		slices.ContainsFunc(m.batch, func(t task) bool { return t.drain && expired(t) }) {
		s.acceptProvisionally(now)
	}
	m.queue = slices.DeleteFunc(m.queue, func(t task) bool {
		if !expired(t) {
			return false
		}
		s.refuseUnreachable(t)
		return true
	})
	for i, t := range m.batch {
		if !expired(t) {
			continue
		}
		if m.uncertain || m.stage == stagePutting {
			s.refuse(t, event.ProblemUnknown, "the platform did not confirm the restore; read the state to see whether it was made")
			m.batch[i].answered = true
		}
	}
	if !m.uncertain && m.stage != stagePutting {
		m.batch = slices.DeleteFunc(m.batch, func(t task) bool {
			if !expired(t) {
				return false
			}
			s.refuseUnreachable(t)
			return true
		})
	}
	m.due = time.Time{}
	for _, t := range slices.Concat(m.queue, m.batch) {
		if !t.answered {
			m.due = retry.Earliest(m.due, s.answerDeadline(t))
		}
	}
}

func (s *Domains) answerDeadline(t task) time.Time {
	if t.drain && (s.ready || !t.baseUnknown) {
		return t.receivedAt.Add(provisionalAfter)
	}
	return t.receivedAt.Add(s.timeout)
}

func (s *Domains) refuseUnreachable(t task) {
	detail := "the failure domain was not restored: a restore needs the platform, which cannot be reached"
	if t.drain {
		detail = "the failure domain was not drained: this node has just started and can reach neither the platform nor another node"
	}
	s.log("refused", "domain %s: %s", t.domain, detail)
	s.out = append(s.out, event.CommandResult{Number: t.number, Fault: &event.Problem{Kind: event.ProblemRefused, Detail: detail, RetryAfter: retryAfter}})
}
