package node

import (
	"errors"
	"slices"
	"strings"
	"time"

	"bluebellflow/core/canary"
	"bluebellflow/core/domain"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/member"
	"bluebellflow/core/request"
)

const (
	// statusTimeout is how long a status command waits for the replies of the other nodes.
	statusTimeout = 500 * time.Millisecond
	// maxPolls limits how many status commands wait at the same time.
	maxPolls = 16
)

// StatusQuery requests another node's part of a status report.
type StatusQuery struct {
	Number uint64 `protobuf:"varint,1,opt,name=number"`
}

// Check accepts every number.
func (StatusQuery) Check() error { return nil }

// StatusReply answers StatusQuery.
type StatusReply struct {
	Number   uint64      `protobuf:"varint,1,opt,name=number"`
	Revision id.Revision `protobuf:"varint,2,opt,name=revision"`
	Domains  uint64      `protobuf:"varint,3,opt,name=domains"` // version of the domain records
	Open     uint64      `protobuf:"varint,4,opt,name=open"`    // requests without a final answer
	Ready    bool        `protobuf:"varint,5,opt,name=ready"`
}

// Check rejects an impossible count of open requests.
func (r StatusReply) Check() error {
	if r.Open > 1<<32 {
		return errors.New("status reply: too many open requests")
	}
	return nil
}

// Report is the answer to Status.
type Report struct {
	Node     id.Node          `json:"node"`
	Domain   id.FailureDomain `json:"domain"`
	Revision id.Revision      `json:"revision"`
	Rejected id.Revision      `json:"rejected,omitempty"` // newest received revision that failed validation
	Ready    bool             `json:"ready"`
	Nodes    []PeerReport     `json:"nodes"`
	Silent   []id.Node        `json:"silent"` // nodes in the view that did not reply
	Domains  []domain.Record  `json:"domains"`
	Rollouts []canary.Status  `json:"moves"`
	Open     int              `json:"open"` // requests without a final answer
	Requests request.Counters `json:"requests"`
}

// PeerReport is the state of one node in the view, as that node reports it.
type PeerReport struct {
	Node     id.Node          `json:"node"`
	Domain   id.FailureDomain `json:"domain"`
	Replied  bool             `json:"heard"`
	Revision id.Revision      `json:"revision"` // configuration in force on that node, 0 if it did not reply
	Open     uint64           `json:"open"`     // requests without a final answer
	Ready    bool             `json:"ready"`
	Leaving  bool             `json:"leaving"`
}

// poll is a status command that waits for the replies of other nodes.
type poll struct {
	number   uint64 // of the command
	deadline time.Time
	report   Report
	pending  int // nodes that have not replied yet
}

// startPoll starts a status command. It queries every node in the view, so that the answer can name those that do not
// reply.
func (n *Node) startPoll(now time.Time, ev Status) []event.Action {
	if len(n.polls) >= maxPolls {
		return []event.Action{event.CommandResult{Number: ev.Number, Fault: &event.Problem{
			Kind: event.ProblemRefused, Detail: "too many concurrent status commands", RetryAfter: statusTimeout,
		}}}
	}
	n.lastPoll++
	p := &poll{number: ev.Number, deadline: now.Add(statusTimeout), report: n.report()}
	n.polls[n.lastPoll] = p
	var out []event.Action
	for _, r := range p.report.Nodes {
		if r.Node != n.self.Node {
			p.pending++
			out = append(out, event.Send{To: r.Node, Body: StatusQuery{Number: n.lastPoll}})
		}
	}
	if p.pending == 0 {
		return append(out, n.finishPoll(n.lastPoll, p))
	}
	return out
}

func (n *Node) report() Report {
	r := Report{
		Node: n.self.Node, Domain: n.self.FailureDomain, Revision: n.config.Revision(), Rejected: n.config.Rejected(),
		Ready: n.ready, Domains: n.domains.Records(), Rollouts: n.rollouts.Status(),
		Open: n.requests.OpenCount(), Requests: n.requests.Counters(),
	}
	for _, m := range n.members.View().Nodes {
		r.Nodes = append(r.Nodes, n.peerReport(m))
	}
	return r
}

func (n *Node) peerReport(m member.Node) PeerReport {
	r := PeerReport{Node: m.ID, Domain: m.FailureDomain, Leaving: m.Leaving}
	if m.ID == n.self.Node {
		r.Replied, r.Revision, r.Open, r.Ready = true, n.config.Revision(), uint64(n.requests.OpenCount()), n.ready
	}
	return r
}

// handleMessage handles status queries and replies.
func (n *Node) handleMessage(ev event.Receive) []event.Action {
	switch m := ev.Body.(type) {
	case StatusQuery:
		return []event.Action{event.Send{To: ev.From, Body: StatusReply{
			Number: m.Number, Revision: n.config.Revision(), Domains: n.domains.Version(),
			Open: uint64(n.requests.OpenCount()), Ready: n.ready,
		}}}
	case StatusReply:
		return n.handleReply(ev.From, m)
	}
	return nil
}

func (n *Node) handleReply(from id.Node, m StatusReply) []event.Action {
	p, ok := n.polls[m.Number]
	if !ok {
		return nil
	}
	i := slices.IndexFunc(p.report.Nodes, func(r PeerReport) bool { return r.Node == from })
	if i < 0 || p.report.Nodes[i].Replied {
		return nil
	}
	r := &p.report.Nodes[i]
	r.Replied, r.Revision, r.Open, r.Ready = true, m.Revision, m.Open, m.Ready
	if p.pending--; p.pending > 0 {
		return nil
	}
	return []event.Action{n.finishPoll(m.Number, p)}
}

// expirePolls answers the status commands whose deadline has passed.
func (n *Node) expirePolls(now time.Time) []event.Action {
	var out []event.Action
	for number, p := range n.polls {
		if !p.deadline.After(now) {
			out = append(out, n.finishPoll(number, p))
		}
	}
	slices.SortFunc(out, func(a, b event.Action) int {
		return int(a.(event.CommandResult).Number) - int(b.(event.CommandResult).Number)
	})
	return out
}

func (n *Node) finishPoll(number uint64, p *poll) event.Action {
	delete(n.polls, number)
	for _, r := range p.report.Nodes {
		if !r.Replied {
			p.report.Silent = append(p.report.Silent, r.Node)
		}
	}
	slices.SortFunc(p.report.Silent, func(a, b id.Node) int { return strings.Compare(string(a), string(b)) })
	return event.CommandResult{Number: p.number, Value: p.report}
}
