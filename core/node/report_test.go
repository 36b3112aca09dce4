package node_test

import (
	"fmt"
	"strings"
	"sync"
)

// cellCount counts the cells of the matrix that one field of the table summarizes.
type cellCount struct{ run, failed int }

func (c cellCount) String() string {
	switch {
	case c.run == 0:
		return ""
	case c.failed > 0:
		return fmt.Sprintf("**%d of %d**", c.failed, c.run)
	}
	return fmt.Sprint(c.run)
}

// results collects the outcomes of the cells.
type results struct {
	mu      sync.Mutex
	reached map[int]int          // by step, cells whose first fault was injected
	cells   map[int]int          // by step, cells that ran
	single  map[[2]int]cellCount // by step and fault
	pairs   map[[2]int]cellCount // by two faults
	failed  []string
}

func newResults() *results {
	return &results{reached: map[int]int{}, cells: map[int]int{}, single: map[[2]int]cellCount{}, pairs: map[[2]int]cellCount{}}
}

func (r *results) add(c cell, reached bool, violations []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cells[c.step]++
	if reached {
		r.reached[c.step]++
	}
	field, key := r.single, [2]int{c.step, c.fault}
	if c.second >= 0 {
		field, key = r.pairs, [2]int{c.fault, c.second}
	}
	t := field[key]
	t.run++
	if len(violations) > 0 {
		t.failed++
		r.failed = append(r.failed, c.String()+": "+violations[0])
	}
	field[key] = t
}

// unreached returns the steps that no cell reached; their cells test nothing.
func (r *results) unreached() []string {
	var out []string
	for i, s := range allSteps() {
		if r.cells[i] > 0 && r.reached[i] == 0 {
			out = append(out, s.name)
		}
	}
	return out
}

// table returns the matrix as Markdown tables.
func (r *results) table() string {
	var b strings.Builder
	total, reached := 0, 0
	for i, n := range r.cells {
		total += n
		reached += r.reached[i]
	}
	fmt.Fprintf(&b, "%d cells, %d failed. In %d cells the step of the first fault occurred as often as the cell requires.\n\n", total, len(r.failed), reached)
	b.WriteString("## Faults\n\n")
	for j, f := range faults {
		fmt.Fprintf(&b, "%d. %s\n", j+1, f.name)
	}
	b.WriteString("\n## One fault at each step\n\nEach field gives the number of cells that passed, or the failed ones in bold. The columns are the faults.\n\n")
	tableHeader(&b, "step")
	for i, s := range allSteps() {
		fmt.Fprintf(&b, "| %s |", s.name)
		for j := range faults {
			fmt.Fprintf(&b, " %s |", r.single[[2]int{i, j}])
		}
		b.WriteString("\n")
	}
	b.WriteString("\n## Pairs of faults\n\nThe first fault begins at each step in turn, the second at another one.\n\n")
	tableHeader(&b, "first fault")
	for j, f := range faults {
		fmt.Fprintf(&b, "| %d %s |", j+1, f.name)
		for k := range faults {
			fmt.Fprintf(&b, " %s |", r.pairs[[2]int{j, k}])
		}
		b.WriteString("\n")
	}
	b.WriteString("\n## Cases that the oracles allow\n\n")
	for _, e := range allowedCases {
		fmt.Fprintf(&b, "- %s: %s\n", e.name, e.why)
	}
	return b.String()
}

func tableHeader(b *strings.Builder, first string) {
	fmt.Fprintf(b, "| %s |", first)
	for j := range faults {
		fmt.Fprintf(b, " %d |", j+1)
	}
	b.WriteString("\n|---|" + strings.Repeat("---|", len(faults)) + "\n")
}

// allowedCases lists the cases that the oracles do not count as violations, with the code that allows them.
var allowedCases = []struct{ name, why string }{
	{"Frozen process (simulation.World.NextAwake)", "a frozen process cannot receive or answer a request; its deadlines count from the time at which it resumes."},
	{"Killed process (simulation.Callers.checkDeadline)", "a killed process cannot answer; its callers see a broken connection and send again with the same key."},
	{"Concurrent sends of one key (simulation.Callers.checkRefused)", "a refusal may precede a run of another send whose caller is still waiting, because that caller gets its own answer."},
	{"Decision before a pause (simulation.Callers.checkRefused)", "a process that is frozen between a decision and the answer cannot reverse the decision."},
	{"Unknown start of a server (simulation.Server.excess)", "an attempt does not count as overload if the node that sent it had not handled any report, answer or message of the server's current start at the dispatch."},
	{"Unreachable node (node_test.oracle.reachable)", "a node that was cut off from the other domains, frozen or not running cannot know of a drain; the check applies again 3 s after that has ended."},
	{"Resumed node (node_test.oracle.justResumed)", "a resumed process acts on its old state until it has handled the events that arrived during its pause."},
	{"Two sides of a partition (node_test.system.maxCrashes)", "two sides that cannot reach each other cannot exchange their counts of crashes, so that each has its own limit."},
	{"Repeated streams (simulation.Callers.isRecordedResult)", "the answer to a repeated key is the recorded result of the action; text that was streamed before it is not recorded."},
}
