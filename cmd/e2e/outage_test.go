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

// report returns the status report of a node.
func (d *deployment) report(p *process) (node.Report, error) {
	var r node.Report
	o, err := d.runCommand(p, "--json", "status")
	if err != nil {
		return r, err
	}
	return r, json.Unmarshal([]byte(o.stdout), &r)
}

// expectRecord waits until a node has a record of a failure domain in the given state.
func (d *deployment) expectRecord(p *process, name id.FailureDomain, drained, provisional bool) {
	d.t.Helper()
	d.eventually(fmt.Sprintf("%s has a record of %s with drained %t, provisional %t", p.Name, name, drained, provisional), func() error {
		r, err := d.report(p)
		if err != nil {
			return err
		}
		for _, record := range r.Domains {
			if record.Domain == name && record.Drained == drained && record.Provisional == provisional {
				return nil
			}
		}
		return fmt.Errorf("records %+v", r.Domains)
	})
}

// testPlatformOutage checks that operators keep control and get correct reports while the platform is down.
func testPlatformOutage(t *testing.T, d *deployment) {
	g := NewWithT(t)
	target := d.testbed.Description.Domains[1]
	first, other := d.nodes[0], d.nodes[5]
	before, err := d.report(first)
	g.Expect(err).NotTo(HaveOccurred())
	d.testbed.Platform.SetFaults(platform.Faults{Down: true})
	defer d.testbed.Platform.SetFaults(platform.Faults{})

	o, err := d.runCommand(first, "--json", "drain", string(target), "--by", "eva")
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
	d.expectRecord(other, target, true, true)

	var group sync.WaitGroup
	var applied, restored commandResult
	group.Go(func() { applied, _ = d.runCommand(first, "apply", d.dir+"/settings.json") })
	group.Go(func() { restored, _ = d.runCommand(other, "restore", string(target), "--by", "eva") })
	explained, err := d.runCommand(other, "explain", "--workspace", "gafsa", "--pipeline", "loan", "--key", "deadline")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(explained.stdout).To(ContainSubstring("3s"))
	restarted := d.nodes[8]
	d.signal(restarted, syscall.SIGKILL)
	d.waitExit(restarted)
	d.startProcess(restarted)
	d.eventually("a node that starts without the platform gets the configuration from its peers", func() error {
		r, err := d.report(restarted)
		if err == nil && r.Revision < before.Revision {
			err = fmt.Errorf("revision %d", r.Revision)
		}
		return err
	})
	d.expectRecord(restarted, target, true, true)
	r, err := d.report(restarted)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Ready).To(BeFalse(), "the node must not accept requests, because it cannot read the rollouts")
	checkWithoutPlatform(t, d, restarted)
	group.Wait()
	g.Expect(applied.code).To(Equal(cli.ExitRefused), "apply: %s", applied.stderr)
	g.Expect(applied.stderr).To(ContainSubstring("not committed"))
	g.Expect(restored.code).To(Equal(cli.ExitRefused), "restore: %s", restored.stderr)
	g.Expect(restored.stderr).To(ContainSubstring("platform"))
	t.Logf("apply: %srestore: %s", applied.stderr, restored.stderr)

	d.testbed.Platform.SetFaults(platform.Faults{})
	d.expectRecord(other, target, true, false)
	d.waitReady(restarted)
	after, err := d.report(restarted)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(after.Revision).To(Equal(before.Revision), "a refused apply was committed")
	_, err = d.runCommand(first, "restore", string(target), "--by", "eva")
	g.Expect(err).NotTo(HaveOccurred())
	d.expectRecord(other, target, false, false)
}

// checkWithoutPlatform sends one request of each pipeline to a node that has started without the platform, and checks
// the guarantees for each.
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
			a := attempt{to: to.Name, began: time.Now()}
			a.reply = c.send(r, to)
			r.attempts = append(r.attempts, a)
			c.checkNotRun(r, a)
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
