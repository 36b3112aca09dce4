package settings

import (
	"fmt"

	"bluebellflow/core/id"
)

// issue is a broken rule between values; its path is resolved to a place by the reader of its part.
type issue struct {
	part    string
	path    string
	message string
}

// check applies the rules that need more than one value.
func (t *Tree) check() []issue {
	return append(t.checkPipelines(), t.checkWorkspaces(nil)...)
}

func (t *Tree) checkPipelines() []issue {
	var out []issue
	for _, name := range sortedKeys(t.pipelines) {
		what := "pipeline " + string(name)
		report := func(path, format string, args ...any) {
			out = append(out, issue{partPipelines, path, what + ": " + fmt.Sprintf(format, args...)})
		}
		if problem := t.pipelineParentProblem(name); problem != "" {
			report(what+".parent", "%s", problem)
			continue
		}
		if t.stages(name) == nil {
			report(what, "no stages, and no parent has any")
		}
		t.checkPipelineValues(name, report)
	}
	return out
}

// pipelineParentProblem says what is wrong with the chain of parents.
func (t *Tree) pipelineParentProblem(name id.Pipeline) string {
	depth := 0
	for p := t.pipelines[name].parent; p != ""; p = t.pipelines[p].parent {
		if _, ok := t.pipelines[p]; !ok {
			if depth > 0 {
				return "" // reported at the pipeline that names the parent
			}
			return fmt.Sprintf("no parent %q", p)
		}
		if p == name {
			return "its parents form a cycle"
		}
		if depth++; depth > maxParents {
			return fmt.Sprintf("more than %d parents", maxParents)
		}
	}
	return ""
}

// checkPipelineValues compares timeouts and the hedge with the deadline that the pipeline, its parents and the root give.
func (t *Tree) checkPipelineValues(name id.Pipeline, report func(path, format string, args ...any)) {
	what := "pipeline " + string(name)
	deadline, hedge := t.resolveKey(name, keyDeadline).deadline, t.resolveKey(name, keyHedge).hedge
	if hedge >= deadline {
		report(what, "hedge %s is not below the deadline %s", hedge, deadline)
	}
	own := t.pipelines[name].stages
	for _, s := range t.stages(name) {
		path := what
		if own != nil {
			path = stagePath(what, s.Name, "timeout")
		}
		if s.Timeout > deadline {
			report(path, "stage %s: timeout %s is over the deadline %s", s.Name, s.Timeout, deadline)
		}
	}
	for _, s := range own {
		if _, ok := t.pools[s.Pool]; !ok && s.Pool != "" {
			report(stagePath(what, s.Name, "pool"), "stage %s: no pool %q", s.Name, s.Pool)
		}
	}
}

// resolveKey returns the values that hold the key for requests without a workspace and domain.
func (t *Tree) resolveKey(name id.Pipeline, k key) *values {
	for name != "" {
		p, ok := t.pipelines[name]
		if !ok {
			break
		}
		if p.has(k) {
			return &p.values
		}
		name = p.parent
	}
	if t.root.has(k) {
		return &t.root
	}
	return &builtIn
}

// checkWorkspaces checks parents, in the given buckets or in all of them.
func (t *Tree) checkWorkspaces(only id.Set[uint8]) []issue {
	var out []issue
	for b := range bucketCount {
		if only != nil && !only.Has(uint8(b)) {
			continue
		}
		var bad map[id.Workspace]string
		for name, w := range t.workspaces[b] {
			if problem := t.workspaceParentProblem(name, w); problem != "" {
				if bad == nil {
					bad = map[id.Workspace]string{}
				}
				bad[name] = problem
			}
		}
		for _, name := range sortedKeys(bad) {
			what := "workspace " + string(name)
			out = append(out, issue{bucketPartName(uint8(b)), what + ".parent", what + ": " + bad[name]})
		}
	}
	return out
}

// workspaceParentProblem says what is wrong with the chain of parents. A chain longer than the limit is reported
// at each workspace below the limit, a cycle at each of its members.
func (t *Tree) workspaceParentProblem(name id.Workspace, w *workspace) string {
	if w.parent == "" {
		return ""
	}
	parent, ok := t.workspace(w.parent)
	if !ok {
		return fmt.Sprintf("no parent %q", w.parent)
	}
	at := w.parent
	for depth := 1; ; depth++ {
		if at == name {
			return "its parents form a cycle"
		}
		if depth > maxParents {
			return fmt.Sprintf("more than %d parents, or parents that form a cycle", maxParents)
		}
		if parent.parent == "" {
			return ""
		}
		at = parent.parent
		if parent, ok = t.workspace(at); !ok {
			return "" // reported at the workspace that names the parent
		}
	}
}
