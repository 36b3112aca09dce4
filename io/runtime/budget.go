package runtime

import (
	"expvar"
	"runtime/debug"
	"sync/atomic"
	"time"

	"bluebellflow/io/membudget"
)

// releaseDelay is the time between the end of a crowd and the release of its memory, so that there is at most one release in
// this time.
const releaseDelay = 2 * time.Second

// NewCallerBudget returns the budget for callers. When a crowd has gone, the memory that it took is returned to the system: the
// runtime would do that only minutes later.
func NewCallerBudget(vars *expvar.Map, plan membudget.Plan) *membudget.Budget {
	b := membudget.New(plan.Callers)
	var waiting atomic.Bool
	b.OnUnused(func() {
		if waiting.Swap(true) {
			return
		}
		time.AfterFunc(releaseDelay, func() {
			waiting.Store(false)
			debug.FreeOSMemory()
		})
	})
	vars.Set("callers_bytes", expvar.Func(func() any { return plan.Callers - b.Left() }))
	return b
}
