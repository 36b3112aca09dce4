package stagesim_test

import (
	"testing"
	"time"

	"bluebellflow/lab/stagesim"
)

// BenchmarkLarge plays a second of a deployment with four times the usual load; the time includes the simulated servers.
func BenchmarkLarge(b *testing.B) {
	w := stagesim.New(1, stagesim.ScaleUp(stagesim.Repairs(), 4))
	w.Run(10 * time.Second)
	at := 10 * time.Second
	for b.Loop() {
		at += time.Second
		w.Run(at)
	}
}

// BenchmarkOverload plays a second of a large deployment with twice the requests that it can serve.
func BenchmarkOverload(b *testing.B) {
	s := stagesim.ScaleUp(stagesim.Repairs(), 4)
	for i := range s.Routes {
		s.Routes[i].Rate *= 2
	}
	w := stagesim.New(1, s)
	w.Run(10 * time.Second)
	at := 10 * time.Second
	for b.Loop() {
		at += time.Second
		w.Run(at)
	}
}
