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

// resumeTokenBytes is the prefill, in bytes, for each token before the offset of a resumed stream.
const resumeTokenBytes = 4

// maxTokens limits the number of tokens that an input may request.
const maxTokens = 4096

// outcome is the way in which an attempt ended.
type outcome uint8

const (
	pending   outcome = iota
	completed         // all tokens were generated
	failed            // answered with an error
	broken            // connection broken by the engine
	cancelled         // cancelled by the caller or timed out
)

// sequence is one attempt in an engine.
type sequence struct {
	run           backendapi.RunRequest
	version       id.Version
	source        answer.Source
	tokens        int           // tokens in the complete answer
	nextToken     int           // index of the next token
	prefillLeft   int           // remaining prefill steps
	stepsDone     int           // steps performed
	stepsPerToken int           // steps to generate one token
	stepsToToken  int           // remaining steps before the next token
	joinedAt      time.Time     // time at which it was queued, then at which it joined the batch
	readyTokens   chan int      // indexes of generated tokens
	done          chan struct{} // closed when outcome is set
	outcome       outcome
	duration      time.Duration
}

func (s *sequence) finish(result outcome) {
	if s.outcome == pending {
		s.outcome = result
		close(s.done)
	}
}

// inputFields are the fields of an input that the engine evaluates.
type inputFields struct {
	Tokens int `json:"tokens"`
}

// answerTokens returns the number of tokens in the answer to an input.
func (p Profile) answerTokens(input []byte) int {
	var fields inputFields
	if p.Kind != Generate || json.Unmarshal(input, &fields) != nil || fields.Tokens <= 0 {
		return p.DefaultTokens
	}
	return min(fields.Tokens, maxTokens)
}

// loop runs batch steps until the engine is closed.
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

// fillBatchLocked moves waiting attempts into the batch in order of priority.
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

// prefillLocked returns the number of prefill steps of an attempt; the cached prefix of the input needs none.
func (e *Engine) prefillLocked(s *sequence) int {
	cached := e.cache.longestHit(s.run.Input)
	uncached := len(s.run.Input) - cached + len(s.run.Prior) + s.run.Offset*resumeTokenBytes
	e.counts.CachedBytes += cached
	e.counts.PrefillBytes += uncached
	return (uncached + e.profile.PrefillBytes - 1) / e.profile.PrefillBytes
}

// stepDurationLocked returns the duration of the next step, or 0 for an empty batch.
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

// runStepLocked performs one unit of work for every attempt in the batch.
func (e *Engine) runStepLocked() {
	batchSize := len(e.running)
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
		e.emitTokenLocked(s, batchSize)
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

// emitTokenLocked generates the next token of an attempt once its steps are done, or ends the attempt.
func (e *Engine) emitTokenLocked(s *sequence, batchSize int) {
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
		if e.failsLocked(s, batchSize) {
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

// failsLocked reports whether the defect of an attempt's version makes the attempt fail.
func (e *Engine) failsLocked(s *sequence, batchSize int) bool {
	defect := e.defects[s.version]
	if defect.Share > 0 && float64(xxhash.Sum64String(s.run.Attempt)%1000) >= defect.Share*1000 {
		return false
	}
	switch defect.Mode {
	case FailsAlways:
		return true
	case FailsLate:
		return e.versions[s.version].Attempts > defect.After
	case FailsUnderLoad:
		return batchSize > defect.Above
	case FailsOnMatch:
		return defect.Match != "" && bytes.Contains(s.run.Input, []byte(defect.Match))
	case NoDefect, SlowTokens:
	}
	return false
}

// endAttemptLocked ends an attempt and updates the counters; the caller removes it from the batch and the queue.
func (e *Engine) endAttemptLocked(s *sequence, result outcome) {
	s.duration = time.Since(s.joinedAt)
	v := e.versions[s.version]
	switch result {
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
	s.finish(result)
}

func (e *Engine) countWasteLocked(s *sequence) {
	e.counts.WastedTokens += s.nextToken - s.run.Offset
	e.counts.WastedSteps += s.stepsDone
}

// countWarmupLocked counts a completion of a cold engine. After as many completions as the cold limit, the limit doubles;
// the engine is warm once the limit reaches the batch size.
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

// cancel removes an attempt that its caller cancelled or that timed out.
func (e *Engine) cancel(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.outcome != pending {
		return
	}
	e.endAttemptLocked(s, cancelled)
	isCancelled := func(other *sequence) bool { return other == s }
	e.running = slices.DeleteFunc(e.running, isCancelled)
	e.waiting = slices.DeleteFunc(e.waiting, isCancelled)
	e.recordLoadLocked()
}
