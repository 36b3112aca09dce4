package batch

import (
	"time"

	"bluebellflow/core/id"
)

// jobKey identifies a job: tickets are unique within one process.
type jobKey struct {
	owner
	ticket uint64
}

// job is a request whose stages are being run.
type job struct {
	Submit
	key      jobKey
	deadline time.Time
	aim      time.Time
	parts    []*part
	class    class
	redone   int  // times that lost results were made again
	done     bool // the results were reported
	ended    bool // nothing of it is wanted any more
}

// part is a stage of a job.
type part struct {
	job     *job
	index   int
	queued  bool
	ready   time.Time        // when its inputs were complete
	latest  time.Time        // when it has to start for its job to meet its objective
	class   class            // when the queue was last sorted
	rank    time.Time        // its place in the queue
	home    id.FailureDomain // where its inputs lie or its results are read, empty if that does not matter
	avoid   id.Server        // the server that failed last
	pieces  []piece
	missing int // pieces without a result
	open    int // pieces that neither run nor have a result
}

// piece is a unit of work of a part.
type piece struct {
	call   *call   // runs now
	result *result // nil until it is done
	tries  int
}

func newJob(now time.Time, key jobKey, s Submit) *job {
	j := &job{Submit: s, key: key, deadline: now.Add(time.Duration(s.Left)), aim: now.Add(time.Duration(s.Aim))}
	for i, stage := range s.Stages {
		j.parts = append(j.parts, &part{job: j, index: i, pieces: make([]piece, stage.Pieces), missing: int(stage.Pieces), open: int(stage.Pieces)})
	}
	return j
}

func (p *part) stage() *Stage { return &p.job.Stages[p.index] }

// missing returns the number of pieces without a result, by stage.
func (j *job) missing() []int {
	out := make([]int, len(j.parts))
	for i, p := range j.parts {
		out[i] = p.missing
	}
	return out
}

// unfinished returns the number of pieces without a result.
func (j *job) unfinished() int {
	sum := 0
	for _, missing := range j.missing() {
		sum += missing
	}
	return sum
}

// take marks a piece as running in a call.
func (p *part) take(i int, c *call) {
	p.pieces[i].call = c
	p.open--
}

// putBack marks a running piece as waiting again.
func (p *part) putBack(i int) {
	p.pieces[i].call = nil
	p.open++
}

// made takes in the result of a piece that waits.
func (p *part) made(i int, r *result) {
	p.pieces[i].result = r
	p.open--
	p.missing--
}

// lose forgets the result of a piece.
func (p *part) lose(i int) {
	p.pieces[i].result = nil
	p.open++
	p.missing++
}

// remake drops the inputs of a part, so that they are made again, with the inputs of those that were given up meanwhile.
func (p *part) remake(now time.Time) {
	for _, index := range p.stage().After {
		before := p.job.parts[index]
		for i := range before.pieces {
			if r := before.pieces[i].result; r != nil {
				r.worker.drop(now, r.handle)
				before.lose(i)
			}
		}
		if !before.supplied() {
			before.remake(now)
		}
	}
}

// forget drops the results that a worker held.
func (p *part) forget(w *worker) {
	for i := range p.pieces {
		if r := p.pieces[i].result; r != nil && r.worker == w {
			p.lose(i)
		}
	}
}

// supplied reports whether all inputs of the part were made and are still kept.
func (p *part) supplied() bool {
	if !p.complete() {
		return false
	}
	for _, in := range p.inputs() {
		if !in.kept() {
			return false
		}
	}
	return true
}

// complete reports whether all stages that the part comes after are done.
func (p *part) complete() bool {
	for _, before := range p.stage().After {
		if p.job.parts[before].missing > 0 {
			return false
		}
	}
	return true
}

// inputs returns the results that each piece of the part reads.
func (p *part) inputs() []*result {
	var out []*result
	for _, before := range p.stage().After {
		for i := range p.job.parts[before].pieces {
			out = append(out, p.job.parts[before].pieces[i].result)
		}
	}
	return out
}

// read reports whether no stage needs the results of the part any more.
func (p *part) read() bool {
	followed := false
	for _, other := range p.job.parts {
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

// fetched reports whether all parts that read the results of the part run or have run.
func (p *part) fetched() bool {
	for _, other := range p.job.parts {
		for _, before := range other.stage().After {
			if int(before) == p.index && other.open > 0 {
				return false
			}
		}
	}
	return true
}

// last reports whether no stage follows the part.
func (p *part) last() bool {
	for _, other := range p.job.parts {
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
	for _, p := range j.parts {
		if p.missing > 0 {
			return nil, false
		}
		if !p.last() {
			continue
		}
		for i := range p.pieces {
			r := p.pieces[i].result
			out = append(out, Result{Handle: r.handle, Server: r.worker.ID})
		}
	}
	return out, true
}
