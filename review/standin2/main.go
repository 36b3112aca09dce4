// Command standin2 plays one case of the review: a store, runners and clients in this process, and gateways as processes of
// their own.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	failed = 2 // the case could not run
)

// longestRun is the time after which a case is ended as one that could not run.
const longestRun = 118 * time.Second

// cases plays each case, with or without its disruption, and returns whether the rule held.
var cases = map[string]func(e *environment, trouble bool) (bool, error){
	"poison":   playPoison,
	"unframed": playUnframed,
	"keys":     playKeys,
	"writer":   playWriter,
	"trials":   playTrials,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(failed)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(play func(*environment, bool) (bool, error), record string, trouble bool) int {
	e, err := newEnvironment(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer e.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
		case <-time.After(longestRun):
		}
		e.close()
		os.Exit(failed)
	}()
	ok, err := play(e, trouble)
	switch {
	case err != nil:
		e.rec.add("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return failed
	case !ok:
		e.rec.add("the rule was broken")
		fmt.Println("the rule was broken")
		return broken
	}
	e.rec.add("the rule held")
	fmt.Println("the rule held")
	return held
}

// environment holds what a case has started.
type environment struct {
	rec      *recorder
	dir      string
	store    *store
	gateways []*gateway
}

func newEnvironment(record string) (*environment, error) {
	rec, err := newRecorder(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	return &environment{rec: rec, dir: dir, store: s}, err
}

// startGateways starts count processes, one in each zone in turn, and waits until they are ready.
func (e *environment) startGateways(count int) error {
	for i := range count {
		g, err := newGateway(e.dir, fmt.Sprintf("front-%d", i), zones[i%len(zones)], e.store.addr)
		if err != nil {
			return err
		}
		e.gateways = append(e.gateways, g)
		if err := g.start(); err != nil {
			return err
		}
	}
	return awaitReady(e.gateways)
}

var zones = []string{"a", "b", "c"}

// close ends all processes and removes their files, unless KEEP is set.
func (e *environment) close() {
	for _, g := range e.gateways {
		g.stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(e.dir)
	} else {
		fmt.Println("kept", e.dir)
	}
}
