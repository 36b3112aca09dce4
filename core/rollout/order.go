package rollout

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellflow/core/evidence"
	"bluebellflow/core/id"
	"bluebellflow/core/retry"
	"bluebellflow/core/watchcache"
)

// fullShare is the share of all traffic. Shares are in thousandths.
const fullShare = 1000

// State is the state of a rollout.
type State uint8

const (
	// Ordered means that no status of the order was written yet.
	Ordered State = iota
	// Running means that traffic shifts as the evidence allows.
	Running
	// Completed means that all traffic goes to the new version.
	Completed
	// RolledBack means that the new version gets no more traffic.
	RolledBack
)

var stateNames = [...]string{"ordered", "running", "completed", "rolled back"}

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

// final reports whether the rollout has ended.
func (s State) final() bool { return s == Completed || s == RolledBack }

// Order is an operator's order to roll out a version to a pool.
type Order struct {
	Pool   id.Pool
	Target id.Version
	Span   time.Duration // time allowed for the rollout
}

// Status is the status of a rollout in the store.
type Status struct {
	State  State
	Target id.Version // target of the order that the status belongs to
}

// Decoder decodes orders from the store and encodes their status.
type Decoder interface {
	Rollout(spec, status []byte) (Order, Status, error)
	RolloutStatus(s Status) ([]byte, error)
}

// rollout is an order with this node's view of its progress.
type rollout struct {
	Order
	name      string
	revision  uint64
	state     State
	began     time.Time // when a node first learned of the order
	salt      uint64
	share     int       // of the new version in thousandths, as the leader last decided
	decidedAt time.Time // when the leader's last decision arrived
	stopped   bool      // the new version is bad, or the time ran out
	reason    string
	results   results
	calls     callCounts
	restored
	control
}

// control is the leader's state of an order.
type control struct {
	evidence     *evidence.Evidence
	shareSince   time.Time // when the share last changed
	reports      map[id.Node]nodeReport
	drainedSince time.Time // since when the old version has been drained, zero if it is not
	writing      State     // state that is being written, Ordered for none
	writeRetry   retry.Timer
}

// nodeReport is the content of a node's last report.
type nodeReport struct {
	at            time.Time
	share         int
	oldInProgress int
	incarnation   id.Incarnation
	nextResult    int64 // number of the first result not received yet
}

// callCounts counts the leader's calls to stage servers since the share last changed.
type callCounts struct{ target, all int }

func newRollout(now time.Time, o watchcache.Object, order Order) *rollout {
	return &rollout{
		Order: order, name: o.Name, began: now, salt: xxhash.Sum64String(o.Name + "/" + string(order.Target)),
		control: newControl(now, now),
	}
}

// newControl returns the state of a leader that has no reports yet.
func newControl(now, began time.Time) control {
	return control{evidence: evidence.New(began), shareSince: now, reports: map[id.Node]nodeReport{}}
}

// applied returns the share that this node gives the new version. A node without recent decisions of the leader cannot
// learn that the version is bad. It therefore gives the version no traffic, unless the version already has all of it.
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

// setShare sets the share of the new version. If it changes, the call counts start from zero: otherwise, after an
// increase, the new version would get all calls until its part of all counted calls reaches the new share.
func (r *rollout) setShare(share int) {
	if r.share != share {
		r.share, r.calls = share, callCounts{}
	}
}

// stop permanently ends the traffic to the new version.
func (r *rollout) stop(reason string) {
	r.stopped, r.reason = true, reason[:min(len(reason), maxText)]
}

// Choice is the set of versions that may serve a request. The zero value allows all.
type Choice struct {
	limited     bool
	toTarget    bool
	target      id.Version
	rejected    []id.Version // get no request in any case
	mayFallBack bool         // other versions may serve the request if these have no server for it
}

// Allows reports whether a version may serve the request.
func (c Choice) Allows(v id.Version) bool {
	if slices.Contains(c.rejected, v) {
		return false
	}
	return !c.limited || (v == c.target) == c.toTarget
}

// Fallback returns the choice for a request that no server of the chosen versions can take. It returns false if there
// is no other choice.
func (c Choice) Fallback() (Choice, bool) {
	if !c.limited || !c.mayFallBack {
		return c, false
	}
	return Choice{limited: true, toTarget: !c.toTarget, target: c.target, rejected: c.rejected}, true
}
