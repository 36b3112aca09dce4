package e2e_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/lab/answer"
	"bluebellflow/lab/load"
	"bluebellflow/lab/testbed"
)

// The two bursts of load, in testKill and testGracefulStop, have about 250 requests together.
const (
	burstLength = 3 * time.Second
	burstRate   = 40 // requests per second
)

// TestProcesses guards against violated guarantees with nine nodes in three failure domains, each in a process of its own.
func TestProcesses(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, testbed.Kitab())
	d.warmUp(t)
	t.Run("peer authentication", func(t *testing.T) { testPeerAuthentication(t, d) })
	t.Run("kill and restart", func(t *testing.T) { testKill(t, d) })
	t.Run("reload", func(t *testing.T) { testReload(t, d) })
	t.Run("graceful stop", func(t *testing.T) { testGracefulStop(t, d) })
	t.Run("second signal", func(t *testing.T) { testSecondSignal(t, d) })
	t.Run("outage of the platform", func(t *testing.T) { testPlatformOutage(t, d) })
}

func plan(t *testing.T, seed uint64, d testbed.Description) []load.Arrival {
	t.Helper()
	arrivals, err := load.Plan(seed, load.Shape{Length: burstLength, Rate: burstRate}, load.Mix(d), d.Workspaces)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return arrivals
}

// warmUp sends requests of each pipeline to each node until all have been answered: a permit holder that has just started
// grants nothing until the permits of its predecessor have expired.
func (d *deployment) warmUp(t *testing.T) {
	t.Helper()
	arrivals := plan(t, 1, d.testbed.Description)
	var group sync.WaitGroup
	for i, p := range d.nodes {
		c := newCaller(d, func(*request) *process { return p })
		for j, call := range load.Mix(d.testbed.Description) {
			group.Go(func() {
				for try := range 20 {
					a := arrivals[0]
					a.Call, a.Index = call, try
					a.Body = fmt.Appendf(nil, `{"warm":"%d.%d.%d","tokens":4}`, i, j, try)
					if a.Key = ""; call.Action {
						a.Key = fmt.Sprintf("warm-%d-%d-%d", i, j, try)
					}
					r := &request{Arrival: a}
					if c.sendUntilFinal(r); r.answered() {
						return
					}
				}
				t.Errorf("%s never answers %s", p.Name, call.Pipeline)
			})
		}
	}
	group.Wait()
}

// testKill kills and restarts a node under load, and checks that no results are lost, duplicated or mixed up and that
// callers who send again get correct replies.
func testKill(t *testing.T, d *deployment) {
	g := NewWithT(t)
	target := d.nodes[4]
	c := newCaller(d, roundRobin(d.nodes))
	var killedAt, readyAt time.Time
	var streams []*stream
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(burstLength / 3)
		streams = openStreams(t, d, target)
		killedAt = time.Now()
		_ = target.cmd.Process.Signal(syscall.SIGKILL)
		<-target.done
		time.Sleep(burstLength / 3)
		d.startProcess(target)
		d.waitReady(target)
		readyAt = time.Now()
	})
	requests := c.sendAll(plan(t, 2, d.testbed.Description))
	group.Wait()
	for _, s := range streams {
		g.Expect(readReply(s.resp).err).To(HaveOccurred(), "a stream that the kill interrupted looks complete")
	}
	counts := c.checkReplies(t, requests)
	broken := 0
	for _, r := range requests {
		for _, a := range r.attempts {
			if a.err == nil {
				continue
			}
			broken++
			if a.to != target.Name || a.ended.Before(killedAt) || a.began.After(readyAt) {
				t.Errorf("connection of a node that was not killed broke: %v", r)
			}
		}
	}
	t.Logf("%d requests, %d broken connections, final replies %v", len(requests), broken, counts)
	g.Expect(broken).To(BeNumerically(">", 0), "no request was in progress at the kill")
	g.Expect(counts[""]).To(BeNumerically(">", len(requests)/2), "most requests were not answered")
	checkResends(t, c, requests)
}

// problemCompleted says that an earlier request with the same key took effect and that its answer is no longer stored.
const problemCompleted event.ProblemKind = "completed"

// checkResends sends every answered action again, with its key, to another node. The reply must be the same answer or a
// problem that does not contradict it, and there must be no second effect.
func checkResends(t *testing.T, c *caller, requests []*request) {
	t.Helper()
	same, problems := 0, 0
	for _, r := range requests {
		if !r.Action || !r.answered() {
			continue
		}
		first := r.lastAttempt()
		to := c.pick(r)
		resend := attempt{to: to.Name, reply: c.send(r, to)}
		r.attempts = append(r.attempts, resend)
		switch {
		case resend.err != nil:
			t.Errorf("a resend got no reply: %v", r)
		case resend.kind == "" && resend.text == first.text:
			same++
		case resend.kind == event.ProblemUnknown, resend.kind == problemCompleted:
			problems++
		default:
			t.Errorf("a resend of an answered action got a different reply: %v", r)
		}
		if n := c.effects(r); n != 1 {
			t.Errorf("%d effects after a resend: %v", n, r)
		}
	}
	t.Logf("resends of answered actions: %d with the same answer, %d with a consistent problem", same, problems)
	NewWithT(t).Expect(same).To(BeNumerically(">", 0))
}

// testGracefulStop checks that a graceful stop interrupts neither requests nor streams.
func testGracefulStop(t *testing.T, d *deployment) {
	g := NewWithT(t)
	stopping := d.nodes[7]
	balancer := load.NewReadyBalancer(func() []netip.AddrPort {
		var out []netip.AddrPort
		for _, p := range d.nodes {
			out = append(out, p.Caller)
		}
		return out
	})
	ctx, cancel := context.WithCancel(t.Context())
	var polls sync.WaitGroup
	defer polls.Wait()
	defer cancel()
	balancer.Poll(ctx)
	polls.Go(func() { _ = balancer.Run(ctx) })
	c := newCaller(d, func(*request) *process {
		at, _ := balancer.Pick()
		for _, p := range d.nodes {
			if p.Caller == at {
				return p
			}
		}
		return d.nodes[0]
	})
	var signalledAt time.Time
	var streams []*stream
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(burstLength / 3)
		streams = openStreams(t, d, stopping)
		signalledAt = time.Now()
		_ = stopping.cmd.Process.Signal(syscall.SIGTERM)
		for _, s := range streams {
			group.Go(func() {
				s.reply = readReply(s.resp)
				s.ended = time.Now()
			})
		}
	})
	requests := c.sendAll(plan(t, 3, d.testbed.Description))
	group.Wait()
	counts := c.checkReplies(t, requests)
	for _, r := range requests {
		for _, a := range r.attempts {
			if a.err != nil {
				t.Errorf("a graceful stop broke a connection: %v", r)
			}
		}
	}
	open := 0
	for _, s := range streams {
		g.Expect(s.reply.err).NotTo(HaveOccurred(), "stream on the node that stops")
		g.Expect(answer.Check(s.body, "draft", s.reply.text)).To(Succeed(), "stream on the node that stops: %q", s.reply.text)
		if s.ended.After(signalledAt) {
			open++
		}
	}
	g.Expect(open).To(BeNumerically(">", 0), "no stream was open at the signal")
	g.Expect(d.waitExit(stopping)).To(Equal(0), stopping.log.tail(10))
	t.Logf("%d requests, %d streams open at the stop, final replies %v", len(requests), open, counts)
	g.Expect(counts[""]).To(BeNumerically(">", len(requests)/2), "most requests were not answered")
	d.startProcess(stopping)
	d.waitReady(stopping)
}

// stream is a streamed answer whose response header has arrived.
type stream struct {
	body  []byte
	resp  *http.Response
	reply reply
	ended time.Time
}

// streamTokens is large enough that the streams are still open when the signal is sent.
const streamTokens = 120

// openStreams opens streams on one node and returns after the response header of each has arrived.
func openStreams(t *testing.T, d *deployment, to *process) []*stream {
	t.Helper()
	c := newCaller(d, nil)
	var out []*stream
	for i := range 4 {
		a := load.Arrival{Call: load.Call{Pipeline: "reading-list", Stream: true, Deadline: 8 * time.Second}, Workspace: "gafsa"}
		a.Body = fmt.Appendf(nil, `{"stream":%d,"to":%q,"tokens":%d}`, i, to.Name, streamTokens)
		s := &stream{body: a.Body}
		d.eventually("a stream opens", func() error {
			resp, err := c.open(t.Context(), &request{Arrival: a}, to)
			if err != nil {
				return err
			}
			if resp.StatusCode != http.StatusOK {
				_ = resp.Body.Close()
				return fmt.Errorf("status %d", resp.StatusCode)
			}
			s.resp = resp
			t.Cleanup(func() { _ = resp.Body.Close() })
			return nil
		})
		out = append(out, s)
	}
	return out
}

// testReload checks that SIGHUP does not end a process, and with it the requests in progress.
func testReload(t *testing.T, d *deployment) {
	g := NewWithT(t)
	p := d.nodes[2]
	streams := openStreams(t, d, p)
	d.signal(p, syscall.SIGHUP)
	for _, s := range streams {
		g.Expect(readReply(s.resp).err).NotTo(HaveOccurred(), p.log.tail(10))
	}
	d.waitReady(p)
	g.Expect(p.log.tail(10)).To(ContainSubstring("msg=reload"))
}

// testSecondSignal checks that a second signal ends a process at once.
func testSecondSignal(t *testing.T, d *deployment) {
	g := NewWithT(t)
	p := d.nodes[2]
	streams := openStreams(t, d, p)
	d.signal(p, syscall.SIGTERM)
	d.eventually("the node is not ready any more", func() error {
		return p.expectStatus("/readyz", http.StatusServiceUnavailable)
	})
	d.signal(p, syscall.SIGTERM)
	g.Expect(d.waitExit(p)).To(Equal(1), p.log.tail(10))
	broken := 0
	for _, s := range streams {
		if readReply(s.resp).err != nil {
			broken++
		}
	}
	g.Expect(broken).To(BeNumerically(">", 0), "the process ended only after its streams had finished")
	d.startProcess(p)
	d.waitReady(p)
}
