package callers

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// FuzzHeaders guards against a panic on any header, and against accepted values that are out of range.
func FuzzHeaders(f *testing.F) {
	f.Add("w", `"key"`, "u=3, i", "1.5", "text/event-stream")
	f.Add("a/b", "key", "u=;x,=", ".", "*/*;q=0, application/json")
	f.Fuzz(func(t *testing.T, workspace, key, priority, timeout, accept string) {
		h, err := parseHeaders(http.Header{
			"Bluebellflow-Workspace": {workspace}, "Idempotency-Key": {key}, "Priority": {priority},
			"Request-Timeout": {timeout}, "Accept": {accept},
		})
		if err != nil {
			return
		}
		if h.workspace == "" || len(h.key) > maxKeyBytes || h.priority < 0 || h.priority > lowestPriority {
			t.Fatalf("%+v", h)
		}
		if timeout != "" && (h.timeout < time.Millisecond || h.timeout > maxTimeout) {
			t.Fatalf("timeout %s", h.timeout)
		}
		if _, err := parseKeysBody(strings.NewReader(key)); err == nil && key != "" && !strings.Contains(strings.ToLower(key), "count") {
			t.Fatalf("keys body %q accepted", key)
		}
	})
}
