package runtime

import (
	"runtime/metrics"
	"syscall"
	"time"
)

// ProcessStats is what the whole process uses; nodes that share a process share these figures.
type ProcessStats struct {
	CPU        time.Duration `json:"cpu_ns"`       // processor time since the process began
	Memory     uint64        `json:"memory_bytes"` // mapped by the Go runtime and not returned to the system
	Live       uint64        `json:"live_bytes"`   // heap objects
	Goroutines uint64        `json:"goroutines"`
}

const (
	memoryTotal    = "/memory/classes/total:bytes"
	memoryReleased = "/memory/classes/heap/released:bytes"
	memoryObjects  = "/memory/classes/heap/objects:bytes"
	goroutines     = "/sched/goroutines:goroutines"
)

// ReadProcessStats reads the figures of this process.
func ReadProcessStats() ProcessStats {
	var usage syscall.Rusage
	var p ProcessStats
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		p.CPU = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	samples := []metrics.Sample{{Name: memoryTotal}, {Name: memoryReleased}, {Name: memoryObjects}, {Name: goroutines}}
	metrics.Read(samples)
	p.Memory = samples[0].Value.Uint64() - samples[1].Value.Uint64()
	p.Live = samples[2].Value.Uint64()
	p.Goroutines = samples[3].Value.Uint64()
	return p
}
