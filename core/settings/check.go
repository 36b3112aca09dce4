package settings

import (
	"fmt"

	"bluebellflow/core/id"
)

// issue is a violated rule between values. The reader of the part resolves the path to a position.
type issue struct {
	part    string
	path    string
	message string
}

// check checks the rules that involve more than one value.
func (t *Tree) check() []issue {
	return append(t.checkPipelines(), t.checkWorkspaces(nil)...)
}

func (t *Tree) checkPipelines() []issue {
	var out []issue
	for _, name := range sortedKeys(t.pipelines) {
		subject := "pipeline " + string(name)
		report := func(path, format string, args ...any) {
			out = append(out, issue{partPipelines, path, subject + ": " + fmt.Sprintf(format, args...)})
		}
		if problem := t.pipelineParentProblem(name); problem != "" {
			report(subject+".parent", "%s", problem)
			continue
		}
		if t.stages(name) == nil {
			report(subject, "no stages, and no parent has any")
		}
		t.checkPipelineValues(name, report)
	}
	return out
}

// pipelineParentProblem describes the error in the pipeline's parent chain, or returns "".
func (t *Tree) pipelineParentProblem(name id.Pipeline) string {
	depth := 0
	for p := t.pipelines[name].parent; p != ""; p = t.pipelines[p].parent {
		if _, ok := t.pipelines[p]; !ok {
			if depth > 0 {
				return "" // reported for the pipeline that names the parent
			}
			return fmt.Sprintf("parent %q does not exist", p)
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

// checkPipelineValues checks timeouts and the hedge delay against the deadline that the pipeline sets or inherits, and
// that the pools of its stages exist.
func (t *Tree) checkPipelineValues(name id.Pipeline, report func(path, format string, args ...any)) {
	subject := "pipeline " + string(name)
	deadline, hedge := t.resolveKey(name, keyDeadline).deadline, t.resolveKey(name, keyHedge).hedge
	if hedge >= deadline {
		report(subject, "hedge %s is not below the deadline %s", hedge, deadline)
	}
	own := t.pipelines[name].stages
	for _, s := range t.stages(name) {
		path := subject
		if own != nil {
			path = stagePath(subject, s.Name, "timeout")
		}
		if s.Timeout > deadline {
			report(path, "stage %s: timeout %s is over the deadline %s", s.Name, s.Timeout, deadline)
		}
	}
	for _, s := range own {
		if _, ok := t.pools[s.Pool]; !ok && s.Pool != "" {
			report(stagePath(subject, s.Name, "pool"), "stage %s: pool %q does not exist", s.Name, s.Pool)
		}
	}
}

// resolveKey returns the values that set the key for requests without a workspace and failure domain.
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

// checkWorkspaces checks the parents of the workspaces in the given buckets, or in all buckets if only is nil.
func (t *Tree) checkWorkspaces(only id.Set[uint8]) []issue {
	var out []issue
	for b := range bucketCount {
		if only != nil && !only.Has(uint8(b)) {
			continue
		}
		var problems map[id.Workspace]string
		for name, w := range t.workspaces[b] {
			if problem := t.workspaceParentProblem(name, w); problem != "" {
				if problems == nil {
					problems = map[id.Workspace]string{}
				}
				problems[name] = problem
			}
		}
		for _, name := range sortedKeys(problems) {
			subject := "workspace " + string(name)
			out = append(out, issue{bucketPartName(uint8(b)), subject + ".parent", subject + ": " + problems[name]})
		}
	}
	return out
}

// workspaceParentProblem describes the error in the workspace's parent chain, or returns "". A chain longer than
// maxParents is reported for each workspace with too many parents, a cycle for each of its members.
func (t *Tree) workspaceParentProblem(name id.Workspace, w *workspace) string {
	if w.parent == "" {
		return ""
	}
	parent, ok := t.workspace(w.parent)
	if !ok {
		return fmt.Sprintf("parent %q does not exist", w.parent)
	}
	ancestor := w.parent
	for depth := 1; ; depth++ {
		if ancestor == name {
			return "its parents form a cycle"
		}
		if depth > maxParents {
			return fmt.Sprintf("more than %d parents, or parents that form a cycle", maxParents)
		}
		if parent.parent == "" {
			return ""
		}
		ancestor = parent.parent
		if parent, ok = t.workspace(ancestor); !ok {
			return "" // reported for the workspace that names the parent
		}
	}
}
