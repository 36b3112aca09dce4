package embed

import (
	"encoding/json"
	"fmt"
	"time"

	"bluebellflow/core/id"
	"bluebellflow/lab/engine"
	"bluebellflow/lab/testbed"
)

// Limits of plain service runners and of workspaces; docs/lab.md names them as assumptions.
const (
	warmServiceLimit = 16 // calls at once, as the stand-in takes them
	coldServiceLimit = 4
	pipelineLimit    = 512 // requests of a workspace and pipeline that a node runs at once
)

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

var stageKinds = map[engine.Kind]string{
	engine.Encode: "encode", engine.Retrieve: "retrieve", engine.Rerank: "rerank", engine.Generate: "generate",
}

// Settings returns the settings tree of a deployment.
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
		made, err := pipelineOf(d, p)
		if err != nil {
			return nil, err
		}
		t.Pipelines[p.Name] = made
	}
	for _, w := range d.Workspaces {
		t.Workspaces[w.Name] = workspace{Weight: w.Share}
	}
	return json.MarshalIndent(t, "", "  ")
}

func poolOf(p testbed.Pool) pool {
	if p.IsService() {
		return pool{Cold: coldServiceLimit, Warm: warmServiceLimit}
	}
	profile := engine.ProfileOf(p.Kind)
	return pool{Cold: profile.ColdLimit, Warm: profile.MaxBatch, Fences: p.Fenced}
}

func pipelineOf(d testbed.Description, p testbed.Pipeline) (pipeline, error) {
	out := pipeline{Deadline: (time.Duration(p.DeadlineMS) * time.Millisecond).String()}
	for _, s := range p.Stages {
		served, ok := d.Pool(s.Pool)
		if !ok {
			return pipeline{}, fmt.Errorf("pipeline %s: unknown pool %q", p.Name, s.Pool)
		}
		made := stage{Name: s.Name, Kind: "action", Pool: s.Pool, Stream: s.Stream}
		if served.IsService() {
			made.Idempotent = s.Idempotent
		} else {
			made.Kind = stageKinds[served.Kind]
		}
		out.Stages = append(out.Stages, made)
	}
	return out, nil
}
