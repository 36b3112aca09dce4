package testbed

import (
	"errors"
	"fmt"

	"bluebellflow/core/id"
	"bluebellflow/lab/engine"
)

// Description is a deployment: its failure domains, back ends and pipelines.
type Description struct {
	Name       string
	Region     id.Region
	Domains    []id.FailureDomain
	Nodes      int // entry VMs
	Pools      []Pool
	Pipelines  []Pipeline
	Workspaces []Workspace
}

// Pool is a set of back ends that do the same work, spread over the failure domains in turn.
type Pool struct {
	Name    id.Pool
	Kind    engine.Kind // empty for a plain service
	Servers int
	Version id.Version
	Fenced  bool // the servers refuse orders with an old fence
	Cold    int  // servers that start cold; the others are warm
}

// IsService reports whether the pool is a plain service.
func (p Pool) IsService() bool { return p.Kind == "" }

// Pipeline is a sequence of stages with the deadline that its callers expect.
type Pipeline struct {
	Name       id.Pipeline
	DeadlineMS int
	Stages     []Stage
}

// Stage is one stage of a pipeline.
type Stage struct {
	Name       string
	Pool       id.Pool
	Idempotent bool
	Stream     bool
}

// HasAction reports whether a stage of the pipeline may run at most once.
func (p Pipeline) HasAction() bool {
	for _, s := range p.Stages {
		if !s.Idempotent {
			return true
		}
	}
	return false
}

// Workspace is a customer with its share of the callers.
type Workspace struct {
	Name  id.Workspace
	Share int
}

// Pool returns the pool with the given name.
func (d Description) Pool(name id.Pool) (Pool, bool) {
	for _, p := range d.Pools {
		if p.Name == name {
			return p, true
		}
	}
	return Pool{}, false
}

// Pipeline returns the pipeline with the given name.
func (d Description) Pipeline(name id.Pipeline) (Pipeline, bool) {
	for _, p := range d.Pipelines {
		if p.Name == name {
			return p, true
		}
	}
	return Pipeline{}, false
}

// Check reports everything that is wrong with the description.
func (d Description) Check() error {
	var problems []error
	if len(d.Domains) == 0 {
		problems = append(problems, errors.New("no failure domains"))
	}
	for _, p := range d.Pools {
		if p.Servers < 1 {
			problems = append(problems, fmt.Errorf("pool %s: no servers", p.Name))
		}
		if p.Cold < 0 || p.Cold > p.Servers {
			problems = append(problems, fmt.Errorf("pool %s: %d of %d servers cold", p.Name, p.Cold, p.Servers))
		}
	}
	for _, p := range d.Pipelines {
		for _, s := range p.Stages {
			if _, ok := d.Pool(s.Pool); !ok {
				problems = append(problems, fmt.Errorf("pipeline %s, stage %s: unknown pool %q", p.Name, s.Name, s.Pool))
			}
		}
	}
	return errors.Join(problems...)
}

// initialVersion is the version that all back ends start with.
const initialVersion id.Version = "v1"

// stage names of the model stages and their pools, which both deployments share.
var (
	encode   = Stage{Name: "encode", Pool: "encoder", Idempotent: true}
	retrieve = Stage{Name: "retrieve", Pool: "retriever", Idempotent: true}
	rerank   = Stage{Name: "rerank", Pool: "reranker", Idempotent: true}
	draft    = Stage{Name: "draft", Pool: "model", Idempotent: true, Stream: true}
)

// serviceStage is a stage of a plain service.
func serviceStage(name string, pool id.Pool, idempotent bool) Stage {
	return Stage{Name: name, Pool: pool, Idempotent: idempotent}
}

// modelPools are the pools of the model stages with the given number of model runners.
func modelPools(runners int) []Pool {
	return []Pool{
		{Name: "model", Kind: engine.Generate, Servers: runners, Version: initialVersion, Fenced: true},
		{Name: "encoder", Kind: engine.Encode, Servers: 3, Version: initialVersion},
		{Name: "retriever", Kind: engine.Retrieve, Servers: 3, Version: initialVersion},
		{Name: "reranker", Kind: engine.Rerank, Servers: 3, Version: initialVersion},
	}
}

// Kitab describes the deployment of Kitab Rahhal Systems.
func Kitab() Description {
	return Description{
		Name:    "kitab",
		Region:  "tn-south",
		Domains: []id.FailureDomain{"south-a", "south-b", "south-c"},
		Nodes:   9,
		Pools: append(modelPools(10),
			Pool{Name: "loans", Servers: 3, Version: initialVersion},
			Pool{Name: "timetable", Servers: 5, Version: initialVersion},
			Pool{Name: "cards", Servers: 5, Version: initialVersion},
			Pool{Name: "fines", Servers: 5, Version: initialVersion}),
		Pipelines: []Pipeline{
			{Name: "reading-list", DeadlineMS: 8000, Stages: []Stage{encode, retrieve, rerank, draft}},
			{Name: "answer", DeadlineMS: 5000, Stages: []Stage{serviceStage("hours", "timetable", true), encode, retrieve, draft}},
			{Name: "tag", DeadlineMS: 3000, Stages: []Stage{encode, draft}},
			{Name: "loan", DeadlineMS: 3000, Stages: []Stage{serviceStage("fines", "fines", true), serviceStage("checkout", "loans", false)}},
			{Name: "renewal", DeadlineMS: 3000, Stages: []Stage{serviceStage("renew", "cards", false)}},
		},
		Workspaces: []Workspace{
			{"gafsa", 40}, {"tozeur", 30}, {"kebili", 15}, {"tataouine", 10}, {"medenine", 5},
		},
	}
}

// Vordach describes the deployment of Vordach Markisendienst GmbH.
func Vordach() Description {
	return Description{
		Name:    "vordach",
		Region:  "at-east",
		Domains: []id.FailureDomain{"wien-nord", "wien-sued", "linz"},
		Nodes:   8,
		Pools: append(modelPools(20),
			Pool{Name: "bookings", Servers: 3, Version: initialVersion},
			Pool{Name: "parts", Servers: 5, Version: initialVersion},
			Pool{Name: "billing", Servers: 5, Version: initialVersion},
			Pool{Name: "customers", Servers: 5, Version: initialVersion}),
		Pipelines: []Pipeline{
			{Name: "quote", DeadlineMS: 8000, Stages: []Stage{serviceStage("parts", "parts", true), encode, retrieve, rerank, draft}},
			{Name: "answer", DeadlineMS: 5000, Stages: []Stage{encode, retrieve, draft}},
			{Name: "tag", DeadlineMS: 3000, Stages: []Stage{encode, draft}},
			{Name: "booking", DeadlineMS: 3000, Stages: []Stage{serviceStage("customer", "customers", true), serviceStage("book", "bookings", false)}},
			{Name: "deposit", DeadlineMS: 3000, Stages: []Stage{serviceStage("charge", "billing", false)}},
			{Name: "status", DeadlineMS: 2000, Stages: []Stage{serviceStage("look-up", "bookings", true)}},
		},
		Workspaces: []Workspace{
			{"vordach", 40}, {"schattler", 30}, {"brunnhofer", 15}, {"alpensegel", 10}, {"markt", 5},
		},
	}
}

// DescriptionByName returns the description with the given name.
func DescriptionByName(name string) (Description, error) {
	switch name {
	case "kitab":
		return Kitab(), nil
	case "vordach":
		return Vordach(), nil
	}
	return Description{}, fmt.Errorf("unknown deployment %q: want kitab or vordach", name)
}
