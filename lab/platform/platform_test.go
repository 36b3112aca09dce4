package platform_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"bluebellflow/core/event"
	"bluebellflow/lab/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// reply is the recorded response to one request and whether the handler reset the connection.
type reply struct {
	*httptest.ResponseRecorder
	connReset bool
}

// call sends one request to the handler; it sets connReset if the handler resets the connection.
func call(p *platform.Platform, method, path, body string, header ...string) (r reply) {
	r.ResponseRecorder = httptest.NewRecorder()
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	if len(header) == 2 {
		req.Header.Set(header[0], header[1])
	}
	defer func() {
		if v := recover(); v != nil {
			err, ok := v.(error)
			r.connReset = ok && errors.Is(err, http.ErrAbortHandler)
		}
	}()
	p.Handler().ServeHTTP(r, req)
	return r
}

func create(p *platform.Platform, name, value string) reply {
	return call(p, http.MethodPut, "/objects/"+name, value, "If-None-Match", "*")
}

func update(p *platform.Platform, name, value string, version int) reply {
	return call(p, http.MethodPut, "/objects/"+name, value, "If-Match", fmt.Sprintf("%q", fmt.Sprint(version)))
}

// TestConditionalUpdate guards against conflicting writes that both succeed.
func TestConditionalUpdate(t *testing.T) {
	g := NewWithT(t)
	p := platform.New()
	defer p.Close()
	g.Expect(create(p, "moves/a", "1").Code).To(Equal(http.StatusOK))
	g.Expect(create(p, "moves/a", "2").Code).To(Equal(http.StatusPreconditionFailed))
	g.Expect(update(p, "moves/a", "3", 1).Header().Get("ETag")).To(Equal(`"2"`))
	g.Expect(update(p, "moves/a", "4", 1).Code).To(Equal(http.StatusPreconditionFailed))
	g.Expect(call(p, http.MethodGet, "/objects/moves/a", "").Body.String()).To(Equal("3"))
	g.Expect(call(p, http.MethodGet, "/objects/none", "").Code).To(Equal(http.StatusNotFound))
	g.Expect(create(p, "big", strings.Repeat("x", platform.MaxValue+1)).Code).To(Equal(http.StatusRequestEntityTooLarge))
	g.Expect(create(p, "full", strings.Repeat("x", platform.MaxValue)).Code).To(Equal(http.StatusOK))
	g.Expect(call(p, http.MethodGet, "/objects?prefix=moves/", "").Body.String()).
		To(MatchJSON(`{"objects":[{"name":"moves/a","version":2}]}`))
}

// TestRates guards against rate limits that are not enforced, and against a rejected put that takes effect.
func TestRates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := platform.New(platform.WithRates(4, 8))
		defer p.Close()
		g.Expect(create(p, "a", "1").Code).To(Equal(http.StatusOK))
		limited := create(p, "b", "1")
		g.Expect(limited.Code).To(Equal(http.StatusTooManyRequests))
		g.Expect(limited.Header().Get("Retry-After")).To(Equal("1"))
		_, version := p.Get("b")
		g.Expect(version).To(BeZero())
		time.Sleep(250 * time.Millisecond)
		g.Expect(create(p, "b", "1").Code).To(Equal(http.StatusOK))
		g.Expect(p.Counts().Limited).To(Equal(1))
	})
}

// TestPutFaults guards against faults that do not have the effect that their name states.
func TestPutFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := platform.New()
		defer p.Close()
		p.SetFaults(platform.Faults{LostAnswerRate: 1})
		g.Expect(create(p, "after", "1").connReset).To(BeTrue())
		p.SetFaults(platform.Faults{LostCallRate: 1})
		g.Expect(create(p, "before", "1").connReset).To(BeTrue())
		p.SetFaults(platform.Faults{LateRate: 1, LateMS: 500})
		g.Expect(create(p, "late", "1").connReset).To(BeTrue())
		p.SetFaults(platform.Faults{Down: true})
		g.Expect(create(p, "down", "1").Code).To(Equal(http.StatusServiceUnavailable))
		versions := func() (list []uint64) {
			for _, name := range []string{"after", "before", "late", "down"} {
				_, v := p.Get(name)
				list = append(list, v)
			}
			return list
		}
		g.Expect(versions()).To(Equal([]uint64{1, 0, 0, 0}))
		time.Sleep(time.Second)
		g.Expect(versions()).To(Equal([]uint64{1, 0, 1, 0}))
	})
}

type watchResult struct {
	Seq     uint64
	Changes []struct{ Name string }
	Gap     bool
}

func watch(t *testing.T, p *platform.Platform, after uint64) (w watchResult) {
	t.Helper()
	r := call(p, http.MethodGet, fmt.Sprintf("/watch?prefix=c&after=%d&wait=1000", after), "")
	NewWithT(t).Expect(json.Unmarshal(r.Body.Bytes(), &w)).To(Succeed())
	return w
}

// TestWatch guards against watches that miss a change, return immediately in an empty store, or do not report a gap.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := platform.New()
		defer p.Close()
		seq := watch(t, p, 0).Seq
		g.Expect(seq).NotTo(BeZero())
		start := time.Now()
		go func() {
			time.Sleep(300 * time.Millisecond)
			create(p, "config", "1")
		}()
		got := watch(t, p, seq)
		g.Expect(got.Changes).To(HaveLen(1))
		g.Expect(time.Since(start)).To(Equal(300 * time.Millisecond))
		g.Expect(watch(t, p, got.Seq).Changes).To(BeEmpty())
		g.Expect(time.Since(start)).To(Equal(1300 * time.Millisecond))
		p.SetFaults(platform.Faults{Gaps: 1})
		g.Expect(watch(t, p, seq).Gap).To(BeTrue())
		g.Expect(watch(t, p, seq).Gap).To(BeFalse())
	})
}

// TestVMLag guards against a VM list that shows changes before the lag has passed.
func TestVMLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := platform.New()
		defer p.Close()
		p.SetFaults(platform.Faults{VMLagMS: 2000})
		p.SetVMs([]event.VM{{Name: "one"}})
		names := func() string { return call(p, http.MethodGet, "/vms", "").Body.String() }
		time.Sleep(time.Second)
		g.Expect(names()).NotTo(ContainSubstring("one"))
		time.Sleep(time.Second)
		g.Expect(names()).To(ContainSubstring("one"))
	})
}
