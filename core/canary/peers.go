package canary

import (
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/evidence"
	"bluebellflow/core/id"
)

// maxPeersAsked is the number of nodes that a node asks for the rollouts while it cannot reach the platform.
const maxPeersAsked = 3

// RolloutsRequest asks a node for the rollouts that it has read from the platform.
type RolloutsRequest struct{}

// Check accepts every request.
func (RolloutsRequest) Check() error { return nil }

// KnownRollout is the sender's latest version of a rollout's object.
type KnownRollout struct {
	Record  []byte `protobuf:"bytes,1,opt,name=record"` // as on the platform
	Version uint64 `protobuf:"varint,2,opt,name=version"`
	Stopped bool   `protobuf:"varint,3,opt,name=stopped"`
	Reason  string `protobuf:"bytes,4,opt,name=reason"`
}

// RolloutsReply is the reply to a RolloutsRequest.
type RolloutsReply struct {
	Known []KnownRollout `protobuf:"bytes,1,rep,name=known"`
}

// Check reports a malformed message.
func (r RolloutsReply) Check() error {
	if len(r.Known) > evidence.MaxCells {
		return errors.New("canary: too many rollouts in reply")
	}
	for _, k := range r.Known {
		if _, err := decodeRecord(k.Record); err != nil || k.Version == 0 || len(k.Reason) > maxText {
			return errors.New("canary: malformed rollout in reply")
		}
	}
	return nil
}

func decodeRecord(raw []byte) (Record, error) {
	var rec Record
	if err := json.Unmarshal(raw, &rec); err != nil {
		return rec, err
	}
	if rec.Name == "" || rec.Pool == "" {
		return rec, errors.New("record without name or pool")
	}
	return rec, nil
}

// requestRollouts asks peers for the rollouts, those in this node's failure domain first. A node that starts during a
// platform outage must not serve before it knows which versions were rolled back.
func (rs *Rollouts) requestRollouts() []event.Action {
	if rs.view == nil {
		return nil
	}
	var near, far []id.Node
	for _, n := range rs.view.Nodes {
		switch {
		case n.ID == rs.self.Node:
		case n.FailureDomain == rs.self.FailureDomain:
			near = append(near, n.ID)
		default:
			far = append(far, n.ID)
		}
	}
	for _, list := range [][]id.Node{near, far} {
		rs.self.Rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	all := slices.Concat(near, far)
	var out []event.Action
	for _, name := range all[:min(maxPeersAsked, len(all))] {
		out = append(out, event.Send{To: name, Body: RolloutsRequest{}})
	}
	return out
}

// replyRollouts replies to a RolloutsRequest, unless this node has not loaded the rollouts itself.
func (rs *Rollouts) replyRollouts(to id.Node) []event.Action {
	if !rs.Loaded() {
		return nil
	}
	var reply RolloutsReply
	for _, name := range slices.Sorted(maps.Keys(rs.rollouts)) {
		r := rs.rollouts[name]
		raw, err := json.Marshal(r.Record)
		if err != nil || len(reply.Known) == evidence.MaxCells {
			continue
		}
		reply.Known = append(reply.Known, KnownRollout{Record: raw, Version: r.version, Stopped: r.stopped, Reason: r.reason})
	}
	return []event.Action{event.Send{To: to, Body: reply}}
}

// handleReply adopts the rollouts of a peer that are new to this node. Each is read again from the platform once that can
// be reached, before this node raises a share or takes a lease.
func (rs *Rollouts) handleReply(now time.Time, reply RolloutsReply) {
	if rs.loaded {
		return
	}
	for _, k := range reply.Known {
		rec, err := decodeRecord(k.Record)
		if err != nil || rs.rollouts[rec.Name] != nil {
			continue
		}
		r := rs.adopt(now, rec, k.Version)
		r.stale = true
		if k.Stopped {
			r.stopped, r.reason = true, k.Reason
		}
	}
	rs.loaded = true
}
