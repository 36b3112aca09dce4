package batch

import (
	"errors"
	"fmt"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
)

// PriorResult is a result that another leader has had made for a job.
type PriorResult struct {
	Stage  uint32    `protobuf:"varint,1,opt,name=stage"`
	Piece  uint32    `protobuf:"varint,2,opt,name=piece"`
	Handle string    `protobuf:"bytes,3,opt,name=handle"` // empty if it was read and given up
	Server id.Server `protobuf:"bytes,4,opt,name=server"`
	Left   int64     `protobuf:"varint,5,opt,name=left"` // how much longer the server keeps it, in nanoseconds
}

// Moved answers a Submit that this node does not carry out, because it follows another leader. The job goes on there
// with what was made for it.
type Moved struct {
	Ticket   uint64        `protobuf:"varint,1,opt,name=ticket"`
	Leader   id.Node       `protobuf:"bytes,2,opt,name=leader"`    // that the sender follows
	Accepted bool          `protobuf:"varint,3,opt,name=accepted"` // the sender had accepted the job, with the class
	Class    uint32        `protobuf:"varint,4,opt,name=class"`
	Made     []PriorResult `protobuf:"bytes,5,rep,name=made"`
}

// Check reports whether the answer is well formed.
func (m Moved) Check() error {
	if m.Class > uint32(classSecond) {
		return fmt.Errorf("moved: class %d", m.Class)
	}
	return checkPriorResults(m.Made, maxStages, func(uint32) uint32 { return maxPieces })
}

// checkPriorResults reports whether results belong to stages and pieces that there are.
func checkPriorResults(made []PriorResult, stages int, pieces func(stage uint32) uint32) error {
	if len(made) > maxStages*maxPieces {
		return fmt.Errorf("%d results", len(made))
	}
	for _, m := range made {
		if int64(m.Stage) >= int64(stages) || m.Piece >= pieces(m.Stage) {
			return fmt.Errorf("result of stage %d, piece %d", m.Stage, m.Piece)
		}
		if m.Server == "" {
			return errors.New("result without a server")
		}
	}
	return nil
}

// setLeader takes in which node leads. A node that does not lead hands its jobs over, because two nodes that schedule on
// the same servers know nothing of each other's calls and results.
func (s *Scheduler) setLeader(leader id.Node) {
	s.leader = leader
	for _, l := range s.queues {
		l.dirty = true
	}
}

// passive reports whether another node schedules.
func (s *Scheduler) passive() bool { return s.leader != "" && s.leader != s.self.Node }

// mustHandOver reports whether a job is to go on at another node.
func (s *Scheduler) mustHandOver(j *job) bool { return s.passive() && !j.Insist }

// handOver gives up the jobs that are to go on at another node, each as soon as none of its pieces runs.
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

// handOverJob ends a job here without giving up its results.
func (s *Scheduler) handOverJob(now time.Time, j *job, out *actions) {
	m := Moved{Ticket: j.Ticket, Leader: s.leader, Accepted: true, Class: uint32(j.class)}
	for _, p := range j.tasks {
		for i := range p.pieces {
			r := p.pieces[i].result
			if r == nil || (p.isLast() && !r.kept()) {
				continue // what the model is to read and nobody keeps has to be made again
			}
			m.Made = append(m.Made, r.prior(now, p.index, i))
			r.worker.removeResult(r)
		}
	}
	j.ended = true
	delete(s.jobs, j.key)
	out.add(event.Log{Kind: "job", Request: j.Request, Stage: j.Route, Choice: "move", Reason: fmt.Sprintf(
		"leader=%s made=%d missing=%v", s.leader, len(m.Made), j.missingByStage())})
	s.reply(j.key, m, out)
}

// kept reports whether the result is still at its worker, as far as this node knows.
func (r *result) kept() bool { return r.worker.results[r.handle] == r }

// prior describes a result for another leader.
func (r *result) prior(now time.Time, stage, piece int) PriorResult {
	m := PriorResult{Stage: uint32(stage), Piece: uint32(piece), Server: r.worker.ID}
	if r.kept() {
		m.Handle, m.Left = r.handle, int64(r.expiresAt.Sub(now))
	}
	return m
}

// adoptResult takes in a result that another leader has had made. One of a server that this node does not know has to be made
// again.
func (s *Scheduler) adoptResult(now time.Time, j *job, m PriorResult) {
	p := j.tasks[m.Stage]
	if p.pieces[m.Piece].result != nil {
		return
	}
	if m.Handle == "" && p.isLast() {
		return
	}
	if m.Handle == "" {
		// Its readers have run; if one of them has to run again, the result is missing and made again.
		p.setResult(int(m.Piece), &result{worker: newWorker(&fleet.Server{ID: m.Server})})
		return
	}
	w, known := s.workers[m.Server]
	if !known {
		return
	}
	r := &result{handle: m.Handle, worker: w, domain: w.Domain, bytes: int64(p.stage().Bytes), expiresAt: now.Add(time.Duration(m.Left))}
	w.addResult(r)
	p.setResult(int(m.Piece), r)
}

// running reports whether a piece of the job is in a call.
func (j *job) running() bool {
	for _, p := range j.tasks {
		for i := range p.pieces {
			if p.pieces[i].call != nil {
				return true
			}
		}
	}
	return false
}

// removeResult forgets a result that another leader answers for from now on.
func (w *worker) removeResult(r *result) {
	if r.kept() {
		delete(w.results, r.handle)
		w.usedBytes -= r.bytes
	}
}
