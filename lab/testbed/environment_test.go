package testbed_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/lab/netpartition"
	"bluebellflow/lab/testbed"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startEnvironment(t *testing.T, d testbed.Description) *testbed.Environment {
	t.Helper()
	e, err := testbed.Start(d)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		NewWithT(t).Expect(e.Close()).To(Succeed())
	})
	return e
}

// fetchVMs reads the VM list from the platform address of a failure domain.
func fetchVMs(ctx context.Context, e *testbed.Environment, d id.FailureDomain) ([]event.VM, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/vms", e.PlatformAddr(d)), http.NoBody)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var list struct{ VMs []event.VM }
	return list.VMs, json.NewDecoder(resp.Body).Decode(&list)
}

// TestSizes guards against deployments with other numbers of servers than the design states.
func TestSizes(t *testing.T) {
	for _, c := range []struct {
		d                testbed.Description
		servers, runners int
		action           id.Pool
	}{
		{testbed.Kitab(), 10 + 9 + 3 + 15, 10, "loans"},
		{testbed.Vordach(), 20 + 9 + 3 + 15, 20, "bookings"},
	} {
		t.Run(c.d.Name, func(t *testing.T) {
			g := NewWithT(t)
			e := startEnvironment(t, c.d)
			list, err := fetchVMs(t.Context(), e, c.d.Domains[0])
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(list).To(HaveLen(c.servers))
			g.Expect(e.Servers("model")).To(HaveLen(c.runners))
			g.Expect(e.Servers(c.action)).To(HaveLen(3))
			g.Expect(e.EffectLog(c.action)).NotTo(BeNil())
			e.SetEntry(event.VM{Name: "entry-1"})
			g.Expect(e.Remove(e.Servers("model")[0].VMName())).To(Succeed())
			list, err = fetchVMs(t.Context(), e, c.d.Domains[1])
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(list).To(HaveLen(c.servers))
		})
	}
}

// TestCut guards against a partition that lets requests of the cut domain pass or blocks other requests.
func TestCut(t *testing.T) {
	g := NewWithT(t)
	d := testbed.Kitab()
	e := startEnvironment(t, d)
	e.Partition.Cut(d.Domains[0])
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := fetchVMs(ctx, e, d.Domains[0])
	g.Expect(err).To(MatchError(context.DeadlineExceeded))
	_, err = fetchVMs(t.Context(), e, d.Domains[1])
	g.Expect(err).NotTo(HaveOccurred())
	s := e.Servers("model")[1]
	get := func(from id.FailureDomain) error {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/v1/load", s.VM.Addr), http.NoBody)
		req.Header.Set(netpartition.DomainHeader, string(from))
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
		}
		return err
	}
	for _, from := range d.Domains {
		blocked := e.Partition.Blocked(from, s.VM.FailureDomain)
		g.Expect(get(from) != nil).To(Equal(blocked), string(from))
	}
	e.Partition.Heal(d.Domains[0])
	_, err = fetchVMs(t.Context(), e, d.Domains[0])
	g.Expect(err).NotTo(HaveOccurred())
}
