package proxy

import (
	"time"

	"bluebellflow/core/balance"
	"bluebellflow/core/batch"
	"bluebellflow/core/catalog"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

// Ticket identifies an open request within one process.
type Ticket uint64

// PromptPart is a part of a prompt that other requests may share.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// RequestInfo are what a caller's request says.
type RequestInfo struct {
	Name        id.Request // as the caller calls it
	Host        string
	Path        string
	Key         string        // of the caller, empty for none
	Patience    time.Duration // how long the caller waits, 0 if it does not say
	Prompt      []PromptPart  // in order; the last part belongs to the request itself
	In, Out     int           // tokens of the prompt, and of the answer at most
	Pieces      []int         // pieces of each stage
	PieceKey    string
	Fingerprint id.Fingerprint // of method, host, target and body
}

type (
	// Arrive is a caller's request, read whole.
	Arrive struct {
		event.In
		Ticket Ticket
		RequestInfo
	}
	// Disconnected says that the caller has closed its connection.
	Disconnected struct {
		event.In
		Ticket Ticket
	}
	// Began says that the server's answer to a forwarded request has begun to reach the caller.
	Began struct {
		event.In
		Ticket Ticket
	}
	// Ended is the end of a forwarded request.
	Ended struct {
		event.In
		Ticket Ticket
		Result
	}
)

// Result is how the forwarding of a request ended.
type Result struct {
	Fail       event.FailKind // 0 if the server has answered
	Status     int            // of the server's answer
	Held       bool           // the answer is held back until Deliver or another Forward
	Began      bool           // part of an answer has reached the caller
	InputsGone bool           // the server has rejected the request because an input is gone
	Moved      bool           // another server answers at the address
	Load       balance.Load
	LoadKnown  bool // Load is filled in
	Detail     string
}

type (
	// Forward sends a request to a server.
	Forward struct {
		event.Out
		Ticket    Ticket
		Server    batch.Target
		Keyed     bool         // callers need keys, which are not passed on
		Workspace id.Workspace // empty for none
		Until     time.Time    // when the caller must have its whole answer
		First     time.Time    // when the answer must have begun, zero for no limit
		Inputs    []string     // handles of the results of its stages
		Once      bool         // the request must not run twice
		Hold      bool         // a failure of the server is held back, because another server may be tried
	}
	// Deliver passes on the answer that was held back.
	Deliver struct {
		event.Out
		Ticket Ticket
	}
	// Refuse is a final answer of the gateway itself.
	Refuse struct {
		event.Out
		Ticket Ticket
		Status int
		After  time.Duration // when the caller may come back, 0 for no hint
		Reason string
	}
	// Abort ends an answer that has begun so that it does not look complete.
	Abort struct {
		event.Out
		Ticket Ticket
	}
	// Limit sets what callers may send, from now on.
	Limit struct {
		event.Out
		Limits catalog.Limits
	}
)
