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
	// initialBufferSize is what is allocated before any byte of a frame has come, so that a peer that only
	// announces large frames holds little memory.
	initialBufferSize = 64 << 10
	// maxHelloBytes bounds the first frame of a stream in bytes.
	maxHelloBytes = 1 << 10
	// maxNodeNameBytes bounds a node's name in bytes.
	maxNodeNameBytes = 253
)

// streamKind says what a stream carries. Large messages have their own, so that heartbeats do not wait behind them.
type streamKind uint32

const (
	controlStream streamKind = iota
	bulkStream
	streamKinds
)

// hello is the first frame of each stream.
type hello struct {
	Node        id.Node        `protobuf:"bytes,1,opt,name=node"`
	Incarnation id.Incarnation `protobuf:"bytes,2,opt,name=incarnation"`
	StreamKind  uint32         `protobuf:"varint,3,opt,name=lane"`
}

func (h hello) check() error {
	if h.Node == "" || len(h.Node) > maxNodeNameBytes {
		return fmt.Errorf("node name of %d bytes", len(h.Node))
	}
	if h.StreamKind >= uint32(streamKinds) {
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
		return hello{}, fmt.Errorf("check hello: %w", err)
	}
	return h, nil
}

// frame returns a message with its length in front.
func frame(message []byte) []byte {
	out := make([]byte, prefixSize, prefixSize+len(message))
	binary.BigEndian.PutUint32(out, uint32(len(message)))
	return append(out, message...)
}

// readFrame reads one message of at most limit bytes; io.EOF means that the stream ended between frames.
func readFrame(r io.Reader, limit int) ([]byte, error) {
	var prefix [prefixSize]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, fmt.Errorf("length prefix cut short: %w", err)
		}
		return nil, err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size == 0 {
		return nil, errors.New("empty frame")
	}
	if uint64(size) > uint64(limit) {
		return nil, fmt.Errorf("frame of %d bytes, limit %d", size, limit)
	}
	buf := bytes.NewBuffer(make([]byte, 0, min(int(size), initialBufferSize)))
	if _, err := io.CopyN(buf, r, int64(size)); err != nil {
		return nil, fmt.Errorf("frame cut short: %w", err)
	}
	return buf.Bytes(), nil
}

// streamKindFor chooses the stream for an encoded message.
func streamKindFor(message []byte, bulk int) streamKind {
	if len(message) > bulk {
		return bulkStream
	}
	return controlStream
}
