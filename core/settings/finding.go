package settings

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Finding is one mistake in a settings file with its place.
type Finding struct {
	File    string `json:"file"`
	Line    int    `json:"line"`   // from 1
	Column  int    `json:"column"` // in bytes, from 1
	Message string `json:"message"`
}

// Error returns the finding as file:line:column: message.
func (f Finding) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// Findings are all mistakes of a settings file, in the order of their places.
type Findings []Finding

// Error returns one line for each finding.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// AsFindings returns the findings in an error.
func AsFindings(err error) (Findings, bool) {
	var found Findings
	ok := errors.As(err, &found)
	return found, ok
}

// err returns nil for no findings, so that an empty list is not taken for an error.
func (f Findings) err() error {
	if len(f) == 0 {
		return nil
	}
	slices.SortStableFunc(f, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return f
}
