package batch

import (
	"errors"
	"fmt"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
)

// PriorResult is the result of a piece that ran while another node scheduled the job.
type PriorResult struct {
	Stage  uint32    `protobuf:"varint,1,opt,name=stage"`
	Piece  uint32    `protobuf:"varint,2,opt,name=piece"`
	Handle string    `protobuf:"bytes,3,opt,name=handle"` // empty if it was read and freed
	Server id.Server `protobuf:"bytes,4,opt,name=server"`
	Left   int64     `protobuf:"varint,5,opt,name=left"` // time until the server discards it, in nanoseconds
}

// Moved answers a Submit when the sender follows another leader and does not run the job, or no longer runs it. The job
// is to be submitted to that leader, with the results that exist already.
type Moved struct {
	Ticket   uint64        `protobuf:"varint,1,opt,name=ticket"`
	Leader   id.Node       `protobuf:"bytes,2,opt,name=leader"`    // the leader that the sender follows
	Accepted bool          `protobuf:"varint,3,opt,name=accepted"` // the sender had accepted the job, in class Class
	Class    uint32        `protobuf:"varint,4,opt,name=class"`
	Made     []PriorResult `protobuf:"bytes,5,rep,name=made"`
}

// Check reports whether the message is well formed.
func (m Moved) Check() error {
	if m.Class > uint32(classSecond) {
		return fmt.Errorf("moved: unknown class %d", m.Class)
	}
	return checkPriorResults(m.Made, maxStages, func(uint32) uint32 { return maxPieces })
}

// checkPriorResults checks that results belong to existing stages and pieces.
func checkPriorResults(made []PriorResult, stages int, pieces func(stage uint32) uint32) error {
	if len(made) > maxStages*maxPieces {
		return fmt.Errorf("too many results: %d", len(made))
	}
	for _, m := range made {
		if int64(m.Stage) >= int64(stages) || m.Piece >= pieces(m.Stage) {
			return fmt.Errorf("result of an unknown piece: stage %d, piece %d", m.Stage, m.Piece)
		}
		if m.Server == "" {
			return errors.New("result without a server")
		}
	}
	return nil
}

// setLeader sets the node that leads. A node that does not lead hands its jobs over: if two nodes scheduled on the same
// servers, neither would know the calls and results of the other.
func (s *Scheduler) setLeader(now time.Time, leader id.Node) {
	if leader == s.self.Node && s.leader != leader {
		s.leadsSince = now
	}
	s.leader = leader
	for _, q := range s.queues {
		q.dirty = true
	}
}

// passive reports whether another node schedules.
func (s *Scheduler) passive() bool { return s.leader != "" && s.leader != s.self.Node }

// mustHandOver reports whether a job has to continue on another node.
func (s *Scheduler) mustHandOver(j *job) bool { return s.passive() && !j.Insist }

// handOver hands over the jobs that have to continue on another node, each as soon as none of its pieces runs.
func (s *Scheduler) handOver(now time.Time, out *actions) {
	if !s.passive() {
		return
	}
	for _, key := range s.sortedJobs() {
		if j := s.jobs[key]; !j.done && s.mustHandOver(j) && !j.running() {
			s.handOverJob(now, j, out)
		}
	}
}

// handOverJob ends a job on this node without freeing its results.
func (s *Scheduler) handOverJob(now time.Time, j *job, out *actions) {
	m := Moved{Ticket: j.Ticket, Leader: s.leader, Accepted: true, Class: uint32(j.class)}
	for _, t := range j.tasks {
		for i := range t.pieces {
			r := t.pieces[i].result
			if r == nil || (t.isLast() && !r.kept()) {
				continue // the piece has to run again: the model needs its result, and the server has discarded it
			}
			m.Made = append(m.Made, r.priorResult(now, t.index, i))
			r.worker.removeResult(r)
		}
	}
	j.ended = true
	delete(s.jobs, j.key)
	out.add(event.Log{Kind: "job", Request: j.Request, Stage: j.Route, Choice: "move", Reason: fmt.Sprintf(
		"leader=%s made=%d missing=%v", s.leader, len(m.Made), j.missingByStage())})
	s.reply(j.key, m, out)
}

// kept reports whether the worker still holds the result, as far as this node knows.
func (r *result) kept() bool { return r.worker.results[r.handle] == r }

// priorResult describes the result of a piece for another leader.
func (r *result) priorResult(now time.Time, stage, piece int) PriorResult {
	m := PriorResult{Stage: uint32(stage), Piece: uint32(piece), Server: r.worker.ID}
	if r.kept() {
		m.Handle, m.Left = r.handle, int64(r.expiresAt.Sub(now))
	}
	return m
}

// adoptResult adds a result from another leader to a job. A result on a server that this node does not know is ignored, so
// that its piece runs again.
func (s *Scheduler) adoptResult(now time.Time, j *job, m PriorResult) {
	t := j.tasks[m.Stage]
	if t.pieces[m.Piece].result != nil {
		return
	}
	if m.Handle == "" && t.isLast() {
		return
	}
	if m.Handle == "" {
		// Its readers have run. If one of them has to run again, this piece runs again first.
		t.setResult(int(m.Piece), &result{worker: newWorker(&fleet.Server{ID: m.Server})})
		return
	}
	w, known := s.workers[m.Server]
	if !known {
		return
	}
	r := &result{handle: m.Handle, worker: w, domain: w.Domain, bytes: int64(t.stage().Bytes), since: now, expiresAt: now.Add(time.Duration(m.Left))}
	w.addResult(r)
	t.setResult(int(m.Piece), r)
}

// running reports whether a call holds a piece of the job.
func (j *job) running() bool {
	for _, t := range j.tasks {
		for i := range t.pieces {
			if t.pieces[i].call != nil {
				return true
			}
		}
	}
	return false
}

// removeResult removes a result that another leader manages from now on.
func (w *worker) removeResult(r *result) {
	if r.kept() {
		delete(w.results, r.handle)
		w.usedBytes -= r.bytes
	}
}
