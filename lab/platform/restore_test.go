package platform_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/lab/platform"
)

// TestRestore guards against a restored store that still has later changes, or answers watches as if it had them.
func TestRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := platform.New()
		defer p.Close()
		create(p, "moves/old", "1")
		update(p, "moves/old", "1b", 1)
		time.Sleep(5 * time.Second)
		update(p, "moves/old", "2", 2)
		create(p, "moves/new", "1")
		g.Expect(call(p, http.MethodPost, "/lab/restore", `{"age_ms":3000}`).Code).To(Equal(http.StatusOK))
		got := call(p, http.MethodGet, "/objects/moves/old", "")
		g.Expect(got.Body.String()).To(Equal("1b"))
		g.Expect(got.Header().Get("Era")).To(Equal("2"))
		g.Expect(call(p, http.MethodGet, "/objects/moves/new", "").Code).To(Equal(http.StatusNotFound))
		g.Expect(call(p, http.MethodGet, "/watch?prefix=moves/&after=5&wait=0", "").Body.String()).To(ContainSubstring(`"gap":true`))
		g.Expect(update(p, "moves/old", "3", 2).Header().Get("ETag")).To(Equal(`"3"`), "the version is given out again")
		g.Expect(call(p, http.MethodGet, "/watch?prefix=moves/&after=3&wait=0", "").Body.String()).To(ContainSubstring(`"seq":4`))
	})
}
