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

// owner identifies this package in platform operations and log entries.
const owner = "config"

const (
	// watchersPerDomain is the number of nodes of a failure domain that watch the head, so that one may fail.
	watchersPerDomain = 2
	// defaultTimeout is how long a change may take until it is answered.
	defaultTimeout = 10 * time.Second
	// gossipInterval is the interval at which a node sends its revision to a peer.
	gossipInterval = 400 * time.Millisecond
	// pollInterval is how often a watcher reads the head even if no change was announced.
	pollInterval = 10 * time.Second
	// callTimeout is the time after which the outcome of a platform operation without a result counts as unknown.
	callTimeout = 5 * time.Second
)

// Apply is the command to change the configuration. It is answered by event.CommandResult with an Applied value.
type Apply struct {
	event.Command
	Source    []byte         // a settings file, or the settings object of one workspace
	Tree      *settings.Tree // the parsed Source, to keep a long parse off the event loop; may be nil
	Expect    id.Revision    // the revision that the change must be based on; 0 means any
	Workspace id.Workspace   // the workspace to replace; empty replaces the whole configuration
}

// Applied is the answer to a committed change.
type Applied struct {
	Revision id.Revision `json:"revision"`
	Change   string      `json:"change"`
}

// Changed tells the other packages of the node that another configuration is in force.
type Changed struct {
	event.Internal
	Revision id.Revision
	Tree     *settings.Tree
}

// Option configures a Config.
type Option func(*Config)

// WithTimeout sets how long a change may wait for the platform before it is answered with an error.
func WithTimeout(d time.Duration) Option { return func(c *Config) { c.timeout = d } }

// WithoutReadBack reports an update of unknown outcome as not committed. It exists to show that the tests notice the
// missing mechanism.
func WithoutReadBack() Option { return func(c *Config) { c.noReadBack = true } }

// WithoutRevisionFloor accepts revisions older than the one in force. It exists to show that the tests notice the
// missing mechanism.
func WithoutRevisionFloor() Option { return func(c *Config) { c.noRevisionFloor = true } }

// WithoutGossip sends nothing to peers and ignores what they send. It exists to show that the tests notice the missing
// mechanism.
func WithoutGossip() Option { return func(c *Config) { c.noGossip = true } }

// Config holds the configuration of one node and keeps it up to date.
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
	partNames map[string]string // part name by digest, to answer Fetch
	rejected  id.Revision       // the newest revision that failed validation here
	ready     bool

	lastSeq      uint64
	calls        map[uint64]pendingCall
	out          []event.Action
	gossip       retry.Timer
	gossipRounds int
	started      bool
	read         readState
	pull         pullState
	commit       commitState
}

// purpose identifies what a platform operation was started for.
type purpose uint8

const (
	purposeReadHead purpose = iota + 1
	purposeReadPart
	purposeReadBase
	purposePutPart
	purposePutHead
)

// pendingCall is a platform operation without a result yet.
type pendingCall struct {
	purpose purpose
	digest  string // for operations on parts
	expires time.Time
}

// New returns a Config with an empty settings tree and revision 0.
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

// Tree returns the settings tree in force, which is never nil.
func (c *Config) Tree() *settings.Tree { return c.tree }

// Revision returns the revision in force, or 0 if there is none.
func (c *Config) Revision() id.Revision { return c.revision }

// Ready reports whether a configuration is in force or the platform has reported that none exists.
func (c *Config) Ready() bool { return c.ready }

// Rejected returns the newest revision that was accepted elsewhere but failed validation here, or 0 if there is none.
func (c *Config) Rejected() id.Revision { return c.rejected }

// Step handles an event and returns the resulting actions.
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
		c.handleMessage(now, ev)
	case Apply:
		c.handleApply(now, ev)
	}
	c.runTimers(now)
	out := c.out
	c.out = nil
	return out
}

// Next returns when the next timer is due.
func (c *Config) Next() time.Time {
	next := retry.Earliest(
		c.gossip.Next(), c.read.retry.Next(), c.read.poll.Next(),
		c.pull.retry.Next(), c.commit.retry.Next(), c.commit.nextDeadline(),
	)
	for _, call := range c.calls {
		next = retry.Earliest(next, call.expires)
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

// expireCalls gives operations that have timed out an unknown outcome, in the order in which they were started.
func (c *Config) expireCalls(now time.Time) {
	var expired []uint64
	for seq, call := range c.calls {
		if !call.expires.After(now) {
			expired = append(expired, seq)
		}
	}
	slices.Sort(expired)
	for _, seq := range expired {
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

// startCall starts a platform operation and records its purpose for the result. It returns the sequence number.
func (c *Config) startCall(now time.Time, call pendingCall, op event.PlatformCall) uint64 {
	c.lastSeq++
	op.Owner = owner
	op.Seq = c.lastSeq
	call.expires = now.Add(callTimeout)
	c.calls[c.lastSeq] = call
	c.out = append(c.out, op)
	return c.lastSeq
}

func (c *Config) handleResult(now time.Time, ev event.PlatformResult) {
	if ev.Call.Owner != owner {
		return
	}
	call, ok := c.calls[ev.Call.Seq]
	if !ok {
		return
	}
	delete(c.calls, ev.Call.Seq)
	switch call.purpose {
	case purposeReadHead:
		c.handleHeadRead(now, ev)
	case purposeReadPart:
		c.handlePartRead(now, call.digest, ev)
	case purposeReadBase:
		c.handleBaseRead(now, ev)
	case purposePutPart:
		c.handlePartPut(now, call.digest, ev)
	case purposePutHead:
		c.handleHeadPut(now, ev)
	}
}

func (c *Config) handleMessage(now time.Time, ev event.Receive) {
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

// headFromResult decodes the head in the result of a read. A head that does not exist has revision 0.
func headFromResult(ev event.PlatformResult) (head Head, object event.Object, err error) {
	if ev.Code == event.CodeNotFound || len(ev.Objects) == 0 {
		return Head{}, event.Object{}, nil
	}
	head, err = decodeHead(ev.Objects[0].Value)
	return head, ev.Objects[0], err
}

// partObjectName returns the name of the platform object that stores a part.
func partObjectName(digest string) string { return partPrefix + digest }
