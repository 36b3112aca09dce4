package claim

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

const (
	oncePrefix  = "once"
	onceTag     = 8    // bytes; keeps a caller from guessing another caller's key
	onceResults = 1024 // results kept in memory; older ones are answered as omitted
	maxIssue    = 1000 // keys in one answer
)

// once is a parsed one-time key.
type once struct {
	incarnation id.Incarnation
	counter     uint64
	tag         string
}

// parseOnce reads a one-time key; a caller's own key is not one.
func parseOnce(key string) (once, bool) {
	part := strings.Split(key, "-")
	if len(part) != 4 || part[0] != oncePrefix || id.Incarnation(part[1]).Check() != nil {
		return once{}, false
	}
	counter, err := strconv.ParseUint(part[2], 16, 64)
	if err != nil {
		return once{}, false
	}
	return once{incarnation: id.Incarnation(part[1]), counter: counter, tag: part[3]}, true
}

// issuer decides in memory about the one-time keys of this process.
type issuer struct {
	incarnation id.Incarnation
	secret      []byte
	next        uint64 // counter of the next key
	floor       uint64 // counters below it are no longer decided
	window      uint64
	used        map[uint64]*onceClaim
	results     []uint64 // counters with results, oldest first
}

type onceClaim struct {
	workspace id.Workspace
	print     id.Fingerprint
	by        claimer
	state     State
	result    []byte
	omitted   bool
}

func newIssuer(self event.Self, window uint64) *issuer {
	return &issuer{
		incarnation: self.Incarnation, secret: secret(self.Rand), window: window, used: map[uint64]*onceClaim{},
	}
}

func secret(rng *rand.Rand) []byte {
	var out []byte
	for range 4 {
		out = binary.BigEndian.AppendUint64(out, rng.Uint64())
	}
	return out
}

func (i *issuer) tag(counter uint64) string {
	mac := hmac.New(sha256.New, i.secret)
	mac.Write(binary.BigEndian.AppendUint64(nil, counter))
	return hex.EncodeToString(mac.Sum(nil)[:onceTag])
}

// issue returns new keys. Keys older than the window are given up, so that memory stays bounded.
func (i *issuer) issue(count int) []string {
	var out []string
	for range min(count, maxIssue) {
		out = append(out, oncePrefix+"-"+string(i.incarnation)+"-"+strconv.FormatUint(i.next, 16)+"-"+i.tag(i.next))
		i.next++
	}
	for ; i.next-i.floor > i.window; i.floor++ {
		delete(i.used, i.floor)
	}
	return out
}

// ask decides a key for a claimer. The grant counts as a run from here on, whether it arrives or not.
func (i *issuer) ask(k once, w Acquire, by claimer, again bool) Reply {
	told := Reply{Request: by.request}
	if k.incarnation != i.incarnation || k.counter >= i.next || !hmac.Equal([]byte(k.tag), []byte(i.tag(k.counter))) {
		told.Verdict = NotIssued
		return told
	}
	u := i.used[k.counter]
	if u != nil && u.state == Running && u.by != by && again {
		u = nil
	}
	switch {
	case u == nil && k.counter < i.floor:
		told.Verdict = Outstanding
	case u == nil && w.Look:
		told.Verdict = Absent
	case u == nil:
		i.used[k.counter] = &onceClaim{workspace: w.Workspace, print: w.Print, by: by, state: Running}
		told.Verdict = Granted
	case u.workspace != w.Workspace || u.print != w.Print:
		told.Verdict = Mismatch
	case u.state == Running && u.by == by && !w.Look:
		told.Verdict = Granted // the first grant may have been lost; the claimer uses only one
	case u.state == Running:
		told.Verdict, told.Node, told.Incarnation, told.Held = held, u.by.node, u.by.incarnation, u.by.request
	default:
		told.Verdict, told.Result, told.Omitted = verdictOf(u.state), u.result, u.omitted
	}
	return told
}

// settle records the outcome of a key's request.
func (i *issuer) settle(k once, by claimer, state State, result []byte, omitted bool) {
	u := i.used[k.counter]
	if k.incarnation != i.incarnation || u == nil || u.by != by || u.state != Running {
		return
	}
	if state == NotDispatched {
		delete(i.used, k.counter)
		return
	}
	u.state, u.result, u.omitted = state, result, omitted
	if len(result) == 0 {
		return
	}
	i.results = append(i.results, k.counter)
	if len(i.results) > onceResults {
		if old := i.used[i.results[0]]; old != nil && len(old.result) > 0 {
			old.result, old.omitted = nil, true
		}
		i.results = i.results[1:]
	}
}

// IssueKeys returns one-time keys that only this process can decide about. They stay usable while the
// platform cannot be reached, until the process ends or has issued a whole window of newer keys.
func (c *Claims) IssueKeys(_ time.Time, count int) []string { return c.issuer.issue(count) }
