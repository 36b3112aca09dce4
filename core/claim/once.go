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
	keyPrefix        = "once"
	tagSize          = 8    // bytes; keeps a caller from guessing another caller's key
	maxStoredResults = 1024 // results kept in memory; older ones are answered as omitted
	maxIssuedKeys    = 1000 // keys in one answer
)

// oneTimeKey is a parsed one-time key.
type oneTimeKey struct {
	incarnation id.Incarnation
	counter     uint64
	tag         string
}

// parseOneTimeKey reads a one-time key; a caller's own key is not one.
func parseOneTimeKey(key string) (oneTimeKey, bool) {
	part := strings.Split(key, "-")
	if len(part) != 4 || part[0] != keyPrefix || id.Incarnation(part[1]).Check() != nil {
		return oneTimeKey{}, false
	}
	counter, err := strconv.ParseUint(part[2], 16, 64)
	if err != nil {
		return oneTimeKey{}, false
	}
	return oneTimeKey{incarnation: id.Incarnation(part[1]), counter: counter, tag: part[3]}, true
}

// issuer decides in memory about the one-time keys of this process.
type issuer struct {
	incarnation id.Incarnation
	secret      []byte
	next        uint64 // counter of the next key
	oldest      uint64 // counters below it are no longer decided
	window      uint64
	claims      map[uint64]*oneTimeClaim
	withResult  []uint64 // counters with results, oldest first
}

type oneTimeClaim struct {
	workspace   id.Workspace
	fingerprint id.Fingerprint
	claimer     claimer
	state       State
	result      []byte
	omitted     bool
}

func newIssuer(self event.Self, window uint64) *issuer {
	return &issuer{
		incarnation: self.Incarnation, secret: newSecret(self.Rand), window: window, claims: map[uint64]*oneTimeClaim{},
	}
}

func newSecret(rng *rand.Rand) []byte {
	var out []byte
	for range 4 {
		out = binary.BigEndian.AppendUint64(out, rng.Uint64())
	}
	return out
}

func (i *issuer) tag(counter uint64) string {
	mac := hmac.New(sha256.New, i.secret)
	mac.Write(binary.BigEndian.AppendUint64(nil, counter))
	return hex.EncodeToString(mac.Sum(nil)[:tagSize])
}

// issueKeys returns new keys. Keys older than the window are given up, so that memory stays bounded.
func (i *issuer) issueKeys(count int) []string {
	var out []string
	for range min(count, maxIssuedKeys) {
		out = append(out, keyPrefix+"-"+string(i.incarnation)+"-"+strconv.FormatUint(i.next, 16)+"-"+i.tag(i.next))
		i.next++
	}
	for ; i.next-i.oldest > i.window; i.oldest++ {
		delete(i.claims, i.oldest)
	}
	return out
}

// decide decides a key for a claimer. The grant counts as a run from here on, whether it arrives or not.
func (i *issuer) decide(k oneTimeKey, w Acquire, by claimer, again bool) Reply {
	told := Reply{Request: by.request}
	if k.incarnation != i.incarnation || k.counter >= i.next || !hmac.Equal([]byte(k.tag), []byte(i.tag(k.counter))) {
		told.Verdict = NotIssued
		return told
	}
	u := i.claims[k.counter]
	if u != nil && u.state == Running && u.claimer != by && again {
		u = nil
	}
	switch {
	case u == nil && k.counter < i.oldest:
		told.Verdict = Outstanding
	case u == nil && w.Look:
		told.Verdict = Absent
	case u == nil:
		i.claims[k.counter] = &oneTimeClaim{workspace: w.Workspace, fingerprint: w.Print, claimer: by, state: Running}
		told.Verdict = Granted
	case u.workspace != w.Workspace || u.fingerprint != w.Print:
		told.Verdict = Mismatch
	case u.state == Running && u.claimer == by && !w.Look:
		told.Verdict = Granted // the first grant may have been lost; the claimer uses only one
	case u.state == Running:
		told.Verdict, told.Node, told.Incarnation, told.Held = held, u.claimer.node, u.claimer.incarnation, u.claimer.request
	default:
		told.Verdict, told.Result, told.Omitted = verdictOf(u.state), u.result, u.omitted
	}
	return told
}

// recordOutcome records the outcome of a key's request.
func (i *issuer) recordOutcome(k oneTimeKey, by claimer, state State, result []byte, omitted bool) {
	u := i.claims[k.counter]
	if k.incarnation != i.incarnation || u == nil || u.claimer != by || u.state != Running {
		return
	}
	if state == NotDispatched {
		delete(i.claims, k.counter)
		return
	}
	u.state, u.result, u.omitted = state, result, omitted
	if len(result) == 0 {
		return
	}
	i.withResult = append(i.withResult, k.counter)
	if len(i.withResult) > maxStoredResults {
		if old := i.claims[i.withResult[0]]; old != nil && len(old.result) > 0 {
			old.result, old.omitted = nil, true
		}
		i.withResult = i.withResult[1:]
	}
}

// IssueKeys returns one-time keys that only this process can decide about. They stay usable while the
// platform cannot be reached, until the process ends or has issued a whole window of newer keys.
func (c *Claims) IssueKeys(_ time.Time, count int) []string { return c.issuer.issueKeys(count) }
