package soak_test

import (
	"syscall"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/platform/standin"
)

const (
	dutyLease   = time.Second
	usageWindow = time.Second
	usageLate   = 7 * time.Second
	// thawTime is how long after the end of a pause or a partition a call of the earlier holder may arrive.
	thawTime = 300 * time.Millisecond
	// faultLength is the length of a fault of the holder. Another node takes over meanwhile.
	faultLength = 4 * time.Second
)

// dutySettings returns the settings by which nodes report usage to the control service and order servers.
func (h *harness) dutySettings() map[string]any {
	return map[string]any{
		"control": h.control.Addr().String(), "rate": 50, "list": []string{"usage_report", "autoscale"},
		"lease": dutyLease.String(), "window": usageWindow.String(), "late": usageLate.String(),
	}
}

// startControl starts the control service. Holders may return early while random faults disturb the store.
func (h *harness) startControl() {
	control, err := standin.NewControl(standin.ControlOptions{Lease: dutyLease, Rate: 50, Scale: h.ScaleTo, MayReturn: func(string) bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return time.Now().Before(h.mayReturnUntil)
	}})
	h.g.Expect(err).NotTo(HaveOccurred())
	h.t.Cleanup(control.Close)
	h.control = control
}

// allowReturns lets holders return early for some time.
func (h *harness) allowReturns(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.mayReturnUntil = time.Now().Add(d)
}

// checkDuties kills, freezes, cuts off and stops the holder of the lease for usage reports, one after the other. Each time
// another node must take over, and the windows must be reported in time.
func (h *harness) checkDuties() {
	h.awaitReports("")
	from := time.Now().Unix()
	for _, f := range []struct {
		name       string
		begin, end func(n *node)
	}{
		{"kill", h.kill, h.start},
		{"freeze", h.freeze, func(n *node) {
			h.allowReturns(thawTime)
			h.thaw(n)
		}},
		{"cut off", func(n *node) {
			n.storeProxy.set(blackhole)
			n.peerProxy.set(blackhole)
		}, func(n *node) {
			h.allowReturns(thawTime)
			n.storeProxy.set(passThrough)
			n.peerProxy.set(passThrough)
		}},
		{"stop", func(n *node) { n.signal(syscall.SIGTERM) }, func(n *node) {
			<-n.exited()
			h.start(n)
		}},
	} {
		n := h.holder()
		h.logEvent("%s the holder %s", f.name, n.name)
		f.begin(n)
		ended := time.Now().Add(faultLength)
		h.awaitReports(n.name)
		time.Sleep(time.Until(ended))
		f.end(n)
		h.logEvent("end of %s, holder %s", f.name, h.holder().name)
	}
	h.waitReady()
	h.awaitReports("")
	h.expectReports(from)
	h.g.Expect(h.control.Violations()).To(BeEmpty())
}

// holder returns the node that has made the last call.
func (h *harness) holder() *node {
	calls := h.control.Calls()
	for _, n := range h.nodes {
		if n.name == calls[len(calls)-1].Holder {
			return n
		}
	}
	h.g.Expect(calls).To(BeNil(), "a call of an unknown node")
	return nil
}

// awaitReports waits for calls of another holder than the given one.
func (h *harness) awaitReports(than string) {
	calls := len(h.control.Calls())
	h.g.Eventually(func() []standin.ControlCall { return h.control.Calls()[calls:] }, eventuallyTimeout, 50*time.Millisecond).
		Should(ContainElement(HaveField("Holder", Not(Equal(than)))))
}

// expectReports asserts that the windows since a time whose reports are due were reported in time. A window may be late on a
// busy machine.
func (h *harness) expectReports(from int64) {
	reports := h.control.Usage()
	missing := []int64{}
	for k := from; time.Since(time.Unix(k+1, 0)) > usageLate; k++ {
		r, ok := reports[k]
		if !ok || r.At.Sub(time.Unix(k+1, 0)) > usageLate {
			missing = append(missing, k-from)
		}
	}
	h.logEvent("windows without a report in time: %v", missing)
	h.g.Expect(len(missing)).To(BeNumerically("<=", 1), "windows %v", missing)
}
