package simulation

import (
	"flag"
	"fmt"
	"os"
)

// seedFlag is the seed flag of pgregory.net/rapid. By default rapid uses a new seed in every run.
const seedFlag = "rapid.seed"

// FixSeed sets the seed of rapid unless the command line sets one, so that test runs are reproducible. Call it in
// TestMain.
func FixSeed(seed uint64) {
	flag.Parse()
	f := flag.Lookup(seedFlag)
	if f == nil || f.Value.String() != f.DefValue {
		return
	}
	if err := f.Value.Set(fmt.Sprint(seed)); err != nil {
		fmt.Fprintln(os.Stderr, "set", seedFlag, err)
		os.Exit(2)
	}
}
