package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// write shows a value as JSON or as a table.
func (e *env) write(value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	if e.json {
		_, err := e.streams.Out.Write(append(raw, '\n'))
		return err
	}
	return writeTable(e.streams.Out, raw)
}

// writeTable shows an object as one row for each field, and a list of objects as one row for each.
func writeTable(out io.Writer, raw []byte) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	var list []map[string]json.RawMessage
	var object map[string]json.RawMessage
	switch {
	case json.Unmarshal(raw, &list) == nil:
		writeRows(w, "", list)
	case json.Unmarshal(raw, &object) == nil:
		writeObject(w, object)
	default:
		_, _ = fmt.Fprintln(w, cell(raw))
	}
	return w.Flush()
}

// writeObject shows plain fields first, and lists of objects as tables of their own.
func writeObject(w io.Writer, object map[string]json.RawMessage) {
	var tables []string
	for _, key := range slices.Sorted(maps.Keys(object)) {
		var list []map[string]json.RawMessage
		if json.Unmarshal(object[key], &list) == nil && len(list) > 0 {
			tables = append(tables, key)
			continue
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\n", key, cell(object[key]))
	}
	for _, key := range tables {
		var list []map[string]json.RawMessage
		_ = json.Unmarshal(object[key], &list)
		_, _ = fmt.Fprintln(w)
		writeRows(w, key, list)
	}
}

func writeRows(w io.Writer, title string, list []map[string]json.RawMessage) {
	columns := map[string]bool{}
	for _, row := range list {
		for key := range row {
			columns[key] = true
		}
	}
	names := slices.Sorted(maps.Keys(columns))
	if title != "" {
		_, _ = fmt.Fprintln(w, title)
	}
	_, _ = fmt.Fprintln(w, strings.ToUpper(strings.Join(names, "\t")))
	for _, row := range list {
		cells := make([]string, 0, len(names))
		for _, name := range names {
			cells = append(cells, cell(row[name]))
		}
		_, _ = fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
}

// cell shows text without quotes and everything else as JSON.
func cell(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return strings.Map(replaceControl, text)
	}
	return string(raw)
}

// replaceControl keeps a value from another process from moving the cursor or breaking the table.
func replaceControl(r rune) rune {
	if r < ' ' || r == 0x7f {
		return ' '
	}
	return r
}
