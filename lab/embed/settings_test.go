package embed_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"bluebellflow/core/settings"
	"bluebellflow/lab/embed"
	"bluebellflow/lab/testbed"
)

// TestSettings guards against generated settings that the nodes reject. In both deployments, pipelines begin with an
// idempotent action.
func TestSettings(t *testing.T) {
	for _, d := range []testbed.Description{testbed.Kitab(), testbed.Vordach()} {
		t.Run(d.Name, func(t *testing.T) {
			g := NewWithT(t)
			source, err := embed.Settings(d)
			g.Expect(err).NotTo(HaveOccurred())
			tree, err := settings.Parse(d.Name, source)
			g.Expect(err).NotTo(HaveOccurred())
			for _, w := range d.Workspaces {
				for _, p := range d.Pipelines {
					e, err := tree.Effective(w.Name, p.Name, d.Domains[0])
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(e.Stages).To(HaveLen(len(p.Stages)))
				}
			}
		})
	}
}
