package simulation

import (
	"flag"
	"fmt"
	"os"
)

// seedFlag is the flag of pgregory.net/rapid; its default is a new seed for every run.
const seedFlag = "rapid.seed"

// FixSeed makes rapid draw from a fixed seed unless the command line names one, so that a run of the
// tests can be repeated. Call it in TestMain.
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
