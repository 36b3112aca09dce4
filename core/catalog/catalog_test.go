package catalog_test

import (
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"bluebellflow/core/catalog"
	"bluebellflow/core/id"
)

// config returns a configuration with two routes of one host and two pools, of which one runs stages.
func config(change func(*catalog.Config)) catalog.Config {
	c := catalog.Config{
		Version: 1,
		Pools:   []catalog.Pool{{Name: "model"}, {Name: "times", Pieces: &catalog.Pieces{MaxCalls: 1, MaxBatch: 8}}},
		Routes: []catalog.Route{
			{Name: "short", Host: "Books.example", Prefix: "/a/", Targets: []catalog.Target{{Pool: "model", Weight: 1}}},
			{Name: "long", Host: "books.example", Prefix: "/a/b/", Targets: []catalog.Target{{Pool: "model", Weight: 1}}},
		},
		Workspaces: []catalog.Workspace{{Name: "tunis", Keys: []string{"k1", "k2"}}},
	}
	if change != nil {
		change(&c)
	}
	return c
}

// TestRoute guards against requests that do not take the route with the longest matching prefix.
func TestRoute(t *testing.T) {
	c, err := catalog.New(config(nil))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	cases := map[string]struct{ host, path, want string }{
		"shorter prefix":         {"books.example", "/a/x", "short"},
		"longest prefix":         {"books.example", "/a/b/c", "long"},
		"case of the host":       {"BOOKS.example", "/a/b/", "long"},
		"no final slash":         {"books.example", "/a/b", "short"},
		"other path":             {"books.example", "/b/", ""},
		"other host":             {"cards.example", "/a/", ""},
		"prefix inside the path": {"books.example", "/x/a/", ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			got := ""
			if r := c.Route(tc.host, tc.path); r != nil {
				got = r.Name
			}
			NewWithT(t).Expect(got).To(Equal(tc.want))
		})
	}
}

// TestStageOrder guards against a configuration that is ignored because a stage depends on one with a higher number.
func TestStageOrder(t *testing.T) {
	for name, after := range map[string][][]int{
		"lower numbers":   {{}, {0}, {0, 1}},
		"higher numbers":  {{1, 2}, {2}, {}},
		"both":            {{2}, {0, 2}, {}, {1, 0}},
		"named twice":     {{1, 1}, {}},
		"not connected":   {{3}, {}, {1}, {}},
		"many in reverse": reversed(100),
	} {
		t.Run(name, func(t *testing.T) {
			c, err := catalog.New(config(func(c *catalog.Config) {
				for _, list := range after {
					c.Routes[0].Stages = append(c.Routes[0].Stages, catalog.Stage{Pool: "times", After: list})
				}
			}))
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			r := c.Route("books.example", "/a/x")
			NewWithT(t).Expect(r.Problem).NotTo(HaveOccurred())
			for _, s := range r.Stages {
				NewWithT(t).Expect(slices.Compact(slices.Clone(s.After))).To(Equal(s.After), "a result is read once")
			}
		})
	}
}

// reversed returns n stages, each of which depends on the next one.
func reversed(n int) [][]int {
	out := make([][]int, n)
	for i := range n - 1 {
		out[i] = []int{i + 1}
	}
	return out
}

// TestCheck guards against invalid configurations that are accepted, and against a route that cannot be served and keeps the
// rest of a configuration out of force.
func TestCheck(t *testing.T) {
	stages := func(list ...catalog.Stage) func(*catalog.Config) {
		return func(c *catalog.Config) { c.Routes[0].Stages = list }
	}
	cases := map[string]struct {
		change func(*catalog.Config)
		want   string // part of the error, empty for none
	}{
		"valid":                       {stages(catalog.Stage{Pool: "times"}, catalog.Stage{Pool: "times", After: []int{0}}), ""},
		"no version":                  {func(c *catalog.Config) { c.Version = 0 }, "has no version"},
		"prefix without a slash":      {func(c *catalog.Config) { c.Routes[1].Prefix = "/a/b" }, `route "long"`},
		"no pool":                     {func(c *catalog.Config) { c.Routes[0].Targets = nil }, "no target pool"},
		"pool that runs no stages":    {stages(catalog.Stage{Pool: "model"}), "runs no stages"},
		"unknown pool":                {stages(catalog.Stage{Pool: "nowhere"}), "runs no stages"},
		"stage that needs itself":     {stages(catalog.Stage{Pool: "times", After: []int{0}}), "depend on each other"},
		"stages in a circle":          {stages(catalog.Stage{Pool: "times", After: []int{1}}, catalog.Stage{Pool: "times", After: []int{0}}), "depend on each other"},
		"stage with a negative index": {stages(catalog.Stage{Pool: "times", After: []int{-1}}), "depends on stage -1"},
		"stage that does not exist":   {stages(catalog.Stage{Pool: "times", After: []int{1}}), "depends on stage 1"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			broken := config(tc.change)
			c, err := catalog.New(broken)
			if tc.want == "" {
				NewWithT(t).Expect(err).NotTo(HaveOccurred())
				NewWithT(t).Expect(c.Problem()).NotTo(HaveOccurred())
				return
			}
			if broken.Version == 0 {
				NewWithT(t).Expect(err).To(MatchError(ContainSubstring(tc.want)))
				return
			}
			NewWithT(t).Expect(c.Problem()).To(MatchError(ContainSubstring(tc.want)))
			served := 0
			for _, path := range []string{"/a/x", "/a/b/x"} {
				if c.Route("books.example", path).Problem == nil {
					served++
				}
			}
			NewWithT(t).Expect(served).To(Equal(1), "the broken route is not served, the other one is")
		})
	}
}

// TestKeys guards against a key that is assigned to the wrong workspace, and against unauthenticated access.
func TestKeys(t *testing.T) {
	g := NewWithT(t)
	c, err := catalog.New(config(nil))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.KeyRequired()).To(BeTrue())
	g.Expect(c.Workspace("k2").Name).To(Equal(id.Workspace("tunis")))
	g.Expect(c.Workspace("k3")).To(BeNil())
	g.Expect(c.Workspace("")).To(BeNil())
	anonymous, err := catalog.New(config(func(c *catalog.Config) { c.Workspaces = nil }))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(anonymous.KeyRequired()).To(BeFalse())
}

// TestAtMostOnce guards against retries of requests that must run at most once.
func TestAtMostOnce(t *testing.T) {
	cases := map[string]struct {
		route catalog.Route
		want  bool
	}{
		"safe":             {catalog.Route{Kind: catalog.Safe}, false},
		"unsafe":           {catalog.Route{Kind: catalog.Unsafe}, true},
		"stream":           {catalog.Route{Kind: catalog.Stream}, true},
		"resumable stream": {catalog.Route{Kind: catalog.Stream, Resumable: true}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { NewWithT(t).Expect(c.route.AtMostOnce()).To(Equal(c.want)) })
	}
}

// TestFinalStages guards against requests that get the results of the wrong stages.
func TestFinalStages(t *testing.T) {
	r := catalog.Route{Stages: []catalog.Stage{{}, {After: []int{0}}, {After: []int{0}}, {After: []int{1}}}}
	cases := map[string]struct{ pieces, want []int }{
		"all":                {[]int{1, 1, 1, 1}, []int{2, 3}},
		"last one omitted":   {[]int{1, 1, 1, 0}, []int{1, 2}},
		"first one only":     {[]int{2, 0, 0, 0}, []int{0}},
		"middle one omitted": {[]int{1, 0, 1, 1}, []int{2, 3}},
		"none":               {[]int{0, 0, 0, 0}, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { NewWithT(t).Expect(r.FinalStages(c.pieces)).To(Equal(c.want)) })
	}
}
