package typename

import (
	"reflect"
	"strings"
)

// earlier maps the present name of a renamed type to the name under which it is written out, which never changes. Both
// have the name of their package in front, as in "event.RequestArrived", and no pointer star.
var earlier = map[string]string{
	"canary.Ask":          "move.Ask",
	"canary.Beat":         "move.Beat",
	"canary.Begin":        "move.Begin",
	"canary.Told":         "move.Told",
	"denylist.Crash":      "contain.Crash",
	"proxy.Arrive":        "gate.Arrive",
	"proxy.Began":         "gate.Began",
	"proxy.Close":         "gate.Close",
	"proxy.Cut":           "gate.Cut",
	"proxy.Deliver":       "gate.Deliver",
	"proxy.Drain":         "gate.Drain",
	"proxy.Ended":         "gate.Ended",
	"proxy.Forward":       "gate.Forward",
	"proxy.Left":          "gate.Left",
	"proxy.Limit":         "gate.Limit",
	"proxy.Refuse":        "gate.Refuse",
	"quarantine.Counts":   "crash.Counts",
	"quarantine.Free":     "crash.Free",
	"quarantine.Given":    "crash.Given",
	"quarantine.Held":     "crash.Held",
	"quarantine.Hold":     "crash.Hold",
	"quarantine.Want":     "crash.Want",
	"watchcache.Current":  "mirror.Current",
	"watchcache.Follow":   "mirror.Follow",
	"watchcache.Have":     "mirror.Have",
	"watchcache.Link":     "mirror.Link",
	"watchcache.Listed":   "mirror.Listed",
	"watchcache.Supply":   "mirror.Supply",
	"watchcache.Unfollow": "mirror.Unfollow",
	"watchcache.Updated":  "mirror.Updated",
}

// Of returns the name of the type of v as %T formats it, such as "event.RequestArrived" or "*event.RequestArrived". A type that was
// renamed keeps its earlier name.
func Of(v any) string { return lookup(earlier, v) }

func lookup(table map[string]string, v any) string {
	t := reflect.TypeOf(v)
	if t == nil {
		return "<nil>"
	}
	name := t.String()
	bare := strings.TrimLeft(name, "*")
	if old, ok := table[bare]; ok {
		return name[:len(name)-len(bare)] + old
	}
	return name
}
