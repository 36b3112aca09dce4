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

// maxPeersAsked is how many nodes are asked for the rollouts while the platform cannot be reached.
const maxPeersAsked = 3

// RolloutsRequest requests the rollouts that a node has read from the platform.
type RolloutsRequest struct{}

// Check accepts every request.
func (RolloutsRequest) Check() error { return nil }

// KnownRollout is one rollout as the sender knows it.
type KnownRollout struct {
	Record  []byte `protobuf:"bytes,1,opt,name=record"` // as on the platform
	Version uint64 `protobuf:"varint,2,opt,name=version"`
	Stopped bool   `protobuf:"varint,3,opt,name=stopped"`
	Reason  string `protobuf:"bytes,4,opt,name=reason"`
}

// RolloutsReply answers Ask.
type RolloutsReply struct {
	Known []KnownRollout `protobuf:"bytes,1,rep,name=known"`
}

// Check reports a malformed message.
func (t RolloutsReply) Check() error {
	if len(t.Known) > evidence.MaxCells {
		return errors.New("told: too many rollouts")
	}
	for _, k := range t.Known {
		if _, err := decodeRecord(k.Record); err != nil || k.Version == 0 || len(k.Reason) > maxText {
			return errors.New("told: bad rollout")
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

// requestRollouts asks peers, own domain first, because a node that starts during an outage of the platform
// must not serve before it knows which versions were taken back.
func (m *Rollouts) requestRollouts() []event.Action {
	if m.view == nil {
		return nil
	}
	var near, far []id.Node
	for _, n := range m.view.Nodes {
		switch {
		case n.ID == m.self.Node:
		case n.FailureDomain == m.self.FailureDomain:
			near = append(near, n.ID)
		default:
			far = append(far, n.ID)
		}
	}
	for _, list := range [][]id.Node{near, far} {
		m.self.Rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	all := slices.Concat(near, far)
	var out []event.Action
	for _, name := range all[:min(maxPeersAsked, len(all))] {
		out = append(out, event.Send{To: name, Body: RolloutsRequest{}})
	}
	return out
}

// replyRollouts answers Ask; a node that has not read the rollouts itself says nothing.
func (m *Rollouts) replyRollouts(to id.Node) []event.Action {
	if !m.Loaded() {
		return nil
	}
	var told RolloutsReply
	for _, name := range slices.Sorted(maps.Keys(m.rollouts)) {
		r := m.rollouts[name]
		raw, err := json.Marshal(r.Record)
		if err != nil || len(told.Known) == evidence.MaxCells {
			continue
		}
		told.Known = append(told.Known, KnownRollout{Record: raw, Version: r.version, Stopped: r.stopped, Reason: r.reason})
	}
	return []event.Action{event.Send{To: to, Body: told}}
}

// handleReply takes in what a peer knows of rollouts that are new to this node. Each is read from the platform
// as soon as it can be reached, before this node raises a share or takes a lease.
func (m *Rollouts) handleReply(now time.Time, t RolloutsReply) {
	if m.loaded {
		return
	}
	for _, k := range t.Known {
		rec, err := decodeRecord(k.Record)
		if err != nil || m.rollouts[rec.Name] != nil {
			continue
		}
		r := m.adopt(now, rec, k.Version)
		r.stale = true
		if k.Stopped {
			r.stopped, r.reason = true, k.Reason
		}
	}
	m.loaded = true
}
