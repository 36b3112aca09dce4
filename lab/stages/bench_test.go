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
