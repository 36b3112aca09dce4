package service_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"bluebellflow/lab/answer"
	"bluebellflow/lab/backendapi"
	"bluebellflow/lab/service"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// run sends one call and returns its status, 0 for a broken connection.
func run(r *service.Server, run backendapi.RunRequest) (status int, body string) {
	raw, _ := json.Marshal(run)
	w := httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			status = 0
		}
	}()
	r.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/run", strings.NewReader(string(raw))))
	return w.Code, w.Body.String()
}

// Guards against an oracle that misses an effect or counts one that did not happen.
func TestEffects(t *testing.T) {
	for name, c := range map[string]struct {
		faults      service.Faults
		status      int
		now, second int // effects at once and a second later
	}{
		"fine":       {service.Faults{}, http.StatusOK, 1, 1},
		"rejected":   {service.Faults{RejectRate: 1}, http.StatusServiceUnavailable, 0, 0},
		"failed":     {service.Faults{FailRate: 1}, http.StatusInternalServerError, 0, 0},
		"lost call":  {service.Faults{LostCallRate: 1}, 0, 0, 0},
		"lost after": {service.Faults{LostAnswerRate: 1}, 0, 1, 1},
		"late":       {service.Faults{LateRate: 1, LateMS: 500}, 0, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				ledger := service.NewEffectLog()
				r := service.New("loans-1", "v1", ledger)
				defer r.Close()
				r.SetFaults(c.faults)
				in := []byte(`{"id":1}`)
				status, body := run(r, backendapi.RunRequest{Attempt: "a.1", Stage: "checkout", Key: "k", Input: in})
				g.Expect(status).To(Equal(c.status))
				if status == http.StatusOK {
					g.Expect(answer.Check(in, "checkout", body)).To(Succeed())
				}
				g.Expect(ledger.EffectCount(in)).To(Equal(c.now))
				time.Sleep(time.Second)
				g.Expect(ledger.Effects()["k"]).To(Equal(c.second))
			})
		})
	}
}

// Guards against a second effect on another runner that the oracle does not see.
func TestDoubled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ledger := service.NewEffectLog()
		for _, name := range []string{"one", "two"} {
			r := service.New("loans", "v1", ledger, service.WithServiceTime(time.Millisecond))
			g.Expect(ledger.DuplicateKeys()).To(BeEmpty())
			run(r, backendapi.RunRequest{Attempt: name, Key: "k"})
			r.Close()
		}
		g.Expect(ledger.DuplicateKeys()).To(Equal([]string{"k"}))
	})
}
