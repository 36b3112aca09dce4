package settings

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/tailscale/hujson"

	"bluebellflow/core/id"
)

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// Parse reads a complete settings file. The error holds all Findings.
func Parse(name string, src []byte) (*Tree, error) {
	t := Empty()
	r, root, ok := newReader(name, src)
	if !ok {
		return nil, r.findings.err()
	}
	for _, m := range r.object("settings", root) {
		switch m.key {
		case partRoot:
			r.root(t, m.value)
		case partPools:
			r.pools(t, m.value)
		case partPipelines:
			r.pipelines(t, m.value)
		case "regions":
			r.regions(t, m.value)
		case "workspaces":
			r.workspaces(t, m.value, "", allBuckets)
		default:
			r.reportUnknownKey("settings", m)
		}
	}
	for _, i := range t.check() {
		r.report(r.offsets[i.path], "%s", i.message)
	}
	if err := r.findings.err(); err != nil {
		return nil, err
	}
	if err := t.encode(); err != nil {
		return nil, Findings{{File: name, Line: 1, Column: 1, Message: err.Error()}}
	}
	return t, nil
}

func (r *reader) root(t *Tree, v hujson.Value) {
	for _, m := range r.object("root", v) {
		if !r.inheritableValue("root", m, &t.root) {
			r.reportUnknownKey("root", m)
		}
	}
}

func (r *reader) pools(t *Tree, v hujson.Value) {
	t.pools = map[id.Pool]Pool{}
	for _, m := range r.namedMembers("pools", v) {
		what := "pool " + m.key
		p := Pool{Name: id.Pool(m.key)}
		r.offsets[what] = m.offset
		coldOK, warmOK := false, false
		for _, f := range r.object(what, m.value) {
			switch f.key {
			case "cold":
				p.Cold, coldOK = r.positiveInt(what+".cold", f.value, maxInFlight)
				r.offsets[what] = f.value.StartOffset
			case "warm":
				p.Warm, warmOK = r.positiveInt(what+".warm", f.value, maxInFlight)
			case "fences":
				p.FencesOrders = r.boolean(what+".fences", f.value)
			default:
				r.reportUnknownKey(what, f)
			}
		}
		switch {
		case coldOK && warmOK && p.Cold > p.Warm:
			r.report(r.offsets[what], "%s: cold %d is above warm %d", what, p.Cold, p.Warm)
		case !hasKey(m.value, "cold") || !hasKey(m.value, "warm"):
			r.report(m.offset, "%s: cold and warm are required", what)
		}
		t.pools[p.Name] = p
	}
}

func hasKey(v hujson.Value, key string) bool {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		return true // reported as a wrong type already
	}
	return slices.ContainsFunc(obj.Members, func(m hujson.ObjectMember) bool {
		return m.Name.Value.(hujson.Literal).String() == key
	})
}

func (r *reader) pipelines(t *Tree, v hujson.Value) {
	t.pipelines = map[id.Pipeline]*pipeline{}
	for _, m := range r.namedMembers("pipelines", v) {
		what := "pipeline " + m.key
		p := &pipeline{}
		r.offsets[what] = m.offset
		for _, f := range r.object(what, m.value) {
			switch {
			case f.key == "parent":
				p.parent = id.Pipeline(r.name(what+".parent", f.value))
				r.offsets[what+".parent"] = f.value.StartOffset
			case f.key == "stages":
				p.stages = r.stages(what, f.value)
			case !r.inheritableValue(what, f, &p.values):
				r.reportUnknownKey(what, f)
			}
		}
		t.pipelines[id.Pipeline(m.key)] = p
	}
}

func (r *reader) stages(what string, v hujson.Value) []Stage {
	list := r.array(what+".stages", v)
	if _, ok := v.Value.(*hujson.Array); ok && (len(list) == 0 || len(list) > maxStages) {
		r.report(v.StartOffset, "%s.stages: %d stages, want 1 to %d", what, len(list), maxStages)
	}
	out := make([]Stage, 0, len(list))
	seen := id.NewSet[string]()
	for i, one := range list {
		s := r.stage(what, one)
		if seen.Has(s.Name) && s.Name != "" {
			r.report(one.StartOffset, "%s: duplicate stage %q", what, s.Name)
		}
		seen.Add(s.Name)
		if s.Kind == Action && !s.Idempotent && i < len(list)-1 {
			// A later stage could fail after the action took effect, and the caller would not learn of it.
			r.report(one.StartOffset, "%s: action stage %q runs at most once and is not last", what, s.Name)
		}
		r.offsets[stagePath(what, s.Name, "pool")] = r.offsets["pool of the stage"]
		r.offsets[stagePath(what, s.Name, "timeout")] = r.offsets["timeout of the stage"]
		out = append(out, s)
	}
	return out
}

func stagePath(pipeline, stage, key string) string { return pipeline + " stage " + stage + "." + key }

func (r *reader) stage(what string, v hujson.Value) Stage {
	what += " stage"
	s := Stage{}
	idempotent := -1 // offset of the key
	stream := -1
	r.offsets["pool of the stage"] = v.StartOffset
	r.offsets["timeout of the stage"] = v.StartOffset
	for _, f := range r.object(what, v) {
		at := f.value.StartOffset
		switch f.key {
		case "name":
			s.Name = r.name(what+".name", f.value)
		case "kind":
			if s.Kind = StageKind(r.stringValue(what+".kind", f.value)); s.Kind != "" && !s.Kind.known() {
				r.report(at, "%s.kind: unknown kind %q", what, s.Kind)
			}
		case "pool":
			s.Pool = id.Pool(r.name(what+".pool", f.value))
			r.offsets["pool of the stage"] = at
		case "idempotent":
			s.Idempotent = r.boolean(what+".idempotent", f.value)
			idempotent = at
		case "stream":
			s.Stream = r.boolean(what+".stream", f.value)
			stream = at
		case "timeout":
			s.Timeout, _ = r.duration(what+".timeout", f.value, time.Millisecond, maxDeadline)
			r.offsets["timeout of the stage"] = at
		default:
			r.reportUnknownKey(what, f)
		}
	}
	r.checkStageKind(what, v, &s, idempotent, stream)
	return s
}

// checkStageKind applies the rules that depend on the kind of a stage.
func (r *reader) checkStageKind(what string, v hujson.Value, s *Stage, idempotent, stream int) {
	if _, ok := v.Value.(*hujson.Object); !ok {
		return
	}
	if !hasKey(v, "kind") || !hasKey(v, "pool") {
		r.report(v.StartOffset, "%s: kind and pool are required", what)
	}
	if s.Name == "" {
		s.Name = string(s.Kind)
	}
	if s.Kind != Action {
		if idempotent >= 0 && !s.Idempotent {
			r.report(idempotent, "%s: only an action can be not idempotent", what)
		}
		s.Idempotent = true
	}
	if s.Stream && s.Kind != Generate {
		r.report(stream, "%s: only a generate stage can stream", what)
	}
}

func (r *reader) regions(t *Tree, v hujson.Value) {
	t.regions = map[id.Region]*values{}
	t.domains = map[id.FailureDomain]*failureDomain{}
	for _, m := range r.namedMembers("regions", v) {
		what := "region " + m.key
		region := &values{}
		t.regions[id.Region(m.key)] = region
		for _, f := range r.object(what, m.value) {
			switch {
			case f.key == partDomains:
				r.domains(t, id.Region(m.key), f.value)
			case !r.inheritableValue(what, f, region):
				r.reportUnknownKey(what, f)
			}
		}
	}
}

func (r *reader) domains(t *Tree, region id.Region, v hujson.Value) {
	for _, m := range r.namedMembers("domains", v) {
		what := "domain " + m.key
		name := id.FailureDomain(m.key)
		if other, twice := t.domains[name]; twice {
			r.report(m.offset, "%s: also in region %s", what, other.region)
			continue
		}
		d := &failureDomain{region: region}
		for _, f := range r.object(what, m.value) {
			if !r.inheritableValue(what, f, &d.values) {
				r.reportUnknownKey(what, f)
			}
		}
		t.domains[name] = d
	}
}

// allBuckets is given for a file, which holds the workspaces of all buckets and may nest them.
const allBuckets = -1

// workspaces reads workspaces; nested ones get the enclosing one as their parent. A part holds the workspaces
// of one bucket only; the maps of the other buckets are shared with the tree that the part is put into.
func (r *reader) workspaces(t *Tree, v hujson.Value, parent id.Workspace, bucket int) {
	for _, m := range r.namedMembers("workspaces", v) {
		what := "workspace " + m.key
		name := id.Workspace(m.key)
		b := bucketOf(name)
		if bucket != allBuckets && int(b) != bucket {
			r.report(m.offset, "%s: belongs into part %s", what, bucketPartName(b))
			continue
		}
		if _, twice := t.workspace(name); twice {
			r.report(m.offset, "%s: occurs twice", what)
			continue
		}
		r.offsets[what+".parent"] = m.offset
		if t.workspaces[b] == nil {
			t.workspaces[b] = map[id.Workspace]*workspace{}
		}
		w := &workspace{parent: parent}
		t.workspaces[b][name] = w
		for _, f := range r.object(what, m.value) {
			switch {
			case f.key == "parent" && parent != "":
				r.report(f.offset, "%s: parent is given by nesting", what)
			case f.key == "parent":
				w.parent = id.Workspace(r.name(what+".parent", f.value))
				r.offsets[what+".parent"] = f.value.StartOffset
			case f.key == "workspaces" && bucket == allBuckets:
				r.workspaces(t, f.value, name, allBuckets)
			case !r.inheritableValue(what, f, &w.values):
				r.reportUnknownKey(what, f)
			}
		}
	}
}
