package lines_test

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/core/typename"
	"bluebellflow/io/lines"
)

// TestOuterNames guards against a renamed Go type that changes the name of an event or an action on the pipe. A renamed
// type needs an entry in the table of package typename; the names here stay.
func TestOuterNames(t *testing.T) {
	body := note{Text: "hi"}
	for name, ev := range map[string]event.Event{
		"event.Arrive":  event.Arrive{},
		"event.Gone":    event.Gone{},
		"event.Part":    event.Part{},
		"event.Done":    event.Done{},
		"event.Fail":    event.Fail{},
		"event.Report":  event.Report{},
		"event.Cached":  event.Cached{},
		"event.Receive": event.Receive{Body: body},
		"event.Link":    event.Link{},
		"event.Result":  event.Result{},
		"event.Changed": event.Changed{},
		"event.VMs":     event.VMs{},
		"event.Ordered": event.Ordered{},
		"event.Tick":    event.Tick{},
		"event.Stop":    event.Stop{},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			value := `{}`
			if name == "event.Receive" {
				value = `{"Body":{"type":"lines_test.note","value":{"Text":"hi"}}}`
			}
			_, got, err := registry().Decode([]byte(`{` + at + `,"type":"` + name + `","value":` + value + `}`))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(got).To(Equal(ev))
			g.Expect(typename.Of(ev)).To(Equal(name))
		})
	}
	for name, a := range map[string]event.Action{
		"event.Dispatch": event.Dispatch{},
		"event.Cancel":   event.Cancel{},
		"event.Reply":    event.Reply{},
		"event.Send":     event.Send{Body: body},
		"event.Relink":   event.Relink{},
		"event.Call":     event.Call{},
		"event.Order":    event.Order{},
		"event.Answer":   event.Answer{},
		"event.Log":      event.Log{},
		"event.Ready":    event.Ready{},
		"event.Exit":     event.Exit{},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			raw, err := lines.Encode(time.Time{}, a)
			g.Expect(err).NotTo(HaveOccurred())
			var line lines.Line
			g.Expect(json.Unmarshal(raw, &line)).To(Succeed())
			g.Expect(line.Type).To(Equal(name))
		})
	}
	// These are not read from the pipe, but errors name them.
	NewWithT(t).Expect(typename.Of(event.Down{})).To(Equal("event.Down"))
	NewWithT(t).Expect(typename.Of(event.Command{})).To(Equal("event.Command"))
}
