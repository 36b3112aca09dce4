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

// resumeTokenBytes is the prefill that a token before the offset of a resumed stream costs.
const resumeTokenBytes = 4

// maxTokens bounds the tokens that an input may ask for.
const maxTokens = 4096

// outcome says how an attempt ended.
type outcome uint8

const (
	pending   outcome = iota
	completed         // all tokens are there
	failed            // ran and failed
	broken            // the connection breaks
	cancelled         // cancelled
)

// sequence is one attempt in an engine.
type sequence struct {
	run           backendapi.RunRequest
	version       id.Version
	source        answer.Source
	tokens        int           // tokens of the whole answer
	nextToken     int           // next token
	prefillLeft   int           // prefill steps left
	stepsDone     int           // steps done
	stepsPerToken int           // steps for one token
	stepsToToken  int           // steps until the next token
	joinedAt      time.Time     // when it joined the batch
	readyTokens   chan int      // number of a token that is ready
	done          chan struct{} // closed when how is set
	outcome       outcome
	duration      time.Duration
}

func (s *sequence) finish(how outcome) {
	if s.outcome == pending {
		s.outcome = how
		close(s.done)
	}
}

// inputFields is the part of an input that the engine reads.
type inputFields struct {
	Tokens int `json:"tokens"`
}

// answerTokens returns the number of tokens of the answer to an input.
func (p Profile) answerTokens(input []byte) int {
	var w inputFields
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
		e.fillBatchLocked()
		step := e.stepDurationLocked()
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
		e.runStepLocked()
		e.mu.Unlock()
	}
}

// fillBatchLocked moves waiting attempts into the batch, the most urgent first.
func (e *Engine) fillBatchLocked() {
	moved := false
	for len(e.running) < e.profile.MaxBatch && len(e.waiting) > 0 {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		s.joinedAt = time.Now()
		s.prefillLeft = e.prefillLocked(s)
		e.running = append(e.running, s)
		moved = true
	}
	e.counts.LargestBatch = max(e.counts.LargestBatch, len(e.running))
	if moved {
		e.recordLoadLocked()
	}
}

// prefillLocked returns the prefill steps of an attempt; cached prefixes of the input take none.
func (e *Engine) prefillLocked(s *sequence) int {
	cached := e.cache.longestHit(s.run.Input)
	todo := len(s.run.Input) - cached + len(s.run.Prior) + s.run.Offset*resumeTokenBytes
	e.counts.CachedBytes += cached
	e.counts.PrefillBytes += todo
	return (todo + e.profile.PrefillBytes - 1) / e.profile.PrefillBytes
}

// stepDurationLocked returns the duration of the next step, 0 for an empty batch.
func (e *Engine) stepDurationLocked() time.Duration {
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

// runStepLocked gives every attempt in the batch one unit of work.
func (e *Engine) runStepLocked() {
	batch := len(e.running)
	starts := e.starts
	for _, s := range slices.Clone(e.running) {
		if s.outcome != pending {
			continue
		}
		s.stepsDone++
		if s.prefillLeft > 0 {
			s.prefillLeft--
			continue
		}
		e.emitTokenLocked(s, batch)
		if e.starts != starts {
			return
		}
	}
	before := len(e.running)
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool { return s.outcome != pending })
	if len(e.running) != before {
		e.recordLoadLocked()
	}
}

// emitTokenLocked produces the next token of an attempt, or ends it.
func (e *Engine) emitTokenLocked(s *sequence, batch int) {
	if s.stepsToToken > 0 {
		s.stepsToToken--
		return
	}
	s.stepsToToken = s.stepsPerToken - 1
	if s.nextToken == s.run.Offset {
		e.cache.add(s.run.Input)
		if bytes.Contains(s.run.Input, []byte(CrashMarker)) {
			e.counts.Crashes++
			e.restartLocked()
			return
		}
		if e.failsLocked(s, batch) {
			e.endAttemptLocked(s, failed)
			return
		}
	}
	if s.nextToken < s.tokens {
		s.readyTokens <- s.nextToken
		s.nextToken++
		e.counts.Tokens++
	}
	if s.nextToken >= s.tokens {
		e.endAttemptLocked(s, completed)
		return
	}
	if e.faults.BreakRate > 0 && e.rng.Float64() < e.faults.BreakRate {
		e.endAttemptLocked(s, broken)
	}
}

// failsLocked reports whether the version of an attempt is bad for it.
func (e *Engine) failsLocked(s *sequence, batch int) bool {
	b := e.defects[s.version]
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

// endAttemptLocked ends an attempt in the batch and counts it.
func (e *Engine) endAttemptLocked(s *sequence, how outcome) {
	s.duration = time.Since(s.joinedAt)
	v := e.versions[s.version]
	switch how {
	case completed:
		e.counts.Completed++
		v.Completed++
		e.countWarmupLocked()
	case failed:
		e.counts.Failed++
		v.Failed++
		e.countWasteLocked(s)
	case broken:
		e.counts.Broken++
		e.countWasteLocked(s)
	case cancelled:
		e.counts.Cancelled++
		e.countWasteLocked(s)
	case pending:
	}
	e.versions[s.version] = v
	delete(e.byID, s.run.Attempt)
	s.finish(how)
}

func (e *Engine) countWasteLocked(s *sequence) {
	e.counts.WastedTokens += s.nextToken - s.run.Offset
	e.counts.WastedSteps += s.stepsDone
}

// countWarmupLocked counts a completion; a cold engine bears twice as much after a full round of completions.
func (e *Engine) countWarmupLocked() {
	if e.warm {
		return
	}
	e.coldCompletions++
	if e.coldCompletions < e.coldLimit {
		return
	}
	e.coldCompletions = 0
	e.coldLimit *= 2
	if e.coldLimit >= e.profile.MaxBatch {
		e.warm, e.warmupReset = true, false
	}
	e.recordLoadLocked()
}

// cancel removes an attempt whose caller is gone.
func (e *Engine) cancel(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.outcome != pending {
		return
	}
	e.endAttemptLocked(s, cancelled)
	gone := func(other *sequence) bool { return other == s }
	e.running = slices.DeleteFunc(e.running, gone)
	e.waiting = slices.DeleteFunc(e.waiting, gone)
	e.recordLoadLocked()
}
