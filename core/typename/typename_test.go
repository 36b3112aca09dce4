package typename

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

type (
	present struct{}
	other   struct{}
)

// TestOf guards against names that differ from those of %T for types that were not renamed.
func TestOf(t *testing.T) {
	g := NewWithT(t)
	var empty *present
	pointer := &present{}
	for _, v := range []any{nil, present{}, pointer, &pointer, empty, other{}, 1, "x", []present{}, map[string]*present{}, fmt.Errorf("x")} {
		g.Expect(Of(v)).To(Equal(fmt.Sprintf("%T", v)))
	}
}

// TestRenamedType guards against an entry of the table that is not applied, or is applied to another type.
func TestRenamedType(t *testing.T) {
	g := NewWithT(t)
	table := map[string]string{"typename.present": "typename.past", "typename.past": "typename.first"}
	pointer := &present{}
	g.Expect(lookup(table, present{})).To(Equal("typename.past"))
	g.Expect(lookup(table, pointer)).To(Equal("*typename.past"))
	g.Expect(lookup(table, &pointer)).To(Equal("**typename.past"))
	g.Expect(lookup(table, other{})).To(Equal("typename.other"))
	g.Expect(lookup(table, nil)).To(Equal("<nil>"))
}

// TestTable guards against two types that are written out under one name, and against names that no type can have.
func TestTable(t *testing.T) {
	g := NewWithT(t)
	seen := map[string]string{}
	for now, old := range earlier {
		g.Expect(now).To(MatchRegexp(`^\w+\.\w+$`))
		g.Expect(old).To(MatchRegexp(`^\w+\.\w+$`))
		g.Expect(now).NotTo(Equal(old))
		g.Expect(seen).NotTo(HaveKey(old), "also %s", now)
		seen[old] = now
	}
}
