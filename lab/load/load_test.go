package load_test

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"bluebellflow/lab/answer"
	"bluebellflow/lab/load"
	"bluebellflow/lab/testbed"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// scriptStep is one scripted answer of a node.
type scriptStep struct {
	after   time.Duration
	problem string // kind of problem; empty to answer with body
	retry   string // Retry-After of a problem
	body    string
	effect  int // effects counted once the answer is sent
}

// scriptedNode is a balancer, transport and oracle that answers the sends of one request with scripted steps in order.
type scriptedNode struct {
	steps []scriptStep

	mu      sync.Mutex
	keys    []string
	effects int
}

func (s *scriptedNode) Pick() (netip.AddrPort, bool) {
	return netip.MustParseAddrPort("127.0.0.1:1"), true
}

func (s *scriptedNode) EffectCount(load.Arrival) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.effects
}

// answer returns the step for the next send and records its key.
func (s *scriptedNode) answer(key string) scriptStep {
	s.mu.Lock()
	defer s.mu.Unlock()
	step := s.steps[min(len(s.keys), len(s.steps)-1)]
	s.keys = append(s.keys, key)
	return step
}

func (s *scriptedNode) RoundTrip(r *http.Request) (*http.Response, error) {
	step := s.answer(r.Header.Get("Idempotency-Key"))
	select {
	case <-time.After(step.after):
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	s.mu.Lock()
	s.effects = step.effect
	s.mu.Unlock()
	resp := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(step.body))}
	if strings.HasPrefix(step.body, "event:") {
		resp.Header.Set("Content-Type", "text/event-stream")
	}
	if step.problem != "" {
		resp.StatusCode = http.StatusServiceUnavailable
		resp.Header.Set("Content-Type", "application/problem+json")
		resp.Header.Set("Retry-After", step.retry)
		resp.Body = io.NopCloser(strings.NewReader(fmt.Sprintf(`{"type":"https://example/problems/%s"}`, step.problem)))
	}
	return resp, nil
}

// TestOutcomes guards against outcomes counted in the wrong class, and against undetected violations.
func TestOutcomes(t *testing.T) {
	body := []byte(`{"id":1}`)
	src := answer.Source{Body: body, Stage: "book"}
	good := fmt.Sprintf(`{"output":%q,"end":true}`, src.Token(0, 1))
	stream := fmt.Sprintf("event: part\ndata: {\"text\":%q}\n\n", src.Token(0, 1))
	otherAnswer := fmt.Sprintf(`{"output":%q,"end":true}`, answer.Source{Body: []byte("x"), Stage: "book"}.Token(0, 1))
	for name, c := range map[string]struct {
		steps      []scriptStep
		class      load.Class
		sends      int
		violations []load.Violation
	}{
		"whole":           {[]scriptStep{{body: good, effect: 1}}, load.InTime, 1, nil},
		"whole stream":    {[]scriptStep{{body: stream + "event: end\ndata: {}\n\n", effect: 1}}, load.InTime, 1, nil},
		"late":            {[]scriptStep{{after: 3500 * time.Millisecond, body: good, effect: 1}}, load.Late, 1, nil},
		"no end, then ok": {[]scriptStep{{body: stream, effect: 1}, {body: good, effect: 1}}, load.InTime, 2, nil},
		"refused":         {[]scriptStep{{problem: "refused"}}, load.Refused, 1, nil},
		"refused, again":  {[]scriptStep{{problem: "refused", retry: "1"}, {body: good, effect: 1}}, load.InTime, 2, nil},
		"unknown, again":  {[]scriptStep{{problem: "unknown", retry: "1", effect: 1}, {body: good, effect: 1}}, load.InTime, 2, nil},
		"unknown":         {[]scriptStep{{problem: "unknown", retry: "4"}}, load.Unknown, 4, nil},
		"failed":          {[]scriptStep{{problem: "failed"}}, load.Failed, 1, nil},
		"deadline":        {[]scriptStep{{problem: "deadline"}}, load.Late, 1, nil},
		"doubled":         {[]scriptStep{{body: good, effect: 2}}, load.InTime, 1, []load.Violation{load.DuplicateEffect}},
		"lost":            {[]scriptStep{{body: good}}, load.InTime, 1, []load.Violation{load.LostEffect}},
		"wrong":           {[]scriptStep{{body: otherAnswer, effect: 1}}, load.InTime, 1, []load.Violation{load.WrongAnswer}},
		"false not run":   {[]scriptStep{{problem: "refused", effect: 1}}, load.Refused, 1, []load.Violation{load.FalseNotRun}},
		"false, then ok": {
			[]scriptStep{{problem: "refused", retry: "1", effect: 1}, {body: good, effect: 1}},
			load.InTime, 2,
			[]load.Violation{load.FalseNotRun},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := &scriptedNode{steps: c.steps}
				r := load.New(s, load.WithOracle(s), load.WithTransport(s))
				call := load.Call{Pipeline: "booking", Action: true, Stage: "book", Deadline: 3 * time.Second}
				records := r.Run(t.Context(), []load.Arrival{{Call: call, Body: body, Key: "k"}})
				g.Expect(records).To(HaveLen(1))
				g.Expect(records[0].Class).To(Equal(c.class), records[0].Detail)
				g.Expect(records[0].Sends).To(Equal(c.sends))
				g.Expect(records[0].Violations).To(Equal(c.violations))
				for _, key := range s.keys {
					g.Expect(key).To(Equal("k"), "every send carries the same key")
				}
			})
		})
	}
}

// TestOpenLoop guards against a generator that waits for slow answers, or that measures latency from the time of
// sending.
func TestOpenLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &scriptedNode{steps: []scriptStep{{after: time.Second, problem: "failed"}}}
		call := load.Call{Pipeline: "tag", Deadline: 3 * time.Second}
		plan := make([]load.Arrival, 50)
		for i := range plan {
			plan[i] = load.Arrival{Call: call, Index: i, At: time.Duration(i) * 10 * time.Millisecond}
		}
		start := time.Now()
		records := load.New(slowBalancer{s}, load.WithTransport(s)).Run(t.Context(), plan)
		g.Expect(time.Since(start)).To(Equal(490*time.Millisecond + 1100*time.Millisecond))
		g.Expect(load.Summarize(records).Latency.Max).To(BeZero(), "failed requests have no latency")
		g.Expect(records[7].Latency).To(Equal(1100 * time.Millisecond))
	})
}

// slowBalancer delays each send by 100 ms.
type slowBalancer struct{ *scriptedNode }

func (s slowBalancer) Pick() (netip.AddrPort, bool) {
	time.Sleep(100 * time.Millisecond)
	return s.scriptedNode.Pick()
}

// TestPlan guards against plans that differ for the same seed, which makes the results of policies incomparable.
func TestPlan(t *testing.T) {
	g := NewWithT(t)
	d := testbed.Kitab()
	shape := load.Shape{Length: 20 * time.Second, Rate: 20, Bursts: []load.Burst{
		{At: 5 * time.Second, Length: 2 * time.Second, Rate: 200},
	}}
	first, err := load.Plan(7, shape, load.Mix(d), d.Workspaces)
	g.Expect(err).NotTo(HaveOccurred())
	second, _ := load.Plan(7, shape, load.Mix(d), d.Workspaces)
	g.Expect(first).To(Equal(second))
	inBurst, bodies := 0, map[string]bool{}
	for _, a := range first {
		if a.At >= 5*time.Second && a.At < 7*time.Second {
			inBurst++
		}
		g.Expect(a.Key != "").To(Equal(a.Pipeline == "loan" || a.Pipeline == "renewal"))
		bodies[string(a.Body)] = true
	}
	g.Expect(bodies).To(HaveLen(len(first)), "an effect is attributed to its request by the body")
	g.Expect(inBurst).To(BeNumerically("~", 440, 60))
	_, err = load.Plan(7, load.Shape{Length: time.Hour}, load.Mix(d), d.Workspaces)
	g.Expect(err).To(HaveOccurred())
}
