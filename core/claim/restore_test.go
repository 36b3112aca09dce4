package claim_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
)

// TestRestoredPlatform guards against a key whose request runs again because the platform has come back from a copy that lacks its
// claim.
func TestRestoredPlatform(t *testing.T) {
	for _, other := range []bool{false, true} {
		t.Run(fmt.Sprintf("claims since the copy %t", other), func(t *testing.T) {
			h := newHarness(1, 3)
			nodes := h.world.Nodes()
			inCopy := map[string]event.Object{}
			send := func(count int, key string) {
				for i := range count {
					h.send(nodes[i%len(nodes)], fmt.Sprint(key, i), 1, 2*time.Second)
					h.world.Run(500 * time.Millisecond)
				}
			}
			send(6, "before")
			maps.Copy(inCopy, h.world.Platform.Objects)
			send(6, "lost")
			h.world.Platform.Objects = inCopy
			if other {
				send(6, "after")
			}
			send(6, "before")
			send(6, "lost")
			NewWithT(t).Expect(h.violations).To(BeEmpty())
		})
	}
}
