package cost

import (
	"time"

	"bluebellflow/core/id"
)

// maxParts bounds the prompt parts of a request that are considered, so that a prompt of very many parts costs no more time.
const maxParts = 32

// Part is a segment of a prompt that several requests may share.
type Part struct {
	ID     uint64
	Tokens int
}

// Request is what is known of a request's size before it runs.
type Request struct {
	Route     string
	Workspace id.Workspace
	Prompt    int    // tokens of the whole prompt
	Shared    []Part // prompt parts that a server may have cached, in order
	Single    bool   // Shared is the whole prompt, which others need not share
	Output    int    // maximum tokens of the response
	Hint      int    // tokens of the response that the caller expects, 0 for none
	Stream    bool   // the response is a sequence of events
	Objective time.Duration
	Deadline  time.Duration // time left until the deadline
}

// Known reports whether the request carries token counts.
func (r *Request) Known() bool { return r.Prompt > 0 || r.Output > 0 || len(r.Shared) > 0 }

// Home returns the prompt part whose order of servers the request follows, 0 for none: the last one that others may share.
func (r *Request) Home() uint64 {
	if len(r.Shared) == 0 {
		return 0
	}
	return r.Shared[len(r.Shared)-1].ID
}

// shared returns the parts that are considered: the first ones, because a part is cached only together with those before it.
func (r *Request) shared() []Part { return r.Shared[:min(len(r.Shared), maxParts)] }

// sharedTokens returns the tokens of the parts that are considered, at most those of the whole prompt.
func (r *Request) sharedTokens() float64 {
	sum := 0.0
	for _, p := range r.shared() {
		sum += float64(max(0, p.Tokens))
	}
	return sum
}

// tokens returns the tokens of the prompt, which are no fewer than those of its parts.
func (r *Request) tokens() float64 { return max(float64(r.Prompt), r.sharedTokens()) }

// size returns the expected tokens of the response: the caller's estimate, or the maximum if there is none or it is lower.
func (r *Request) size() int {
	if r.Hint > 0 && (r.Output == 0 || r.Hint < r.Output) {
		return r.Hint
	}
	return r.Output
}
