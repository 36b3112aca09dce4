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
// type needs an entry in the table of package typename; the names in this test do not change.
func TestOuterNames(t *testing.T) {
	body := note{Text: "hi"}
	for name, ev := range map[string]event.Event{
		"event.Arrive":  event.RequestArrived{},
		"event.Gone":    event.CallerDisconnected{},
		"event.Part":    event.AttemptOutput{},
		"event.Done":    event.AttemptDone{},
		"event.Fail":    event.AttemptFailed{},
		"event.Report":  event.LoadReport{},
		"event.Cached":  event.CacheUpdate{},
		"event.Receive": event.Receive{Body: body},
		"event.Link":    event.PeerLink{},
		"event.Result":  event.PlatformResult{},
		"event.Changed": event.ObjectChanged{},
		"event.VMs":     event.VMList{},
		"event.Ordered": event.OrderResult{},
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
		"event.Relink":   event.Reconnect{},
		"event.Call":     event.PlatformCall{},
		"event.Order":    event.Order{},
		"event.Answer":   event.CommandResult{},
		"event.Log":      event.Log{},
		"event.Ready":    event.Readiness{},
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
	// These events are not read from the pipe, but their names appear in errors.
	NewWithT(t).Expect(typename.Of(event.LoadQueryFailed{})).To(Equal("event.Down"))
	NewWithT(t).Expect(typename.Of(event.Command{})).To(Equal("event.Command"))
}
