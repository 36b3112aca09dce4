package settings

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bluebellflow/core/id"
)

// bucketCount is the number of parts into which workspaces are hashed. Every value of a uint8 is a bucket.
const bucketCount = 256

type (
	workspace struct {
		parent id.Workspace
		values
	}
	pipeline struct {
		parent id.Pipeline
		stages []Stage // nil if inherited; a timeout of 0 stands for the deadline
		values
	}
	failureDomain struct {
		region id.Region
		values
	}
)

// Tree is a complete and validated settings tree.
type Tree struct {
	root       values
	pools      map[id.Pool]Pool
	pipelines  map[id.Pipeline]*pipeline
	regions    map[id.Region]*values
	domains    map[id.FailureDomain]*failureDomain
	workspaces [bucketCount]map[id.Workspace]*workspace
	parts      map[string]part
}

// Empty returns a tree that sets no values and has no pools, pipelines, regions or workspaces.
func Empty() *Tree { return &Tree{parts: map[string]part{}} }

// NotFoundError reports a name or key that does not exist in the settings.
type NotFoundError struct {
	Kind string // "workspace", "pipeline", "domain", "key" or "sample"
	Name string
}

// Error returns a message with the kind and the name.
func (e NotFoundError) Error() string { return fmt.Sprintf("no %s %q in the settings", e.Kind, e.Name) }

// Origin is a level of the tree that can set a value.
type Origin struct {
	Kind string `json:"kind"` // "workspace", "pipeline", "domain", "region", "root" or "built-in"
	Name string `json:"name,omitempty"`
}

// String returns the kind and the name.
func (o Origin) String() string {
	if o.Name == "" {
		return o.Kind
	}
	return o.Kind + " " + o.Name
}

// Explanation is an effective value and the level that sets it.
type Explanation struct {
	Key   string   `json:"key"`
	Value string   `json:"value"`
	From  Origin   `json:"from"`
	Path  []Origin `json:"path"` // levels that were searched, in lookup order; ends with From
}

// level is one level in the lookup order.
type level struct {
	kind, name string
	values     *values
}

func bucketOf(ws id.Workspace) uint8 { return uint8(xxhash.Sum64String(string(ws))) }

func (t *Tree) workspace(ws id.Workspace) (*workspace, bool) {
	w, ok := t.workspaces[bucketOf(ws)][ws]
	return w, ok
}

// levels returns the lookup order. An empty workspace or domain adds no layers.
func (t *Tree) levels(ws id.Workspace, p id.Pipeline, d id.FailureDomain) ([]level, error) {
	out := make([]level, 0, 8)
	for ws != "" {
		w, ok := t.workspace(ws)
		if !ok {
			return nil, NotFoundError{"workspace", string(ws)}
		}
		out = append(out, level{"workspace", string(ws), &w.values})
		ws = w.parent
	}
	if _, ok := t.pipelines[p]; !ok {
		return nil, NotFoundError{"pipeline", string(p)}
	}
	for p != "" {
		pl := t.pipelines[p]
		out = append(out, level{"pipeline", string(p), &pl.values})
		p = pl.parent
	}
	if d != "" {
		fd, ok := t.domains[d]
		if !ok {
			return nil, NotFoundError{"domain", string(d)}
		}
		out = append(out, level{"domain", string(d), &fd.values}, level{"region", string(fd.region), t.regions[fd.region]})
	}
	return append(out, level{"root", "", &t.root}, level{"built-in", "", &builtIn}), nil
}

// Effective returns the values for a request of a workspace on a pipeline in a failure domain.
// The workspace and the domain may be empty.
func (t *Tree) Effective(ws id.Workspace, p id.Pipeline, d id.FailureDomain) (Effective, error) {
	layers, err := t.levels(ws, p, d)
	if err != nil {
		return Effective{}, err
	}
	var e Effective
	for k := range keyCount {
		i := slices.IndexFunc(layers, func(l level) bool { return l.values.has(k) })
		layers[i].values.copyTo(k, &e)
	}
	e.Stages = slices.Clone(t.stages(p))
	for i := range e.Stages {
		// A workspace may have a shorter deadline than the pipeline whose timeouts it uses.
		if s := &e.Stages[i]; s.Timeout == 0 || s.Timeout > e.Deadline {
			s.Timeout = e.Deadline
		}
	}
	return e, nil
}

// stages returns the stages of a pipeline or of its nearest ancestor that sets any.
func (t *Tree) stages(p id.Pipeline) []Stage {
	for p != "" {
		pl, ok := t.pipelines[p]
		if !ok {
			return nil
		}
		if pl.stages != nil {
			return pl.stages
		}
		p = pl.parent
	}
	return nil
}

// Explain returns an effective value and the level that sets it.
// The keys are deadline, weight, limit, retries, hedge and stages.
func (t *Tree) Explain(ws id.Workspace, p id.Pipeline, d id.FailureDomain, name string) (Explanation, error) {
	layers, err := t.levels(ws, p, d)
	if err != nil {
		return Explanation{}, err
	}
	if name == "stages" {
		return t.explainStages(p), nil
	}
	i := slices.Index(keyNames[:], name)
	if i < 0 {
		return Explanation{}, NotFoundError{"key", name}
	}
	k := key(i)
	out := Explanation{Key: name}
	for _, l := range layers {
		out.From = Origin{l.kind, l.name}
		out.Path = append(out.Path, out.From)
		if l.values.has(k) {
			out.Value = l.values.format(k)
			break
		}
	}
	return out, nil
}

func (t *Tree) explainStages(p id.Pipeline) Explanation {
	out := Explanation{Key: "stages"}
	for p != "" {
		pl := t.pipelines[p]
		out.From = Origin{"pipeline", string(p)}
		out.Path = append(out.Path, out.From)
		if pl.stages != nil {
			for i, s := range pl.stages {
				if i > 0 {
					out.Value += ", "
				}
				out.Value += s.Name
			}
			break
		}
		p = pl.parent
	}
	return out
}

// Pool returns a pool by name.
func (t *Tree) Pool(name id.Pool) (Pool, bool) {
	p, ok := t.pools[name]
	return p, ok
}

// Pools returns the names of all pools in ascending order.
func (t *Tree) Pools() []id.Pool { return sortedKeys(t.pools) }

// Pipelines returns the names of all pipelines in ascending order.
func (t *Tree) Pipelines() []id.Pipeline { return sortedKeys(t.pipelines) }

// FailureDomains returns the names of all failure domains in ascending order.
func (t *Tree) FailureDomains() []id.FailureDomain { return sortedKeys(t.domains) }

// Region returns the region of a failure domain.
func (t *Tree) Region(d id.FailureDomain) (id.Region, bool) {
	fd, ok := t.domains[d]
	if !ok {
		return "", false
	}
	return fd.region, true
}

// HasWorkspace reports whether the workspace exists.
func (t *Tree) HasWorkspace(ws id.Workspace) bool {
	_, ok := t.workspace(ws)
	return ok
}

// Workspaces returns the number of workspaces.
func (t *Tree) Workspaces() int {
	n := 0
	for _, b := range t.workspaces {
		n += len(b)
	}
	return n
}
