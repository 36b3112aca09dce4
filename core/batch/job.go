package batch

import (
	"time"

	"bluebellflow/core/id"
)

// jobKey identifies a job. Tickets are unique within the process that submits.
type jobKey struct {
	submitter
	ticket uint64
}

// job is a request whose stages are run.
type job struct {
	Submit
	key        jobKey
	deadline   time.Time
	objective  time.Time
	tasks      []*task
	order      []int // indexes of the tasks, each one after those that it depends on
	class      class
	recomputes int  // number of times that lost results were computed again
	done       bool // the results were sent to the submitter
	ended      bool // released, expired, failed, dropped or handed over
}

// task holds the pieces of one stage of a job.
type task struct {
	job         *job
	index       int
	queued      bool
	readyAt     time.Time        // when its inputs were complete
	latestStart time.Time        // when it has to start for its job to meet the objective
	class       class            // set when the queue is sorted
	sortKey     time.Time        // position in its class, smallest first
	affinity    id.FailureDomain // preferred because of large inputs or results, empty for any
	avoid       id.Server        // the server on which a piece failed last
	pieces      []piece
	missing     int // pieces without a result
	waiting     int // pieces that neither run nor have a result
}

// piece is the unit of work that a call holds.
type piece struct {
	call   *call   // nil unless it runs
	result *result // nil until it is done
	tries  int
}

func newJob(now time.Time, key jobKey, s Submit) *job {
	j := &job{Submit: s, key: key, deadline: now.Add(time.Duration(s.Left)), objective: now.Add(time.Duration(s.Aim))}
	j.order, _ = s.stageOrder() // Check has ruled out a circle
	for i, stage := range s.Stages {
		j.tasks = append(j.tasks, &task{job: j, index: i, pieces: make([]piece, stage.Pieces), missing: int(stage.Pieces), waiting: int(stage.Pieces)})
	}
	return j
}

func (t *task) stage() *Stage { return &t.job.Stages[t.index] }

// missingByStage returns the number of pieces without a result for each stage.
func (j *job) missingByStage() []int {
	out := make([]int, len(j.tasks))
	for i, t := range j.tasks {
		out[i] = t.missing
	}
	return out
}

// missingPieces returns the number of pieces without a result in all stages.
func (j *job) missingPieces() int {
	sum := 0
	for _, missing := range j.missingByStage() {
		sum += missing
	}
	return sum
}

// start marks a piece as running in a call.
func (t *task) start(i int, c *call) {
	t.pieces[i].call = c
	t.waiting--
}

// requeue marks a running piece as waiting again.
func (t *task) requeue(i int) {
	t.pieces[i].call = nil
	t.waiting++
}

// setResult stores the result of a waiting piece.
func (t *task) setResult(i int, r *result) {
	t.pieces[i].result = r
	t.waiting--
	t.missing--
}

// clearResult removes the result of a piece, so that the piece runs again.
func (t *task) clearResult(i int) {
	t.pieces[i].result = nil
	t.waiting++
	t.missing++
}

// resetInputs frees the inputs of a task, so that they are computed again, and does the same for each predecessor whose own
// inputs are no longer all kept.
func (t *task) resetInputs(now time.Time) {
	for _, index := range t.stage().After {
		pred := t.job.tasks[index]
		for i := range pred.pieces {
			if r := pred.pieces[i].result; r != nil {
				r.worker.freeResult(now, r.handle)
				pred.clearResult(i)
			}
		}
		if !pred.inputsAvailable() {
			pred.resetInputs(now)
		}
	}
}

// clearResultsOf removes the results that a worker held.
func (t *task) clearResultsOf(w *worker) {
	for i := range t.pieces {
		if r := t.pieces[i].result; r != nil && r.worker == w {
			t.clearResult(i)
		}
	}
}

// inputsAvailable reports whether all inputs of the task exist and are still kept.
func (t *task) inputsAvailable() bool {
	if !t.predecessorsDone() {
		return false
	}
	for _, in := range t.inputs() {
		if !in.kept() {
			return false
		}
	}
	return true
}

// predecessorsDone reports whether all stages that the task depends on have their results.
func (t *task) predecessorsDone() bool {
	for _, pred := range t.stage().After {
		if t.job.tasks[pred].missing > 0 {
			return false
		}
	}
	return true
}

// inputs returns the results that each piece of the task reads.
func (t *task) inputs() []*result {
	var out []*result
	for _, pred := range t.stage().After {
		for i := range t.job.tasks[pred].pieces {
			out = append(out, t.job.tasks[pred].pieces[i].result)
		}
	}
	return out
}

// consumed reports whether other stages read the results of the task and all of them have their own results.
func (t *task) consumed() bool {
	hasReaders := false
	for _, other := range t.job.tasks {
		for _, pred := range other.stage().After {
			if int(pred) != t.index || len(other.pieces) == 0 {
				continue
			}
			hasReaders = true
			if other.missing > 0 {
				return false
			}
		}
	}
	return hasReaders
}

// readersStarted reports whether all pieces that read the results of the task run or have run.
func (t *task) readersStarted() bool {
	for _, other := range t.job.tasks {
		for _, pred := range other.stage().After {
			if int(pred) == t.index && other.waiting > 0 {
				return false
			}
		}
	}
	return true
}

// isLast reports whether no stage with pieces depends on the task.
func (t *task) isLast() bool {
	for _, other := range t.job.tasks {
		for _, pred := range other.stage().After {
			if int(pred) == t.index && len(other.pieces) > 0 {
				return false
			}
		}
	}
	return true
}

// results returns the results of the last stages, and whether all stages have their results.
func (j *job) results() ([]Result, bool) {
	var out []Result
	for _, t := range j.tasks {
		if t.missing > 0 {
			return nil, false
		}
		if !t.isLast() {
			continue
		}
		for i := range t.pieces {
			r := t.pieces[i].result
			out = append(out, Result{Handle: r.handle, Server: r.worker.ID})
		}
	}
	return out, true
}
