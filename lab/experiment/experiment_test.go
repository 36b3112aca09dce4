package experiment_test

import (
	"bytes"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"bluebellflow/lab/experiment"
	"bluebellflow/lab/relay"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newRelayFleet() experiment.Fleet { return relay.New() }

// TestParse guards against errors in an experiment file that are found only during the run.
func TestParse(t *testing.T) {
	for name, c := range map[string]struct{ src, problem string }{
		"good":          {`{"name":"a", /* c */ "deployment":"kitab", "load":{"seconds":1,"rate":2},}`, ""},
		"syntax":        {"{\n\"name\" 1}", "line 2"},
		"unknown field": {"{\"name\":\"a\",\n \"sort\":1}", `f:2:2: json: unknown field "sort"`},
		"type":          {"{\"name\":\n1}", "f:2:"},
		"two values":    {`{"name":"a","deployment":"kitab","load":{"seconds":1}} {}`, "after top-level value"},
		"deployment":    {`{"name":"a","deployment":"x","load":{"seconds":1}}`, "unknown deployment"},
		"length":        {`{"name":"a","deployment":"kitab"}`, "length"},
		"kind":          {`{"name":"a","deployment":"kitab","load":{"seconds":1},"faults":[{"kind":"x"}]}`, "unknown kind"},
		"late fault": {
			`{"name":"a","deployment":"kitab","load":{"seconds":1},"faults":[{"at":2,"kind":"kill"}]}`, "outside the run",
		},
		"pool": {
			`{"name":"a","deployment":"kitab","load":{"seconds":1},"faults":[{"kind":"chill","pool":"loans"}]}`,
			"does not support this kind",
		},
		"cold": {`{"name":"a","deployment":"kitab","load":{"seconds":1},"cold":{"model":11}}`, "11 of 10 servers cold"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := experiment.Parse("f", []byte(c.src))
			if c.problem == "" {
				NewWithT(t).Expect(err).NotTo(HaveOccurred())
				return
			}
			NewWithT(t).Expect(err).To(MatchError(ContainSubstring(c.problem)))
		})
	}
}

// TestFiles guards against experiment files in the repository that Parse rejects.
func TestFiles(t *testing.T) {
	g := NewWithT(t)
	paths, err := filepath.Glob("../experiments/*.jsonc")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(paths)).To(BeNumerically(">=", 8))
	for _, path := range paths {
		src, err := os.ReadFile(path)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = experiment.Parse(filepath.Base(path), src)
		g.Expect(err).NotTo(HaveOccurred())
	}
}

func runExperiment(t *testing.T, src string) experiment.Record {
	t.Helper()
	e, err := experiment.Parse("f", []byte(src))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	rec, err := experiment.New(newRelayFleet).Run(t.Context(), e)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return rec
}

// TestRun guards against requests that get lost between the load generator, the nodes, the oracle and the record.
func TestRun(t *testing.T) {
	g := NewWithT(t)
	rec := runExperiment(t, `{"name":"small","deployment":"kitab","repeats":2,"load":{"seconds":1,"rate":40}}`)
	g.Expect(rec.Runs).To(HaveLen(2))
	for _, r := range rec.Runs {
		g.Expect(r.Summary.Requests).To(BeNumerically(">", 20))
		g.Expect(r.Violating).To(BeEmpty())
		total := 0
		for _, n := range r.Summary.Classes {
			total += n
		}
		g.Expect(total).To(Equal(r.Summary.Requests))
		g.Expect(r.Cost["model"].Tokens).To(BeNumerically(">", 100))
	}
	g.Expect(rec.Runs[0].Summary.Requests).NotTo(Equal(rec.Runs[1].Summary.Requests), "repeats have their own seeds")

	var raw, table bytes.Buffer
	g.Expect(rec.Write(&raw)).To(Succeed())
	again, err := experiment.ReadRecord(&raw)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again.Table(&table)).To(Succeed())
	g.Expect(table.String()).To(ContainSubstring("attainment %"))
	paths, err := again.Plot(t.TempDir())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(paths).To(HaveLen(2))
}

// TestOracle guards against an oracle that is not connected to the services. Relays do not deduplicate by key, so an
// action that is retried after a lost answer takes effect twice.
func TestOracle(t *testing.T) {
	g := NewWithT(t)
	rec := runExperiment(t, `{"name":"lost","deployment":"vordach","load":{"seconds":2,"rate":20},
		"faults":[{"at":0,"kind":"service","pool":"bookings","service":{"lost_after":1}},
			{"at":0.5,"kind":"stop","node":0},
			{"at":0.7,"kind":"kill","node":1},
			{"at":0.9,"kind":"admin","method":"GET","path":"status"},
			{"at":1.5,"kind":"service","pool":"bookings","service":{}}]}`)
	g.Expect(rec.Runs[0].Summary.Violations["doubled"]).To(BeNumerically(">", 0))
	g.Expect(rec.Runs[0].Violating).NotTo(BeEmpty())
	g.Expect(rec.Runs[0].Events).To(HaveLen(5))
	for _, ev := range rec.Runs[0].Events {
		g.Expect(ev.Error).To(BeEmpty(), string(ev.Kind))
	}
	g.Expect(rec.Runs[0].Events[3].Status).To(Equal(http.StatusNotImplemented))
}

// FuzzParse guards against a parser that panics, modifies its input or accepts an experiment that does not pass Check.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"name":"a","deployment":"kitab","load":{"seconds":1,"rate":2},"faults":[{"kind":"kill","node":1}]}`))
	f.Add([]byte("{\n// comment\n\"name\":1,}"))
	f.Fuzz(func(t *testing.T, src []byte) {
		before := bytes.Clone(src)
		e, err := experiment.Parse("f", src)
		if !bytes.Equal(before, src) {
			t.Fatal("Parse modified its input")
		}
		if err == nil && e.Check() != nil {
			t.Fatalf("Parse accepted an experiment that does not pass Check: %v", e.Check())
		}
	})
}
