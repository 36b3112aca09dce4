package membudget_test

import (
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"

	"bluebellflow/io/membudget"
)

const (
	limit = 64 << 10
	total = 100 << 10
)

// TestReadAll guards against responses that are cut or accepted beyond their limit, and against bytes that are lost when a
// budget is used up.
func TestReadAll(t *testing.T) {
	broken := errors.New("broken")
	for name, c := range map[string]struct {
		size int
		then error // error at the end, nil for the end of the response
		want error
	}{
		"empty":               {0, nil, nil},
		"short":               {100, nil, nil},
		"as large as allowed": {limit, nil, nil},
		"larger":              {limit + 1, nil, membudget.ErrTooLarge},
		"much larger":         {10 * limit, nil, membudget.ErrTooLarge},
		"broken off":          {5000, broken, broken},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b := membudget.New(total)
			s := b.NewShare()
			text := strings.Repeat("0123456789", c.size/10+1)[:c.size]
			var r io.Reader = strings.NewReader(text)
			if c.then != nil {
				r = io.MultiReader(r, iotest.ErrReader(c.then))
			}
			raw, err := s.ReadAll(iotest.HalfReader(r), limit)
			if c.want == nil {
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(string(raw)).To(Equal(text))
			} else {
				g.Expect(err).To(MatchError(c.want))
				g.Expect(text).To(HavePrefix(string(raw)))
			}
			s.Release()
			g.Expect(b.Left()).To(Equal(int64(total)))
		})
	}
}

// TestExhausted guards against a budget that is exceeded, and against short responses that fail because it is used up.
func TestExhausted(t *testing.T) {
	g := NewWithT(t)
	b := membudget.New(total)
	long, short := strings.Repeat("l", limit), strings.Repeat("s", membudget.FreeBytes-1)
	var open []*membudget.Share
	exhausted := 0
	for range 10 {
		s := b.NewShare()
		raw, err := s.ReadAll(strings.NewReader(long), limit)
		if errors.Is(err, membudget.ErrExhausted) {
			exhausted++
			rest, _ := io.ReadAll(strings.NewReader(long[len(raw):]))
			g.Expect(string(raw) + string(rest)).To(Equal(long))
		}
		g.Expect(b.Left()).To(BeNumerically(">=", 0))
		open = append(open, s)
	}
	g.Expect(exhausted).To(BeNumerically(">", 5))
	s := b.NewShare()
	raw, err := s.ReadAll(strings.NewReader(short), limit)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(raw)).To(Equal(short))
	for _, s := range open {
		s.Release()
	}
	g.Expect(b.Left()).To(Equal(int64(total)))
}

// TestConcurrentShares guards against bytes that are counted twice or never returned.
func TestConcurrentShares(t *testing.T) {
	b := membudget.New(total)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 1000 {
				s := b.NewShare()
				_, _ = s.ReadAll(strings.NewReader(strings.Repeat("x", 40<<10)), limit)
				s.Release()
			}
		})
	}
	group.Wait()
	NewWithT(t).Expect(b.Left()).To(Equal(int64(total)))
}
