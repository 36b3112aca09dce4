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

// The load is bounded: both bursts together have about 250 requests.
const (
	burstLength = 3 * time.Second
	burstRate   = 40 // requests a second
)

// TestProcesses runs nine nodes in three failure domains as processes of their own.
func TestProcesses(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, testbed.Kitab())
	d.warmUp(t)
	t.Run("strangers", func(t *testing.T) { testPeerAuthentication(t, d) })
	t.Run("kill and restart", func(t *testing.T) { testKill(t, d) })
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

// warmUp sends one request of each pipeline through each node until all have their answers: a permit holder that
// has just started grants nothing before the permits of a holder before it have expired.
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

// testKill guards against lost, doubled and mixed results around the death of a node in a burst, and against false
// statements to callers who send again.
func testKill(t *testing.T, d *deployment) {
	g := NewWithT(t)
	victim := d.nodes[4]
	c := newCaller(d, roundRobin(d.nodes))
	var killed, back time.Time
	var streams []*stream
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(burstLength / 3)
		streams = openStreams(t, d, victim)
		killed = time.Now()
		_ = victim.cmd.Process.Signal(syscall.SIGKILL)
		<-victim.done
		time.Sleep(burstLength / 3)
		d.startProcess(victim)
		d.waitReady(victim)
		back = time.Now()
	})
	requests := c.sendAll(plan(t, 2, d.testbed.Description))
	group.Wait()
	for _, s := range streams {
		g.Expect(readReply(s.resp).err).To(HaveOccurred(), "a stream that the kill cut off looks whole")
	}
	counts := c.checkReplies(t, requests)
	broken := 0
	for _, r := range requests {
		for _, s := range r.attempts {
			if s.err == nil {
				continue
			}
			broken++
			if s.to != victim.Name || s.ended.Before(killed) || s.began.After(back) {
				t.Errorf("connection of a node that was not killed broke: %v", r)
			}
		}
	}
	t.Logf("%d requests, %d broken connections, final answers %v", len(requests), broken, counts)
	g.Expect(broken).To(BeNumerically(">", 0), "the kill met no request")
	g.Expect(counts[""]).To(BeNumerically(">", len(requests)/2), "most requests were not answered")
	checkResends(t, c, requests)
}

// problemCompleted is the statement that an earlier request with the key took effect and its answer is no longer kept.
const problemCompleted event.ProblemKind = "completed"

// checkResends sends every answered action with its key through another node: the answer must be the same, or a
// statement that does not contradict it, and there must be no second effect.
func checkResends(t *testing.T, c *caller, requests []*request) {
	t.Helper()
	same, others := 0, 0
	for _, r := range requests {
		if !r.Action || !r.answered() {
			continue
		}
		before := r.lastAttempt()
		to := c.pick(r)
		s := attempt{to: to.Name, reply: c.send(r, to)}
		r.attempts = append(r.attempts, s)
		switch {
		case s.err != nil:
			t.Errorf("a resend got no answer: %v", r)
		case s.kind == "" && s.text == before.text:
			same++
		case s.kind == event.ProblemUnknown, s.kind == problemCompleted:
			others++
		default:
			t.Errorf("a resend of an answered action got another answer: %v", r)
		}
		if n := c.effects(r); n != 1 {
			t.Errorf("%d effects after a resend: %v", n, r)
		}
	}
	t.Logf("resends of answered actions: %d the same answer, %d true statements", same, others)
	NewWithT(t).Expect(same).To(BeNumerically(">", 0))
}

// testGracefulStop guards against requests and streams that a graceful stop interrupts.
func testGracefulStop(t *testing.T, d *deployment) {
	g := NewWithT(t)
	leaver := d.nodes[7]
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
	var signalled time.Time
	var streams []*stream
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(burstLength / 3)
		streams = openStreams(t, d, leaver)
		signalled = time.Now()
		_ = leaver.cmd.Process.Signal(syscall.SIGTERM)
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
		for _, s := range r.attempts {
			if s.err != nil {
				t.Errorf("a graceful stop broke a connection: %v", r)
			}
		}
	}
	after := 0
	for _, s := range streams {
		g.Expect(s.reply.err).NotTo(HaveOccurred(), "stream on the node that stops")
		g.Expect(answer.Check(s.body, "draft", s.reply.text)).To(Succeed(), "stream on the node that stops: %q", s.reply.text)
		if s.ended.After(signalled) {
			after++
		}
	}
	g.Expect(after).To(BeNumerically(">", 0), "no stream was open at the signal")
	g.Expect(d.waitExit(leaver)).To(Equal(0), leaver.log.tail(10))
	t.Logf("%d requests, %d streams open at the stop, final answers %v", len(requests), after, counts)
	g.Expect(counts[""]).To(BeNumerically(">", len(requests)/2), "most requests were not answered")
	d.startProcess(leaver)
	d.waitReady(leaver)
}

// stream is an answer whose head has arrived.
type stream struct {
	body  []byte
	resp  *http.Response
	reply reply
	ended time.Time
}

// streamTokens is long enough that the streams are still open when the signal comes.
const streamTokens = 120

// openStreams opens streams on one node and returns after the first part of each has arrived.
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

// testSecondSignal guards against a process that a second signal does not end.
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
	g.Expect(broken).To(BeNumerically(">", 0), "the process ended only after its streams")
	d.startProcess(p)
	d.waitReady(p)
}
