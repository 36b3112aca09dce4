package embed

import (
	"encoding/json"
	"fmt"
	"time"

	"bluebellflow/core/id"
	"bluebellflow/lab/engine"
	"bluebellflow/lab/testbed"
)

// Limits of plain services and of workspaces; docs/lab.md lists them as assumptions.
const (
	warmServiceLimit = 16 // concurrent calls, as many as the stand-in accepts
	coldServiceLimit = 4
	pipelineLimit    = 512 // concurrent requests of one workspace and pipeline on a node
)

// The following types are the JSON form of the settings tree.
type (
	tree struct {
		Root       root                       `json:"root"`
		Pools      map[id.Pool]pool           `json:"pools"`
		Regions    map[id.Region]region       `json:"regions"`
		Pipelines  map[id.Pipeline]pipeline   `json:"pipelines"`
		Workspaces map[id.Workspace]workspace `json:"workspaces"`
	}
	root struct {
		Deadline string  `json:"deadline"`
		Weight   int     `json:"weight"`
		Limit    int     `json:"limit"`
		Retries  float64 `json:"retries"`
	}
	pool struct {
		Cold   int  `json:"cold"`
		Warm   int  `json:"warm"`
		Fences bool `json:"fences,omitempty"`
	}
	region struct {
		Domains map[id.FailureDomain]struct{} `json:"domains"`
	}
	pipeline struct {
		Deadline string  `json:"deadline"`
		Stages   []stage `json:"stages"`
	}
	stage struct {
		Name       string  `json:"name"`
		Kind       string  `json:"kind"`
		Pool       id.Pool `json:"pool"`
		Idempotent bool    `json:"idempotent,omitempty"`
		Stream     bool    `json:"stream,omitempty"`
	}
	workspace struct {
		Weight int `json:"weight"`
	}
)

// stageKinds maps the kind of an engine to the kind of its stage in the settings.
var stageKinds = map[engine.Kind]string{
	engine.Encode: "encode", engine.Retrieve: "retrieve", engine.Rerank: "rerank", engine.Generate: "generate",
}

// Settings returns the settings tree of a deployment as JSON.
func Settings(d testbed.Description) ([]byte, error) {
	t := tree{
		Root:  root{Deadline: "8s", Weight: 1, Limit: pipelineLimit, Retries: 0.2},
		Pools: map[id.Pool]pool{}, Regions: map[id.Region]region{d.Region: {Domains: map[id.FailureDomain]struct{}{}}},
		Pipelines: map[id.Pipeline]pipeline{}, Workspaces: map[id.Workspace]workspace{},
	}
	for _, name := range d.Domains {
		t.Regions[d.Region].Domains[name] = struct{}{}
	}
	for _, p := range d.Pools {
		t.Pools[p.Name] = poolOf(p)
	}
	for _, p := range d.Pipelines {
		entry, err := pipelineOf(d, p)
		if err != nil {
			return nil, err
		}
		t.Pipelines[p.Name] = entry
	}
	for _, w := range d.Workspaces {
		t.Workspaces[w.Name] = workspace{Weight: w.Share}
	}
	return json.MarshalIndent(t, "", "  ")
}

// poolOf returns the settings of a pool; the limits of a pool of model runners come from the profile of their kind.
func poolOf(p testbed.Pool) pool {
	if p.IsService() {
		return pool{Cold: coldServiceLimit, Warm: warmServiceLimit}
	}
	profile := engine.ProfileOf(p.Kind)
	return pool{Cold: profile.ColdLimit, Warm: profile.MaxBatch, Fences: p.Fenced}
}

// pipelineOf returns the settings of a pipeline; a stage on a service pool is an action.
func pipelineOf(d testbed.Description, p testbed.Pipeline) (pipeline, error) {
	out := pipeline{Deadline: (time.Duration(p.DeadlineMS) * time.Millisecond).String()}
	for _, s := range p.Stages {
		stagePool, ok := d.Pool(s.Pool)
		if !ok {
			return pipeline{}, fmt.Errorf("pipeline %s: unknown pool %q", p.Name, s.Pool)
		}
		entry := stage{Name: s.Name, Kind: "action", Pool: s.Pool, Stream: s.Stream}
		if stagePool.IsService() {
			entry.Idempotent = s.Idempotent
		} else {
			entry.Kind = stageKinds[stagePool.Kind]
		}
		out.Stages = append(out.Stages, entry)
	}
	return out, nil
}
