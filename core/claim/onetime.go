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
	tagSize          = 8    // bytes of the tag in a key, which prevents a caller from guessing another caller's key
	maxStoredResults = 1024 // results of one-time keys in memory; older ones are dropped and answered as omitted
	maxIssuedKeys    = 1000 // per call
)

// oneTimeKey is a parsed one-time key.
type oneTimeKey struct {
	incarnation id.Incarnation
	counter     uint64
	tag         string
}

// parseOneTimeKey parses a one-time key; it reports false for a caller's own key.
func parseOneTimeKey(key string) (oneTimeKey, bool) {
	parts := strings.Split(key, "-")
	if len(parts) != 4 || parts[0] != keyPrefix || id.Incarnation(parts[1]).Check() != nil {
		return oneTimeKey{}, false
	}
	counter, err := strconv.ParseUint(parts[2], 16, 64)
	if err != nil {
		return oneTimeKey{}, false
	}
	return oneTimeKey{incarnation: id.Incarnation(parts[1]), counter: counter, tag: parts[3]}, true
}

// issuer issues the one-time keys of this process and holds their claims in memory.
type issuer struct {
	incarnation id.Incarnation
	secret      []byte
	next        uint64 // counter of the next key
	oldest      uint64 // keys with a lower counter have left the window
	window      uint64
	claims      map[uint64]*oneTimeClaim
	withResult  []uint64 // counters of claims with results, oldest first
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

// issueKeys returns new keys. Claims of keys that leave the window are dropped, so that memory stays bounded.
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

// decide answers a claimer that asks for a key. Once a key is granted, its request counts as run, even if the grant is
// lost.
func (i *issuer) decide(k oneTimeKey, m Acquire, by claimer, repeatGrants bool) Reply {
	reply := Reply{Request: by.request}
	if k.incarnation != i.incarnation || k.counter >= i.next || !hmac.Equal([]byte(k.tag), []byte(i.tag(k.counter))) {
		reply.Verdict = NotIssued
		return reply
	}
	cl := i.claims[k.counter]
	if cl != nil && cl.state == Running && cl.claimer != by && repeatGrants {
		cl = nil
	}
	switch {
	case cl == nil && k.counter < i.oldest:
		reply.Verdict = Outstanding
	case cl == nil && m.Look:
		reply.Verdict = Absent
	case cl == nil:
		i.claims[k.counter] = &oneTimeClaim{workspace: m.Workspace, fingerprint: m.Print, claimer: by, state: Running}
		reply.Verdict = Granted
	case cl.workspace != m.Workspace || cl.fingerprint != m.Print:
		reply.Verdict = Mismatch
	case cl.state == Running && cl.claimer == by && !m.Look:
		reply.Verdict = Granted // the first grant may have been lost; the claimer dispatches only once
	case cl.state == Running:
		reply.Verdict, reply.Node, reply.Incarnation, reply.Held = held, cl.claimer.node, cl.claimer.incarnation, cl.claimer.request
	default:
		reply.Verdict, reply.Result, reply.Omitted = verdictOf(cl.state), cl.result, cl.omitted
	}
	return reply
}

// recordOutcome records the outcome of the request that was granted a key.
func (i *issuer) recordOutcome(k oneTimeKey, by claimer, state State, result []byte, omitted bool) {
	cl := i.claims[k.counter]
	if k.incarnation != i.incarnation || cl == nil || cl.claimer != by || cl.state != Running {
		return
	}
	if state == NotDispatched {
		delete(i.claims, k.counter)
		return
	}
	cl.state, cl.result, cl.omitted = state, result, omitted
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

// IssueKeys returns new one-time keys, whose claims only this process holds. They are usable even while the platform
// cannot be reached, until the process ends or has issued a full window of newer keys.
func (c *Claims) IssueKeys(_ time.Time, count int) []string { return c.issuer.issueKeys(count) }
