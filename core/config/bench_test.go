package config_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"bluebellflow/core/config"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/simulation"
)

// BenchmarkMemory reports the heap that the configuration of 21,000 workspaces takes on one node, and the size of the
// head.
func BenchmarkMemory(b *testing.B) {
	src := &strings.Builder{}
	src.WriteString(`{"workspaces":{`)
	for i := range 21_000 {
		fmt.Fprintf(src, `"customer-%05d":{"weight":%d,"limit":%d},`, i, 1+i%9, 16+i%50)
	}
	src.WriteString("}}")
	for b.Loop() {
		w := simulation.New(1)
		w.Add(event.Self{Node: "n0"}, func(self event.Self) simulation.Stepper { return stepper{config.New(self)} })
		w.Inject("n0", config.Apply{Source: []byte(src.String())}, 0)
		w.Run(10 * time.Second)
		heapBytes := func() uint64 {
			var m runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m)
			return m.HeapAlloc
		}
		b.ReportMetric(float64(len(w.Platform.Objects["config/head"].Value)), "head-bytes")
		s := w.Stepper("n0").(stepper)
		if s.Revision() != 1 {
			b.Fatal("not committed")
		}
		with := heapBytes()
		w.Kill("n0")
		s.Config = nil
		w.Add(event.Self{Node: "n0"}, func(self event.Self) simulation.Stepper { return stepper{config.New(self)} })
		b.ReportMetric(float64(with-heapBytes())/(1<<20), "held-MB")
	}
}

// BenchmarkStep measures the handling of a message with a known revision, which is by far the most frequent case.
func BenchmarkStep(b *testing.B) {
	c := newCluster(1)
	c.world.Run(time.Second)
	c.apply("n0", config.Apply{})
	c.world.Run(time.Second)
	s := c.world.Stepper("n1").(stepper)
	ev := event.Receive{From: "n2", Revision: id.Revision(1), Body: config.Have{Revision: 1}}
	b.ReportAllocs()
	for b.Loop() {
		s.Step(c.world.Now, ev)
	}
}
