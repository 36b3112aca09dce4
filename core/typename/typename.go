package typename

import (
	"reflect"
	"strings"
)

// earlier maps the present name of a renamed type to the name under which it is written out, which never changes. Both
// have the name of their package in front, as in "event.RequestArrived", and no pointer star.
var earlier = map[string]string{
	"batch.CallEnded":           "batch.Ran",
	"batch.FreeResults":         "batch.Free",
	"batch.StartCall":           "batch.Run",
	"canary.Begin":              "move.Begin",
	"canary.Gossip":             "move.Beat",
	"canary.RolloutsReply":      "move.Told",
	"canary.RolloutsRequest":    "move.Ask",
	"claim.Ack":                 "claim.Stored",
	"claim.Acquire":             "claim.Want",
	"claim.Reply":               "claim.Told",
	"denylist.Crash":            "contain.Crash",
	"domain.Digest":             "domain.Sum",
	"event.AttemptDone":         "event.Done",
	"event.AttemptFailed":       "event.Fail",
	"event.AttemptOutput":       "event.Part",
	"event.CacheUpdate":         "event.Cached",
	"event.CallerDisconnected":  "event.Gone",
	"event.CommandResult":       "event.Answer",
	"event.LoadQueryFailed":     "event.Down",
	"event.LoadReport":          "event.Report",
	"event.ObjectChanged":       "event.Changed",
	"event.OrderResult":         "event.Ordered",
	"event.PeerLink":            "event.Link",
	"event.PlatformCall":        "event.Call",
	"event.PlatformResult":      "event.Result",
	"event.Readiness":           "event.Ready",
	"event.Reconnect":           "event.Relink",
	"event.RequestArrived":      "event.Arrive",
	"event.VMList":              "event.VMs",
	"member.Heartbeat":          "member.Beat",
	"member.Query":              "member.Ask",
	"member.Update":             "member.Tell",
	"node.IssueKeys":            "node.Issue",
	"node.ListRollouts":         "node.Moves",
	"node.ReadConfig":           "node.Read",
	"node.StatusQuery":          "node.Ask",
	"node.StatusReply":          "node.Tell",
	"proxy.Abort":               "gate.Cut",
	"proxy.Arrive":              "gate.Arrive",
	"proxy.Began":               "gate.Began",
	"proxy.Close":               "gate.Close",
	"proxy.Deliver":             "gate.Deliver",
	"proxy.Disconnected":        "gate.Left",
	"proxy.Drain":               "gate.Drain",
	"proxy.Ended":               "gate.Ended",
	"proxy.Forward":             "gate.Forward",
	"proxy.Limit":               "gate.Limit",
	"proxy.Refuse":              "gate.Refuse",
	"quarantine.Counts":         "crash.Counts",
	"quarantine.PromiseReply":   "crash.Held",
	"quarantine.PromiseRequest": "crash.Hold",
	"quarantine.Release":        "crash.Free",
	"quarantine.RunReply":       "crash.Given",
	"quarantine.RunRequest":     "crash.Want",
	"rollout.Decisions":         "rollout.Rulings",
	"watchcache.ChangeSet":      "mirror.Supply",
	"watchcache.Follow":         "mirror.Follow",
	"watchcache.KnownRevisions": "mirror.Have",
	"watchcache.Listed":         "mirror.Listed",
	"watchcache.PollReply":      "mirror.Current",
	"watchcache.StoreLink":      "mirror.Link",
	"watchcache.Unfollow":       "mirror.Unfollow",
	"watchcache.Updated":        "mirror.Updated",
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
