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

// BenchmarkMemory reports what one node holds at 21,000 workspaces, and the size of the head.
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
		held := func() uint64 {
			var m runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m)
			return m.HeapAlloc
		}
		b.ReportMetric(float64(len(w.Platform.Objects["config/head"].Value)), "head-bytes")
		c := w.Stepper("n0").(stepper)
		if c.Revision() != 1 {
			b.Fatal("not committed")
		}
		with := held()
		w.Kill("n0")
		c.Config = nil
		w.Add(event.Self{Node: "n0"}, func(self event.Self) simulation.Stepper { return stepper{config.New(self)} })
		b.ReportMetric(float64(with-held())/(1<<20), "held-MB")
	}
}

// BenchmarkStep measures a message that tells nothing new, which is what nearly all messages are.
func BenchmarkStep(b *testing.B) {
	f := newCluster(1)
	f.w.Run(time.Second)
	f.apply("n0", config.Apply{})
	f.w.Run(time.Second)
	c := f.w.Stepper("n1").(stepper)
	ev := event.Receive{From: "n2", Revision: id.Revision(1), Body: config.Have{Revision: 1}}
	b.ReportAllocs()
	for b.Loop() {
		c.Step(f.w.Now, ev)
	}
}
