package dag_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"bluebellflow/core/dag"
)

// TestOrder guards against an order in which something precedes what it depends on, and against circles without an error.
func TestOrder(t *testing.T) {
	for name, c := range map[string]struct {
		after [][]int
		want  []int // nil for an error
	}{
		"nothing":            {nil, []int{}},
		"in order":           {[][]int{nil, {0}, {0, 1}}, []int{0, 1, 2}},
		"in reverse":         {[][]int{{1}, {2}, nil}, []int{2, 1, 0}},
		"independent":        {[][]int{nil, {3}, nil, nil}, []int{0, 2, 3, 1}},
		"itself":             {[][]int{{0}}, nil},
		"circle":             {[][]int{nil, {2}, {3}, {1}}, nil},
		"behind a circle":    {[][]int{{1}, {2}, {1}}, nil},
		"twice the same one": {[][]int{{1, 1}, nil}, []int{1, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := dag.Order(len(c.after), func(i int) []int { return c.after[i] })
			if c.want == nil {
				NewWithT(t).Expect(err).To(MatchError(dag.ErrCycle))
				return
			}
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			NewWithT(t).Expect(got).To(Equal(c.want))
		})
	}
}
