package engine_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"bluebellflow/core/id"
	"bluebellflow/lab/answer"
	"bluebellflow/lab/backendapi"
	"bluebellflow/lab/engine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// reply is the recorded response to one request and whether the handler reset the connection.
type reply struct {
	*httptest.ResponseRecorder
	connReset bool
	took      time.Duration
}

// send serves one request and records the response.
func send(e *engine.Engine, method, path string, body any) (r reply) {
	raw, _ := json.Marshal(body)
	r.ResponseRecorder = httptest.NewRecorder()
	start := time.Now()
	defer func() {
		r.took = time.Since(start)
		if v := recover(); v != nil {
			err, ok := v.(error)
			r.connReset = ok && errors.Is(err, http.ErrAbortHandler)
		}
	}()
	e.Handler().ServeHTTP(r, httptest.NewRequest(method, path, strings.NewReader(string(raw))))
	return r
}

func run(e *engine.Engine, r backendapi.RunRequest) reply {
	return send(e, http.MethodPost, "/v1/run", r)
}

func input(n, tokens int) []byte { return fmt.Appendf(nil, `{"id":%d,"tokens":%d}`, n, tokens) }

// runConcurrently sends n attempts at the same time; change may adjust each of them.
func runConcurrently(e *engine.Engine, n int, change func(i int, r *backendapi.RunRequest)) []reply {
	replies := make([]reply, n)
	var group sync.WaitGroup
	for i := range n {
		r := backendapi.RunRequest{Attempt: fmt.Sprintf("a.%d", i), Stage: "draft", Input: input(i, 8)}
		if change != nil {
			change(i, &r)
		}
		group.Go(func() { replies[i] = run(e, r) })
	}
	group.Wait()
	return replies
}

// runInBubble runs a subtest with a new engine in a synctest bubble.
func runInBubble(t *testing.T, name string, opts []engine.Option, check func(g *WithT, e *engine.Engine)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			e := engine.New("m", "v1", opts...)
			defer e.Close()
			check(NewWithT(t), e)
		})
	})
}

var warm = []engine.Option{engine.WithWarm()}

// streamText joins the parts of a stream and reports whether the end event arrived.
func streamText(r reply) (string, bool) {
	var out strings.Builder
	end := false
	for line := range strings.Lines(r.Body.String()) {
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			var p backendapi.Part
			_ = json.Unmarshal([]byte(data), &p)
			out.WriteString(p.Text)
		}
		end = end || strings.HasPrefix(line, "event: end")
	}
	return out.String(), end
}

// TestStream guards against streams that differ between engines, which prevents resuming a stream on another engine.
func TestStream(t *testing.T) {
	runInBubble(t, "resumes on another engine", warm, func(g *WithT, e *engine.Engine) {
		other := engine.New("n", "v1", engine.WithWarm())
		defer other.Close()
		in := input(1, 10)
		full, end := streamText(run(e, backendapi.RunRequest{Attempt: "a.1", Stage: "draft", Input: in, Stream: true}))
		g.Expect(end).To(BeTrue())
		g.Expect(answer.Check(in, "draft", full)).To(Succeed())
		rest, _ := streamText(run(other, backendapi.RunRequest{Attempt: "a.2", Stage: "draft", Input: in, Stream: true, Offset: 6}))
		g.Expect(full).To(HaveSuffix(rest))
		g.Expect(strings.Fields(rest)).To(HaveLen(4))
	})
	runInBubble(t, "breaks without an end", warm, func(g *WithT, e *engine.Engine) {
		e.SetFaults(engine.Faults{BreakRate: 1})
		r := run(e, backendapi.RunRequest{Attempt: "a.1", Stage: "draft", Input: input(1, 10), Stream: true})
		_, end := streamText(r)
		g.Expect(r.connReset).To(BeTrue())
		g.Expect(end).To(BeFalse())
		g.Expect(e.Counts().WastedTokens).To(Equal(1))
	})
}

// TestStepTimes guards against steps that do not take longer in larger batches, a cache that does not shorten the time
// to the first token, and a queue that ignores priorities.
func TestStepTimes(t *testing.T) {
	runInBubble(t, "batch", warm, func(g *WithT, e *engine.Engine) {
		alone := runConcurrently(e, 1, nil)[0].took
		together := runConcurrently(e, 16, func(i int, r *backendapi.RunRequest) { r.Attempt = fmt.Sprintf("b.%d", i) })[0].took
		g.Expect(alone).To(Equal(9 * 14600 * time.Microsecond)) // one prefill step and eight tokens
		g.Expect(together).To(BeNumerically(">", alone*3/2))
		g.Expect(e.Counts().LargestBatch).To(Equal(16))
	})
	runInBubble(t, "cache", warm, func(g *WithT, e *engine.Engine) {
		r := backendapi.RunRequest{Attempt: "a.1", Input: fmt.Appendf(nil, `{"pad":"%4100s","tokens":1}`, "")}
		cold := run(e, r).took
		a := send(e, http.MethodGet, "/v1/cache?after=0", nil).Body.String()
		g.Expect(a).To(ContainSubstring(`"added":[]`), "events become visible after a delay")
		// The cached prefix of 4096 bytes saves 16 prefill steps of 256 bytes.
		g.Expect(run(e, r).took).To(Equal(cold - 16*14600*time.Microsecond))
		time.Sleep(time.Second)
		a = send(e, http.MethodGet, "/v1/cache?after=0", nil).Body.String()
		g.Expect(a).NotTo(ContainSubstring(`"added":[]`))
	})
	runInBubble(t, "priority", warm, func(g *WithT, e *engine.Engine) {
		replies := runConcurrently(e, 64, func(i int, r *backendapi.RunRequest) { r.Priority = i % 2 * 7 })
		var urgent, other time.Duration
		for i, r := range replies {
			if i%2 == 0 {
				urgent += r.took
			} else {
				other += r.took
			}
		}
		g.Expect(urgent).To(BeNumerically("<", other))
		g.Expect(run(e, backendapi.RunRequest{Attempt: "z", Input: input(1, 1)}).Code).To(Equal(http.StatusOK))
	})
}

// TestColdEngine guards against a cold engine that survives an overload or never becomes warm, and against ignoring
// CrashMarker.
func TestColdEngine(t *testing.T) {
	runInBubble(t, "overload", nil, func(g *WithT, e *engine.Engine) {
		start := e.Start()
		for _, r := range runConcurrently(e, 3, nil) {
			g.Expect(r.connReset).To(BeTrue())
		}
		g.Expect(e.Start()).NotTo(Equal(start))
		g.Expect(e.Counts().Overload).To(Equal(1))
		g.Expect(run(e, backendapi.RunRequest{Attempt: "b"}).connReset).To(BeTrue(), "the engine is restarting")
		time.Sleep(time.Second)
		g.Expect(run(e, backendapi.RunRequest{Attempt: "c"}).Code).To(Equal(http.StatusOK))
	})
	runInBubble(t, "warm-up", nil, func(g *WithT, e *engine.Engine) {
		for n := 2; n < 32; n *= 2 {
			g.Expect(e.Load().Warm).To(BeFalse())
			runConcurrently(e, n, nil)
		}
		time.Sleep(time.Second)
		g.Expect(e.Load().Warm).To(BeTrue())
		g.Expect(e.Counts().Crashes).To(BeZero())
	})
	runInBubble(t, "marked input", warm, func(g *WithT, e *engine.Engine) {
		r := run(e, backendapi.RunRequest{Attempt: "a", Input: []byte(engine.CrashMarker)})
		g.Expect(r.connReset).To(BeTrue())
		g.Expect(e.Start()).To(Equal(id.Start("m-2")))
		g.Expect(e.Load().Warm).To(BeTrue(), "the report lags")
		time.Sleep(time.Second)
		g.Expect(e.Load().Warm).To(BeFalse())
	})
}

// TestDefects guards against defects without an effect, and failures of versions without a defect.
func TestDefects(t *testing.T) {
	for _, c := range []struct {
		defect engine.Defect
		failed int
	}{
		{engine.Defect{}, 0},
		{engine.Defect{Mode: engine.FailsAlways}, 8},
		{engine.Defect{Mode: engine.FailsLate, After: 8}, 0},
		{engine.Defect{Mode: engine.FailsUnderLoad, Above: 8}, 0},
		{engine.Defect{Mode: engine.FailsOnMatch, Match: `"id":3`}, 1},
		{engine.Defect{Mode: engine.SlowTokens, Factor: 4}, 0},
	} {
		runInBubble(t, fmt.Sprintf("%+v", c.defect), warm, func(g *WithT, e *engine.Engine) {
			baseline := runConcurrently(e, 8, nil)
			e.SetDefect("v1", c.defect)
			replies := runConcurrently(e, 8, func(i int, r *backendapi.RunRequest) { r.Attempt = fmt.Sprintf("b.%d", i) })
			failed := 0
			for _, r := range replies {
				if r.Code == http.StatusInternalServerError {
					failed++
				}
			}
			if c.defect.Mode == engine.FailsLate {
				g.Expect(failed).To(Equal(8), "from the ninth attempt on")
				return
			}
			g.Expect(failed).To(Equal(c.failed))
			if c.defect.Mode == engine.SlowTokens {
				g.Expect(replies[0].took).To(BeNumerically(">", 2*baseline[0].took))
			}
		})
	}
}

// TestFailsUnderLoad guards against a FailsUnderLoad defect that shows in small batches or never.
func TestFailsUnderLoad(t *testing.T) {
	runInBubble(t, "load", warm, func(g *WithT, e *engine.Engine) {
		e.SetDefect("v1", engine.Defect{Mode: engine.FailsUnderLoad, Above: 4})
		runConcurrently(e, 4, nil)
		g.Expect(e.Counts().Failed).To(BeZero())
		runConcurrently(e, 32, func(i int, r *backendapi.RunRequest) { r.Attempt = fmt.Sprintf("b.%d", i) })
		// The first step may contain any number of the attempts; those that reach their first token in a small batch succeed.
		g.Expect(e.Counts().Failed).To(BeNumerically(">", 16))
	})
}

// TestOrders guards against an engine that checks fences without WithFences or ignores them with it, and against serving
// a version before it is loaded.
func TestOrders(t *testing.T) {
	order := func(e *engine.Engine, fence uint64) int {
		return send(e, http.MethodPost, "/v1/orders", backendapi.Order{Kind: "load", Version: "v2", Fence: fence}).Code
	}
	runInBubble(t, "ignores fences", warm, func(g *WithT, e *engine.Engine) {
		g.Expect(order(e, 5)).To(Equal(http.StatusOK))
		g.Expect(order(e, 4)).To(Equal(http.StatusOK))
		g.Expect(e.Counts().StaleOrders).To(Equal(1))
	})
	runInBubble(t, "checks fences", []engine.Option{engine.WithFences()}, func(g *WithT, e *engine.Engine) {
		g.Expect(order(e, 5)).To(Equal(http.StatusOK))
		g.Expect(order(e, 4)).To(Equal(http.StatusConflict))
		g.Expect(run(e, backendapi.RunRequest{Attempt: "a", Version: "v2"}).Code).To(Equal(http.StatusServiceUnavailable))
		time.Sleep(time.Second)
		g.Expect(run(e, backendapi.RunRequest{Attempt: "a", Version: "v2"}).Code).To(Equal(http.StatusOK))
	})
}

// TestCancelAndLeave guards against attempts that continue after their cancellation, and against leaving without the
// header that announces it.
func TestCancelAndLeave(t *testing.T) {
	runInBubble(t, "cancel", warm, func(g *WithT, e *engine.Engine) {
		go func() {
			time.Sleep(100 * time.Millisecond)
			send(e, http.MethodDelete, "/v1/run/a", nil)
		}()
		r := run(e, backendapi.RunRequest{Attempt: "a", Input: input(1, 1000)})
		g.Expect(r.took).To(Equal(100 * time.Millisecond))
		g.Expect(e.Counts().Cancelled).To(Equal(1))
		g.Expect(e.Counts().WastedTokens).To(Equal(5), "six steps, one of them prefill")
	})
	runInBubble(t, "leave", warm, func(g *WithT, e *engine.Engine) {
		e.Leave(false)
		r := run(e, backendapi.RunRequest{Attempt: "a"})
		g.Expect(r.Code).To(Equal(http.StatusOK))
		g.Expect(r.Header().Get(backendapi.LeavingHeader)).To(Equal("1"))
		time.Sleep(4 * time.Second)
		run(e, backendapi.RunRequest{Attempt: "b"})
		g.Expect(e.Counts().LeavingArrivals).To(Equal(1))
	})
}
