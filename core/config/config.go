package config

import (
	"fmt"
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/member"
	"bluebellflow/core/retry"
	"bluebellflow/core/settings"
)

// owner names this package in platform operations.
const owner = "config"

const (
	// watchersPerDomain is the number of nodes of a failure domain that watch the head, so that one may fail.
	watchersPerDomain = 2
	// defaultTimeout bounds the time until a change gets its answer.
	defaultTimeout = 10 * time.Second
	// gossipInterval is the pause between two messages that tell a peer the revision.
	gossipInterval = 400 * time.Millisecond
	// pollInterval is how often a watcher reads the head without being told of a change.
	pollInterval = 10 * time.Second
	// callTimeout is the time after which a platform operation without a result counts as lost.
	callTimeout = 5 * time.Second
)

// Apply asks for a change of the configuration; it is answered by event.CommandResult with Applied as its value.
type Apply struct {
	event.Command
	Source    []byte         // a settings file, or the object of one workspace
	Tree      *settings.Tree // Source parsed beforehand, which spares the event loop a long parse; may be nil
	Expect    id.Revision    // the change applies only to this revision; 0 means any
	Workspace id.Workspace   // the change replaces this workspace only; empty means the whole configuration
}

// Applied is the answer to a change that was committed.
type Applied struct {
	Revision id.Revision `json:"revision"`
	Change   string      `json:"change"`
}

// Changed tells the packages of a node that another configuration is in force.
type Changed struct {
	event.Internal
	Revision id.Revision
	Tree     *settings.Tree
}

// Option changes a Config.
type Option func(*Config)

// WithTimeout sets how long a change may wait for the platform before it is answered.
func WithTimeout(d time.Duration) Option { return func(c *Config) { c.timeout = d } }

// WithoutReadBack answers a lost update as not committed. It exists to show that the proofs notice.
func WithoutReadBack() Option { return func(c *Config) { c.noReadBack = true } }

// WithoutRevisionFloor accepts older revisions. It exists to show that the proofs notice.
func WithoutRevisionFloor() Option { return func(c *Config) { c.noRevisionFloor = true } }

// WithoutGossip neither tells nor asks peers. It exists to show that the proofs notice.
func WithoutGossip() Option { return func(c *Config) { c.noGossip = true } }

// Config is the configuration of one node.
type Config struct {
	self            event.Self
	timeout         time.Duration
	noReadBack      bool
	noRevisionFloor bool
	noGossip        bool

	view      *member.View
	tree      *settings.Tree
	revision  id.Revision
	rawHead   []byte            // the head in force as stored on the platform
	partNames map[string]string // part name by digest, for peers that fetch
	rejected  id.Revision       // the newest revision that did not check
	ready     bool

	lastCall     uint64
	calls        map[uint64]pendingCall
	out          []event.Action
	gossip       retry.Timer
	gossipRounds int
	started      bool
	read         readState
	pull         pullState
	commit       commitState
}

// purpose says which part of the package waits for a platform operation.
type purpose uint8

const (
	purposeReadHead purpose = iota + 1
	purposeReadPart
	purposeReadBase
	purposePutPart
	purposePutHead
)

type pendingCall struct {
	purpose purpose
	digest  string // for parts
	expires time.Time
}

// New returns a Config with an empty tree and revision 0.
func New(self event.Self, opts ...Option) *Config {
	c := &Config{
		self:    self,
		timeout: defaultTimeout,
		tree:    settings.Empty(),
		calls:   map[uint64]pendingCall{},
		pull:    pullState{peerRevisions: map[id.Node]id.Revision{}},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Tree returns the tree in force, which is never nil.
func (c *Config) Tree() *settings.Tree { return c.tree }

// Revision returns the revision in force, 0 for none.
func (c *Config) Revision() id.Revision { return c.revision }

// Ready reports whether a configuration is in force or the platform said that there is none.
func (c *Config) Ready() bool { return c.ready }

// Rejected returns the newest revision that was accepted elsewhere and did not check here, 0 for none.
func (c *Config) Rejected() id.Revision { return c.rejected }

// Step handles an event.
func (c *Config) Step(now time.Time, ev event.Event) []event.Action {
	if !c.started {
		c.start(now)
	}
	switch ev := ev.(type) {
	case member.ViewChanged:
		c.handleView(now, ev.View)
	case event.ObjectChanged:
		if ev.Name == "" || ev.Name == headName {
			c.readHead(now)
		}
	case event.PlatformResult:
		c.handleResult(now, ev)
	case event.Receive:
		c.handleReceive(now, ev)
	case Apply:
		c.handleApply(now, ev)
	}
	c.runTimers(now)
	out := c.out
	c.out = nil
	return out
}

// Next returns the time of the next timer.
func (c *Config) Next() time.Time {
	next := retry.Earliest(
		c.gossip.Next(), c.read.retry.Next(), c.read.poll.Next(),
		c.pull.retry.Next(), c.commit.retry.Next(), c.commit.nextDeadline(),
	)
	for _, one := range c.calls {
		next = retry.Earliest(next, one.expires)
	}
	return next
}

func (c *Config) start(now time.Time) {
	c.started = true
	c.gossip.Set(now, time.Duration(c.self.Rand.Int64N(int64(gossipInterval))))
	c.readHead(now)
}

func (c *Config) runTimers(now time.Time) {
	c.expireCalls(now)
	if c.gossip.Due(now) {
		c.gossip.Set(now, gossipInterval)
		c.gossipToPeer()
	}
	if c.read.retry.Due(now) {
		c.readHead(now)
	}
	if c.read.poll.Due(now) {
		c.read.poll.Set(now, pollInterval)
		c.readHead(now)
	}
	if c.pull.retry.Due(now) {
		c.retryPull(now)
	}
	c.runCommitTimers(now)
}

// expireCalls takes operations without a result as lost, in the order in which they were made.
func (c *Config) expireCalls(now time.Time) {
	var late []uint64
	for seq, one := range c.calls {
		if !one.expires.After(now) {
			late = append(late, seq)
		}
	}
	slices.Sort(late)
	for _, seq := range late {
		c.handleResult(now, event.PlatformResult{Call: event.PlatformCall{Owner: owner, Seq: seq}, Code: event.CodeUnknown})
	}
}

func (c *Config) send(to id.Node, body event.Body) {
	if to != c.self.Node && !c.noGossip {
		c.out = append(c.out, event.Send{To: to, Body: body})
	}
}

func (c *Config) log(choice, format string, args ...any) {
	c.out = append(c.out, event.Log{Kind: owner, Choice: choice, Reason: fmt.Sprintf(format, args...)})
}

// startCall starts a platform operation whose result comes back with its purpose.
func (c *Config) startCall(now time.Time, what pendingCall, op event.PlatformCall) uint64 {
	c.lastCall++
	op.Owner = owner
	op.Seq = c.lastCall
	what.expires = now.Add(callTimeout)
	c.calls[c.lastCall] = what
	c.out = append(c.out, op)
	return c.lastCall
}

func (c *Config) handleResult(now time.Time, ev event.PlatformResult) {
	if ev.Call.Owner != owner {
		return
	}
	what, ok := c.calls[ev.Call.Seq]
	if !ok {
		return
	}
	delete(c.calls, ev.Call.Seq)
	switch what.purpose {
	case purposeReadHead:
		c.handleHeadRead(now, ev)
	case purposeReadPart:
		c.handlePartRead(now, what.digest, ev)
	case purposeReadBase:
		c.handleBaseRead(now, ev)
	case purposePutPart:
		c.handlePartPut(now, what.digest, ev)
	case purposePutHead:
		c.handleHeadPut(now, ev)
	}
}

func (c *Config) handleReceive(now time.Time, ev event.Receive) {
	if c.noGossip {
		return
	}
	c.noteRevision(now, ev.From, ev.Revision)
	switch body := ev.Body.(type) {
	case Have:
		c.noteRevision(now, ev.From, body.Revision)
		if body.Revision < c.revision {
			c.send(ev.From, Have{Revision: c.revision})
		}
	case Ask:
		if c.revision > body.Known {
			c.send(ev.From, Offer{Head: c.rawHead})
		}
	case Offer:
		if head, err := decodeHead(body.Head); err == nil {
			c.startPull(now, head, body.Head, ev.From)
		}
	case Fetch:
		c.sendParts(ev.From, body)
	case Supply:
		c.handleParts(now, ev.From, body)
	}
}

// headFromResult decodes the head in the result of a read; a missing head is revision 0.
func headFromResult(ev event.PlatformResult) (head Head, object event.Object, err error) {
	if ev.Code == event.CodeNotFound || len(ev.Objects) == 0 {
		return Head{}, event.Object{}, nil
	}
	head, err = decodeHead(ev.Objects[0].Value)
	return head, ev.Objects[0], err
}

func partObjectName(digest string) string { return partPrefix + digest }
