package node_test

import (
	"flag"
	"os"
	"runtime/debug"
	"testing"

	"bluebellflow/core/simulation"
)

// gcPercent trades memory for time: the worlds are small and make much garbage.
const gcPercent = 400

// fuzzChecks is the number of schedules of the stateful fuzz test, each of which takes a good minute of virtual time.
const fuzzChecks = "40"

func TestMain(m *testing.M) {
	simulation.FixSeed(20260101)
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = f.Value.Set(fuzzChecks)
	}
	debug.SetGCPercent(gcPercent)
	os.Exit(m.Run())
}
