package proxy_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/proxy"
	"bluebellflow/core/selfreport"
)

// answer ends a request with a response in which the server says something of itself.
func (h *harness) answer(t proxy.Ticket, r selfreport.Report) {
	h.step(proxy.Began{Ticket: t, Status: http.StatusOK, Report: r})
	h.end(t, proxy.Result{Status: http.StatusOK, Began: true, Report: r})
}

// reject ends a request with a response that it was not run.
func (h *harness) reject(t proxy.Ticket, r selfreport.Report) {
	h.end(t, proxy.Result{Fail: event.FailRejected, Status: http.StatusServiceUnavailable, Report: r})
}

// sendTo sends requests until one goes to a server, and returns its ticket. The others are answered.
func (h *harness) sendTo(server id.Server) proxy.Ticket {
	for range 100 {
		ticket := h.arrive("look", nil)
		if onlyAction[proxy.Forward](h).Server.ID == server {
			return ticket
		}
		h.answer(ticket, selfreport.Report{})
	}
	h.g.ExpectWithOffset(1, server).To(BeEmpty(), "it gets no request")
	return 0
}

// TestReports guards against requests to a server that has said of itself that it wants none, in a response or a rejection.
func TestReports(t *testing.T) {
	for name, c := range map[string]struct {
		end    func(*harness, proxy.Ticket, selfreport.Report)
		report selfreport.Report
	}{
		"leaving":  {(*harness).answer, selfreport.Report{Leaving: true}},
		"pause":    {(*harness).reject, selfreport.Report{Pause: time.Minute}},
		"rejected": {(*harness).reject, selfreport.Report{Leaving: true}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newLoadedHarness(t)
			c.end(h, h.sendTo("loans-1"), selfreport.Report{})
			c.end(h, h.sendTo("loans-1"), c.report)
			for range 20 {
				ticket := h.arrive("look", nil)
				h.g.Expect(onlyAction[proxy.Forward](h).Server.ID).To(Equal(id.Server("loans-2")))
				h.answer(ticket, selfreport.Report{})
			}
		})
	}
}

// TestNamedLimit guards against requests to a server beyond the limit that it has named.
func TestNamedLimit(t *testing.T) {
	h := newLoadedHarness(t)
	h.answer(h.sendTo("loans-1"), selfreport.Report{Limited: true, Rate: 2})
	sent := 0
	for range 200 {
		ticket := h.arrive("look", nil)
		report := selfreport.Report{}
		if onlyAction[proxy.Forward](h).Server.ID == "loans-1" {
			sent++
			report = selfreport.Report{Limited: true, Rate: 2}
		}
		h.answer(ticket, report)
		h.run(50 * time.Millisecond)
	}
	h.g.Expect(sent).To(And(BeNumerically(">=", 15), BeNumerically("<=", 21)), "in 10 s at 2/s")
}

// TestReportDuringStream guards against a report that counts only when a long response has ended.
func TestReportDuringStream(t *testing.T) {
	h := newLoadedHarness(t)
	open := h.sendTo("loans-1")
	h.step(proxy.Began{Ticket: open, Status: http.StatusOK, Report: selfreport.Report{Leaving: true}})
	for range 20 {
		ticket := h.arrive("look", nil)
		h.g.Expect(onlyAction[proxy.Forward](h).Server.ID).To(Equal(id.Server("loans-2")))
		h.answer(ticket, selfreport.Report{})
	}
}

// TestOtherServerReport guards against what another server at the address says of itself, which is then held against the one
// that was meant.
func TestOtherServerReport(t *testing.T) {
	h := newLoadedHarness(t)
	h.end(h.sendTo("loans-1"), proxy.Result{Fail: event.FailRejected, Status: http.StatusMisdirectedRequest, Moved: true, Report: selfreport.Report{Leaving: true}})
	h.run(time.Second)
	h.sendTo("loans-1")
}

// TestAllServersUnwilling guards against requests that wait although it is known that no server will take them in time, and
// against a Retry-After longer than a second, since other nodes may send to the servers earlier.
func TestAllServersUnwilling(t *testing.T) {
	h := newLoadedHarness(t)
	h.reject(h.sendTo("loans-1"), selfreport.Report{Pause: 300 * time.Millisecond})
	h.reject(h.sendTo("loans-2"), selfreport.Report{Pause: time.Minute})
	h.arrive("look", nil)
	h.g.Expect(onlyAction[proxy.Refuse](h).After).To(Equal(300 * time.Millisecond))
	h.run(250 * time.Millisecond)
	ticket := h.arrive("look", nil)
	h.g.Expect(actionsOf[proxy.Refuse](h)).To(BeEmpty(), "a server is ready soon")
	h.run(60 * time.Millisecond)
	h.g.Expect(onlyAction[proxy.Forward](h).Server.ID).To(Equal(id.Server("loans-1")))
	h.reject(ticket, selfreport.Report{Pause: time.Minute})
	h.arrive("look", nil)
	h.g.Expect(onlyAction[proxy.Refuse](h).After).To(Equal(time.Second))
}
