package claim

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"bluebellflow/core/id"
)

// digest identifies a key within a shard: the first 128 bits of SHA-256 over workspace and key.
type digest [16]byte

// claimer is the only process and request that may dispatch under a claim.
type claimer struct {
	node        id.Node
	incarnation id.Incarnation
	request     id.Request
}

// entry is one claim in a shard.
type entry struct {
	fingerprint id.Fingerprint
	state       State
	omitted     bool
	changedAt   time.Time // last change; the object keeps whole seconds
	claimer     claimer   // empty for done and failed claims, to save space
	result      []byte
}

const (
	formatVersion   = 1              // first byte of a claim object
	entryFixedSize  = 16 + 8 + 1 + 8 // digest, fingerprint, flags and time
	flagOmitted     = 0x80
	incarnationSize = 16
)

var errMalformed = errors.New("malformed claim object")

// size returns an upper bound on the encoded size of an entry, in bytes.
func (e *entry) size() int {
	n := entryFixedSize + binary.MaxVarintLen32 + len(e.result)
	if e.claimer.request != "" {
		n += incarnationSize + len(e.claimer.node) + len(e.claimer.request) + 2*binary.MaxVarintLen16
	}
	return n + 1
}

// encodeShard encodes claims in the given order; size is an upper bound on their encoded size.
func encodeShard(order []digest, claims map[digest]entry, size int) []byte {
	out := make([]byte, 0, size+1)
	out = append(out, formatVersion)
	for _, d := range order {
		e := claims[d]
		out = append(out, d[:]...)
		out = binary.BigEndian.AppendUint64(out, uint64(e.fingerprint))
		flags := byte(e.state) // there are five states, so the high bit is free
		if e.omitted {
			flags |= flagOmitted
		}
		out = append(out, flags)
		out = binary.BigEndian.AppendUint64(out, uint64(e.changedAt.Unix()))
		out = appendLengthPrefixed(out, string(e.claimer.request))
		if e.claimer.request != "" {
			out = appendLengthPrefixed(out, string(e.claimer.node))
			raw, _ := hex.DecodeString(string(e.claimer.incarnation)) // validated when the message was received
			out = append(out, raw...)
		}
		out = appendLengthPrefixed(out, string(e.result))
	}
	return out
}

func appendLengthPrefixed(out []byte, s string) []byte {
	out = binary.AppendUvarint(out, uint64(len(s)))
	return append(out, s...)
}

// decodeShard decodes a claim object. A malformed object is an error rather than empty, because the request of a claim
// that cannot be read may have run.
func decodeShard(raw []byte) ([]digest, map[digest]entry, error) {
	if len(raw) == 0 || raw[0] != formatVersion {
		return nil, nil, errMalformed
	}
	r := reader{rest: raw[1:]}
	var order []digest
	claims := map[digest]entry{}
	for len(r.rest) > 0 {
		var d digest
		copy(d[:], r.take(len(d)))
		e := entry{fingerprint: id.Fingerprint(r.uint64())}
		if flags := r.take(1); len(flags) == 1 {
			e.state, e.omitted = State(flags[0]&^flagOmitted), flags[0]&flagOmitted != 0
		}
		e.changedAt = time.Unix(int64(r.uint64()), 0).UTC()
		e.claimer.request = id.Request(r.lengthPrefixed())
		if e.claimer.request != "" {
			e.claimer.node = id.Node(r.lengthPrefixed())
			e.claimer.incarnation = id.Incarnation(hex.EncodeToString(r.take(incarnationSize)))
		}
		if text := r.lengthPrefixed(); text != nil {
			e.result = append([]byte(nil), text...)
		}
		if r.malformed || e.state < Running || e.state > Unknown {
			return nil, nil, fmt.Errorf("%w: entry %d", errMalformed, len(order))
		}
		if _, duplicate := claims[d]; duplicate {
			return nil, nil, fmt.Errorf("%w: duplicate key", errMalformed)
		}
		claims[d] = e
		order = append(order, d)
	}
	return order, claims, nil
}

// reader consumes fields from a byte slice and records whether one of them was truncated.
type reader struct {
	rest      []byte
	malformed bool
}

func (r *reader) take(n int) []byte {
	if n > len(r.rest) {
		r.malformed, r.rest = true, nil
		return nil
	}
	out := r.rest[:n]
	r.rest = r.rest[n:]
	return out
}

func (r *reader) uint64() uint64 {
	raw := r.take(8)
	if raw == nil {
		return 0
	}
	return binary.BigEndian.Uint64(raw)
}

func (r *reader) lengthPrefixed() []byte {
	n, used := binary.Uvarint(r.rest)
	if used <= 0 || n > uint64(len(r.rest)) {
		r.malformed, r.rest = true, nil
		return nil
	}
	r.rest = r.rest[used:]
	if n == 0 {
		return nil
	}
	return r.take(int(n))
}
