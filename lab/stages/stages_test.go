package stages_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/batch"
	"bluebellflow/lab/stages"
)

const span = 30 * time.Second

func play(s stages.Setup, trouble func(*stages.World)) *stages.World {
	w := stages.New(1, s)
	if trouble != nil {
		trouble(w)
	}
	w.Run(span)
	return w
}

// inAim returns the share of all requests that met their objective.
func inAim(w *stages.World) float64 {
	asked, good := 0, 0
	for _, s := range w.Scores {
		asked += s.InAim + s.Late + s.Failed
		good += s.InAim
	}
	return float64(good) / float64(asked)
}

func show(t *testing.T, name string, w *stages.World) {
	t.Logf("%s: in aim %.3f, %d calls, %.1f pieces a call, %.0f MB crossed", name, inAim(w), w.Calls, float64(w.Pieces)/float64(w.Calls), float64(w.Crossed)/1e6)
	for route, s := range w.Scores {
		t.Logf("  %s %+v", route, *s)
	}
}

func TestTable(t *testing.T) {
	for name, setup := range map[string]func() stages.Setup{"library": stages.Library, "repairs": stages.Repairs} {
		s := setup()
		show(t, name+" pooled by slack", play(s, nil))
		s.Options = []batch.Option{batch.Fifo()}
		show(t, name+" pooled fifo", play(s, nil))
		s.Options = nil
		s.Nodes = 9
		show(t, name+" each node", play(s, nil))
		s.Nodes = 1
		burst := func(w *stages.World) {
			w.Burst(s.Routes[1].Name, 2.4, 8*time.Second, 14*time.Second)
			w.Crash(s.Pools[0].Name, 2, 9*time.Second, 4*time.Second, false)
		}
		show(t, name+" burst and crash", play(s, burst))
	}
	NewWithT(t).Expect(true).To(BeTrue())
}
