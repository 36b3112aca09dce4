package node_test

import (
	"os"
	"runtime/debug"
	"testing"

	"bluebellflow/core/prove"
)

// gcPercent trades memory for time: the worlds are small and make much garbage.
const gcPercent = 400

func TestMain(m *testing.M) {
	prove.FixSeed(20260101)
	debug.SetGCPercent(gcPercent)
	os.Exit(m.Run())
}
