package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"bluebellflow/core/canary"
	"bluebellflow/core/domain"
	"bluebellflow/core/id"
	"bluebellflow/core/node"
)

// statusReport is a node's response to the status command.
type statusReport struct{ node.Report }

// writeStatus writes a report in human-readable form. With --json, or if the response is not a report, it writes the
// plain value.
func (e *env) writeStatus(raw json.RawMessage) error {
	var r statusReport
	if e.json || json.Unmarshal(raw, &r) != nil || r.Node == "" {
		return e.write(raw)
	}
	out := tabwriter.NewWriter(e.streams.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(out, "%s in %s: revision %d, %s, %d requests open\n",
		clean(r.Node), clean(r.Domain), r.Revision, readiness(r.Ready, false), r.Open)
	if r.Rejected > 0 {
		_, _ = fmt.Fprintf(out, "revision %d is not valid on this node\n", r.Rejected)
	}
	if len(r.Silent) > 0 {
		_, _ = fmt.Fprintf(out, "no response from %d of %d nodes: %s\n", len(r.Silent), len(r.Nodes), strings.Join(cleanAll(r.Silent), ", "))
	}
	r.writeDomains(out)
	r.writeRollouts(out)
	return out.Flush()
}

// writeDomains writes the state of each failure domain, followed by its nodes.
func (r *statusReport) writeDomains(out io.Writer) {
	records := map[id.FailureDomain]domain.Record{}
	nodes := map[id.FailureDomain][]node.PeerReport{}
	for _, d := range r.Domains {
		records[d.Domain] = d
		nodes[d.Domain] = nil
	}
	for _, n := range r.Nodes {
		nodes[n.Domain] = append(nodes[n.Domain], n)
	}
	_, _ = fmt.Fprintln(out, "\nDOMAIN / NODE\tSTATE\tREVISION\tOPEN\tEPOCH\tBY\tSINCE")
	for _, name := range slices.Sorted(maps.Keys(nodes)) {
		writeDomain(out, name, records[name])
		slices.SortFunc(nodes[name], func(a, b node.PeerReport) int { return strings.Compare(string(a.Node), string(b.Node)) })
		for _, n := range nodes[name] {
			state, revision, open := "silent", "-", "-"
			if n.Replied {
				state = readiness(n.Ready, n.Leaving)
				revision, open = fmt.Sprint(n.Revision), fmt.Sprint(n.Open)
			}
			_, _ = fmt.Fprintf(out, "  %s\t%s\t%s\t%s\t\t\t\n", clean(n.Node), state, revision, open)
		}
	}
}

func writeDomain(out io.Writer, name id.FailureDomain, r domain.Record) {
	state, by, since := "active", "-", "-"
	if r.Drained {
		state = "drained"
	}
	if r.Provisional {
		state += ", not committed"
	}
	if r.Epoch > 0 {
		by, since = clean(r.By), time.UnixMilli(r.At).UTC().Format(time.RFC3339)
	}
	_, _ = fmt.Fprintf(out, "%s\t%s\t\t\t%d\t%s\t%s\n", clean(name), state, r.Epoch, by, since)
}

// writeRollouts writes each rollout with its traffic share and the evidence on this node.
func (r *statusReport) writeRollouts(out io.Writer) {
	if len(r.Rollouts) == 0 {
		return
	}
	_, _ = fmt.Fprintln(out, "\nMOVE\tPOOL\tVERSIONS\tSTATE\tSHARE\tHERE\tEVIDENCE\tFINISH BY")
	for _, m := range r.Rollouts {
		_, _ = fmt.Fprintf(out, "%s\t%s\t%s to %s\t%s\t%s\t%s\t%s\t%s\n", clean(m.Name), clean(m.Pool), clean(m.From), clean(m.To),
			clean(m.State), percent(m.Share), percent(m.Applied), evidence(m), m.Deadline.UTC().Format(time.RFC3339))
	}
}

func evidence(m canary.Status) string {
	text := "incomplete"
	if m.Complete {
		text = "complete"
	}
	if m.Stopped {
		text = "stopped"
	}
	text += fmt.Sprintf(", score %.1f", m.Score)
	if m.Reason != "" {
		text += ": " + clean(m.Reason)
	}
	return text
}

func readiness(ready, leaving bool) string {
	switch {
	case leaving:
		return "leaving"
	case ready:
		return "ready"
	}
	return "not ready"
}

// percent formats thousandths as a percentage.
func percent(share int) string {
	return strconv.FormatFloat(float64(share)/10, 'f', -1, 64) + "%"
}

// clean replaces the control characters in text from another process.
func clean[T ~string](text T) string { return strings.Map(replaceControl, string(text)) }

func cleanAll[T ~string](list []T) []string {
	out := make([]string, 0, len(list))
	for _, text := range list {
		out = append(out, clean(text))
	}
	return out
}
