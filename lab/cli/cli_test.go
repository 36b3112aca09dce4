package cli_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"bluebellflow/lab/cli"
)

// TestCommands guards against commands without help, and against running an invalid experiment file.
func TestCommands(t *testing.T) {
	for _, name := range []string{"platform", "engine", "service", "load", "experiment", "plot"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var out bytes.Buffer
			g.Expect(cli.Run(t.Context(), []string{name, "--help"}, cli.WithOutput(&out))).To(Succeed())
			g.Expect(out.String()).To(ContainSubstring("Usage: lab " + name))
		})
	}
	t.Run("bad file", func(t *testing.T) {
		g := NewWithT(t)
		path := filepath.Join(t.TempDir(), "x.jsonc")
		g.Expect(os.WriteFile(path, []byte(`{"name":"x"}`), 0o600)).To(Succeed())
		g.Expect(cli.Run(t.Context(), []string{"experiment", path})).To(MatchError(ContainSubstring("unknown deployment")))
	})
}

// TestExperiment guards against an experiment without a record, and against a record whose table differs from the one
// that the experiment printed.
func TestExperiment(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	path := filepath.Join(dir, "x.jsonc")
	src := `{"name":"x","deployment":"kitab","load":{"seconds":1,"rate":10}}`
	g.Expect(os.WriteFile(path, []byte(src), 0o600)).To(Succeed())
	var first, second bytes.Buffer
	args := []string{"experiment", path, "--nodes", "relay", "--out", dir}
	g.Expect(cli.Run(t.Context(), args, cli.WithOutput(&first))).To(Succeed())
	g.Expect(filepath.Join(dir, "x-attainment.svg")).To(BeAnExistingFile())
	args = []string{"plot", filepath.Join(dir, "x.json"), "--out", dir}
	g.Expect(cli.Run(t.Context(), args, cli.WithOutput(&second))).To(Succeed())
	g.Expect(second.String()).To(Equal(first.String()))
}
