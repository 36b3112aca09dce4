// Package answer generates the output text of simulated backend servers and verifies it on the caller's side.
//
// Every token encodes the request body, the version, the stage and the output of the previous stage,
// so a truncated, mixed or duplicated answer, or one to another request, is detected from its text alone.
package answer

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"bluebellflow/core/id"
)

// Source identifies an output: the request body, the output of the previous stage, the stage and the version.
type Source struct {
	Body    []byte
	Prior   []byte
	Stage   string
	Version id.Version
}

// Token returns token i of an output of n tokens.
func (s Source) Token(i, n int) string {
	return fmt.Sprintf("%s%d/%d ", s.Prefix(), i, n)
}

// Prefix returns the prefix that all tokens of an output share.
func (s Source) Prefix() string {
	return fmt.Sprintf("%016x.%08x.%08x.%s.", xxhash.Sum64(s.Body),
		uint32(xxhash.Sum64String(string(s.Version))), uint32(xxhash.Sum64(s.Prior)), s.Stage)
}

// tokenPattern matches one token: hashes of body, version and prior output, then stage, index and count.
var tokenPattern = regexp.MustCompile(`([0-9a-f]{16})\.([0-9a-f]{8})\.([0-9a-f]{8})\.([A-Za-z0-9_-]*)\.(\d+)/(\d+)`)

// Check verifies that text is the complete output of one stage for the given body.
// An empty stage accepts the output of any stage.
func Check(body []byte, stage, text string) error {
	found := tokenPattern.FindAllStringSubmatch(text, -1)
	if len(found) == 0 {
		return fmt.Errorf("answer of %d bytes contains no token", len(text))
	}
	first := found[0]
	if want := fmt.Sprintf("%016x", xxhash.Sum64(body)); first[1] != want {
		return fmt.Errorf("answer is for body %s, not %s", first[1], want)
	}
	if stage != "" && first[4] != stage {
		return fmt.Errorf("answer is of stage %q, not %q", first[4], stage)
	}
	for i, f := range found {
		if f[1] != first[1] || f[2] != first[2] || f[3] != first[3] || f[4] != first[4] || f[6] != first[6] {
			return fmt.Errorf("token %d belongs to another output: %s after %s", i, f[0], first[0])
		}
		if f[5] != strconv.Itoa(i) {
			return fmt.Errorf("token %s is at position %d", f[0], i)
		}
	}
	if strconv.Itoa(len(found)) != first[6] {
		return fmt.Errorf("answer has %d of %s tokens", len(found), first[6])
	}
	return nil
}

// Text returns the token text of a JSON response: the strings in arrays and those object fields that contain tokens, in
// plain text or in base64. A response that is not JSON is returned unchanged.
func Text(response []byte) string {
	var v any
	if json.Unmarshal(response, &v) != nil {
		return string(response)
	}
	var out strings.Builder
	collectText(v, &out)
	return out.String()
}

func collectText(v any, out *strings.Builder) {
	switch v := v.(type) {
	case string:
		if raw, err := base64.StdEncoding.DecodeString(v); err == nil && tokenPattern.Match(raw) {
			out.Write(raw)
			return
		}
		out.WriteString(v)
	case []any:
		for _, e := range v {
			collectText(e, out)
		}
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(v)) {
			e := v[key]
			if s, ok := e.(string); ok && !tokenPattern.MatchString(s) && !isBase64Token(s) {
				continue
			}
			collectText(e, out)
		}
	}
}

func isBase64Token(s string) bool {
	raw, err := base64.StdEncoding.DecodeString(s)
	return err == nil && tokenPattern.Match(raw)
}
