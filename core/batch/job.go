package batch

import (
	"time"

	"bluebellflow/core/id"
)

// jobKey identifies a job: tickets are unique within one process.
type jobKey struct {
	submitter
	ticket uint64
}

// job is a request whose stages are being run.
type job struct {
	Submit
	key        jobKey
	deadline   time.Time
	objective  time.Time
	tasks      []*task
	class      class
	recomputes int  // times that lost results were made again
	done       bool // the results were reported
	ended      bool // nothing of it is wanted any more
}

// task is a stage of a job.
type task struct {
	job         *job
	index       int
	queued      bool
	readyAt     time.Time        // when its inputs were complete
	latestStart time.Time        // when it has to start for its job to meet its objective
	class       class            // when the queue was last sorted
	sortKey     time.Time        // its place in the queue
	affinity    id.FailureDomain // where its inputs lie or its results are read, empty if that does not matter
	avoid       id.Server        // the server that failed last
	pieces      []piece
	missing     int // pieces without a result
	waiting     int // pieces that neither run nor have a result
}

// piece is a unit of work of a part.
type piece struct {
	call   *call   // runs now
	result *result // nil until it is done
	tries  int
}

func newJob(now time.Time, key jobKey, s Submit) *job {
	j := &job{Submit: s, key: key, deadline: now.Add(time.Duration(s.Left)), objective: now.Add(time.Duration(s.Aim))}
	for i, stage := range s.Stages {
		j.tasks = append(j.tasks, &task{job: j, index: i, pieces: make([]piece, stage.Pieces), missing: int(stage.Pieces), waiting: int(stage.Pieces)})
	}
	return j
}

func (p *task) stage() *Stage { return &p.job.Stages[p.index] }

// missingByStage returns the number of pieces without a result, by stage.
func (j *job) missingByStage() []int {
	out := make([]int, len(j.tasks))
	for i, p := range j.tasks {
		out[i] = p.missing
	}
	return out
}

// missingPieces returns the number of pieces without a result.
func (j *job) missingPieces() int {
	sum := 0
	for _, missing := range j.missingByStage() {
		sum += missing
	}
	return sum
}

// start marks a piece as running in a call.
func (p *task) start(i int, c *call) {
	p.pieces[i].call = c
	p.waiting--
}

// requeue marks a running piece as waiting again.
func (p *task) requeue(i int) {
	p.pieces[i].call = nil
	p.waiting++
}

// setResult takes in the result of a piece that waits.
func (p *task) setResult(i int, r *result) {
	p.pieces[i].result = r
	p.waiting--
	p.missing--
}

// clearResult forgets the result of a piece.
func (p *task) clearResult(i int) {
	p.pieces[i].result = nil
	p.waiting++
	p.missing++
}

// resetInputs drops the inputs of a part, so that they are made again, with the inputs of those that were given up meanwhile.
func (p *task) resetInputs(now time.Time) {
	for _, index := range p.stage().After {
		before := p.job.tasks[index]
		for i := range before.pieces {
			if r := before.pieces[i].result; r != nil {
				r.worker.freeResult(now, r.handle)
				before.clearResult(i)
			}
		}
		if !before.inputsAvailable() {
			before.resetInputs(now)
		}
	}
}

// clearResultsOf drops the results that a worker held.
func (p *task) clearResultsOf(w *worker) {
	for i := range p.pieces {
		if r := p.pieces[i].result; r != nil && r.worker == w {
			p.clearResult(i)
		}
	}
}

// inputsAvailable reports whether all inputs of the part were made and are still kept.
func (p *task) inputsAvailable() bool {
	if !p.predecessorsDone() {
		return false
	}
	for _, in := range p.inputs() {
		if !in.kept() {
			return false
		}
	}
	return true
}

// predecessorsDone reports whether all stages that the part comes after are done.
func (p *task) predecessorsDone() bool {
	for _, before := range p.stage().After {
		if p.job.tasks[before].missing > 0 {
			return false
		}
	}
	return true
}

// inputs returns the results that each piece of the part reads.
func (p *task) inputs() []*result {
	var out []*result
	for _, before := range p.stage().After {
		for i := range p.job.tasks[before].pieces {
			out = append(out, p.job.tasks[before].pieces[i].result)
		}
	}
	return out
}

// consumed reports whether no stage needs the results of the part any more.
func (p *task) consumed() bool {
	followed := false
	for _, other := range p.job.tasks {
		for _, before := range other.stage().After {
			if int(before) != p.index || len(other.pieces) == 0 {
				continue
			}
			followed = true
			if other.missing > 0 {
				return false
			}
		}
	}
	return followed
}

// readersStarted reports whether all parts that read the results of the part run or have run.
func (p *task) readersStarted() bool {
	for _, other := range p.job.tasks {
		for _, before := range other.stage().After {
			if int(before) == p.index && other.waiting > 0 {
				return false
			}
		}
	}
	return true
}

// isLast reports whether no stage follows the part.
func (p *task) isLast() bool {
	for _, other := range p.job.tasks {
		for _, before := range other.stage().After {
			if int(before) == p.index && len(other.pieces) > 0 {
				return false
			}
		}
	}
	return true
}

// results returns the results of the last stages if all of them are done.
func (j *job) results() ([]Result, bool) {
	var out []Result
	for _, p := range j.tasks {
		if p.missing > 0 {
			return nil, false
		}
		if !p.isLast() {
			continue
		}
		for i := range p.pieces {
			r := p.pieces[i].result
			out = append(out, Result{Handle: r.handle, Server: r.worker.ID})
		}
	}
	return out, true
}
