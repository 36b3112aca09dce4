package sse_test

import (
	"bytes"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"bluebellflow/io/sse"
)

// parse feeds raw to a parser in chunks of chunkSize bytes.
func parse(raw []byte, chunkSize int) ([]sse.Event, error) {
	p := sse.NewParser(1 << 10)
	var all []sse.Event
	for len(raw) > 0 {
		n := min(chunkSize, len(raw))
		events, err := p.Feed(raw[:n])
		all = append(all, events...)
		if err != nil {
			return all, err
		}
		raw = raw[n:]
	}
	return all, nil
}

// TestParse guards against events that depend on how the stream is split into chunks.
func TestParse(t *testing.T) {
	cases := map[string]struct {
		raw  string
		want []sse.Event
	}{
		"one":        {"event: part\ndata: x\n\n", []sse.Event{{Name: "part", Data: []byte("x")}}},
		"CRLF":       {"event: a\r\ndata: x\r\n\r\ndata: y\r\n\r\n", []sse.Event{{Name: "a", Data: []byte("x")}, {Data: []byte("y")}}},
		"CR":         {"data: x\r\rdata: y\r\r", []sse.Event{{Data: []byte("x")}, {Data: []byte("y")}}},
		"two lines":  {"data: x\ndata: y\n\n", []sse.Event{{Data: []byte("x\ny")}}},
		"comment":    {": hello\nid: 3\n\ndata:x\n\n", []sse.Event{{Data: []byte("x")}}},
		"incomplete": {"event: end\ndata: x\n", nil},
	}
	for name, c := range cases {
		for size := 1; size <= len(c.raw); size++ {
			t.Run(fmt.Sprintf("%s/%d", name, size), func(t *testing.T) {
				got, err := parse([]byte(c.raw), size)
				g := NewWithT(t)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(got).To(Equal(c.want))
			})
		}
	}
}

// TestParseLimit guards against a server that exhausts the memory with a single event.
func TestParseLimit(t *testing.T) {
	for name, raw := range map[string][]byte{
		"long line":  bytes.Repeat([]byte("x"), 2<<10),
		"many lines": bytes.Repeat([]byte("data: xxxxxxxx\n"), 200),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := parse(raw, 100)
			NewWithT(t).Expect(err).To(MatchError(ContainSubstring("larger than 1024 bytes")))
		})
	}
}

func ExampleWrite() {
	var out bytes.Buffer
	_ = sse.Write(&out, "part", []byte(`{"text":"hi"}`))
	fmt.Print(out.String())
	// Output:
	// event: part
	// data: {"text":"hi"}
}

// FuzzParse guards against panics and against results that depend on how the stream is split into chunks.
func FuzzParse(f *testing.F) {
	f.Add([]byte("event: part\ndata: {}\n\nevent: end\r\ndata: x\r\n\r\n"))
	f.Add([]byte("\r\n\rdata\n\n:\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		whole, errWhole := parse(raw, len(raw)+1)
		bytewise, errBytewise := parse(raw, 1)
		g := NewWithT(t)
		if errWhole == nil && errBytewise == nil {
			g.Expect(bytewise).To(Equal(whole))
		}
		g.Expect(errWhole == nil).To(Equal(errBytewise == nil))
	})
}
