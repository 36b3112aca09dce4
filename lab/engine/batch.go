package engine

import (
	"bytes"
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellflow/core/id"
	"bluebellflow/lab/answer"
	"bluebellflow/lab/backendapi"
)

// tokenBytes is the prefill that a token before the offset of a resumed stream costs.
const tokenBytes = 4

// maxTokens bounds the tokens that an input may ask for.
const maxTokens = 4096

// end says how an attempt ended.
type end uint8

const (
	endNone   end = iota
	endWhole      // all tokens are there
	endFailed     // ran and failed
	endBroken     // the connection breaks
	endGone       // cancelled
)

// sequence is one attempt in an engine.
type sequence struct {
	run     backendapi.RunRequest
	version id.Version
	source  answer.Source
	tokens  int           // tokens of the whole answer
	next    int           // next token
	prefill int           // prefill steps left
	steps   int           // steps done
	every   int           // steps for one token
	skip    int           // steps until the next token
	began   time.Time     // when it joined the batch
	out     chan int      // number of a token that is ready
	ended   chan struct{} // closed when how is set
	how     end
	took    time.Duration
}

func (s *sequence) finish(how end) {
	if s.how == endNone {
		s.how = how
		close(s.ended)
	}
}

// wants is the part of an input that the engine reads.
type wants struct {
	Tokens int `json:"tokens"`
}

// length returns the number of tokens of the answer to an input.
func (p Profile) length(input []byte) int {
	var w wants
	if p.Kind != Generate || json.Unmarshal(input, &w) != nil || w.Tokens <= 0 {
		return p.DefaultTokens
	}
	return min(w.Tokens, maxTokens)
}

// loop runs the batch steps until the engine is closed.
func (e *Engine) loop() {
	defer close(e.done)
	for {
		e.mu.Lock()
		e.fillLocked()
		step := e.stepLocked()
		e.mu.Unlock()
		if step == 0 {
			select {
			case <-e.wake:
				continue
			case <-e.stop:
				return
			}
		}
		timer := time.NewTimer(step)
		select {
		case <-timer.C:
		case <-e.stop:
			timer.Stop()
			return
		}
		e.mu.Lock()
		e.counts.BusyMS += float64(step) / float64(time.Millisecond)
		e.advanceLocked()
		e.mu.Unlock()
	}
}

// fillLocked moves waiting attempts into the batch, the most urgent first.
func (e *Engine) fillLocked() {
	moved := false
	for len(e.running) < e.profile.MaxBatch && len(e.waiting) > 0 {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		s.began = time.Now()
		s.prefill = e.prefillLocked(s)
		e.running = append(e.running, s)
		moved = true
	}
	e.counts.LargestBatch = max(e.counts.LargestBatch, len(e.running))
	if moved {
		e.recordLocked()
	}
}

// prefillLocked returns the prefill steps of an attempt; cached prefixes of the input take none.
func (e *Engine) prefillLocked(s *sequence) int {
	cached := e.cache.hit(s.run.Input)
	todo := len(s.run.Input) - cached + len(s.run.Prior) + s.run.Offset*tokenBytes
	e.counts.CachedBytes += cached
	e.counts.PrefillBytes += todo
	return (todo + e.profile.PrefillBytes - 1) / e.profile.PrefillBytes
}

// stepLocked returns the duration of the next step, 0 for an empty batch.
func (e *Engine) stepLocked() time.Duration {
	if len(e.running) == 0 {
		return 0
	}
	step := float64(e.profile.BaseStep + e.profile.PerSeq*time.Duration(len(e.running)))
	if !e.warm {
		step *= e.profile.ColdSlowFactor
	}
	if e.faults.SlowFactor > 0 {
		step *= e.faults.SlowFactor
	}
	return time.Duration(step)
}

// advanceLocked gives every attempt in the batch one unit of work.
func (e *Engine) advanceLocked() {
	batch := len(e.running)
	starts := e.starts
	for _, s := range slices.Clone(e.running) {
		if s.how != endNone {
			continue
		}
		s.steps++
		if s.prefill > 0 {
			s.prefill--
			continue
		}
		e.tokenLocked(s, batch)
		if e.starts != starts {
			return
		}
	}
	before := len(e.running)
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool { return s.how != endNone })
	if len(e.running) != before {
		e.recordLocked()
	}
}

// tokenLocked produces the next token of an attempt, or ends it.
func (e *Engine) tokenLocked(s *sequence, batch int) {
	if s.skip > 0 {
		s.skip--
		return
	}
	s.skip = s.every - 1
	if s.next == s.run.Offset {
		e.cache.add(s.run.Input)
		if bytes.Contains(s.run.Input, []byte(CrashMarker)) {
			e.counts.Crashes++
			e.restartLocked()
			return
		}
		if e.failsLocked(s, batch) {
			e.endLocked(s, endFailed)
			return
		}
	}
	if s.next < s.tokens {
		s.out <- s.next
		s.next++
		e.counts.Tokens++
	}
	if s.next >= s.tokens {
		e.endLocked(s, endWhole)
		return
	}
	if e.faults.BreakRate > 0 && e.rng.Float64() < e.faults.BreakRate {
		e.endLocked(s, endBroken)
	}
}

// failsLocked reports whether the version of an attempt is bad for it.
func (e *Engine) failsLocked(s *sequence, batch int) bool {
	b := e.bad[s.version]
	if b.Share > 0 && float64(xxhash.Sum64String(s.run.Attempt)%1000) >= b.Share*1000 {
		return false
	}
	switch b.Mode {
	case FailsAlways:
		return true
	case FailsLate:
		return e.versions[s.version].Attempts > b.After
	case FailsUnderLoad:
		return batch > b.Above
	case FailsOnMatch:
		return b.Match != "" && bytes.Contains(s.run.Input, []byte(b.Match))
	case NoDefect, SlowTokens:
	}
	return false
}

// endLocked ends an attempt in the batch and counts it.
func (e *Engine) endLocked(s *sequence, how end) {
	s.took = time.Since(s.began)
	v := e.versions[s.version]
	switch how {
	case endWhole:
		e.counts.Completed++
		v.Completed++
		e.warmLocked()
	case endFailed:
		e.counts.Failed++
		v.Failed++
		e.wasteLocked(s)
	case endBroken:
		e.counts.Broken++
		e.wasteLocked(s)
	case endGone:
		e.counts.Cancelled++
		e.wasteLocked(s)
	case endNone:
	}
	e.versions[s.version] = v
	delete(e.byID, s.run.Attempt)
	s.finish(how)
}

func (e *Engine) wasteLocked(s *sequence) {
	e.counts.WastedTokens += s.next - s.run.Offset
	e.counts.WastedSteps += s.steps
}

// warmLocked counts a completion; a cold engine bears twice as much after a full round of completions.
func (e *Engine) warmLocked() {
	if e.warm {
		return
	}
	e.round++
	if e.round < e.bears {
		return
	}
	e.round = 0
	e.bears *= 2
	if e.bears >= e.profile.MaxBatch {
		e.warm, e.chilled = true, false
	}
	e.recordLocked()
}

// abandon removes an attempt whose caller is gone.
func (e *Engine) abandon(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.how != endNone {
		return
	}
	e.endLocked(s, endGone)
	gone := func(other *sequence) bool { return other == s }
	e.running = slices.DeleteFunc(e.running, gone)
	e.waiting = slices.DeleteFunc(e.waiting, gone)
	e.recordLocked()
}
