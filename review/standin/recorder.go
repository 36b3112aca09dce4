package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// sent is what a consumer knows of a request.
type sent struct {
	name, route, key string
	body             string
	gateway          *gateway
	at, answered     time.Time
	kept             bool // the channel had carried a request before
	inTouch          bool // the process had run for stableWindow when the request was sent
	status           int  // 0 for no answer
	closed           bool // the channel ended without any byte of an answer
	cut              bool // the channel ended within the answer
	seal             string
	events           int // of a stream
}

// ran is a request that a runner began to work on.
type ran struct {
	name   string
	runner *Runner
	at     time.Time
}

// arrival is a request that has reached a runner, which may reject it.
type arrival struct {
	name   string
	runner *Runner
	at     time.Time
	bad    time.Time // when the runner answered it with a failure or a rejection, zero if it did not
}

// recorder keeps what consumers and runners have seen, and writes it to a file.
type recorder struct {
	began time.Time

	mu       sync.Mutex
	file     *os.File
	out      *bufio.Writer
	requests []*sent
	runs     []ran
	arrived  []arrival
}

func newRecorder(file string) *recorder {
	f, err := os.Create(file)
	check(err)
	return &recorder{began: time.Now(), file: f, out: bufio.NewWriter(f)}
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

func (r *recorder) logLocked(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, "%9.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	_ = r.out.Flush()
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logLocked(format, args...)
}

func (r *recorder) send(s *sent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.at = time.Now()
	s.inTouch = s.gateway.inTouch(s.at)
	r.requests = append(r.requests, s)
	r.logLocked("%s sent to %s route=%s key=%s kept=%v", s.name, s.gateway.name, s.route, s.key, s.kept)
}

func (r *recorder) answer(s *sent, status int, seal string, events int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.answered, s.status, s.seal, s.events = time.Now(), status, seal, events
	r.logLocked("%s answered %d seal=%q events=%d", s.name, status, seal, events)
}

func (r *recorder) lost(s *sent, began bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.answered = time.Now()
	s.closed, s.cut = !began, began
	r.logLocked("%s channel ends, answer begun=%v: %v", s.name, began, err)
}

func (r *recorder) run(name string, by *Runner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, ran{name: name, runner: by, at: time.Now()})
	r.logLocked("%s runs at %s", name, by.id)
}

// arrive records a request that has reached a runner, and returns its number.
func (r *recorder) arrive(name string, by *Runner) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrived = append(r.arrived, arrival{name: name, runner: by, at: time.Now()})
	return len(r.arrived) - 1
}

// badAnswer records that a runner answers an arrival with a failure or a rejection.
func (r *recorder) badAnswer(number int, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := &r.arrived[number]
	a.bad = time.Now()
	r.logLocked("%s gets %s from %s of version %s", a.name, how, a.runner.id, a.runner.version)
}

// arrivals returns copies of the arrivals.
func (r *recorder) arrivals() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival{}, r.arrived...)
}

func (r *recorder) runEnds(name string, by *Runner, how string) {
	r.log("%s ends at %s: %s", name, by.id, how)
}

// all returns copies of the requests.
func (r *recorder) all() []sent {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []sent
	for _, s := range r.requests {
		out = append(out, *s)
	}
	return out
}

// runsOf returns the runs by request.
func (r *recorder) runsOf() map[string][]ran {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string][]ran{}
	for _, x := range r.runs {
		out[x.name] = append(out[x.name], x)
	}
	return out
}
