package proxy

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"bluebellflow/core/denylist"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

// provingTime is how long a response must have gone on to show that its request does not crash servers. One that does may crash
// a server before the response or as it begins.
const provingTime = time.Second

// crashKeys returns the keys under which crashes count against a request: its content, which is the same if the caller
// retries, and each part of its prompt but the last, which belongs to this request alone.
func crashKeys(r *request) []id.Fingerprint {
	keys := []id.Fingerprint{fingerprint(fmt.Sprintf("%s %016x", r.workspace, uint64(r.Fingerprint)))}
	for _, part := range r.Prompt[:max(0, len(r.Prompt)-1)] {
		keys = append(keys, fingerprint(fmt.Sprintf("part %016x", part.ID)))
	}
	return keys
}

// crashRefusal returns how long and why a request is refused because it crashes servers. It returns 0 if the request may be
// sent, which includes a trial.
func (g *Gateway) crashRefusal(now time.Time, r *request) (time.Duration, string) {
	left, key := g.crashGuard.RefusedFor(now, r.crashKeys)
	if left == 0 || r.trial || r.sends == 0 && g.crashGuard.TrialDue(now, r.crashKeys) {
		return 0, ""
	}
	return left, fmt.Sprintf("the request crashes servers, print=%016x", uint64(key))
}

// refuseWaiting refuses the waiting requests with a key that has become refused since the last call.
func (g *Gateway) refuseWaiting(now time.Time, out *actions) {
	if g.crashGuard.Refusals() == g.refusalsSeen {
		return
	}
	g.refusalsSeen = g.crashGuard.Refusals()
	for _, t := range slices.Sorted(maps.Keys(g.requests)) {
		r := g.requests[t]
		if left, reason := g.crashRefusal(now, r); left > 0 && r.phase != running && !r.mayHaveRun {
			g.refuse(r, http.StatusServiceUnavailable, left, reason, out)
		}
	}
}

// startTrial makes a request that is about to be sent a trial if it is refused.
func (g *Gateway) startTrial(now time.Time, r *request, out *actions) {
	if left, _ := g.crashGuard.RefusedFor(now, r.crashKeys); left == 0 || r.trial {
		return
	}
	r.trial = true
	out.add(g.crashGuard.StartTrial(now, r.crashKeys)...)
}

// recordCrashEvidence passes the outcome of a request to the crash guard, which counts a crash if the server has refused a
// connection since. A response that breaks off after provingTime is no evidence: a request that crashes its server does so
// earlier.
func (g *Gateway) recordCrashEvidence(now time.Time, r *request, res Result, out *actions) {
	process := denylist.Process{Server: r.server, Start: r.start}
	switch {
	case res.Fail == event.FailBroken && !r.proven:
		out.add(g.crashGuard.RecordBroken(now, r.crashKeys, process)...)
	case res.Fail == 0 && res.Status < http.StatusBadRequest:
		out.add(g.crashGuard.RecordResponse(r.crashKeys)...)
	}
	if res.ConnRefused {
		g.recordRefusedConn(r.process())
		out.add(g.crashGuard.RecordRefusedConn(now, process)...)
	}
}

// proveSound tells the crash guard that a request does not crash servers, once its response has gone on for provingTime.
func (g *Gateway) proveSound(now time.Time, r *request, out *actions) {
	if r.proven || !r.began || r.beganStatus >= http.StatusBadRequest || now.Sub(r.beganAt) < provingTime {
		return
	}
	r.proven = true
	out.add(g.crashGuard.RecordResponse(r.crashKeys)...)
}
