package proxy

import (
	"time"

	"bluebellflow/core/balance"
	"bluebellflow/core/batch"
	"bluebellflow/core/catalog"
	"bluebellflow/core/connlimit"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/selfreport"
)

// Ticket identifies an open request within one process.
type Ticket uint64

// PromptPart is a segment of a prompt that several requests may share.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// RequestInfo holds what the gateway reads from a caller's request.
type RequestInfo struct {
	Name        id.Request // chosen by the caller
	Host        string
	Path        string
	Key         string        // the caller's API key, empty for none
	Patience    time.Duration // timeout sent by the caller, 0 for none
	Prompt      []PromptPart  // in order; the last part belongs to this request alone
	In, Out     int           // tokens of the prompt; maximum tokens of the response
	Hint        int           // tokens of the response that the caller expects, 0 for none
	Pieces      []int         // number of pieces of each stage
	PieceKey    string
	Fingerprint id.Fingerprint `json:"Print"` // hash of method, host, target and body
	LastEventID string         // of the event after which the caller resumes a stream, empty for its beginning
}

type (
	// Arrive reports a caller's request that has been read completely.
	Arrive struct {
		event.In
		Ticket Ticket
		RequestInfo
	}
	// Disconnected reports that the caller has closed its connection.
	Disconnected struct {
		event.In
		Ticket Ticket
	}
	// Closed reports that Close has been carried out: all connections of callers are closed.
	Closed struct{ event.In }
	// Began reports that the first part of the server's response has been sent to the caller.
	Began struct {
		event.In
		Ticket Ticket
		Status int // HTTP status of the response
		selfreport.Report
	}
	// Ended reports the end of a forwarded request.
	Ended struct {
		event.In
		Ticket Ticket
		Result
	}
)

// Result describes how a forwarded request ended.
type Result struct {
	Fail         event.FailKind // 0 if the server responded
	Status       int            // HTTP status of the server's response
	Held         bool           // the response is held back until Deliver or another Forward
	Began        bool           // part of a response has reached the caller
	ConnRefused  bool           // the server refused the connection, or another one after its response had broken off
	ConnRejected bool           // the server closed a new connection before anything was sent, as servers do that have too many
	InputsGone   bool           `json:"Inputs"` // the server rejected the request because it no longer holds an input
	Moved        bool           // a different server responded at the address
	Events       int            // complete events of a stream that has ended
	CanResume    bool           // the stream can be continued after the last event that was passed on
	LastEventID  string         // its id; the caller's own if no event was passed on, empty for none
	SinceEvent   time.Duration  // time since it was passed on, or since the request arrived
	Detail       string
	selfreport.Report
}

type (
	// Forward sends a request to a server.
	Forward struct {
		event.Out
		Ticket      Ticket
		Server      batch.Target
		Keyed       bool         // callers authenticate with a key, which is not forwarded
		Workspace   id.Workspace // empty for none
		Until       time.Time    // deadline for the complete response
		First       time.Time    // deadline for the first part of the response, zero for none
		Inputs      []string     // handles of the stage results that the request reads
		Once        bool         // the request must not run more than once
		Hold        bool         // hold back an error response, because another server may be tried
		Resumable   bool         // another server may continue the stream, so that the ids of its events are checked
		Resume      bool         // continue a stream that broke off after the event LastEventID
		LastEventID string       // empty for the beginning of the stream
		Conns       connlimit.Limit
		Placed      balance.Placement
	}
	// ConnLimited reports that servers were not chosen for a request because this node has its share of connections to them
	// in use.
	ConnLimited struct {
		event.Out
		Outcome ConnLimitOutcome
	}
	// Deliver sends the response that was held back to the caller.
	Deliver struct {
		event.Out
		Ticket Ticket
	}
	// Refuse answers a request with an error of the gateway itself.
	Refuse struct {
		event.Out
		Ticket Ticket
		Status int
		After  time.Duration // sent as Retry-After, 0 for none
		Reason string
	}
	// Abort breaks off a response that has begun, so that the caller does not take it for complete.
	Abort struct {
		event.Out
		Ticket Ticket
	}
	// Limit sets the limits for the requests that callers send from now on.
	Limit struct {
		event.Out
		Limits catalog.Limits
		// Catalog determines which requests are refused without reading their bodies.
		Catalog *catalog.Catalog `json:"-"`
	}
)
