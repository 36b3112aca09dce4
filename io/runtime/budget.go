package runtime

import (
	"expvar"
	"runtime/debug"
	"sync/atomic"
	"time"

	"bluebellflow/io/membudget"
)

// releaseDelay is the time from when most of the budget is unused until the memory is returned to the system. It also bounds the
// rate of these releases, because each runs a garbage collection.
const releaseDelay = 2 * time.Second

// NewCallerBudget returns the budget for callers. After most of it was in use and is unused again, memory is returned to the system,
// which the runtime would do only minutes later.
func NewCallerBudget(vars *expvar.Map, plan membudget.Plan) *membudget.Budget {
	b := membudget.New(plan.Callers)
	var scheduled atomic.Bool
	b.OnUnused(func() {
		if scheduled.Swap(true) {
			return
		}
		time.AfterFunc(releaseDelay, func() {
			scheduled.Store(false)
			debug.FreeOSMemory()
		})
	})
	vars.Set("callers_bytes", expvar.Func(func() any { return plan.Callers - b.Left() }))
	return b
}
