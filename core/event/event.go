package event

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"bluebellflow/core/id"
)

// Event is something that happened and that the decision logic must hear of.
type Event interface{ IsEvent() }

// Action is something that the decision logic wants done.
type Action interface{ IsAction() }

// In marks an event when embedded.
type In struct{}

// IsEvent marks the embedding type as an Event.
func (In) IsEvent() {}

// Out marks an action when embedded.
type Out struct{}

// IsAction marks the embedding type as an Action.
func (Out) IsAction() {}

// Internal marks an action that the node feeds back to its own packages as an event.
type Internal struct {
	In
	Out
}

// IsInternal marks the embedding type as internal to a node.
func (Internal) IsInternal() {}

// IsInternal reports whether the action is meant for the node's own packages.
func IsInternal(a Action) (Event, bool) {
	if _, ok := a.(interface{ IsInternal() }); !ok {
		return nil, false
	}
	ev, ok := a.(Event)
	return ev, ok
}

// maxInternalEvents bounds the internal actions of one step; more means that two packages answer each other forever.
const maxInternalEvents = 10_000

// Propagate hands an event to handle, and then each event that an action amounts to according to inner, in order. It returns
// the other actions.
func Propagate(ev Event, inner func(Action) (Event, bool), handle func(Event) []Action) []Action {
	var out []Action
	pending := []Event{ev}
	for round := 0; len(pending) > 0; round++ {
		if round == maxInternalEvents {
			panic(fmt.Sprintf("internal actions do not end, last %T", pending[0]))
		}
		next := pending[0]
		pending = pending[1:]
		for _, a := range handle(next) {
			if again, ok := inner(a); ok {
				pending = append(pending, again)
				continue
			}
			out = append(out, a)
		}
	}
	return out
}

// Self describes the node that a decision package runs in.
type Self struct {
	Node          id.Node
	Incarnation   id.Incarnation
	FailureDomain id.FailureDomain
	Region        id.Region
	Addr          netip.AddrPort // peer address of this node
	Rand          *rand.Rand     // the only source of randomness
}

// Body is the content of a message between nodes; it checks itself when decoded.
type Body interface{ Check() error }

// FailKind says how an attempt failed.
type FailKind uint8

const (
	// FailUnsent means that no byte of the attempt reached the backend server.
	FailUnsent FailKind = iota + 1
	// FailBroken means that the connection broke after the attempt was sent; its effect is unknown.
	FailBroken
	// FailTimeout means that no answer came in time; its effect is unknown.
	FailTimeout
	// FailRejected means that the backend server answered that it did not run the attempt.
	FailRejected
	// FailError means that the backend server ran the attempt and answered with an error; nothing took effect.
	FailError
)

// NotRun reports whether the attempt certainly had no effect, so that any stage may run again.
func (k FailKind) NotRun() bool { return k == FailUnsent || k == FailRejected }

type (
	// RequestArrived is a caller's request.
	RequestArrived struct {
		In
		Request   id.Request
		Workspace id.Workspace
		Pipeline  id.Pipeline
		Priority  int // RFC 9218 urgency: 0 is most urgent, 7 least
		Deadline  time.Time
		Key       string // Idempotency-Key, empty for none
		Body      []byte
		Stream    bool
		Tenant    string // opaque to the core
		Forwarded bool   // a peer passed the request on; it is not passed on again
	}
	// CallerDisconnected says that the caller hung up.
	CallerDisconnected struct {
		In
		Request id.Request
	}
	// AttemptOutput is a piece of an attempt's output, in sequence from 0 within the whole answer.
	AttemptOutput struct {
		In
		Attempt id.Attempt
		Seq     int // sequence number of the first token in Data
		Tokens  int // how many tokens Data holds
		Data    []byte
	}
	// AttemptDone is the end mark of an attempt.
	AttemptDone struct {
		In
		Attempt id.Attempt
		Tokens  int    // tokens of the whole answer, for streams
		Data    []byte // output of a stage that does not stream
		Start   id.Start
		Took    time.Duration
		Leaving bool // the server says that it is about to leave
	}
	// AttemptFailed says that an attempt ended without its end mark.
	AttemptFailed struct {
		In
		Attempt id.Attempt
		Kind    FailKind
		Start   id.Start // start identity, if an answer carried one
		Status  int      // HTTP status, 0 for none
		Reason  string
	}
	// LoadReport is a load report of a backend server.
	LoadReport struct {
		In
		Server  id.Server
		Start   id.Start
		Version id.Version
		Running int
		Waiting int
		Limit   int // attempts at once that the server bears when warm
		Warm    bool
		Leaving bool
		At      time.Time // when the server measured it
	}
	// LoadQueryFailed says that a backend server did not answer a load query.
	LoadQueryFailed struct {
		In
		Server  id.Server
		Refused bool // nothing listens at its address: the process has ended
	}
	// CacheUpdate is a batch of prefix cache events of a model engine.
	CacheUpdate struct {
		In
		Server id.Server
		Start  id.Start
		Seq    uint64 // sequence number of the first event; a jump is a gap
		Added  []uint64
		Gone   []uint64
		At     time.Time
	}
	// Receive is a message from another node.
	// Revision and Domains are the newest that the sender knows; they travel with every message,
	// so that a node that lags finds out without asking.
	Receive struct {
		In
		From        id.Node
		Incarnation id.Incarnation
		Revision    id.Revision // of the configuration
		Domains     uint64      // version of the failure-domain records
		Body        Body
	}
	// Command is embedded in every operator command; the answer carries the same number.
	Command struct {
		In
		Number uint64
	}
	// PeerLink says that the connection to a peer came up or went down.
	PeerLink struct {
		In
		Peer id.Node
		Up   bool
	}
	// PlatformResult is the outcome of a platform operation.
	PlatformResult struct {
		In
		Call    PlatformCall
		Code    Code
		Objects []Object // the object read or written; several for a list; Value is empty for a list and a put
	}
	// ObjectChanged says that a watched object has a new version; an empty name says that changes were missed.
	ObjectChanged struct {
		In
		Name    string
		Version uint64
	}
	// VMList is the platform's VM list.
	VMList struct {
		In
		List []VM
	}
	// OrderResult is the outcome of an order to a backend server.
	OrderResult struct {
		In
		Order Order
		Code  Code // CodeConflict: refused for an old fencing number
	}
	// Tick says that time has passed; it carries nothing because Step gets the time.
	Tick struct{ In }
	// Stop asks for a graceful shutdown.
	Stop struct{ In }
)

// VM is an entry of the platform's VM list.
type VM struct {
	Name          string           `json:"name"`
	Kind          string           `json:"kind"` // "entry" or "backend"
	Addr          netip.AddrPort   `json:"addr"` // peer address of an entry VM, HTTP address of a backend server
	FailureDomain id.FailureDomain `json:"domain"`
	Region        id.Region        `json:"region"`
	Pool          id.Pool          `json:"pool,omitempty"`
	Version       id.Version       `json:"version,omitempty"`
	Leaving       bool             `json:"leaving,omitempty"`
}
