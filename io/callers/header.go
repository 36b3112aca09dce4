package callers

import (
	"fmt"
	"math"
	"mime"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bluebellflow/core/id"
)

const (
	// maxNameBytes is the maximum length of the name of a workspace or pipeline, in bytes.
	maxNameBytes = 128
	// maxKeyBytes is the maximum length of an idempotency key, in bytes.
	maxKeyBytes = 255
	// maxTimeout is the maximum Request-Timeout; the decision logic applies the deadline of the pipeline.
	maxTimeout = time.Hour
	// defaultPriority is the urgency that RFC 9218 defines for requests without the header.
	defaultPriority = 3
	// lowestPriority is the lowest urgency of RFC 9218.
	lowestPriority = 7
)

// HeaderError reports an invalid request header.
type HeaderError struct {
	Name   string
	Reason string
}

// Error returns the name of the header and the reason.
func (e *HeaderError) Error() string { return "header " + e.Name + ": " + e.Reason }

// headers holds the parsed headers of a request.
type headers struct {
	workspace id.Workspace
	key       string
	priority  int
	timeout   time.Duration // 0 if the request has no timeout
	stream    bool
}

func parseHeaders(h http.Header) (headers, error) {
	var out headers
	var err error
	for _, name := range []string{"Bluebellflow-Workspace", "Idempotency-Key", "Request-Timeout"} {
		if len(h.Values(name)) > 1 {
			return out, &HeaderError{name, "given more than once"}
		}
	}
	workspace := h.Get("Bluebellflow-Workspace")
	if err = checkName(workspace); err != nil {
		return out, &HeaderError{"Bluebellflow-Workspace", err.Error()}
	}
	out.workspace = id.Workspace(workspace)
	if out.key, err = parseKey(h.Get("Idempotency-Key")); err != nil {
		return out, &HeaderError{"Idempotency-Key", err.Error()}
	}
	if out.priority, err = parsePriority(strings.Join(h.Values("Priority"), ",")); err != nil {
		return out, &HeaderError{"Priority", err.Error()}
	}
	if out.timeout, err = parseTimeout(h.Get("Request-Timeout")); err != nil {
		return out, &HeaderError{"Request-Timeout", err.Error()}
	}
	if out.stream, err = parseAccept(h.Values("Accept")); err != nil {
		return out, &HeaderError{"Accept", err.Error()}
	}
	return out, nil
}

// checkName accepts names that consist of letters, digits and "-_./".
func checkName(name string) error {
	if name == "" {
		return fmt.Errorf("missing")
	}
	if len(name) > maxNameBytes {
		return fmt.Errorf("%d bytes, limit %d", len(name), maxNameBytes)
	}
	for _, r := range name {
		if !strings.ContainsRune("-_./", r) && (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') {
			return fmt.Errorf("character %q is not allowed", r)
		}
	}
	return nil
}

// parseKey accepts a bare key or the quoted string of the IETF draft on the Idempotency-Key header; both denote the same
// key.
func parseKey(raw string) (string, error) {
	key := raw
	if strings.HasPrefix(raw, `"`) {
		inner, terminated := strings.CutSuffix(raw[1:], `"`)
		if !terminated || inner == "" {
			return "", fmt.Errorf("quoted string is unterminated or empty")
		}
		key = inner
	}
	if len(key) > maxKeyBytes {
		return "", fmt.Errorf("%d bytes, limit %d", len(key), maxKeyBytes)
	}
	for _, r := range key {
		if r <= ' ' || r > '~' || r == '"' || r == '\\' {
			return "", fmt.Errorf("character %q is not allowed", r)
		}
	}
	return key, nil
}

// parsePriority parses the urgency of a Priority header (RFC 9218) and ignores its other parameters.
func parsePriority(raw string) (int, error) {
	priority := defaultPriority
	for member := range strings.SplitSeq(raw, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(member), "=")
		if name != "u" {
			continue
		}
		u, err := strconv.Atoi(value)
		if err != nil || len(value) != 1 || u > lowestPriority {
			return 0, fmt.Errorf("urgency %q is not a digit from 0 to %d", value, lowestPriority)
		}
		priority = u
	}
	return priority, nil
}

// parseTimeout parses decimal seconds; it returns 0 for an empty header.
func parseTimeout(raw string) (time.Duration, error) {
	if raw == "" {
		return 0, nil
	}
	for _, r := range raw {
		if (r < '0' || r > '9') && r != '.' {
			return 0, fmt.Errorf("%q is not a number of seconds", raw)
		}
	}
	seconds, err := strconv.ParseFloat(raw, 64)
	if err != nil || math.IsNaN(seconds) {
		return 0, fmt.Errorf("%q is not a number of seconds", raw)
	}
	if seconds > maxTimeout.Seconds() {
		return 0, fmt.Errorf("%s s, limit %g s", raw, maxTimeout.Seconds())
	}
	timeout := time.Duration(seconds * float64(time.Second))
	if timeout < time.Millisecond {
		return 0, fmt.Errorf("%s s is less than a millisecond", raw)
	}
	return timeout, nil
}

// parseAccept reports whether the caller accepts a stream. A wildcard does not select one: text/event-stream has to be listed.
func parseAccept(values []string) (bool, error) {
	if len(values) == 0 {
		return false, nil
	}
	document := false
	for member := range strings.SplitSeq(strings.Join(values, ","), ",") {
		kind, params, err := mime.ParseMediaType(strings.TrimSpace(member))
		if err != nil {
			return false, fmt.Errorf("%q is not a media type", strings.TrimSpace(member))
		}
		if q, err := strconv.ParseFloat(params["q"], 64); err == nil && q == 0 {
			continue
		}
		switch kind {
		case "text/event-stream":
			return true, nil
		case "application/json", "application/*", "*/*":
			document = true
		}
	}
	if !document {
		return false, fmt.Errorf("neither application/json nor text/event-stream")
	}
	return false, nil
}
