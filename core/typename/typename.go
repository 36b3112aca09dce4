package typename

import (
	"reflect"
	"strings"
)

// earlier maps the present name of a renamed type to the name under which it is written out, which never changes. Both
// have the name of their package in front, as in "event.Arrive", and no pointer star.
var earlier = map[string]string{
	// One pair a line.
}

// Of returns the name of the type of v as %T formats it, such as "event.Arrive" or "*event.Arrive". A type that was
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
