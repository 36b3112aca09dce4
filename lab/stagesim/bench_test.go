package stagesim_test

import (
	"testing"
	"time"

	"bluebellflow/lab/stagesim"
)

// BenchmarkLarge simulates a second of a deployment with four times the usual load and servers. The time includes the simulated
// servers.
func BenchmarkLarge(b *testing.B) {
	sim := stagesim.New(1, stagesim.ScaleUp(stagesim.Repairs(), 4))
	sim.Run(10 * time.Second)
	at := 10 * time.Second
	for b.Loop() {
		at += time.Second
		sim.Run(at)
	}
}

// BenchmarkOverload simulates a second of a large deployment with twice the requests that it can serve.
func BenchmarkOverload(b *testing.B) {
	s := stagesim.ScaleUp(stagesim.Repairs(), 4)
	for i := range s.Routes {
		s.Routes[i].Rate *= 2
	}
	sim := stagesim.New(1, s)
	sim.Run(10 * time.Second)
	at := 10 * time.Second
	for b.Loop() {
		at += time.Second
		sim.Run(at)
	}
}
