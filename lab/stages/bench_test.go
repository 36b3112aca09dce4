package stages_test

import (
	"testing"
	"time"

	"bluebellflow/lab/stages"
)

// BenchmarkLarge plays a second of a deployment with four times the usual load; the time includes the simulated servers.
func BenchmarkLarge(b *testing.B) {
	w := stages.New(1, stages.Large(stages.Repairs(), 4))
	w.Run(10 * time.Second)
	at := 10 * time.Second
	for b.Loop() {
		at += time.Second
		w.Run(at)
	}
}

// BenchmarkOverload plays a second of a large deployment with twice the requests that it can serve.
func BenchmarkOverload(b *testing.B) {
	s := stages.Large(stages.Repairs(), 4)
	for i := range s.Routes {
		s.Routes[i].Rate *= 2
	}
	w := stages.New(1, s)
	w.Run(10 * time.Second)
	at := 10 * time.Second
	for b.Loop() {
		at += time.Second
		w.Run(at)
	}
}
