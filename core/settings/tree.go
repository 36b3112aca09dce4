package settings

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bluebellflow/core/id"
)

// bucketCount is the number of parts over which workspaces are spread.
const bucketCount = 256

type (
	workspace struct {
		parent id.Workspace
		values
	}
	pipeline struct {
		parent id.Pipeline
		stages []Stage // nil if inherited; a timeout of 0 means the deadline
		values
	}
	failureDomain struct {
		region id.Region
		values
	}
)

// Tree is a complete and checked settings tree.
type Tree struct {
	root       values
	pools      map[id.Pool]Pool
	pipelines  map[id.Pipeline]*pipeline
	regions    map[id.Region]*values
	domains    map[id.FailureDomain]*failureDomain
	workspaces [bucketCount]map[id.Workspace]*workspace
	parts      map[string]part
}

// Empty returns a tree without any section.
func Empty() *Tree { return &Tree{parts: map[string]part{}} }

// NotFoundError says that a name does not occur in the tree.
type NotFoundError struct {
	Kind string // "workspace", "pipeline", "domain" or "key"
	Name string
}

// Error names what is missing.
func (m NotFoundError) Error() string { return fmt.Sprintf("no %s %q in the settings", m.Kind, m.Name) }

// Origin is a place in the tree from which a value can come.
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

// Explanation says which value applies and where it comes from.
type Explanation struct {
	Key   string   `json:"key"`
	Value string   `json:"value"`
	From  Origin   `json:"from"`
	Path  []Origin `json:"path"` // all places that were looked at, the last one being From
}

// layer is one place of the lookup order.
type layer struct {
	kind, name string
	values     *values
}

func bucketOf(ws id.Workspace) uint8 { return uint8(xxhash.Sum64String(string(ws))) }

func (t *Tree) workspace(ws id.Workspace) (*workspace, bool) {
	w, ok := t.workspaces[bucketOf(ws)][ws]
	return w, ok
}

// layers returns the lookup order. An empty workspace or domain is left out.
func (t *Tree) layers(ws id.Workspace, p id.Pipeline, d id.FailureDomain) ([]layer, error) {
	out := make([]layer, 0, 8)
	for ws != "" {
		w, ok := t.workspace(ws)
		if !ok {
			return nil, NotFoundError{"workspace", string(ws)}
		}
		out = append(out, layer{"workspace", string(ws), &w.values})
		ws = w.parent
	}
	if _, ok := t.pipelines[p]; !ok {
		return nil, NotFoundError{"pipeline", string(p)}
	}
	for p != "" {
		l := t.pipelines[p]
		out = append(out, layer{"pipeline", string(p), &l.values})
		p = l.parent
	}
	if d != "" {
		f, ok := t.domains[d]
		if !ok {
			return nil, NotFoundError{"domain", string(d)}
		}
		out = append(out, layer{"domain", string(d), &f.values}, layer{"region", string(f.region), t.regions[f.region]})
	}
	return append(out, layer{"root", "", &t.root}, layer{"built-in", "", &builtIn}), nil
}

// Effective returns the values for a request of a workspace on a pipeline in a failure domain.
// An empty workspace or domain stands for none.
func (t *Tree) Effective(ws id.Workspace, p id.Pipeline, d id.FailureDomain) (Effective, error) {
	layers, err := t.layers(ws, p, d)
	if err != nil {
		return Effective{}, err
	}
	var e Effective
	for k := range keyCount {
		at := slices.IndexFunc(layers, func(l layer) bool { return l.values.has(k) })
		layers[at].values.copyTo(k, &e)
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

// stages returns the stages of a pipeline or of the nearest parent that has any.
func (t *Tree) stages(p id.Pipeline) []Stage {
	for p != "" {
		l, ok := t.pipelines[p]
		if !ok {
			return nil
		}
		if l.stages != nil {
			return l.stages
		}
		p = l.parent
	}
	return nil
}

// Explain returns an effective value with the place that it comes from.
// The keys are deadline, weight, limit, retries, hedge and stages.
func (t *Tree) Explain(ws id.Workspace, p id.Pipeline, d id.FailureDomain, name string) (Explanation, error) {
	layers, err := t.layers(ws, p, d)
	if err != nil {
		return Explanation{}, err
	}
	if name == "stages" {
		return t.explainStages(p), nil
	}
	at := slices.Index(keyNames[:], name)
	if at < 0 {
		return Explanation{}, NotFoundError{"key", name}
	}
	k := key(at)
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
		l := t.pipelines[p]
		out.From = Origin{"pipeline", string(p)}
		out.Path = append(out.Path, out.From)
		if l.stages != nil {
			for i, s := range l.stages {
				if i > 0 {
					out.Value += ", "
				}
				out.Value += s.Name
			}
			break
		}
		p = l.parent
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
	f, ok := t.domains[d]
	if !ok {
		return "", false
	}
	return f.region, true
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
