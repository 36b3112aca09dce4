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
	problem string // kind of problem, empty for the given body
	retry   string
	body    string
	effect  int // effects that the service has had by then
}

// scriptedNode answers the sends of one request in turn and is its own oracle.
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

// answer returns the answer to the next send.
func (s *scriptedNode) answer(key string) scriptStep {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.steps[min(len(s.keys), len(s.steps)-1)]
	s.keys = append(s.keys, key)
	return at
}

func (s *scriptedNode) RoundTrip(r *http.Request) (*http.Response, error) {
	at := s.answer(r.Header.Get("Idempotency-Key"))
	select {
	case <-time.After(at.after):
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	s.mu.Lock()
	s.effects = at.effect
	s.mu.Unlock()
	resp := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(at.body))}
	if strings.HasPrefix(at.body, "event:") {
		resp.Header.Set("Content-Type", "text/event-stream")
	}
	if at.problem != "" {
		resp.StatusCode = http.StatusServiceUnavailable
		resp.Header.Set("Content-Type", "application/problem+json")
		resp.Header.Set("Retry-After", at.retry)
		resp.Body = io.NopCloser(strings.NewReader(fmt.Sprintf(`{"type":"https://example/problems/%s"}`, at.problem)))
	}
	return resp, nil
}

// Guards against an outcome that is counted in the wrong class and against violations that go unseen.
func TestOutcomes(t *testing.T) {
	body := []byte(`{"id":1}`)
	src := answer.Source{Body: body, Stage: "book"}
	good := fmt.Sprintf(`{"output":%q,"end":true}`, src.Token(0, 1))
	stream := fmt.Sprintf("event: part\ndata: {\"text\":%q}\n\n", src.Token(0, 1))
	foreign := fmt.Sprintf(`{"output":%q,"end":true}`, answer.Source{Body: []byte("x"), Stage: "book"}.Token(0, 1))
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
		"wrong":           {[]scriptStep{{body: foreign, effect: 1}}, load.InTime, 1, []load.Violation{load.WrongAnswer}},
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

// Guards against a generator that waits for slow answers, or that measures from the moment of sending.
func TestOpenLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &scriptedNode{steps: []scriptStep{{after: time.Second, problem: "failed"}}}
		call := load.Call{Pipeline: "tag", Deadline: 3 * time.Second}
		plan := make([]load.Arrival, 50)
		for i := range plan {
			plan[i] = load.Arrival{Call: call, Index: i, At: time.Duration(i) * 10 * time.Millisecond}
		}
		begin := time.Now()
		records := load.New(slowBalancer{s}, load.WithTransport(s)).Run(t.Context(), plan)
		g.Expect(time.Since(begin)).To(Equal(490*time.Millisecond + 1100*time.Millisecond))
		g.Expect(load.Summarize(records).Latency.Max).To(BeZero(), "failed requests have no latency")
		g.Expect(records[7].Latency).To(Equal(1100 * time.Millisecond))
	})
}

// slowBalancer is a balancer that delays each send.
type slowBalancer struct{ *scriptedNode }

func (s slowBalancer) Pick() (netip.AddrPort, bool) {
	time.Sleep(100 * time.Millisecond)
	return s.scriptedNode.Pick()
}

// Guards against plans that differ between policies, so that their results could not be compared.
func TestPlan(t *testing.T) {
	g := NewWithT(t)
	d := testbed.Kitab()
	shape := load.Shape{Length: 20 * time.Second, Rate: 20, Bursts: []load.Burst{
		{At: 5 * time.Second, Length: 2 * time.Second, Rate: 200},
	}}
	one, err := load.Plan(7, shape, load.Mix(d), d.Workspaces)
	g.Expect(err).NotTo(HaveOccurred())
	two, _ := load.Plan(7, shape, load.Mix(d), d.Workspaces)
	g.Expect(one).To(Equal(two))
	in, bodies := 0, map[string]bool{}
	for _, a := range one {
		if a.At >= 5*time.Second && a.At < 7*time.Second {
			in++
		}
		g.Expect(a.Key != "").To(Equal(a.Pipeline == "loan" || a.Pipeline == "renewal"))
		bodies[string(a.Body)] = true
	}
	g.Expect(bodies).To(HaveLen(len(one)), "an effect belongs to one request")
	g.Expect(in).To(BeNumerically("~", 440, 60))
	_, err = load.Plan(7, load.Shape{Length: time.Hour}, load.Mix(d), d.Workspaces)
	g.Expect(err).To(HaveOccurred())
}
