package claim

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"bluebellflow/core/id"
)

// digest identifies a key within a shard: 128 bits of SHA-256 over workspace and key.
type digest [16]byte

// claimer names the only process and request that may dispatch.
type claimer struct {
	node        id.Node
	incarnation id.Incarnation
	request     id.Request
}

// entry is one claim of a shard.
type entry struct {
	print   id.Fingerprint
	state   State
	omitted bool
	at      time.Time // when the claim last changed, in whole seconds
	by      claimer   // empty for done and failed claims, to save room
	result  []byte
}

const (
	shardFormat = 1 // first byte of a claim object
	entryFixed  = 16 + 8 + 1 + 8
	flagOmitted = 0x80
	rawIncarn   = 16
)

var errShard = errors.New("damaged claim object")

// size returns an upper bound of the encoded bytes of an entry.
func (e *entry) size() int {
	n := entryFixed + binary.MaxVarintLen32 + len(e.result)
	if e.by.request != "" {
		n += rawIncarn + len(e.by.node) + len(e.by.request) + 2*binary.MaxVarintLen16
	}
	return n + 1
}

// encode returns the object for a set of claims, in the given order.
func encode(order []digest, claims map[digest]entry, size int) []byte {
	out := make([]byte, 0, size+1)
	out = append(out, shardFormat)
	for _, d := range order {
		e := claims[d]
		out = append(out, d[:]...)
		out = binary.BigEndian.AppendUint64(out, uint64(e.print))
		flags := byte(e.state) // five states, the high bit is free
		if e.omitted {
			flags |= flagOmitted
		}
		out = append(out, flags)
		out = binary.BigEndian.AppendUint64(out, uint64(e.at.Unix()))
		out = appendText(out, string(e.by.request))
		if e.by.request != "" {
			out = appendText(out, string(e.by.node))
			raw, _ := hex.DecodeString(string(e.by.incarnation)) // checked when it came in
			out = append(out, raw...)
		}
		out = appendText(out, string(e.result))
	}
	return out
}

func appendText(out []byte, s string) []byte {
	out = binary.AppendUvarint(out, uint64(len(s)))
	return append(out, s...)
}

// decode reads an object; a damaged one is an error, because a claim that cannot be read may have run.
func decode(raw []byte) ([]digest, map[digest]entry, error) {
	if len(raw) == 0 || raw[0] != shardFormat {
		return nil, nil, errShard
	}
	r := reader{rest: raw[1:]}
	var order []digest
	claims := map[digest]entry{}
	for len(r.rest) > 0 {
		var d digest
		copy(d[:], r.take(len(d)))
		e := entry{print: id.Fingerprint(r.number())}
		if flags := r.take(1); len(flags) == 1 {
			e.state, e.omitted = State(flags[0]&^flagOmitted), flags[0]&flagOmitted != 0
		}
		e.at = time.Unix(int64(r.number()), 0).UTC()
		e.by.request = id.Request(r.text())
		if e.by.request != "" {
			e.by.node = id.Node(r.text())
			e.by.incarnation = id.Incarnation(hex.EncodeToString(r.take(rawIncarn)))
		}
		if text := r.text(); text != nil {
			e.result = append([]byte(nil), text...)
		}
		if r.bad || e.state < Running || e.state > Unknown {
			return nil, nil, fmt.Errorf("%w: entry %d", errShard, len(order))
		}
		if _, twice := claims[d]; twice {
			return nil, nil, fmt.Errorf("%w: key twice", errShard)
		}
		claims[d] = e
		order = append(order, d)
	}
	return order, claims, nil
}

// reader takes fields off a byte slice and remembers whether one was cut short.
type reader struct {
	rest []byte
	bad  bool
}

func (r *reader) take(n int) []byte {
	if n > len(r.rest) {
		r.bad, r.rest = true, nil
		return nil
	}
	out := r.rest[:n]
	r.rest = r.rest[n:]
	return out
}

func (r *reader) number() uint64 {
	raw := r.take(8)
	if raw == nil {
		return 0
	}
	return binary.BigEndian.Uint64(raw)
}

func (r *reader) text() []byte {
	n, used := binary.Uvarint(r.rest)
	if used <= 0 || n > uint64(len(r.rest)) {
		r.bad, r.rest = true, nil
		return nil
	}
	r.rest = r.rest[used:]
	if n == 0 {
		return nil
	}
	return r.take(int(n))
}
