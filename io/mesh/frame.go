package mesh

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/segmentio/encoding/proto"

	"bluebellflow/core/id"
)

const (
	// prefixSize is the size of a frame's length prefix in bytes.
	prefixSize = 4
	// initialBufferSize limits the bytes allocated before any payload of a frame arrives, so that a peer cannot occupy much
	// memory by only announcing large frames.
	initialBufferSize = 64 << 10
	// maxHelloBytes is the size limit for the first frame of a stream.
	maxHelloBytes = 1 << 10
	// maxNodeNameBytes is the size limit for a node's name.
	maxNodeNameBytes = 253
)

// streamKind is the purpose of a stream. Large messages use a separate stream, so that heartbeats do not wait behind
// them.
type streamKind uint32

const (
	controlStream streamKind = iota
	bulkStream
	streamKindCount // number of kinds
)

// hello is the first frame of each stream.
type hello struct {
	Node        id.Node        `protobuf:"bytes,1,opt,name=node"`
	Incarnation id.Incarnation `protobuf:"bytes,2,opt,name=incarnation"`
	StreamKind  uint32         `protobuf:"varint,3,opt,name=lane"`
}

func (h hello) check() error {
	if h.Node == "" || len(h.Node) > maxNodeNameBytes {
		return fmt.Errorf("node name of %d bytes is empty or too long", len(h.Node))
	}
	if h.StreamKind >= uint32(streamKindCount) {
		return fmt.Errorf("unknown stream kind %d", h.StreamKind)
	}
	return h.Incarnation.Check()
}

func encodeHello(h hello) ([]byte, error) {
	raw, err := proto.Marshal(h)
	if err != nil {
		return nil, fmt.Errorf("encode hello: %w", err)
	}
	return frame(raw), nil
}

func decodeHello(raw []byte) (hello, error) {
	var h hello
	if err := proto.Unmarshal(raw, &h); err != nil {
		return hello{}, fmt.Errorf("decode hello: %w", err)
	}
	if err := h.check(); err != nil {
		return hello{}, fmt.Errorf("invalid hello: %w", err)
	}
	return h, nil
}

// frame returns a message preceded by its length.
func frame(message []byte) []byte {
	out := make([]byte, prefixSize, prefixSize+len(message))
	binary.BigEndian.PutUint32(out, uint32(len(message)))
	return append(out, message...)
}

// readFrame reads one message of at most limit bytes. It returns io.EOF if the stream ends between two frames.
func readFrame(r io.Reader, limit int) ([]byte, error) {
	var prefix [prefixSize]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, fmt.Errorf("truncated length prefix: %w", err)
		}
		return nil, err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size == 0 {
		return nil, errors.New("empty frame")
	}
	if uint64(size) > uint64(limit) {
		return nil, fmt.Errorf("frame of %d bytes exceeds the limit of %d", size, limit)
	}
	buf := bytes.NewBuffer(make([]byte, 0, min(int(size), initialBufferSize)))
	if _, err := io.CopyN(buf, r, int64(size)); err != nil {
		return nil, fmt.Errorf("truncated frame: %w", err)
	}
	return buf.Bytes(), nil
}

// streamKindFor returns the kind of stream for an encoded message; messages of more than threshold bytes are bulk.
func streamKindFor(message []byte, threshold int) streamKind {
	if len(message) > threshold {
		return bulkStream
	}
	return controlStream
}
