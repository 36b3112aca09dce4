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

// run sends one call and returns its status, or 0 for a broken connection.
func run(s *service.Server, req backendapi.RunRequest) (status int, body string) {
	raw, _ := json.Marshal(req)
	w := httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			status = 0
		}
	}()
	s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/run", strings.NewReader(string(raw))))
	return w.Code, w.Body.String()
}

// TestEffects guards against an effect log that misses an effect or counts one that did not happen.
func TestEffects(t *testing.T) {
	for name, c := range map[string]struct {
		faults     service.Faults
		status     int
		now, later int // effects at the time of the response and a second later
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
				effects := service.NewEffectLog()
				s := service.New("loans-1", "v1", effects)
				defer s.Close()
				s.SetFaults(c.faults)
				in := []byte(`{"id":1}`)
				status, body := run(s, backendapi.RunRequest{Attempt: "a.1", Stage: "checkout", Key: "k", Input: in})
				g.Expect(status).To(Equal(c.status))
				if status == http.StatusOK {
					g.Expect(answer.Check(in, "checkout", body)).To(Succeed())
				}
				g.Expect(effects.EffectCount(in)).To(Equal(c.now))
				time.Sleep(time.Second)
				g.Expect(effects.Effects()["k"]).To(Equal(c.later))
			})
		})
	}
}

// TestDuplicateKeys guards against missing a duplicate effect that happens on another server of the same service.
func TestDuplicateKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		effects := service.NewEffectLog()
		for _, name := range []string{"one", "two"} {
			s := service.New("loans", "v1", effects, service.WithServiceTime(time.Millisecond))
			g.Expect(effects.DuplicateKeys()).To(BeEmpty())
			run(s, backendapi.RunRequest{Attempt: name, Key: "k"})
			s.Close()
		}
		g.Expect(effects.DuplicateKeys()).To(Equal([]string{"k"}))
	})
}
