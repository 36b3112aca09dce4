package settings_test

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bluebellflow/core/id"
	"bluebellflow/core/settings"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20260101", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func sample(t testing.TB, name string) *settings.Tree {
	t.Helper()
	src, err := settings.Sample(name)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	tree, err := settings.Parse(name, src)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return tree
}

// TestSamples guards against samples that are invalid or that change when they are encoded as parts and parsed again.
func TestSamples(t *testing.T) {
	for _, name := range settings.Samples() {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			tree := sample(t, name)
			again, err := settings.FromParts(tree.Parts())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(again).To(Equal(tree))
			g.Expect(tree.FailureDomains()).To(HaveLen(3))
			g.Expect(tree.Workspaces()).To(Equal(5))
			for _, p := range tree.Pipelines() {
				e, err := tree.Effective("", p, "")
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(len(e.Stages)).To(BeNumerically(">=", 3))
			}
		})
	}
}

// TestParseReportsAllFindings guards against a finding that hides others or has a wrong position.
func TestParseReportsAllFindings(t *testing.T) {
	src := `{
  "root": {"deadline": 8},
  "pools": {
    "model": {"cold": 9, "warm": 2},
    "model": {"cold": 1, "warm": 2},
    "loans": {"cold": 1, "warm": 2, "colour": 3},
  },
  "pipelines": {
    "a": {"parent": "a"},
    "b": {"deadline": "0s", "stages": [{"kind": "encode", "pool": "loans"}]},
    "c": {"weight": 0, "stages": [
      {"kind": "action", "pool": "loans"},
      {"kind": "generate", "pool": "engine", "timeout": "9s"},
    ]},
  },
}`
	want := []string{
		`2:24: root.deadline: want a duration with a unit such as "8s", not 8`,
		`4:23: pool model: cold 9 is above warm 2`,
		`5:5: pools: duplicate key "model"`,
		`6:37: pool loans: unknown key "colour"`,
		`9:21: pipeline a: its parents form a cycle`,
		`10:23: pipeline b.deadline: 0s is outside 1ms to 1m0s`,
		`11:21: pipeline c.weight: 0 is outside 1 to 1000`,
		`12:7: pipeline c: action stage "action" is not idempotent and must be the last stage`,
		`13:36: pipeline c: stage generate: pool "engine" does not exist`,
		`13:57: pipeline c: stage generate: timeout 9s is over the deadline 8s`,
	}
	g := NewWithT(t)
	_, err := settings.Parse("f.json", []byte(src))
	findings, ok := settings.AsFindings(err)
	g.Expect(ok).To(BeTrue())
	g.Expect(strings.Split(findings.Error(), "\n")).To(Equal(withPrefix("f.json:", want)))
}

func withPrefix(prefix string, lines []string) []string {
	out := make([]string, len(lines))
	for i, l := range lines {
		out[i] = prefix + l
	}
	return out
}

// TestParseRules guards against a rule that is not enforced. Each source violates one rule.
func TestParseRules(t *testing.T) {
	pools := `"pools":{"m":{"cold":1,"warm":1}}`
	stage := `{"kind":"generate","pool":"m"}`
	chain := &strings.Builder{}
	for i := range 18 {
		fmt.Fprintf(chain, `"w%d":{"parent":"w%d"},`, i, i+1)
	}
	for name, c := range map[string]struct{ src, want string }{
		"syntax":            {"{\n  \"root\": }", "2:11: syntax: invalid character '}' at start of value"},
		"too deep":          {strings.Repeat("[", 100_000), "nested more than 64 levels deep"},
		"not an object":     {`[]`, "want an object, not a list"},
		"section":           {`{"pool":{}}`, `unknown key "pool"`},
		"no unit":           {`{"root":{"hedge":"8"}}`, `want a duration with a unit such as "8s", not "8"`},
		"fraction":          {`{"root":{"retries":1.5}}`, "1.5 is outside 0 to 1"},
		"hedge":             {`{"root":{"hedge":"8s"},` + pools + `,"pipelines":{"p":{"stages":[` + stage + `]}}}`, "hedge 8s is not below the deadline 8s"},
		"no stages":         {`{"pipelines":{"p":{}}}`, "no stages, and no parent has any"},
		"empty stages":      {`{"pipelines":{"p":{"stages":[]}}}`, "0 stages, want 1 to 6"},
		"seven stages":      {`{` + pools + `,"pipelines":{"p":{"stages":[` + strings.Repeat(stage+",", 7) + `]}}}`, "7 stages, want 1 to 6"},
		"stage twice":       {`{` + pools + `,"pipelines":{"p":{"stages":[` + stage + "," + stage + `]}}}`, `duplicate stage "generate"`},
		"kind":              {`{` + pools + `,"pipelines":{"p":{"stages":[{"kind":"fly","pool":"m"}]}}}`, `unknown kind "fly"`},
		"stream":            {`{` + pools + `,"pipelines":{"p":{"stages":[{"kind":"encode","pool":"m","stream":true}]}}}`, "only a generate stage can stream"},
		"not idempotent":    {`{` + pools + `,"pipelines":{"p":{"stages":[{"kind":"encode","pool":"m","idempotent":false}]}}}`, "only an action stage can be non-idempotent"},
		"no warm":           {`{"pools":{"m":{"cold":1}}}`, "cold and warm are required"},
		"domain twice":      {`{"regions":{"a":{"domains":{"d":{}}},"b":{"domains":{"d":{}}}}}`, "already defined in region a"},
		"workspace parent":  {`{"workspaces":{"a":{"parent":"b"}}}`, `1:30: workspace a: parent "b" does not exist`},
		"workspace cycle":   {`{"workspaces":{"a":{"parent":"a"}}}`, "cycle"},
		"workspace nested":  {`{"workspaces":{"a":{"workspaces":{"b":{"parent":"a"}}}}}`, "a nested workspace cannot set parent"},
		"workspace twice":   {`{"workspaces":{"a":{"workspaces":{"a":{}}}}}`, "defined twice"},
		"too many parents":  {`{"workspaces":{` + chain.String() + `"w18":{}}}`, "more than 16 parents"},
		"name":              {`{"workspaces":{"A b":{}}}`, "want lower-case letters"},
		"number as boolean": {`{"pools":{"m":{"cold":1,"warm":1,"fences":1}}}`, "want true or false, not 1"},
		"unknown key":       {`{"regions":{"a":{"speed":1}}}`, `region a: unknown key "speed"`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := settings.Parse("f", []byte(c.src))
			NewWithT(t).Expect(err).To(MatchError(ContainSubstring(c.want)))
		})
	}
}

// TestLookupOrder guards against a wrong lookup order.
func TestLookupOrder(t *testing.T) {
	g := NewWithT(t)
	tree, err := settings.Parse("f", []byte(`{
		"root": {"deadline": "5s", "retries": 0.2},
		"pools": {"m": {"cold": 1, "warm": 1}},
		"regions": {"r": {"limit": 7, "hedge": "1s", "domains": {"d": {"limit": 8, "deadline": "4s"}}}},
		"pipelines": {"base": {"weight": 5, "stages": [{"kind": "generate", "pool": "m", "timeout": "5s"}]}, "p": {"parent": "base", "limit": 9}},
		"workspaces": {"top": {"weight": 6, "workspaces": {"sub": {"deadline": "3s"}}}},
	}`))
	g.Expect(err).NotTo(HaveOccurred())
	for key, want := range map[string]string{
		"deadline": "3s workspace sub", "weight": "6 workspace top", "limit": "9 pipeline p",
		"hedge": "1s region r", "retries": "0.2 root", "stages": "generate pipeline base",
	} {
		got, err := tree.Explain("sub", "p", "d", key)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got.Value + " " + got.From.String()).To(Equal(want))
	}
	e, err := tree.Effective("sub", "p", "d")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(e).To(Equal(settings.Effective{
		Deadline: 3 * time.Second, Weight: 6, Limit: 9, Retries: 0.2, Hedge: time.Second,
		Stages: []settings.Stage{{Name: "generate", Kind: settings.Generate, Pool: "m", Idempotent: true, Timeout: 3 * time.Second}},
	}))
	_, err = tree.Effective("nobody", "p", "d")
	g.Expect(errors.As(err, &settings.NotFoundError{})).To(BeTrue())
}

// TestPartChanges guards against accepting a change to one part that makes another part invalid.
func TestPartChanges(t *testing.T) {
	g := NewWithT(t)
	tree := sample(t, "kitab")
	_, err := tree.WithWorkspace("buses", nil)
	g.Expect(err).To(MatchError(ContainSubstring(`workspace gabes: parent "buses" does not exist`)))
	_, err = tree.WithWorkspace("buses", []byte(`{"parent":"gabes"}`))
	g.Expect(err).To(MatchError(ContainSubstring("cycle")))
	_, err = tree.WithPart("pools", []byte(`{"model":{"cold":1,"warm":2}}`))
	g.Expect(err).To(MatchError(MatchRegexp(`pipelines:1:\d+: pipeline \w+: stage \w+: pool "encoder" does not exist`)))
	_, err = tree.WithPart("workspaces/zz", []byte(`{}`))
	g.Expect(err).To(MatchError(ContainSubstring("unknown part")))
	wrong := "workspaces/00"
	if settings.PartOf("gabes") == wrong {
		wrong = "workspaces/01"
	}
	_, err = tree.WithPart(wrong, []byte(`{"gabes":{}}`))
	g.Expect(err).To(MatchError(ContainSubstring("belongs in part")))

	next, err := tree.WithWorkspace("gabes", []byte(`{"parent":"schools"}`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(settings.ChangedParts(tree.Digests(), next.Digests())).To(Equal([]string{settings.PartOf("gabes")}))
	old, err := tree.Explain("gabes", "tag", "", "weight")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(old.Value).To(Equal("4"), "the original tree must not change")
}

// TestWorkspaceChanges guards against a tree that, after changes to single workspaces, differs from one parsed from its
// parts.
func TestWorkspaceChanges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		tree := settings.Empty()
		for range rapid.IntRange(1, 30).Draw(rt, "changes") {
			name := id.Workspace(fmt.Sprintf("w%d", rapid.IntRange(0, 9).Draw(rt, "name")))
			src := rapid.SampledFrom([]string{
				"", "{}", `{"weight":3}`, `{"parent":"w1"}`, `{"parent":"w2","limit":4}`, `{"parent":"w3"}`,
			}).Draw(rt, "source")
			next, err := tree.WithWorkspace(name, []byte(src))
			if err != nil {
				continue
			}
			tree = next
			again, err := settings.FromParts(tree.Parts())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(again.Digests()).To(Equal(tree.Digests()))
			g.Expect(again.Workspaces()).To(Equal(tree.Workspaces()))
		}
	})
}

// TestParseNode guards against accepting node settings with which a process cannot work.
func TestParseNode(t *testing.T) {
	valid := `{"name":"a1","domain":"d","region":"r","peer":"10.0.0.1:1","caller":"0.0.0.0:2","admin":"10.0.0.1:3","platform":"10.0.0.9:4"%s}`
	g := NewWithT(t)
	n, err := settings.ParseNode("n", fmt.Appendf(nil, valid, `,"limits":{"grace":"5s"}`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n.Limits).To(Equal(settings.Limits{Body: 1 << 20, Open: 4096, Grace: 5 * time.Second}))
	for name, c := range map[string]struct{ src, want string }{
		"missing":     {`{}`, "platform is required"},
		"unknown":     {fmt.Sprintf(valid, `,"peers":1`), `unknown key "peers"`},
		"unspecified": {strings.Replace(fmt.Sprintf(valid, ""), "10.0.0.1:1", "0.0.0.0:1", 1), "cannot connect"},
		"same":        {strings.Replace(fmt.Sprintf(valid, ""), "10.0.0.1:3", "10.0.0.1:1", 1), "same address as peer"},
		"no port":     {strings.Replace(fmt.Sprintf(valid, ""), "10.0.0.1:3", "10.0.0.1", 1), "want an IP address and port"},
		"limit":       {fmt.Sprintf(valid, `,"limits":{"open":0}`), "0 is outside"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := settings.ParseNode("n", []byte(c.src))
			NewWithT(t).Expect(err).To(MatchError(ContainSubstring(c.want)))
		})
	}
}

func FuzzParse(f *testing.F) {
	for _, name := range settings.Samples() {
		src, _ := settings.Sample(name)
		f.Add(src)
	}
	f.Add([]byte(`{"workspaces":{"a":{"parent":"a"}},"pipelines":{"p":{"stages":[{}]}}}`))
	f.Fuzz(func(t *testing.T, src []byte) {
		tree, err := settings.Parse("f", src)
		if err != nil {
			if _, ok := settings.AsFindings(err); !ok {
				t.Fatalf("error without findings: %v", err)
			}
			return
		}
		again, err := settings.FromParts(tree.Parts())
		if err != nil || len(settings.ChangedParts(tree.Digests(), again.Digests())) > 0 {
			t.Fatalf("the parts of a valid tree parse to a different tree: %v", err)
		}
	})
}

func FuzzFromParts(f *testing.F) {
	f.Add("workspaces/00", []byte(`{"a":{}}`))
	f.Add("pools", []byte(`{"m":{"cold":1,"warm":2}}`))
	f.Add("domains", []byte(`{"r":{"domains":{"d":{}}}}`))
	f.Fuzz(func(_ *testing.T, name string, src []byte) { _, _ = settings.FromParts(map[string][]byte{name: src}) })
}

func FuzzParseNode(f *testing.F) {
	f.Add([]byte(`{"name":"a1","peer":"10.0.0.1:1","limits":{"grace":"5s"}}`))
	f.Add([]byte(`"x"`))
	f.Fuzz(func(_ *testing.T, src []byte) { _, _ = settings.ParseNode("n", src) })
}

// largeTree returns a tree with the number of workspaces that is expected in two years. A tenth of them are the parents
// of the others.
func largeTree(t testing.TB) *settings.Tree {
	const count = 21_000
	b := &strings.Builder{}
	b.WriteString(`{"workspaces":{`)
	for i := range count {
		fmt.Fprintf(b, `"customer-%05d":{"weight":%d,"limit":%d`, i, 1+i%9, 16+i%50)
		if i >= count/10 {
			fmt.Fprintf(b, `,"parent":"customer-%05d"`, i%(count/10))
		}
		b.WriteString("},")
	}
	b.WriteString("}}")
	tree, err := settings.Parse("large", []byte(b.String()))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return tree
}

// BenchmarkHeldMemory reports the heap memory that a large tree holds.
func BenchmarkHeldMemory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		tree := largeTree(b)
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(tree)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "held-MB")
	}
}

// BenchmarkChange changes one workspace. A change of its parent also checks all other workspaces.
func BenchmarkChange(b *testing.B) {
	tree := largeTree(b)
	for name, src := range map[string]string{
		"value": `{"parent":"customer-00001","weight":8}`, "parent": `{"parent":"customer-00002"}`,
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := tree.WithWorkspace("customer-14701", []byte(src)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkEffective(b *testing.B) {
	tree := sample(b, "kitab")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := tree.Effective("gabes", "answer", "tn-gabes"); err != nil {
			b.Fatal(err)
		}
	}
}
