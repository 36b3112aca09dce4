package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/tailscale/hujson"
)

const (
	// maxDepth bounds nesting, because the syntax parser recurses and a stack overflow cannot be recovered.
	maxDepth = 64
	// maxSourceBytes bounds a settings file in bytes.
	maxSourceBytes = 64 << 20
	// maxNameBytes bounds a name in bytes.
	maxNameBytes = 63
)

// reader walks one source and collects findings.
type reader struct {
	file     string
	lines    []int          // offset of the first byte of each line
	offsets  map[string]int // offset of each named value, for checks that follow parsing
	findings Findings
}

// member is one key and its value.
type member struct {
	key    string
	offset int
	value  hujson.Value
}

// newReader parses the syntax of a source; the second result is false if there is nothing to walk.
func newReader(file string, src []byte) (*reader, hujson.Value, bool) {
	r := &reader{file: file, lines: []int{0}, offsets: map[string]int{}}
	for i, b := range src {
		if b == '\n' {
			r.lines = append(r.lines, i+1)
		}
	}
	if len(src) > maxSourceBytes {
		r.report(0, "%d bytes, at most %d are allowed", len(src), maxSourceBytes)
		return r, hujson.Value{}, false
	}
	if at := tooDeep(src); at >= 0 {
		r.report(at, "nested more than %d deep", maxDepth)
		return r, hujson.Value{}, false
	}
	root, err := hujson.Parse(src)
	if err != nil {
		r.reportSyntaxError(err)
		return r, hujson.Value{}, false
	}
	return r, root, true
}

// reportSyntaxError turns an error of the syntax parser, which carries its place only as text, into a finding.
func (r *reader) reportSyntaxError(err error) {
	f := Finding{File: r.file, Line: 1, Column: 1, Message: "syntax: " + err.Error()}
	var line, column int
	if _, scan := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); scan == nil {
		f.Line, f.Column = line, column
		if inner := errors.Unwrap(err); inner != nil {
			f.Message = "syntax: " + inner.Error()
		}
	}
	r.findings = append(r.findings, f)
}

// tooDeep returns the offset at which brackets nest too deep, or -1.
func tooDeep(src []byte) int {
	depth := 0
	for i := 0; i < len(src); i++ {
		switch src[i] {
		case '"':
			i = skipString(src, i)
		case '/':
			i = skipComment(src, i)
		case '{', '[':
			if depth++; depth > maxDepth {
				return i
			}
		case '}', ']':
			depth--
		}
	}
	return -1
}

func skipString(src []byte, i int) int {
	for i++; i < len(src) && src[i] != '"'; i++ {
		if src[i] == '\\' {
			i++
		}
	}
	return i
}

func skipComment(src []byte, i int) int {
	if i+1 >= len(src) {
		return i
	}
	switch src[i+1] {
	case '/':
		for i < len(src) && src[i] != '\n' {
			i++
		}
	case '*':
		for i += 2; i+1 < len(src) && (src[i] != '*' || src[i+1] != '/'); {
			i++
		}
		i++
	}
	return i
}

func (r *reader) report(offset int, format string, args ...any) {
	line, exact := slices.BinarySearch(r.lines, offset)
	if !exact {
		line--
	}
	r.findings = append(r.findings, Finding{
		File: r.file, Line: line + 1, Column: offset - r.lines[line] + 1, Message: fmt.Sprintf(format, args...),
	})
}

// object returns the members of an object once each and reports duplicates.
func (r *reader) object(what string, v hujson.Value) []member {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		r.report(v.StartOffset, "%s: want an object, not %s", what, describeValue(v))
		return nil
	}
	out := make([]member, 0, len(obj.Members))
	seen := make(map[string]struct{}, len(obj.Members))
	for i := range obj.Members {
		m := &obj.Members[i]
		key := m.Name.Value.(hujson.Literal).String()
		if _, twice := seen[key]; twice {
			r.report(m.Name.StartOffset, "%s: duplicate key %q", what, key)
			continue
		}
		seen[key] = struct{}{}
		out = append(out, member{key: key, offset: m.Name.StartOffset, value: m.Value})
	}
	return out
}

// namedMembers returns the members of an object whose keys are names.
func (r *reader) namedMembers(what string, v hujson.Value) []member {
	all := r.object(what, v)
	return slices.DeleteFunc(all, func(m member) bool {
		if err := checkName(m.key); err != nil {
			r.report(m.offset, "%s: %v", what, err)
			return true
		}
		return false
	})
}

func (r *reader) array(what string, v hujson.Value) []hujson.Value {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		r.report(v.StartOffset, "%s: want a list, not %s", what, describeValue(v))
		return nil
	}
	return arr.Elements
}

func (r *reader) reportUnknownKey(what string, m member) {
	r.report(m.offset, "%s: unknown key %q", what, m.key)
}

func (r *reader) stringValue(what string, v hujson.Value) string {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		r.report(v.StartOffset, "%s: want a string, not %s", what, describeValue(v))
		return ""
	}
	return lit.String()
}

func (r *reader) name(what string, v hujson.Value) string {
	s := r.stringValue(what, v)
	if s == "" {
		if lit, ok := v.Value.(hujson.Literal); !ok || lit.Kind() != '"' {
			return ""
		}
	}
	if err := checkName(s); err != nil {
		r.report(v.StartOffset, "%s: %v", what, err)
		return ""
	}
	return s
}

func (r *reader) boolean(what string, v hujson.Value) bool {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || (lit.Kind() != 't' && lit.Kind() != 'f') {
		r.report(v.StartOffset, "%s: want true or false, not %s", what, describeValue(v))
		return false
	}
	return lit.Bool()
}

// positiveInt reads an integer from 1 to a limit; the second result is false if it reported a finding.
func (r *reader) positiveInt(what string, v hujson.Value, high int) (int, bool) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '0' {
		r.report(v.StartOffset, "%s: want a whole number, not %s", what, describeValue(v))
		return 0, false
	}
	n, err := strconv.Atoi(string(lit))
	if err != nil {
		r.report(v.StartOffset, "%s: want a whole number, not %s", what, describeValue(v))
		return 0, false
	}
	if n < 1 || n > high {
		r.report(v.StartOffset, "%s: %d is outside 1 to %d", what, n, high)
		return 0, false
	}
	return n, true
}

func (r *reader) fraction(what string, v hujson.Value) (float64, bool) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '0' {
		r.report(v.StartOffset, "%s: want a fraction, not %s", what, describeValue(v))
		return 0, false
	}
	f, err := strconv.ParseFloat(string(lit), 64)
	if err != nil || f < 0 || f > 1 {
		r.report(v.StartOffset, "%s: %s is outside 0 to 1", what, describeValue(v))
		return 0, false
	}
	return f, true
}

func (r *reader) duration(what string, v hujson.Value, low, high time.Duration) (time.Duration, bool) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		r.report(v.StartOffset, "%s: want a duration with a unit such as \"8s\", not %s", what, describeValue(v))
		return 0, false
	}
	d, err := time.ParseDuration(lit.String())
	if err != nil {
		r.report(v.StartOffset, "%s: want a duration with a unit such as \"8s\", not %s", what, describeValue(v))
		return 0, false
	}
	if d < low || d > high {
		r.report(v.StartOffset, "%s: %s is outside %s to %s", what, d, low, high)
		return 0, false
	}
	return d, true
}

func (r *reader) addr(what string, v hujson.Value) netip.AddrPort {
	s := r.stringValue(what, v)
	if s == "" {
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 {
		r.report(v.StartOffset, "%s: want an IP address and port such as \"10.0.0.1:7000\", not %q", what, s)
		return netip.AddrPort{}
	}
	return a
}

// describeValue describes a value in a finding; long literals are cut.
func describeValue(v hujson.Value) string {
	const shown = 40
	switch lit := v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "a list"
	case hujson.Literal:
		if len(lit) > shown {
			return string(lit[:shown]) + "…"
		}
		return string(lit)
	}
	return "nothing"
}

// checkName keeps names usable in URLs, object names and log lines.
func checkName(s string) error {
	if s == "" || len(s) > maxNameBytes {
		return fmt.Errorf("name %.70q: want 1 to %d characters", s, maxNameBytes)
	}
	for i := range len(s) {
		c := s[i]
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && (i == 0 || (c != '-' && c != '_' && c != '.')) {
			return fmt.Errorf("name %q: want lower-case letters, digits, '-', '_' and '.'", s)
		}
	}
	return nil
}
