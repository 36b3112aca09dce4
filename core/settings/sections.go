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

// Parse parses a complete settings file. The error is a Findings with all errors found.
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
	for _, issue := range t.check() {
		r.report(r.offsets[issue.path], "%s", issue.message)
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
		path := "pool " + m.key
		p := Pool{Name: id.Pool(m.key)}
		r.offsets[path] = m.offset
		coldOK, warmOK := false, false
		for _, f := range r.object(path, m.value) {
			switch f.key {
			case "cold":
				p.Cold, coldOK = r.positiveInt(path+".cold", f.value, maxInFlight)
				r.offsets[path] = f.value.StartOffset
			case "warm":
				p.Warm, warmOK = r.positiveInt(path+".warm", f.value, maxInFlight)
			case "fences":
				p.FencesOrders = r.boolean(path+".fences", f.value)
			default:
				r.reportUnknownKey(path, f)
			}
		}
		switch {
		case coldOK && warmOK && p.Cold > p.Warm:
			r.report(r.offsets[path], "%s: cold %d is above warm %d", path, p.Cold, p.Warm)
		case !hasKey(m.value, "cold") || !hasKey(m.value, "warm"):
			r.report(m.offset, "%s: cold and warm are required", path)
		}
		t.pools[p.Name] = p
	}
}

func hasKey(v hujson.Value, key string) bool {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		return true // already reported as a wrong type
	}
	return slices.ContainsFunc(obj.Members, func(m hujson.ObjectMember) bool {
		return m.Name.Value.(hujson.Literal).String() == key
	})
}

func (r *reader) pipelines(t *Tree, v hujson.Value) {
	t.pipelines = map[id.Pipeline]*pipeline{}
	for _, m := range r.namedMembers("pipelines", v) {
		path := "pipeline " + m.key
		p := &pipeline{}
		r.offsets[path] = m.offset
		for _, f := range r.object(path, m.value) {
			switch {
			case f.key == "parent":
				p.parent = id.Pipeline(r.name(path+".parent", f.value))
				r.offsets[path+".parent"] = f.value.StartOffset
			case f.key == "stages":
				p.stages = r.stages(path, f.value)
			case !r.inheritableValue(path, f, &p.values):
				r.reportUnknownKey(path, f)
			}
		}
		t.pipelines[id.Pipeline(m.key)] = p
	}
}

func (r *reader) stages(path string, v hujson.Value) []Stage {
	list := r.array(path+".stages", v)
	if _, ok := v.Value.(*hujson.Array); ok && (len(list) == 0 || len(list) > maxStages) {
		r.report(v.StartOffset, "%s.stages: %d stages, want 1 to %d", path, len(list), maxStages)
	}
	out := make([]Stage, 0, len(list))
	seen := id.NewSet[string]()
	for i, elem := range list {
		s := r.stage(path, elem)
		if seen.Has(s.Name) && s.Name != "" {
			r.report(elem.StartOffset, "%s: duplicate stage %q", path, s.Name)
		}
		seen.Add(s.Name)
		if s.Kind == Action && !s.Idempotent && i < len(list)-1 {
			// The action runs at most once. If a later stage failed, the caller would get an error although the action
			// took effect.
			r.report(elem.StartOffset, "%s: action stage %q is not idempotent and must be the last stage", path, s.Name)
		}
		r.offsets[stagePath(path, s.Name, "pool")] = r.offsets["pool of the stage"]
		r.offsets[stagePath(path, s.Name, "timeout")] = r.offsets["timeout of the stage"]
		out = append(out, s)
	}
	return out
}

func stagePath(pipeline, stage, key string) string { return pipeline + " stage " + stage + "." + key }

func (r *reader) stage(path string, v hujson.Value) Stage {
	path += " stage"
	s := Stage{}
	idempotent := -1 // offset of the value, -1 if absent
	stream := -1     // same for stream
	r.offsets["pool of the stage"] = v.StartOffset
	r.offsets["timeout of the stage"] = v.StartOffset
	for _, f := range r.object(path, v) {
		offset := f.value.StartOffset
		switch f.key {
		case "name":
			s.Name = r.name(path+".name", f.value)
		case "kind":
			if s.Kind = StageKind(r.stringValue(path+".kind", f.value)); s.Kind != "" && !s.Kind.known() {
				r.report(offset, "%s.kind: unknown kind %q", path, s.Kind)
			}
		case "pool":
			s.Pool = id.Pool(r.name(path+".pool", f.value))
			r.offsets["pool of the stage"] = offset
		case "idempotent":
			s.Idempotent = r.boolean(path+".idempotent", f.value)
			idempotent = offset
		case "stream":
			s.Stream = r.boolean(path+".stream", f.value)
			stream = offset
		case "timeout":
			s.Timeout, _ = r.duration(path+".timeout", f.value, time.Millisecond, maxDeadline)
			r.offsets["timeout of the stage"] = offset
		default:
			r.reportUnknownKey(path, f)
		}
	}
	r.checkStageKind(path, v, &s, idempotent, stream)
	return s
}

// checkStageKind checks the rules that depend on the kind of a stage, and sets the defaults of its name and
// idempotence. idempotent and stream are the offsets of these values, -1 if absent.
func (r *reader) checkStageKind(path string, v hujson.Value, s *Stage, idempotent, stream int) {
	if _, ok := v.Value.(*hujson.Object); !ok {
		return
	}
	if !hasKey(v, "kind") || !hasKey(v, "pool") {
		r.report(v.StartOffset, "%s: kind and pool are required", path)
	}
	if s.Name == "" {
		s.Name = string(s.Kind)
	}
	if s.Kind != Action {
		if idempotent >= 0 && !s.Idempotent {
			r.report(idempotent, "%s: only an action stage can be non-idempotent", path)
		}
		s.Idempotent = true
	}
	if s.Stream && s.Kind != Generate {
		r.report(stream, "%s: only a generate stage can stream", path)
	}
}

func (r *reader) regions(t *Tree, v hujson.Value) {
	t.regions = map[id.Region]*values{}
	t.domains = map[id.FailureDomain]*failureDomain{}
	for _, m := range r.namedMembers("regions", v) {
		path := "region " + m.key
		region := &values{}
		t.regions[id.Region(m.key)] = region
		for _, f := range r.object(path, m.value) {
			switch {
			case f.key == partDomains:
				r.domains(t, id.Region(m.key), f.value)
			case !r.inheritableValue(path, f, region):
				r.reportUnknownKey(path, f)
			}
		}
	}
}

func (r *reader) domains(t *Tree, region id.Region, v hujson.Value) {
	for _, m := range r.namedMembers("domains", v) {
		path := "domain " + m.key
		name := id.FailureDomain(m.key)
		if other, duplicate := t.domains[name]; duplicate {
			r.report(m.offset, "%s: already defined in region %s", path, other.region)
			continue
		}
		d := &failureDomain{region: region}
		for _, f := range r.object(path, m.value) {
			if !r.inheritableValue(path, f, &d.values) {
				r.reportUnknownKey(path, f)
			}
		}
		t.domains[name] = d
	}
}

// allBuckets is passed to reader.workspaces for a settings file, which holds the workspaces of all buckets and may
// nest them.
const allBuckets = -1

// workspaces reads workspaces; a nested workspace gets the enclosing one as its parent. A part holds only the
// workspaces of its bucket; the maps of the other buckets are shared with the tree from which t was copied.
func (r *reader) workspaces(t *Tree, v hujson.Value, parent id.Workspace, bucket int) {
	for _, m := range r.namedMembers("workspaces", v) {
		path := "workspace " + m.key
		name := id.Workspace(m.key)
		b := bucketOf(name)
		if bucket != allBuckets && int(b) != bucket {
			r.report(m.offset, "%s: belongs in part %s", path, bucketPartName(b))
			continue
		}
		if _, duplicate := t.workspace(name); duplicate {
			r.report(m.offset, "%s: defined twice", path)
			continue
		}
		r.offsets[path+".parent"] = m.offset
		if t.workspaces[b] == nil {
			t.workspaces[b] = map[id.Workspace]*workspace{}
		}
		w := &workspace{parent: parent}
		t.workspaces[b][name] = w
		for _, f := range r.object(path, m.value) {
			switch {
			case f.key == "parent" && parent != "":
				r.report(f.offset, "%s: a nested workspace cannot set parent", path)
			case f.key == "parent":
				w.parent = id.Workspace(r.name(path+".parent", f.value))
				r.offsets[path+".parent"] = f.value.StartOffset
			case f.key == "workspaces" && bucket == allBuckets:
				r.workspaces(t, f.value, name, allBuckets)
			case !r.inheritableValue(path, f, &w.values):
				r.reportUnknownKey(path, f)
			}
		}
	}
}
