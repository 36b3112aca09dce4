// Command review plays a case: it starts gateways with stand-ins of the platform, the runners and the consumers, brings about
// the disruption of the case unless TROUBLE=0, and checks a rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	if len(os.Args) != 4 {
		fail("usage: review CASE PROGRAM RECORD")
	}
	play, known := map[string]func(*world, bool) verdict{
		"entry": playEntry, "silent": playSilent, "cut": playCut, "herd": playHerd, "leave": playLeave,
		"failed": playFailed, "orders": playOrders, "load": playLoad, "part": playPart, "stages": playStages, "grey": playGrey,
	}[os.Args[1]]
	if !known {
		fail("no case %q", os.Args[1])
	}
	w := newWorld(os.Args[2], os.Args[3])
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		w.close()
		os.Exit(2)
	}()
	v := play(w, os.Getenv("TROUBLE") != "0")
	w.rec.log("verdict: broken=%v: %s", v.broken, v.text)
	keep(w)
	w.close()
	fmt.Println(v.text)
	switch {
	case v.invalid:
		os.Exit(2)
	case v.broken:
		os.Exit(1)
	}
}

// verdict is the outcome of a check.
type verdict struct {
	broken  bool
	invalid bool // the case could not run as planned
	text    string
}
