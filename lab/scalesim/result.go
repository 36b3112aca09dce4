package scalesim

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"bluebellflow/core/id"
)

// Order is an order that the service has accepted.
type Order struct {
	At              time.Duration
	Node            id.Node
	Domain          id.FailureDomain
	Before, Desired int
}

// Result is the outcome of a run.
type Result struct {
	Pattern       string
	Orders        []Order
	Log           []string // decisions with their inputs
	Faults        []string // orders that violate a rule
	Requests      int
	Refused       int           // because no slot became free
	Broken        int           // because their server crashed
	Delayed       int           // that waited for 100 ms and more for a slot
	LongestWait   time.Duration // of those that got a slot
	Writes        int           // to the store
	ServerSeconds float64       // billed
	FixedSeconds  float64       // billed if the number of servers never changed
	Final         []int         // servers in each failure domain at the end
}

// longWait is the wait for a slot from which a request counts as delayed.
const longWait = 100 * time.Millisecond

func (r *Result) wait(d time.Duration) {
	r.LongestWait = max(r.LongestWait, d)
	if d >= longWait {
		r.Delayed++
	}
}

// Raised returns the number of servers by which orders raised the number of servers.
func (r Result) Raised() int { return r.changed(1) }

// Lowered returns the number of servers that were given up.
func (r Result) Lowered() int { return r.changed(-1) }

func (r Result) changed(sign int) int {
	n := 0
	for _, o := range r.Orders {
		n += max(0, sign*(o.Desired-o.Before))
	}
	return n
}

// Cost returns the bill as a multiple of that of a fixed number of servers.
func (r Result) Cost() float64 { return r.ServerSeconds / r.FixedSeconds }

// Write writes the decisions and a table of the results.
func Write(out io.Writer, results []Result) error {
	for _, r := range results {
		for _, line := range slices.Concat(r.Log, r.Faults) {
			if _, err := fmt.Fprintln(out, r.Pattern, line); err != nil {
				return err
			}
		}
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, err := fmt.Fprintln(t, "pattern\torders\traised\tlowered\tservers\trequests\trefused\tbroken\tdelayed\tlongest wait\twrites\tbill\t")
	for _, r := range results {
		_, next := fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%v\t%d\t%d\t%d\t%d\t%s\t%d\t%.3f\t\n", r.Pattern, len(r.Orders), r.Raised(), r.Lowered(), r.Final,
			r.Requests, r.Refused, r.Broken, r.Delayed, r.LongestWait.Round(time.Millisecond), r.Writes, r.Cost())
		err = cmp.Or(err, next)
	}
	return cmp.Or(err, t.Flush())
}
