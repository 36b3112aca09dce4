package duty

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"bluebellflow/core/id"
)

const (
	// retention is how long a previous holder is remembered, in lease times after another node has taken over. It is longer
	// than the time after which a holder's first calls follow, so that the order A, B, A is noticed by the first B.
	retention = 4
	// maxRecent bounds the previous holders that are remembered.
	maxRecent = 16
	// maxToken bounds the token of a valid object, so that it can be increased.
	maxToken = 1 << 62
)

// object is the content of a lease object.
type object struct {
	Holder      id.Node        `json:"holder"`
	Incarnation id.Incarnation `json:"incarnation"`
	Era         uint64         `json:"era,omitempty"` // of the store, as the writer knew it
	Token       uint64         `json:"token"`
	Write       uint64         `json:"write"` // number of the write within the incarnation
	Released    bool           `json:"released,omitempty"`
	Recent      []recentHolder `json:"recent,omitempty"`
	Record      []byte         `json:"record,omitempty"` // encoded as base64, so that the store returns the same bytes
}

// recentHolder is a node that held the lease before. AgoMs is the least time since another node took over.
type recentHolder struct {
	Node  id.Node `json:"node"`
	AgoMs int64   `json:"agoMs"`
}

// decodeObject decodes and checks the content of a lease object.
func decodeObject(raw []byte) (object, error) {
	var o object
	if err := json.Unmarshal(raw, &o); err != nil {
		return o, fmt.Errorf("lease: %w", err)
	}
	if o.Holder == "" || o.Token == 0 || o.Token > maxToken {
		return o, errNoHolder
	}
	return o, o.Incarnation.Check()
}

// exists reports whether the content is that of an object.
func (o *object) exists() bool { return o.Holder != "" }

// heldRecently reports whether a node is among the recent holders.
func (o *object) heldRecently(name id.Node) bool {
	return slices.ContainsFunc(o.Recent, func(r recentHolder) bool { return r.Node == name })
}

// recentAfter returns the recent holders some time after the object was written, without those that are forgotten by then.
func (o *object) recentAfter(elapsed, lease time.Duration) []recentHolder {
	var out []recentHolder
	for _, r := range o.Recent {
		r.AgoMs += max(0, elapsed.Milliseconds())
		if r.AgoMs < retention*lease.Milliseconds() {
			out = append(out, r)
		}
	}
	return out
}

// recentWithHolder returns the recent holders after the object's holder has been replaced, including that holder.
func (o *object) recentWithHolder(elapsed, lease time.Duration) []recentHolder {
	out := slices.DeleteFunc(o.recentAfter(elapsed, lease), func(r recentHolder) bool { return r.Node == o.Holder })
	out = append(out, recentHolder{Node: o.Holder})
	return out[max(0, len(out)-maxRecent):]
}
