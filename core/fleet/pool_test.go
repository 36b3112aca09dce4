package fleet_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"bluebellflow/core/id"
)

// TestPoolChange guards against a server that moves to another pool, by an entry of another writer or after a restart, and that
// modules still take for one of its former pool.
func TestPoolChange(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(entryDecoder{"own": newEntry("p", "1"), "foreign": newEntry("q", "1")})
	h.put("s", "own")
	h.put("s", "foreign")
	g.Expect(h.removed).To(Equal([]id.Server{"s"}))
	g.Expect(h.Pool("p")).To(BeEmpty())
	g.Expect(h.Pool("q")).To(HaveLen(1))
	h.put("s", "own")
	g.Expect(h.removed).To(Equal([]id.Server{"s", "s"}))
	g.Expect(h.Pool("p")).To(HaveLen(1))
	g.Expect(h.Pool("q")).To(BeEmpty())
	g.Expect(h.restarted).To(BeEmpty(), "its process is the same")
}
