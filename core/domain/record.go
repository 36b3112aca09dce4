package domain

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellflow/core/id"
)

const (
	objectName = "domains"
	// keptUpdates is how many updates the object remembers, so that a lost answer can be read back.
	keptUpdates = 128
	maxNameLen  = 128 // bytes of a domain, an operator or an identifier
	maxRecords  = 4096
)

// State is what a failure domain may be used for.
type State uint8

const (
	// Active means that the domain takes new work.
	Active State = iota + 1
	// Drained means that the domain takes no new work.
	Drained
	// Ramping means that the domain was restored a short time ago and all its servers count as cold.
	Ramping
)

// String returns the state in lower case.
func (s State) String() string {
	switch s {
	case Active:
		return "active"
	case Drained:
		return "drained"
	case Ramping:
		return "ramping"
	}
	return "unknown"
}

// MarshalText writes the state as a word.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Record is the last change of a failure domain.
type Record struct {
	Domain      id.FailureDomain `protobuf:"bytes,1,opt,name=domain" json:"domain"`
	Epoch       uint64           `protobuf:"varint,2,opt,name=epoch" json:"epoch"`
	Drained     bool             `protobuf:"varint,3,opt,name=drained" json:"drained"`
	By          string           `protobuf:"bytes,4,opt,name=by" json:"by"`
	At          int64            `protobuf:"varint,5,opt,name=at" json:"at"` // Unix milliseconds
	Change      string           `protobuf:"bytes,6,opt,name=change" json:"change"`
	Provisional bool             `protobuf:"varint,7,opt,name=provisional" json:"provisional,omitempty"` // not committed on the platform
}

// Check reports whether the record is well formed.
func (r Record) Check() error {
	switch {
	case r.Domain == "" || r.Epoch == 0 || r.Change == "":
		return fmt.Errorf("record of domain %.40q: domain, epoch and change are required", r.Domain)
	case len(r.Domain) > maxNameLen || len(r.By) > maxNameLen || len(r.Change) > maxNameLen:
		return fmt.Errorf("record of domain %.40q: a name has more than %d bytes", r.Domain, maxNameLen)
	case r.Provisional && !r.Drained:
		return fmt.Errorf("record of domain %s: only a drain can be provisional", r.Domain)
	}
	return nil
}

func (r Record) changedAt() time.Time { return time.UnixMilli(r.At) }

func (r Record) verb() string {
	if r.Drained {
		return "drained"
	}
	return "restored"
}

// compare orders the records of one domain: the higher epoch wins, then drained over active, then committed over
// provisional. The identifier decides between two provisional drains, so that all nodes keep the same one.
func compare(a, b Record) int {
	return cmp.Or(
		cmp.Compare(a.Epoch, b.Epoch), compareBool(a.Drained, b.Drained),
		compareBool(b.Provisional, a.Provisional), cmp.Compare(a.Change, b.Change),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// epochWinner is one change that got an epoch.
type epochWinner struct {
	Domain  id.FailureDomain `json:"domain"`
	Epoch   uint64           `json:"epoch"`
	Drained bool             `json:"drained"`
	By      string           `json:"by"`
}

// object is the value on the platform.
type object struct {
	Records []Record      `json:"records"` // sorted by domain, all committed
	Updates []string      `json:"updates"` // identifiers of the last updates
	Winners []epochWinner `json:"wins"`    // the last changes, to name winners
}

func decodeObject(raw []byte) (object, error) {
	var o object
	if err := json.Unmarshal(raw, &o); err != nil {
		return object{}, fmt.Errorf("decode domains: %w", err)
	}
	for i, r := range o.Records {
		if err := r.Check(); err != nil {
			return object{}, fmt.Errorf("decode domains: %w", err)
		}
		if r.Provisional {
			return object{}, errors.New("decode domains: a committed record is marked as provisional")
		}
		if i > 0 && o.Records[i-1].Domain >= r.Domain {
			return object{}, errors.New("decode domains: records are not sorted")
		}
	}
	return o, nil
}

func (o object) find(d id.FailureDomain) (int, bool) {
	return slices.BinarySearchFunc(o.Records, d, func(r Record, want id.FailureDomain) int {
		return cmp.Compare(r.Domain, want)
	})
}

// recordOf returns the record of a domain; without one the domain is active at epoch 0.
func (o object) recordOf(d id.FailureDomain) Record {
	if i, ok := o.find(d); ok {
		return o.Records[i]
	}
	return Record{Domain: d}
}

// withUpdate returns the object after one update.
func (o object) withUpdate(update string, changes []Record) object {
	next := object{Records: slices.Clone(o.Records), Updates: slices.Clone(o.Updates), Winners: slices.Clone(o.Winners)}
	for _, r := range changes {
		if i, ok := next.find(r.Domain); ok {
			next.Records[i] = r
		} else {
			next.Records = slices.Insert(next.Records, i, r)
		}
		next.Winners = append(next.Winners, epochWinner{r.Domain, r.Epoch, r.Drained, r.By})
	}
	next.Updates = append(next.Updates, update)
	next.Updates = next.Updates[max(0, len(next.Updates)-keptUpdates):]
	next.Winners = next.Winners[max(0, len(next.Winners)-keptUpdates):]
	return next
}

// covers reports whether the object remembers every update after the given number of updates ago.
func (o object) covers(ago uint64) bool {
	return len(o.Updates) < keptUpdates || ago <= uint64(len(o.Updates))
}

// winnerOf describes who got an epoch.
func (o object) winnerOf(d id.FailureDomain, epoch uint64) Record {
	i := slices.IndexFunc(o.Winners, func(w epochWinner) bool { return w.Domain == d && w.Epoch == epoch })
	if i < 0 {
		return o.recordOf(d)
	}
	return Record{Domain: d, Epoch: epoch, Drained: o.Winners[i].Drained, By: o.Winners[i].By}
}

// hash identifies a set of records.
func hash(records map[id.FailureDomain]Record) uint64 {
	var h xxhash.Digest
	h.Reset()
	for _, d := range sortedKeys(records) {
		r := records[d]
		_, _ = fmt.Fprintf(&h, "%q %d %t %t %q\n", r.Domain, r.Epoch, r.Drained, r.Provisional, r.Change)
	}
	return h.Sum64()
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
