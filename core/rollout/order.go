package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellflow/core/evidence"
	"bluebellflow/core/id"
	"bluebellflow/core/retry"
	"bluebellflow/core/watchcache"
)

// fullShare is a share in thousandths that is everything.
const fullShare = 1000

// State is how far a rollout is.
type State uint8

const (
	// Ordered means that nothing was written about the order yet.
	Ordered State = iota
	// Running means that traffic moves as the evidence allows.
	Running
	// Completed means that all traffic goes to the new version.
	Completed
	// RolledBack means that the new version gets nothing any more.
	RolledBack
)

var stateNames = [...]string{"ordered", "running", "completed", "rolled back"}

// String names the state.
func (s State) String() string { return stateNames[s] }

// final reports whether nothing more is decided.
func (s State) final() bool { return s == Completed || s == RolledBack }

// Order is an operator's wish to move a pool to a version.
type Order struct {
	Pool   id.Pool
	Target id.Version
	Span   time.Duration // until the move must be over
}

// Status is what the store says about a rollout.
type Status struct {
	State  State
	Target id.Version // of the order that the status is about
}

// Decoder reads the orders in the store and writes their status.
type Decoder interface {
	Rollout(spec, status []byte) (Order, Status, error)
	RolloutStatus(s Status) ([]byte, error)
}

// rollout is an order with what this node knows of it.
type rollout struct {
	Order
	name      string
	revision  uint64
	state     State
	began     time.Time // when a node first learned of the order
	salt      uint64
	share     int       // of the new version in thousandths, as last ruled
	decidedAt time.Time // when the leader last said so
	stopped   bool      // the new version is bad, or out of time
	reason    string
	results   results
	calls     callCounts
	control
}

// control is what the leader keeps of an order.
type control struct {
	evidence     *evidence.Evidence
	shareSince   time.Time // when the share last changed
	reports      map[id.Node]nodeReport
	drainedSince time.Time // since when all nodes have given everything to the new version
	writing      State     // the state that is being written, Ordered for none
	writeRetry   retry.Timer
}

// nodeReport is what a node has said last.
type nodeReport struct {
	at            time.Time
	share         int
	oldInProgress int
	incarnation   id.Incarnation
	nextResult    int64 // number of the next result
}

// callCounts counts the calls to stage servers since the share last changed; the leader makes all of them.
type callCounts struct{ target, all int }

func newRollout(now time.Time, o watchcache.Object, order Order) *rollout {
	return &rollout{
		Order: order, name: o.Name, began: now, salt: xxhash.Sum64String(o.Name + "/" + string(order.Target)),
		control: newControl(now, now),
	}
}

// newControl begins to lead a rollout that began at a time.
func newControl(now, began time.Time) control {
	return control{evidence: evidence.New(began), shareSince: now, reports: map[id.Node]nodeReport{}}
}

// applied is the share that this node gives the new version. A node that does not hear from the leader cannot learn that
// the version is bad, and gives it nothing unless all traffic has moved.
func (r *rollout) applied(now time.Time) int {
	switch {
	case r.state == Completed:
		return fullShare
	case r.state == RolledBack || r.stopped:
		return 0
	case r.share < fullShare && now.Sub(r.decidedAt) > decisionTTL:
		return 0
	}
	return r.share
}

// setShare sets the share of the new version. Calls are counted anew, or the version would get all of them until it has
// caught up with a share that has grown.
func (r *rollout) setShare(share int) {
	if r.share != share {
		r.share, r.calls = share, callCounts{}
	}
}

// stop ends the traffic of the new version for good.
func (r *rollout) stop(reason string) {
	r.stopped, r.reason = true, reason[:min(len(reason), maxText)]
}

// Choice says which versions a request may go to. The zero value allows all.
type Choice struct {
	limited     bool
	toTarget    bool
	target      id.Version
	mayFallBack bool // the other versions may serve it if these have no server
}

// Allows reports whether a version may serve the request.
func (c Choice) Allows(v id.Version) bool { return !c.limited || (v == c.target) == c.toTarget }

// Fallback returns the choice for a request that no server of the chosen versions can take, and whether there is one.
func (c Choice) Fallback() (Choice, bool) {
	if !c.limited || !c.mayFallBack {
		return c, false
	}
	return Choice{limited: true, toTarget: !c.toTarget, target: c.target}, true
}
