package e2e_test

import (
	"encoding/json"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/cmd/cli"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/node"
	"bluebellflow/lab/load"
	"bluebellflow/lab/platform"
)

// report reads what a node knows of the system.
func (d *deployment) report(p *process) (node.Report, error) {
	var r node.Report
	o, err := d.runCommand(p, "--json", "status")
	if err != nil {
		return r, err
	}
	return r, json.Unmarshal([]byte(o.stdout), &r)
}

// expectRecord waits until a node knows a record of a failure domain.
func (d *deployment) expectRecord(p *process, name id.FailureDomain, drained, provisional bool) {
	d.t.Helper()
	d.eventually(fmt.Sprintf("%s knows %s as drained %t, provisional %t", p.Name, name, drained, provisional), func() error {
		r, err := d.report(p)
		if err != nil {
			return err
		}
		for _, one := range r.Domains {
			if one.Domain == name && one.Drained == drained && one.Provisional == provisional {
				return nil
			}
		}
		return fmt.Errorf("records %+v", r.Domains)
	})
}

// testPlatformOutage guards against operators who lose control, or get false reports, while the platform is down.
func testPlatformOutage(t *testing.T, d *deployment) {
	g := NewWithT(t)
	target := d.testbed.Description.Domains[1]
	here, there := d.nodes[0], d.nodes[5]
	before, err := d.report(here)
	g.Expect(err).NotTo(HaveOccurred())
	d.testbed.Platform.SetFaults(platform.Faults{Down: true})
	defer d.testbed.Platform.SetFaults(platform.Faults{})

	o, err := d.runCommand(here, "--json", "drain", string(target), "--by", "eva")
	g.Expect(err).NotTo(HaveOccurred())
	var drained struct {
		State       string
		Won         bool
		Provisional bool
	}
	g.Expect(json.Unmarshal([]byte(o.stdout), &drained)).To(Succeed(), o.stdout)
	g.Expect(drained.State).To(Equal("drained"), o.stdout)
	g.Expect(drained.Provisional).To(BeTrue(), "the drain claims to be committed: %s", o.stdout)
	g.Expect(drained.Won).To(BeFalse(), o.stdout)
	d.expectRecord(there, target, true, true)

	var group sync.WaitGroup
	var applied, restored commandResult
	group.Go(func() { applied, _ = d.runCommand(here, "apply", d.dir+"/settings.json") })
	group.Go(func() { restored, _ = d.runCommand(there, "restore", string(target), "--by", "eva") })
	explained, err := d.runCommand(there, "explain", "--workspace", "gafsa", "--pipeline", "loan", "--key", "deadline")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(explained.stdout).To(ContainSubstring("3s"))
	fresh := d.nodes[8]
	d.signal(fresh, syscall.SIGKILL)
	d.waitExit(fresh)
	d.startProcess(fresh)
	d.eventually("a node that starts without the platform gets the configuration from its peers", func() error {
		r, err := d.report(fresh)
		if err == nil && r.Revision < before.Revision {
			err = fmt.Errorf("revision %d", r.Revision)
		}
		return err
	})
	d.expectRecord(fresh, target, true, true)
	r, err := d.report(fresh)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Ready).To(BeFalse(), "the rollouts cannot be read, so the node must not take callers")
	checkWithoutPlatform(t, d, fresh)
	group.Wait()
	g.Expect(applied.code).To(Equal(cli.ExitRefused), "apply: %s", applied.stderr)
	g.Expect(applied.stderr).To(ContainSubstring("not committed"))
	g.Expect(restored.code).To(Equal(cli.ExitRefused), "restore: %s", restored.stderr)
	g.Expect(restored.stderr).To(ContainSubstring("platform"))
	t.Logf("apply: %srestore: %s", applied.stderr, restored.stderr)

	d.testbed.Platform.SetFaults(platform.Faults{})
	d.expectRecord(there, target, true, false)
	d.waitReady(fresh)
	after, err := d.report(fresh)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(after.Revision).To(Equal(before.Revision), "a refused apply was committed")
	_, err = d.runCommand(here, "restore", string(target), "--by", "eva")
	g.Expect(err).NotTo(HaveOccurred())
	d.expectRecord(there, target, false, false)
}

// checkWithoutPlatform sends one request of each pipeline to a node that has started without the platform, and checks that
// each gets its own whole answer or a true statement.
func checkWithoutPlatform(t *testing.T, d *deployment, to *process) {
	t.Helper()
	c := newCaller(d, nil)
	var group sync.WaitGroup
	requests := make([]*request, len(load.Mix(d.testbed.Description)))
	for i, call := range load.Mix(d.testbed.Description) {
		r := &request{Arrival: load.Arrival{Call: call, Index: i, Workspace: "gafsa"}}
		r.Body = fmt.Appendf(nil, `{"outage":%d,"tokens":4}`, i)
		if call.Action {
			r.Key = fmt.Sprintf("outage-%d", i)
		}
		requests[i] = r
		group.Go(func() {
			s := attempt{to: to.Name, began: time.Now()}
			s.reply = c.send(r, to)
			r.attempts = append(r.attempts, s)
			c.checkNotRun(r, s)
		})
	}
	group.Wait()
	for kind, n := range c.checkReplies(t, requests) {
		if kind == event.ProblemFailed {
			t.Errorf("%d requests failed at a node without the platform: %v", n, requests)
		}
	}
	for _, r := range requests {
		t.Logf("without the platform: %v", r)
	}
}
