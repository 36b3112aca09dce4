package balance_test

import (
	"fmt"
	"testing"
	"time"

	"bluebellflow/core/balance"
)

// BenchmarkPick measures a decision among 1,000 servers, with its start and its end.
func BenchmarkPick(b *testing.B) {
	for _, servers := range []int{90, 1000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			h := newHarness(servers)
			var queries []balance.Query
			for i := range uint64(1000) {
				queries = append(queries, prompt(i+1))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				h.now = h.now.Add(time.Millisecond)
				q := queries[i%len(queries)]
				s, _ := h.Pick(h.now, q)
				h.Start(h.now, s, q)
				h.End(h.now, s.ID, h.now, balance.Outcome{Took: time.Second, Events: 10})
			}
		})
	}
}
