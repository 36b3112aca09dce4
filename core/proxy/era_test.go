package proxy_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/core/proxy"
	"bluebellflow/core/roster"
	"bluebellflow/core/watchcache"
)

// configure delivers a configuration from the store.
func (h *harness) configure(era, revision uint64, version string) {
	h.step(watchcache.Updated{Kind: proxy.ConfigKind, Era: era, Revision: revision, Objects: []watchcache.Object{
		{Name: proxy.ConfigName, Revision: revision, Spec: []byte(version)},
	}})
}

// TestRestoredConfiguration guards against a version that takes back a newer one because the store has come back with it, and
// against a gateway that ignores the versions after it.
func TestRestoredConfiguration(t *testing.T) {
	h := newLoadedHarness(t)
	h.configure(0, 200, "10")
	h.step(watchcache.StoreEra{Era: 1})
	h.step(watchcache.Listed{Kind: proxy.ConfigKind, Era: 1, Revision: 20, Objects: []watchcache.Object{
		{Name: proxy.ConfigName, Revision: 15, Spec: []byte("4")},
	}})
	h.arrive("lend", nil)
	h.g.Expect(onlyAction[proxy.Refuse](h).Status).To(Equal(http.StatusNotFound))
	h.configure(1, 21, "9")
	h.arrive("lend", nil)
	h.g.Expect(onlyAction[proxy.Refuse](h).Status).To(Equal(http.StatusNotFound))
	h.configure(1, 22, "11")
	h.g.Expect(onlyAction[proxy.Limit](h).Catalog.Version()).To(BeEquivalentTo(11))
}

// TestEraOfCalls guards against calls to the store without the era in which they were decided, which its client does not send.
func TestEraOfCalls(t *testing.T) {
	h := newHarness(t)
	h.step(watchcache.StoreEra{Era: 3})
	h.step(watchcache.Listed{Kind: roster.Kind, Era: 3, Revision: 20})
	calls := actionsOf[event.PlatformCall](h)
	h.g.Expect(calls).NotTo(BeEmpty(), "the node registers")
	for _, c := range calls {
		h.g.Expect(c.Era).To(Equal(uint64(3)))
	}
}

// TestEraMetrics guards against metrics that count the first era as a change, or miss one.
func TestEraMetrics(t *testing.T) {
	h := newHarness(t)
	for era, want := range []proxy.StoreEra{3: {Era: 3}, 4: {Era: 4, Changes: 1}, 6: {Era: 6, Changes: 2}} {
		if want.Era == 0 {
			continue
		}
		h.step(watchcache.StoreEra{Era: uint64(era)})
		h.g.Expect(onlyAction[proxy.StoreEra](h)).To(Equal(want))
	}
}
