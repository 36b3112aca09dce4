package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"bluebellflow/core/id"
)

const (
	partRoot      = "root"
	partPools     = "pools"
	partPipelines = "pipelines"
	partDomains   = "domains"
	bucketPrefix  = "workspaces/"
	// digestBytes is 128 bits of SHA-256; parts with equal digests are taken to be equal.
	digestBytes = 16
)

type part struct {
	src    []byte
	digest string
}

// Digest identifies the content of a part.
func Digest(src []byte) string {
	sum := sha256.Sum256(src)
	return hex.EncodeToString(sum[:digestBytes])
}

// CheckDigest reports whether a digest is well formed.
func CheckDigest(digest string) error {
	if raw, err := hex.DecodeString(digest); err != nil || len(raw) != digestBytes {
		return fmt.Errorf("digest %.40q: want %d hex digits", digest, 2*digestBytes)
	}
	return nil
}

// CheckPartName reports whether there is a part with that name.
func CheckPartName(name string) error {
	switch name {
	case partRoot, partPools, partPipelines, partDomains:
		return nil
	}
	if _, ok := bucketOfPart(name); !ok {
		return fmt.Errorf("no part %.40q", name)
	}
	return nil
}

// PartOf returns the name of the part that holds a workspace.
func PartOf(ws id.Workspace) string { return bucketPartName(bucketOf(ws)) }

func bucketPartName(b uint8) string { return fmt.Sprintf("%s%02x", bucketPrefix, b) }

func bucketOfPart(name string) (uint8, bool) {
	digits, ok := strings.CutPrefix(name, bucketPrefix)
	if !ok || len(digits) != 2 || strings.ToLower(digits) != digits {
		return 0, false
	}
	b, err := strconv.ParseUint(digits, 16, 8)
	return uint8(b), err == nil
}

// Parts returns the parts that are not empty. The values must not be changed.
func (t *Tree) Parts() map[string][]byte {
	out := make(map[string][]byte, len(t.parts))
	for name, p := range t.parts {
		out[name] = p.src
	}
	return out
}

// Part returns the content of one part.
func (t *Tree) Part(name string) ([]byte, bool) {
	p, ok := t.parts[name]
	return p.src, ok
}

// Digests returns the digest of each part that is not empty.
func (t *Tree) Digests() map[string]string {
	out := make(map[string]string, len(t.parts))
	for name, p := range t.parts {
		out[name] = p.digest
	}
	return out
}

// FromParts builds a tree from its parts. The error holds all Findings, with part names as file names.
func FromParts(parts map[string][]byte) (*Tree, error) { return Empty().WithParts(parts) }

// WithPart returns a tree in which one part is replaced; an empty source removes the part.
func (t *Tree) WithPart(name string, src []byte) (*Tree, error) {
	return t.WithParts(map[string][]byte{name: src})
}

// WithParts returns a tree in which the given parts are replaced. Only these parts are parsed.
func (t *Tree) WithParts(parts map[string][]byte) (*Tree, error) {
	next := *t
	next.parts = maps.Clone(t.parts)
	readers := map[string]*reader{}
	var found Findings
	changed := id.NewSet[uint8]()
	for _, name := range sortedKeys(parts) {
		src := parts[name]
		r, err := next.replacePart(name, src)
		if err != nil {
			found = append(found, Finding{File: name, Line: 1, Column: 1, Message: err.Error()})
			continue
		}
		if b, ok := bucketOfPart(name); ok {
			changed.Add(b)
		}
		readers[name] = r
		found = append(found, r.findings...)
	}
	if len(found) > 0 {
		// A part that could not be read would show up again as broken references to it.
		return nil, found.err()
	}
	for _, i := range next.recheck(t, changed) {
		r, ok := readers[i.part]
		if !ok {
			// The rule is broken in a part that did not change, such as the child of a removed workspace.
			r = (&Tree{}).parsePart(i.part, next.parts[i.part].src)
			readers[i.part] = r
		}
		r.findings = nil
		r.report(r.offsets[i.path], "%s", i.message)
		found = append(found, r.findings...)
	}
	if err := found.err(); err != nil {
		return nil, err
	}
	return &next, nil
}

// recheck applies the rules between parts that the change can have broken.
func (t *Tree) recheck(old *Tree, changed id.Set[uint8]) []issue {
	out := t.checkPipelines()
	for b := range changed {
		if parentsDiffer(old.workspaces[b], t.workspaces[b]) {
			return append(out, t.checkWorkspaces(nil)...)
		}
	}
	return append(out, t.checkWorkspaces(changed)...)
}

// parentsDiffer reports whether a workspace was removed or has another parent, which can affect workspaces elsewhere.
func parentsDiffer(old, next map[id.Workspace]*workspace) bool {
	for name, w := range old {
		if n, ok := next[name]; !ok || n.parent != w.parent {
			return true
		}
	}
	return false
}

// replacePart parses one part into the tree.
func (t *Tree) replacePart(name string, src []byte) (*reader, error) {
	if err := CheckPartName(name); err != nil {
		return nil, err
	}
	if len(src) > maxPartBytes {
		return nil, fmt.Errorf("%d bytes, at most %d fit into a part", len(src), maxPartBytes)
	}
	r := t.parsePart(name, src)
	delete(t.parts, name)
	if len(src) > 0 {
		t.parts[name] = part{src: src, digest: Digest(src)}
	}
	return r, nil
}

// parsePart parses the source of one part into the tree and returns the reader that knows the places.
func (t *Tree) parsePart(name string, src []byte) *reader {
	b, isBucket := bucketOfPart(name)
	switch {
	case isBucket:
		t.workspaces[b] = nil
	case name == partRoot:
		t.root = values{}
	case name == partPools:
		t.pools = nil
	case name == partPipelines:
		t.pipelines = nil
	case name == partDomains:
		t.regions, t.domains = nil, nil
	}
	if len(src) == 0 {
		return &reader{file: name, lines: []int{0}, offsets: map[string]int{}}
	}
	r, root, ok := newReader(name, src)
	switch {
	case !ok:
	case isBucket:
		r.workspaces(t, root, "", int(b))
	case name == partRoot:
		r.root(t, root)
	case name == partPools:
		r.pools(t, root)
	case name == partPipelines:
		r.pipelines(t, root)
	case name == partDomains:
		r.regions(t, root)
	}
	return r
}

// WithWorkspace returns a tree in which one workspace is replaced by the given object, or removed if it is empty.
func (t *Tree) WithWorkspace(name id.Workspace, src []byte) (*Tree, error) {
	file := "workspace " + string(name)
	if err := checkName(string(name)); err != nil {
		return nil, Findings{{File: file, Line: 1, Column: 1, Message: err.Error()}}
	}
	b := bucketOf(name)
	bucket := map[id.Workspace]*workspace{}
	maps.Copy(bucket, t.workspaces[b])
	delete(bucket, name)
	if len(src) > 0 {
		w, err := readWorkspace(file, src)
		if err != nil {
			return nil, err
		}
		bucket[name] = w
	}
	raw, err := encodeBucket(bucket)
	if err != nil {
		return nil, err
	}
	next, err := t.WithPart(bucketPartName(b), raw)
	if found, ok := AsFindings(err); ok {
		// The places in the generated part mean nothing to whoever wrote the workspace.
		for i := range found {
			found[i].File, found[i].Line, found[i].Column = file, 1, 1
		}
	}
	return next, err
}

func readWorkspace(file string, src []byte) (*workspace, error) {
	w := &workspace{}
	r, root, ok := newReader(file, src)
	if ok {
		for _, f := range r.object("workspace", root) {
			switch {
			case f.key == "parent":
				w.parent = id.Workspace(r.name("workspace.parent", f.value))
			case !r.inheritableValue("workspace", f, &w.values):
				r.reportUnknownKey("workspace", f)
			}
		}
	}
	return w, r.findings.err()
}

// The shapes below are the encoded form of the parts; keys come out sorted, so equal trees have equal digests.
type (
	valuesJSON struct {
		Deadline string   `json:"deadline,omitempty"`
		Weight   int32    `json:"weight,omitempty"`
		Limit    int32    `json:"limit,omitempty"`
		Retries  *float64 `json:"retries,omitempty"`
		Hedge    string   `json:"hedge,omitempty"`
	}
	workspaceJSON struct {
		Parent id.Workspace `json:"parent,omitempty"`
		valuesJSON
	}
	poolJSON struct {
		Cold   int  `json:"cold"`
		Warm   int  `json:"warm"`
		Fences bool `json:"fences,omitempty"`
	}
	stageJSON struct {
		Name       string    `json:"name"`
		Kind       StageKind `json:"kind"`
		Pool       id.Pool   `json:"pool"`
		Idempotent bool      `json:"idempotent,omitempty"`
		Stream     bool      `json:"stream,omitempty"`
		Timeout    string    `json:"timeout,omitempty"`
	}
	pipelineJSON struct {
		Parent id.Pipeline `json:"parent,omitempty"`
		valuesJSON
		Stages []stageJSON `json:"stages,omitempty"`
	}
	regionJSON struct {
		valuesJSON
		Domains map[id.FailureDomain]valuesJSON `json:"domains,omitempty"`
	}
)

func (v *values) toJSON() valuesJSON {
	s := valuesJSON{Weight: v.weight, Limit: v.limit}
	if v.has(keyDeadline) {
		s.Deadline = v.deadline.String()
	}
	if v.has(keyRetries) {
		s.Retries = &v.retries
	}
	if v.has(keyHedge) {
		s.Hedge = v.hedge.String()
	}
	return s
}

func (p *pipeline) toJSON() pipelineJSON {
	s := pipelineJSON{Parent: p.parent, valuesJSON: p.values.toJSON()}
	for _, one := range p.stages {
		shape := stageJSON{Name: one.Name, Kind: one.Kind, Pool: one.Pool, Idempotent: one.Idempotent, Stream: one.Stream}
		if one.Timeout > 0 {
			shape.Timeout = one.Timeout.String()
		}
		s.Stages = append(s.Stages, shape)
	}
	return s
}

func encodeBucket(bucket map[id.Workspace]*workspace) ([]byte, error) {
	if len(bucket) == 0 {
		return nil, nil
	}
	shapes := make(map[id.Workspace]workspaceJSON, len(bucket))
	for name, w := range bucket {
		shapes[name] = workspaceJSON{Parent: w.parent, valuesJSON: w.toJSON()}
	}
	return json.Marshal(shapes)
}

// encode fills in the parts of a tree that was read from a file.
func (t *Tree) encode() error {
	put := func(name string, src []byte, err error) error {
		if err != nil {
			return fmt.Errorf("encode part %s: %w", name, err)
		}
		if len(src) > maxPartBytes {
			return fmt.Errorf("part %s has %d bytes, at most %d fit", name, len(src), maxPartBytes)
		}
		if len(src) > 0 {
			t.parts[name] = part{src: src, digest: Digest(src)}
		}
		return nil
	}
	var failed error
	keep := func(name string, shape any, empty bool) {
		if failed != nil || empty {
			return
		}
		src, err := json.Marshal(shape)
		failed = put(name, src, err)
	}
	keep(partRoot, t.root.toJSON(), t.root.set == 0)
	keep(partPools, t.poolsToJSON(), len(t.pools) == 0)
	keep(partPipelines, t.pipelinesToJSON(), len(t.pipelines) == 0)
	keep(partDomains, t.regionsToJSON(), len(t.regions) == 0)
	for b, bucket := range t.workspaces {
		if failed != nil {
			break
		}
		src, err := encodeBucket(bucket)
		failed = put(bucketPartName(uint8(b)), src, err)
	}
	return failed
}

func (t *Tree) poolsToJSON() map[id.Pool]poolJSON {
	out := make(map[id.Pool]poolJSON, len(t.pools))
	for name, p := range t.pools {
		out[name] = poolJSON{Cold: p.Cold, Warm: p.Warm, Fences: p.FencesOrders}
	}
	return out
}

func (t *Tree) pipelinesToJSON() map[id.Pipeline]pipelineJSON {
	out := make(map[id.Pipeline]pipelineJSON, len(t.pipelines))
	for name, p := range t.pipelines {
		out[name] = p.toJSON()
	}
	return out
}

func (t *Tree) regionsToJSON() map[id.Region]regionJSON {
	out := make(map[id.Region]regionJSON, len(t.regions))
	for name, v := range t.regions {
		shape := regionJSON{valuesJSON: v.toJSON(), Domains: map[id.FailureDomain]valuesJSON{}}
		for d, f := range t.domains {
			if f.region == name {
				shape.Domains[d] = f.toJSON()
			}
		}
		out[name] = shape
	}
	return out
}

// ChangedParts returns the names of the parts that differ between two sets of digests, in ascending order.
func ChangedParts(old, next map[string]string) []string {
	var out []string
	for name, digest := range next {
		if old[name] != digest {
			out = append(out, name)
		}
	}
	for name := range old {
		if _, ok := next[name]; !ok {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
