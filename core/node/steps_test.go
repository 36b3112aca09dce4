package node_test

import (
	"strings"

	"bluebellflow/core/canary"
	"bluebellflow/core/claim"
	"bluebellflow/core/config"
	"bluebellflow/core/domain"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/member"
	"bluebellflow/core/permit"
	"bluebellflow/core/quarantine"
)

// step is a transition of a life cycle, seen as the action that completes it.
type step struct {
	name  string
	match func(event.Action) bool
}

// sent matches a message between nodes, optionally with a condition on its content.
func sent[T event.Body](name string, conditions ...func(T) bool) step {
	return step{name, func(a event.Action) bool {
		s, ok := a.(event.Send)
		if !ok {
			return false
		}
		body, ok := s.Body.(T)
		for _, c := range conditions {
			ok = ok && c(body)
		}
		return ok
	}}
}

// called matches a platform operation of a package on objects with a prefix.
func called(name, owner string, op event.Op, prefix string) step {
	return step{name, func(a event.Action) bool {
		c, ok := a.(event.PlatformCall)
		return ok && c.Owner == owner && c.Op == op && strings.HasPrefix(c.Name, prefix)
	}}
}

// logged matches a decision that changes only the node's memory.
func logged(name, kind, choice string) step {
	return step{name, func(a event.Action) bool {
		l, ok := a.(event.Log)
		return ok && l.Kind == kind && strings.HasPrefix(l.Choice, choice)
	}}
}

// answered matches the answer to an operator with a value of a type.
func answered[T any](name string) step {
	return step{name, func(a event.Action) bool {
		r, ok := a.(event.CommandResult)
		_, is := r.Value.(T)
		return ok && is
	}}
}

func dispatched(stage string) step {
	return step{"dispatch " + stage, func(a event.Action) bool {
		d, ok := a.(event.Dispatch)
		return ok && d.Stage == stage
	}}
}

func replied(name string, match func(event.Reply) bool) step {
	return step{name, func(a event.Action) bool {
		r, ok := a.(event.Reply)
		return ok && match(r)
	}}
}

func is[T event.Action](name string) step {
	return step{name, func(a event.Action) bool { _, ok := a.(T); return ok }}
}

func oneTime(key string) bool { return strings.HasPrefix(key, "once-") }

// steps are all transitions, by life cycle. The result of a stage shows as the next dispatch, which carries it.
var steps = map[string][]step{
	"request": {
		dispatched("encode"), dispatched("retrieve"), dispatched("generate"), dispatched("checkout"),
		{"stage result", func(a event.Action) bool {
			d, ok := a.(event.Dispatch)
			return ok && len(d.Prior) > 0
		}},
		{"resumed stream", func(a event.Action) bool {
			d, ok := a.(event.Dispatch)
			return ok && d.Offset > 0
		}},
		replied("stream part", func(r event.Reply) bool { return !r.End }),
		replied("whole answer", func(r event.Reply) bool { return r.End && r.Problem == nil }),
		replied("problem", func(r event.Reply) bool { return r.Problem != nil }),
		logged("retry", "retry", ""),
		is[event.Cancel]("cancel"),
	},
	"claim": {
		sent("look", func(w claim.Acquire) bool { return w.Look && !oneTime(w.Key) }),
		sent("want", func(w claim.Acquire) bool { return !w.Look && !oneTime(w.Key) }),
		called("shard read", "claim", event.OpGet, "claims/"),
		called("shard write", "claim", event.OpPut, "claims/"),
		sent("told", func(t claim.Reply) bool { return t.Verdict != claim.Granted }),
		sent("told granted", func(t claim.Reply) bool { return t.Verdict == claim.Granted }),
		logged("granted", "claim", claim.Granted.String()),
		sent[claim.Query]("query"),
		sent[claim.Outcome]("outcome"),
		sent[claim.Ack]("stored"),
		answered[[]string]("keys issued"),
		sent("look at a one-time key", func(w claim.Acquire) bool { return w.Look && oneTime(w.Key) }),
		sent("want a one-time key", func(w claim.Acquire) bool { return !w.Look && oneTime(w.Key) }),
		sent("outcome of a one-time key", func(o claim.Outcome) bool { return oneTime(o.Key) }),
	},
	"permit": {
		sent[permit.Need]("need"), sent[permit.Grant]("grant"), sent[permit.State]("state"),
		sent[permit.Query]("query"), sent[permit.Holding]("holding"),
	},
	"domain": {
		called("object read", "domain", event.OpGet, "domains"),
		called("object write", "domain", event.OpPut, "domains"),
		sent[domain.Digest]("sum"), sent[domain.Records]("records"),
		logged("drained", "domain", "drain"), logged("restored", "domain", "restore"),
		answered[domain.Outcome]("answer"),
	},
	"config": {
		called("head read", "config", event.OpGet, "config/head"),
		called("part write", "config", event.OpPut, "config/part/"),
		called("head write", "config", event.OpPut, "config/head"),
		sent[config.Have]("have"), sent[config.Ask]("ask"), sent[config.Offer]("offer"),
		sent[config.Fetch]("fetch"), sent[config.Supply]("supply"),
		logged("changed", "config", "installed"),
		answered[config.Applied]("answer"),
	},
	"crash": {
		logged("counted", "crash", "count"),
		sent[quarantine.Counts]("counts"), sent[quarantine.RunRequest]("want"), sent[quarantine.RunReply]("given"),
		sent[quarantine.PromiseRequest]("hold"), sent[quarantine.PromiseReply]("held"), sent[quarantine.Release]("free"),
		called("object read", "crash", event.OpGet, "crashes"),
		called("object write", "crash", event.OpPut, "crashes"),
	},
	"move": {
		called("list", "move", event.OpList, "moves/"),
		called("object read", "move", event.OpGet, "moves/"),
		called("object write", "move", event.OpPut, "moves/"),
		sent[canary.Gossip]("beat"),
		is[event.Order]("order"),
		answered[canary.Record]("answer"),
	},
	"member": {
		sent[member.Heartbeat]("beat"), sent[member.Query]("ask"), sent[member.Update]("tell"),
		{"unready", func(a event.Action) bool {
			r, ok := a.(event.Readiness)
			return ok && !r.Ready
		}},
		is[event.Exit]("exit"),
	},
}

// lifeCycleOrder is the order of the life cycles, because the order of a map is random.
var lifeCycleOrder = []string{"request", "claim", "permit", "domain", "config", "crash", "member", "move"}

// allSteps lists the steps in a fixed order, with the name of the life cycle in front.
func allSteps() []step {
	var out []step
	for _, cycle := range lifeCycleOrder {
		for _, s := range steps[cycle] {
			out = append(out, step{cycle + ": " + s.name, s.match})
		}
	}
	return out
}

// peerOf returns the node or the backend server that an action concerns besides the one that acts.
func peerOf(a event.Action) (id.Node, id.Server) {
	switch a := a.(type) {
	case event.Send:
		return a.To, ""
	case event.Dispatch:
		return "", a.Server
	case event.Cancel:
		return "", a.Server
	}
	return "", ""
}
