package netpartition_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"bluebellflow/lab/netpartition"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestControl guards against a control endpoint that blocks the wrong requests or accepts malformed bodies.
func TestControl(t *testing.T) {
	g := NewWithT(t)
	p := netpartition.New()
	post := func(body string) int {
		w := httptest.NewRecorder()
		p.Control().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/lab/cut", strings.NewReader(body)))
		return w.Code
	}
	blocked := func(source string) (reset bool) {
		defer func() { reset = recover() != nil }()
		req := httptest.NewRequest(http.MethodGet, "/", http.NoBody)
		req.RemoteAddr = source
		ctx, cancel := context.WithCancel(t.Context())
		cancel() // a blocked request ends when its caller gives up
		p.Wrap("", "linz", http.NotFoundHandler()).ServeHTTP(httptest.NewRecorder(), req.WithContext(ctx))
		return false
	}
	g.Expect(post(`{"domain":"wien-nord","cut":true,"sources":["127.0.2.0/24"]}`)).To(Equal(http.StatusOK))
	g.Expect(blocked("127.0.2.7:1")).To(BeTrue())
	g.Expect(blocked("127.0.3.7:1")).To(BeFalse())
	g.Expect(post(`{"domain":"wien-nord","cut":false}`)).To(Equal(http.StatusOK))
	g.Expect(blocked("127.0.2.7:1")).To(BeFalse())
	for _, bad := range []string{``, `{}`, `{"domain":"a","cat":true}`, `{"domain":"a","sources":["x"]}`} {
		g.Expect(post(bad)).To(Equal(http.StatusBadRequest), bad)
	}
}
