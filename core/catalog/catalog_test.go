package catalog_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"bluebellflow/core/catalog"
	"bluebellflow/core/id"
)

// config returns a configuration with two routes of one host, and two pools of which one runs stages.
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

// TestRoute guards against requests that go by another route than the longest prefix of their host.
func TestRoute(t *testing.T) {
	c, err := catalog.New(config(nil))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	cases := map[string]struct{ host, path, want string }{
		"shorter prefix":        {"books.example", "/a/x", "short"},
		"longest prefix":        {"books.example", "/a/b/c", "long"},
		"case of the host":      {"BOOKS.example", "/a/b/", "long"},
		"prefix without end":    {"books.example", "/a/b", "short"},
		"other path":            {"books.example", "/b/", ""},
		"other host":            {"cards.example", "/a/", ""},
		"not at the path's top": {"books.example", "/x/a/", ""},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			got := ""
			if r := c.Route(one.host, one.path); r != nil {
				got = r.Name
			}
			NewWithT(t).Expect(got).To(Equal(one.want))
		})
	}
}

// TestCheck guards against a configuration that is taken although a part of it cannot work.
func TestCheck(t *testing.T) {
	stages := func(list ...catalog.Stage) func(*catalog.Config) {
		return func(c *catalog.Config) { c.Routes[0].Stages = list }
	}
	cases := map[string]struct {
		change func(*catalog.Config)
		want   string // part of the error, empty for none
	}{
		"good":                        {stages(catalog.Stage{Pool: "times"}, catalog.Stage{Pool: "times", After: []int{0}}), ""},
		"no version":                  {func(c *catalog.Config) { c.Version = 0 }, "without a version"},
		"prefix without a slash":      {func(c *catalog.Config) { c.Routes[1].Prefix = "/a/b" }, `route "long"`},
		"no pool":                     {func(c *catalog.Config) { c.Routes[0].Targets = nil }, "no pool"},
		"pool that runs no stages":    {stages(catalog.Stage{Pool: "model"}), "runs no stages"},
		"unknown pool":                {stages(catalog.Stage{Pool: "nowhere"}), "runs no stages"},
		"a stage that follows itself": {stages(catalog.Stage{Pool: "times", After: []int{0}}), "comes after stage 0"},
		"a stage before the first":    {stages(catalog.Stage{Pool: "times", After: []int{-1}}), "comes after stage -1"},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := catalog.New(config(one.change))
			if one.want == "" {
				NewWithT(t).Expect(err).NotTo(HaveOccurred())
				return
			}
			NewWithT(t).Expect(err).To(MatchError(ContainSubstring(one.want)))
		})
	}
}

// TestKeys guards against callers of one workspace that pass for those of another, and against open doors.
func TestKeys(t *testing.T) {
	g := NewWithT(t)
	c, err := catalog.New(config(nil))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.KeyRequired()).To(BeTrue())
	g.Expect(c.Workspace("k2").Name).To(Equal(id.Workspace("tunis")))
	g.Expect(c.Workspace("k3")).To(BeNil())
	g.Expect(c.Workspace("")).To(BeNil())
	open, err := catalog.New(config(func(c *catalog.Config) { c.Workspaces = nil }))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(open.KeyRequired()).To(BeFalse())
}

// TestAtMostOnce guards against a second run of what must not run twice.
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

// TestFinalStages guards against a request that reaches a model with the results of the wrong stages.
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
