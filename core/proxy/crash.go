package proxy

import (
	"fmt"
	"net/http"
	"time"

	"bluebellflow/core/denylist"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

// crashKeys returns the keys under which crashes count against a request: its content, which is the same if the caller
// retries, and each part of its prompt but the last, which belongs to this request alone.
func crashKeys(r *request) []id.Fingerprint {
	keys := []id.Fingerprint{fingerprint(fmt.Sprintf("%s %016x", r.workspace, uint64(r.Fingerprint)))}
	for _, part := range r.Prompt[:max(0, len(r.Prompt)-1)] {
		keys = append(keys, fingerprint(fmt.Sprintf("%s part %016x", r.pool.Name, part.ID)))
	}
	return keys
}

// crashRefusal returns how long and why a request is refused because it crashes servers. It returns 0 if the request may be
// sent, which includes a trial.
func (g *Gateway) crashRefusal(now time.Time, r *request) (time.Duration, string) {
	left, key := g.crashGuard.RefusedFor(now, r.crashKeys)
	if left == 0 || r.trial {
		return 0, ""
	}
	if g.crashGuard.TakeTrial(now, r.crashKeys) {
		r.trial = true
		return 0, ""
	}
	return left, fmt.Sprintf("the request crashes servers, print=%016x", uint64(key))
}

// recordCrashEvidence passes the outcome of a request to the crash guard.
func (g *Gateway) recordCrashEvidence(now time.Time, r *request, res Result, out *actions) {
	process := denylist.Process{Server: r.server, Start: r.start}
	switch {
	case res.ConnRefused:
		out.add(g.crashGuard.RecordRefusedConn(now, process)...)
	case res.Fail == event.FailBroken:
		out.add(g.crashGuard.RecordBroken(now, r.crashKeys, process)...)
	case res.Fail == 0 && res.Status < http.StatusInternalServerError:
		out.add(g.crashGuard.RecordResponse(r.crashKeys)...)
	}
}
