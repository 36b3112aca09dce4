package lines_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/io/lines"
)

type note struct{ Text string }

func (n note) Check() error {
	if n.Text == "" {
		return errors.New("no text")
	}
	return nil
}

// echo replies to each request with its body and sends each message back.
type echo struct{}

func (echo) Step(_ time.Time, ev event.Event) []event.Action {
	switch ev := ev.(type) {
	case event.RequestArrived:
		return []event.Action{event.Reply{Request: ev.Request, Data: ev.Body, End: true}}
	case event.Receive:
		return []event.Action{event.Send{To: ev.From, Body: ev.Body}}
	}
	return nil
}

func (echo) Next() time.Time { return time.Date(2026, 1, 1, 0, 0, 9, 0, time.UTC) }

func registry() *lines.Registry { return lines.New(nil, []event.Body{note{}}) }

const at = `"at":"2026-01-01T00:00:00Z"`

// TestRun guards against events and message bodies that are changed by decoding and encoding.
func TestRun(t *testing.T) {
	in := `{` + at + `,"type":"event.Arrive","value":{"Request":"r1","Body":"eA=="}}

{` + at + `,"type":"event.Receive","value":{"From":"n2","Body":{"type":"lines_test.note","value":{"Text":"hi"}}}}
{` + at + `,"type":"event.Tick"}
`
	var out bytes.Buffer
	g := NewWithT(t)
	g.Expect(registry().Run(echo{}, strings.NewReader(in), &out)).To(Succeed())
	got := strings.Split(strings.TrimSpace(out.String()), "\n")
	g.Expect(got).To(HaveLen(5))
	g.Expect(got[0]).To(MatchJSON(`{` + at + `,"type":"event.Reply","value":{"Request":"r1","Data":"eA==","End":true,"Tokens":0,"Problem":null}}`))
	g.Expect(got[1]).To(MatchJSON(`{` + at + `,"type":"next","value":"2026-01-01T00:00:09Z"}`))
	g.Expect(got[2]).To(MatchJSON(`{` + at + `,"type":"event.Send","value":{"To":"n2","Body":{"type":"lines_test.note","value":{"Text":"hi"}}}}`))
}

// TestRejects guards against malformed events that are accepted.
func TestRejects(t *testing.T) {
	for want, in := range map[string]string{
		"line 1: decode line: invalid": "x",
		"no time":                      `{"type":"event.Tick"}`,
		"unknown event":                `{` + at + `,"type":"event.Nothing"}`,
		"unknown field":                `{` + at + `,"type":"event.Gone","value":{"Requst":"r"}}`,
		"unknown body":                 `{` + at + `,"type":"event.Receive","value":{"Body":{"type":"x"}}}`,
		"no text":                      `{` + at + `,"type":"event.Receive","value":{"Body":{"type":"lines_test.note","value":{}}}}`,
		"more than one value":          `{` + at + `,"type":"event.Tick"} {}`,
		"time goes back":               `{` + at + `,"type":"event.Tick"}` + "\n" + `{"at":"2025-01-01T00:00:00Z","type":"event.Tick"}`,
	} {
		t.Run(want, func(t *testing.T) {
			err := registry().Run(echo{}, strings.NewReader(in), &bytes.Buffer{})
			NewWithT(t).Expect(err).To(MatchError(ContainSubstring(want)))
		})
	}
}

// FuzzDecode guards against a panic on any line.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{` + at + `,"type":"event.Receive","value":{"Body":{"type":"lines_test.note","value":{"Text":"x"}}}}`))
	f.Add([]byte(`{` + at + `,"type":"event.Arrive","value":{"Priority":-1}}`))
	r := registry()
	f.Fuzz(func(t *testing.T, raw []byte) {
		if _, ev, err := r.Decode(raw); err == nil && ev == nil {
			t.Fatal("neither event nor error")
		}
	})
}
