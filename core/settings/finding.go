package settings

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Finding is one error in a settings file with its position.
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

// Findings lists all errors in a settings file, ordered by position.
type Findings []Finding

// Error returns one line for each finding.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.Error()
	}
	return strings.Join(lines, "\n")
}

// AsFindings returns the Findings that err wraps, if any.
func AsFindings(err error) (Findings, bool) {
	var findings Findings
	ok := errors.As(err, &findings)
	return findings, ok
}

// err sorts the findings and returns them as an error. It returns nil if there are none, because an empty Findings
// in an error interface is not nil.
func (f Findings) err() error {
	if len(f) == 0 {
		return nil
	}
	slices.SortStableFunc(f, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return f
}
