package event

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"bluebellflow/core/id"
)

// Event is an input of the decision logic.
type Event interface{ IsEvent() }

// Action is an output of the decision logic, carried out by the I/O packages.
type Action interface{ IsAction() }

// In is embedded in a type to make it an Event.
type In struct{}

// IsEvent marks the embedding type as an Event.
func (In) IsEvent() {}

// Out is embedded in a type to make it an Action.
type Out struct{}

// IsAction marks the embedding type as an Action.
func (Out) IsAction() {}

// Internal is embedded in an action that the node passes back to its own packages as an event.
type Internal struct {
	In
	Out
}

// IsInternal marks the embedding type as an internal action.
func (Internal) IsInternal() {}

// IsInternal returns the action as an event if it is internal to the node.
func IsInternal(a Action) (Event, bool) {
	if _, ok := a.(interface{ IsInternal() }); !ok {
		return nil, false
	}
	ev, ok := a.(Event)
	return ev, ok
}

// maxInternalEvents bounds the events of one step; more of them mean that packages trigger each other in an endless loop.
const maxInternalEvents = 10_000

// Propagate passes ev to handle, and then, in order, each action that asEvent turns into an event. It returns the remaining
// actions. It panics after maxInternalEvents events.
func Propagate(ev Event, asEvent func(Action) (Event, bool), handle func(Event) []Action) []Action {
	var out []Action
	pending := []Event{ev}
	for handled := 0; len(pending) > 0; handled++ {
		if handled == maxInternalEvents {
			panic(fmt.Sprintf("internal actions do not end, last %T", pending[0]))
		}
		next := pending[0]
		pending = pending[1:]
		for _, a := range handle(next) {
			if internal, ok := asEvent(a); ok {
				pending = append(pending, internal)
				continue
			}
			out = append(out, a)
		}
	}
	return out
}

// Self describes the node that a decision package runs on.
type Self struct {
	Node          id.Node
	Incarnation   id.Incarnation
	FailureDomain id.FailureDomain
	Region        id.Region
	Addr          netip.AddrPort // address for connections from other nodes
	Rand          *rand.Rand     // the only source of randomness for decisions
}

// Body is the content of a message between nodes. Check validates it after decoding.
type Body interface{ Check() error }

// FailKind is the way in which an attempt failed.
type FailKind uint8

const (
	// FailUnsent means that no byte of the attempt reached the backend server.
	FailUnsent FailKind = iota + 1
	// FailBroken means that the connection broke after the attempt was sent; the effect of the attempt is unknown.
	FailBroken
	// FailTimeout means that no response arrived in time; the effect of the attempt is unknown.
	FailTimeout
	// FailRejected means that the backend server refused to run the attempt.
	FailRejected
	// FailError means that the backend server ran the attempt and returned an error; the attempt had no effect.
	FailError
)

// NotRun reports whether the backend server did not run the attempt, so that the stage may be retried in any case.
func (k FailKind) NotRun() bool { return k == FailUnsent || k == FailRejected }

type (
	// RequestArrived reports a new request from a caller or a peer.
	RequestArrived struct {
		In
		Request   id.Request
		Workspace id.Workspace
		Pipeline  id.Pipeline
		Priority  int // RFC 9218 urgency: 0 is the highest, 7 the lowest
		Deadline  time.Time
		Key       string // value of Idempotency-Key, empty for none
		Body      []byte
		Stream    bool
		Tenant    string // not interpreted by the decision logic
		Forwarded bool   // a peer forwarded the request; it is not forwarded again
	}
	// CallerDisconnected reports that the caller has closed the connection of its request.
	CallerDisconnected struct {
		In
		Request id.Request
	}
	// AttemptOutput is a chunk of an attempt's streamed output. Chunks arrive in order.
	AttemptOutput struct {
		In
		Attempt id.Attempt
		Seq     int // index of the first token of Data in the whole response
		Tokens  int // number of tokens in Data
		Data    []byte
	}
	// AttemptDone reports that an attempt ended with its end marker.
	AttemptDone struct {
		In
		Attempt id.Attempt
		Tokens  int    // tokens of the whole response, for streams
		Data    []byte // output, if the stage does not stream
		Start   id.Start
		Took    time.Duration
		Leaving bool // the server reports that it will shut down
	}
	// AttemptFailed reports that an attempt ended without its end marker.
	AttemptFailed struct {
		In
		Attempt id.Attempt
		Kind    FailKind
		Start   id.Start // empty if no response carried one
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
		Limit   int // maximum number of concurrent attempts when warm
		Warm    bool
		Leaving bool
		At      time.Time // time of the measurement, by the server's clock
	}
	// LoadQueryFailed reports that a backend server did not respond to a load query.
	LoadQueryFailed struct {
		In
		Server  id.Server
		Refused bool // connection refused: the server's process has ended
	}
	// CacheUpdate is a batch of events from a model engine's prefix cache.
	CacheUpdate struct {
		In
		Server id.Server
		Start  id.Start
		Seq    uint64 // sequence number of the first event; a jump means that events were missed
		Added  []uint64
		Gone   []uint64
		At     time.Time
	}
	// Receive is a message from another node. Every message carries the newest versions that its sender has, Revision
	// and Domains, so that a node that is behind detects this without a query.
	Receive struct {
		In
		From        id.Node
		Incarnation id.Incarnation
		Revision    id.Revision // of the configuration
		Domains     uint64      // version of the failure domain records
		Body        Body
	}
	// Command is embedded in every operator command; the CommandResult carries the same number.
	Command struct {
		In
		Number uint64
	}
	// PeerLink reports that the connection to a peer was established or lost.
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
		Objects []Object // the object read or written, or the listed ones; Value is empty for a list and a put
	}
	// ObjectChanged reports a new version of a watched object. An empty name means that changes were missed.
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
	// OrderResult is the outcome of an Order.
	OrderResult struct {
		In
		Order Order
		Code  Code // CodeConflict if the fencing token was outdated
	}
	// Tick reports that time has passed. It has no fields, because Step gets the time as an argument.
	Tick struct{ In }
	// Stop requests a graceful shutdown.
	Stop struct{ In }
)

// VM is an entry of the platform's VM list.
type VM struct {
	Name          string           `json:"name"`
	Kind          string           `json:"kind"` // "entry" or "backend"
	Addr          netip.AddrPort   `json:"addr"` // for entry VMs the address for peers, for backend servers the HTTP address
	FailureDomain id.FailureDomain `json:"domain"`
	Region        id.Region        `json:"region"`
	Pool          id.Pool          `json:"pool,omitempty"`
	Version       id.Version       `json:"version,omitempty"`
	Leaving       bool             `json:"leaving,omitempty"`
}
