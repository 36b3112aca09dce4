package wire_test

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/wire"
)

type item struct {
	Name string        `protobuf:"bytes,1,opt,name=name"`
	Wait time.Duration `protobuf:"bytes,2,opt,name=wait"`
	Nums []uint64      `protobuf:"varint,3,rep,name=nums"`
	Tags []string      `protobuf:"bytes,4,rep,name=tags"`
}

type sample struct {
	Text  string `protobuf:"bytes,1,opt,name=text"`
	Count uint64 `protobuf:"varint,2,opt,name=count"`
	Items []item `protobuf:"bytes,3,rep,name=items"`
}

func (s sample) Check() error {
	if s.Text == "" {
		return errors.New("no text")
	}
	return nil
}

func codec() *wire.Codec { return wire.New(map[uint32]event.Body{1: sample{}}) }

func incarnation() id.Incarnation { return id.NewIncarnation(rand.New(rand.NewPCG(1, 2))) }

// TestRoundTrip guards against fields that are lost in encoding or decoding.
func TestRoundTrip(t *testing.T) {
	g := NewWithT(t)
	body := sample{Text: "x", Count: 7, Items: []item{{Name: "a", Wait: time.Second}, {Name: "b"}}}
	raw, err := codec().Encode(wire.Envelope{From: "n1", Incarnation: incarnation(), Revision: 9, Domains: 3}, body)
	g.Expect(err).NotTo(HaveOccurred())
	got, err := codec().Decode(raw)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(event.Receive{From: "n1", Incarnation: incarnation(), Revision: 9, Domains: 3, Body: body}))
}

// TestLongLists guards against the crash of the protobuf decoder on lists of more than ten entries.
func TestLongLists(t *testing.T) {
	for _, count := range []int{1, 10, 11, 20, 21, 300} {
		g := NewWithT(t)
		body := sample{Text: "x"}
		for i := range count {
			it := item{Name: "a", Wait: time.Duration(i)}
			for j := range i % 25 {
				it.Nums = append(it.Nums, uint64(j+1))
				it.Tags = append(it.Tags, "t")
			}
			body.Items = append(body.Items, it)
		}
		raw, err := codec().Encode(wire.Envelope{From: "n1", Incarnation: incarnation()}, body)
		g.Expect(err).NotTo(HaveOccurred())
		got, err := codec().Decode(raw)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got.Body).To(Equal(body))
	}
}

// TestDecodeRejects guards against invalid messages of a peer that reach the decision packages.
func TestDecodeRejects(t *testing.T) {
	good, err := codec().Encode(wire.Envelope{From: "n1", Incarnation: incarnation()}, sample{Text: "x"})
	invalid, err2 := codec().Encode(wire.Envelope{From: "n1", Incarnation: incarnation()}, sample{})
	anonymous, err3 := codec().Encode(wire.Envelope{Incarnation: incarnation()}, sample{Text: "x"})
	badIncarnation, err4 := codec().Encode(wire.Envelope{From: "n1", Incarnation: "zz"}, sample{Text: "x"})
	if err := errors.Join(err, err2, err3, err4); err != nil {
		t.Fatal(err)
	}
	for name, raw := range map[string][]byte{
		"truncated": good[:len(good)-3], "empty": nil, "invalid body": invalid,
		"no sender": anonymous, "bad incarnation": badIncarnation,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := codec().Decode(raw)
			NewWithT(t).Expect(err).To(HaveOccurred())
		})
	}
}

// FuzzDecode guards against panics on arbitrary input from the network.
func FuzzDecode(f *testing.F) {
	good, err := codec().Encode(wire.Envelope{From: "n1", Incarnation: incarnation()}, sample{Text: "x"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte{0xff, 0xff, 0xff})
	long, err := codec().Encode(wire.Envelope{From: "n1", Incarnation: incarnation()}, sample{Text: "x", Items: make([]item, 11)})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(long)
	f.Fuzz(func(_ *testing.T, raw []byte) { _, _ = codec().Decode(raw) })
}
