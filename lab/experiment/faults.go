package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/tailscale/hujson"

	"bluebellflow/lab/testbed"
)

// Event records a fault or an operator action that was carried out.
type Event struct {
	At     float64 `json:"at"`   // seconds from the start of the run
	Took   float64 `json:"took"` // duration in seconds
	Kind   Kind    `json:"kind"`
	Target string  `json:"target,omitempty"`
	Status int     `json:"status,omitempty"` // HTTP status of an admin call
	Answer string  `json:"answer,omitempty"`
	Error  string  `json:"error,omitempty"`
}

// maxAnswerBytes is how much of the answer to an admin call an event keeps.
const maxAnswerBytes = 2000

// faultScheduler injects the faults of an experiment at their scheduled times and records them as events.
type faultScheduler struct {
	faults []Fault
	env    *testbed.Environment
	fleet  Fleet

	mu     sync.Mutex
	events []Event
}

// run injects every fault at its time and returns when all are done. Faults run concurrently, so that a slow one does
// not delay the next.
func (s *faultScheduler) run(ctx context.Context, start time.Time) {
	var group sync.WaitGroup
	for _, f := range s.faults {
		group.Go(func() {
			if !sleepUntil(ctx, start.Add(f.At.Duration())) {
				return
			}
			at := time.Now()
			ev := Event{At: at.Sub(start).Seconds(), Kind: f.Kind, Target: f.target()}
			if err := s.inject(ctx, f, &ev); err != nil {
				ev.Error = err.Error()
			}
			ev.Took = time.Since(at).Seconds()
			s.mu.Lock()
			defer s.mu.Unlock()
			s.events = append(s.events, ev)
		})
	}
	group.Wait()
}

// target describes what the fault applies to, for Event.Target.
func (f Fault) target() string {
	switch {
	case f.Path != "":
		return f.Method + " " + f.Path
	case f.Pool != "":
		return string(f.Pool)
	case f.Domain != "":
		return string(f.Domain)
	case f.Version != "":
		return string(f.Version)
	}
	return ""
}

func (s *faultScheduler) inject(ctx context.Context, f Fault, ev *Event) error {
	switch f.Kind {
	case PlatformFault:
		s.env.Platform.SetFaults(*f.Platform)
	case EngineFault, ServiceFault, Restart, ResetWarmup, Leave, Remove:
		return s.injectServers(f)
	case AddServers:
		return s.addServers(f)
	case VersionDefect:
		s.env.SetDefect(f.Version, *f.Defect)
	case Cut:
		s.env.Partition.Cut(f.Domain)
		return s.fleet.SetCut(f.Domain, true)
	case Heal:
		s.env.Partition.Heal(f.Domain)
		return s.fleet.SetCut(f.Domain, false)
	case KillNode, StopNode:
		return s.endNode(ctx, f)
	case AdminCall:
		return s.callAdmin(ctx, f, ev)
	}
	return nil
}

// injectServers applies a fault to the servers that it selects.
func (s *faultScheduler) injectServers(f Fault) error {
	left := f.Servers
	var errs []error
	for _, server := range s.env.Servers(f.Pool) {
		if f.Domain != "" && server.VM.FailureDomain != f.Domain {
			continue
		}
		if f.Servers > 0 && left == 0 {
			break
		}
		left--
		errs = append(errs, s.injectServer(f, server))
	}
	return errors.Join(errs...)
}

func (s *faultScheduler) injectServer(f Fault, server *testbed.Server) error {
	switch f.Kind {
	case EngineFault:
		server.Engine.SetFaults(*f.Engine)
	case ServiceFault:
		server.Service.SetFaults(*f.Service)
	case Restart:
		if server.Engine != nil {
			server.Engine.Restart()
		} else {
			server.Service.Restart()
		}
	case ResetWarmup:
		server.Engine.ResetWarmup()
	case Leave:
		return s.env.Leave(server.VMName(), true)
	case Remove:
		return s.env.Remove(server.VMName())
	case PlatformFault, AddServers, VersionDefect, Cut, Heal, KillNode, StopNode, AdminCall:
	}
	return nil
}

// addServers starts servers, distributed round-robin over the failure domains.
func (s *faultScheduler) addServers(f Fault) error {
	domains := s.env.Description.Domains
	for i := range f.Servers {
		if _, err := s.env.Add(f.Pool, domains[i%len(domains)], f.Version, f.Warm); err != nil {
			return err
		}
	}
	return nil
}

// endNode kills or stops the node of the fault.
func (s *faultScheduler) endNode(ctx context.Context, f Fault) error {
	nodes := s.fleet.Nodes()
	if f.Node >= len(nodes) {
		return fmt.Errorf("node index %d is out of range: the fleet has %d nodes", f.Node, len(nodes))
	}
	if f.Kind == KillNode {
		return s.fleet.Kill(nodes[f.Node])
	}
	return s.fleet.Stop(ctx, nodes[f.Node])
}

// relativeTime matches a time relative to the fault, such as "@+20s".
var relativeTime = regexp.MustCompile(`@\+([0-9a-z.]+)`)

// callAdmin sends the admin request of the fault. An edit reads the path, replaces the text and writes the result back.
func (s *faultScheduler) callAdmin(ctx context.Context, f Fault, ev *Event) error {
	method, body := f.Method, resolveTimes(f.Body, time.Now())
	if f.Edit != nil {
		status, text, err := s.fleet.Admin(ctx, http.MethodGet, f.Path, nil)
		if err != nil || status != http.StatusOK {
			return errors.Join(err, fmt.Errorf("read the text to edit: status %d", status))
		}
		if text, err = mergeParts(text); err != nil {
			return fmt.Errorf("read the text to edit: %w", err)
		}
		if !bytes.Contains(text, []byte(f.Edit.Find)) {
			return fmt.Errorf("edit: %q not found in the current text", f.Edit.Find)
		}
		method, body = http.MethodPut, bytes.ReplaceAll(text, []byte(f.Edit.Find), []byte(f.Edit.Replace))
	}
	status, answer, err := s.fleet.Admin(ctx, method, f.Path, body)
	ev.Status = status
	ev.Answer = string(answer[:min(len(answer), maxAnswerBytes)])
	return err
}

// mergeParts merges the parts of a configuration, as the admin API returns them, into one JSON object.
func mergeParts(answer []byte) ([]byte, error) {
	var configuration struct {
		Parts map[string][]byte `json:"parts"`
	}
	if err := json.Unmarshal(answer, &configuration); err != nil {
		return nil, err
	}
	sections := map[string]map[string]json.RawMessage{}
	for _, name := range slices.Sorted(maps.Keys(configuration.Parts)) {
		plain, err := hujson.Standardize(configuration.Parts[name])
		if err != nil {
			return nil, fmt.Errorf("part %s: %w", name, err)
		}
		var entries map[string]json.RawMessage
		if err := json.Unmarshal(plain, &entries); err != nil {
			return nil, fmt.Errorf("part %s: %w", name, err)
		}
		section, _, _ := strings.Cut(name, "/") // the workspaces are split over several parts
		if section == "domains" {
			section = "regions" // this part lists the domains below their regions
		}
		if sections[section] == nil {
			sections[section] = map[string]json.RawMessage{}
		}
		maps.Copy(sections[section], entries)
	}
	return json.Marshal(sections)
}

// resolveTimes replaces relative times such as "@+20s" with absolute ones.
func resolveTimes(body []byte, now time.Time) []byte {
	return relativeTime.ReplaceAllFunc(body, func(m []byte) []byte {
		d, err := time.ParseDuration(string(m[2:]))
		if err != nil {
			return m
		}
		return []byte(now.Add(d).UTC().Format(time.RFC3339Nano))
	})
}

// sleepUntil waits until t and reports whether it was reached before ctx was done.
func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
