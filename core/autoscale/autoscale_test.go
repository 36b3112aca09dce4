package autoscale

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/catalog"
	"bluebellflow/core/duty"
	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
	"bluebellflow/core/wire"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const models id.Pool = "models"

// alone is the ranking of a node without others, its leases and a fleet without servers.
type alone struct {
	record []byte
	stale  bool
	ready  int // servers
}

func (alone) Leader() id.Node                             { return "n" }
func (alone) Successor(time.Time) id.Node                 { return "" }
func (alone) Active() bool                                { return true }
func (alone) Loaded() bool                                { return true }
func (a alone) Record(duty.Subject) ([]byte, bool)        { return a.record, a.record != nil }
func (a alone) StaleSince(duty.Subject) (time.Time, bool) { return epoch, a.stale }
func (alone) Usable(*fleet.Server) (bool, string)         { return true, "" }
func (alone) requests(id.Pool) (map[id.FailureDomain]int, int) {
	return map[id.FailureDomain]int{"a": 7}, 2
}

func (a alone) Pool(id.Pool) []*fleet.Server {
	var out []*fleet.Server
	for range a.ready {
		out = append(out, &fleet.Server{Entry: fleet.Entry{Domain: "a", Slots: 1}})
	}
	return out
}

func (alone) NewRecord(subject duty.Subject, record []byte) duty.WriteRecord {
	return duty.WriteRecord{Subject: subject, Record: record}
}

func (alone) Call(time.Time, duty.Subject, []byte) (duty.Call, time.Time, bool) {
	return duty.Call{}, time.Time{}, false
}

func (alone) ScaleOrder(id.Pool, id.FailureDomain, int) ([]byte, error) { return []byte("{}"), nil }

func newAlone(g *WithT, a alone) *Autoscaler {
	out := New(event.Self{Node: "n", Rand: rand.New(rand.NewPCG(1, 1))}, a, a, a, a, a.requests)
	c, err := catalog.New(catalog.Config{Version: 1, Pools: []catalog.Pool{{Name: models, Scale: &catalog.Scale{Min: 2, Max: 9, Boot: 8 * time.Second}}}})
	g.Expect(err).NotTo(HaveOccurred())
	out.SetCatalog(c)
	out.SetNodes([]id.Node{"n", "o", "p"}, []id.FailureDomain{"a"})
	return out
}

// TestReports guards against a report that is counted twice, replaces a later one, counts when it is old or from a node that
// is gone, and against refused work that is lost or counted since the start.
func TestReports(t *testing.T) {
	g := NewWithT(t)
	a := newAlone(g, alone{})
	now := epoch
	report := func(from id.Node, sent time.Duration, waiting, refused uint64) {
		a.Step(now, event.Receive{From: from, Incarnation: "i", Body: Demand{Sent: int64(sent), Pools: []PoolDemand{{Pool: models, Waiting: waiting, Refused: refused}}}})
	}
	expect := func(nodes int, waiting, refused float64) {
		m := a.measure(now, models)
		g.ExpectWithOffset(1, []float64{float64(m.nodes), m.waiting, m.refused}).To(Equal([]float64{float64(nodes), waiting, refused}))
	}
	report("o", time.Second, 5, 4000)
	expect(1, 5, 0) // nothing tells when the work was refused
	report("o", 3*time.Second, 6, 10_000)
	report("o", 2*time.Second, 9, 9000)
	report("o", 3*time.Second, 9, 9000)
	report("p", time.Second, 1, 0)
	report("q", time.Second, 100, 0)
	expect(2, 7, 3)
	now = now.Add(maxReportAge + time.Millisecond)
	a.Step(now, event.Tick{})
	m := a.measure(now, models)
	g.Expect(m.nodes).To(Equal(1)) // this node, which reports itself
	g.Expect(m.running).To(HaveKeyWithValue(id.FailureDomain("a"), 7.0))
	a.Refused(models, 2*sendInterval)
	now = now.Add(sendInterval)
	a.Step(now, event.Tick{})
	g.Expect(a.measure(now, models).refused).To(Equal(2.0))
	a.SetNodes([]id.Node{"p"}, nil)
	g.Expect(a.reports).To(HaveLen(1))
}

// TestEstimate guards against silent nodes that count as nodes without requests, and against requests that count twice because
// they have moved from silent nodes to others.
func TestEstimate(t *testing.T) {
	for name, c := range map[string]struct {
		nodes, expected   int
		total, held, want float64
	}{
		"all report":                 {10, 10, 500, 700, 500},
		"one is silent":              {9, 10, 450, 700, 500},
		"a third is silent":          {6, 9, 400, 600, 600},
		"its requests have moved":    {6, 9, 600, 600, 600},
		"demand has grown meanwhile": {6, 9, 700, 600, 700},
		"no earlier demand":          {6, 9, 400, 0, 600},
		"none reports":               {0, 9, 0, 600, 600},
	} {
		m := measured{nodes: c.nodes, expected: c.expected}
		NewWithT(t).Expect(m.estimate(c.total, c.held)).To(Equal(c.want), name)
	}
}

// TestReportedLoad guards against work that only servers know of, such as that of callers that have left.
func TestReportedLoad(t *testing.T) {
	g := NewWithT(t)
	m := measured{running: map[id.FailureDomain]float64{}, reports: map[id.FailureDomain]float64{}, load: map[id.FailureDomain]float64{}}
	m.add(PoolDemand{Domains: []DomainDemand{{Domain: "a", Running: 100, Reports: 50, Load: 600}, {Domain: "b", Running: 100, Reports: 3, Load: 90}}})
	g.Expect(m.total(func(id.FailureDomain) int { return 20 })).To(Equal(340.0)) // 12 at each of 20 servers, and too few reports from b
}

// TestRecord guards against a new holder that orders another number than the recorded one when it knows nothing of the load,
// and against a record that cannot be read.
func TestRecord(t *testing.T) {
	for record, want := range map[string]int{`{"desired":7}`: 7, `{"desired":-7}`: 0, `x`: 0} {
		g := NewWithT(t)
		a := newAlone(g, alone{record: []byte(record)})
		for s := range 5 {
			for _, action := range a.Step(epoch.Add(time.Duration(s)*time.Second), event.Tick{}) {
				if w, ok := action.(duty.WriteRecord); ok {
					g.Expect(string(w.Record)).To(Equal(record)) // it is repeated, because there are no servers
					g.Expect(want).NotTo(BeZero())
				}
			}
		}
		g.Expect(a.placed(models, "a").desired).To(Equal(want), record)
	}
}

// TestStaleRecord guards against a new holder that repeats an order although the store has forgotten a later one, and thereby gives
// up servers that were ordered.
func TestStaleRecord(t *testing.T) {
	for ready, want := range map[int]int{9: 0, 7: 7, 5: 7} {
		g := NewWithT(t)
		a := newAlone(g, alone{record: []byte(`{"desired":7}`), stale: true, ready: ready})
		for s := range 2 * minHistory {
			a.Step(epoch.Add(time.Duration(s)*time.Second), event.Tick{})
			g.Expect(a.placed(models, "a").desired).To(Equal(want), "%d servers", ready)
			g.Expect(a.placed(models, "a").open).To(Equal(ready < want && s >= minHistory-1), "%d servers", ready)
		}
		g.Expect(a.pools[models].domain("a").ordered).To(Equal(max(ready, want)))
	}
}

// FuzzDemand guards against a message that terminates a node.
func FuzzDemand(f *testing.F) {
	codec := wire.New(map[uint32]event.Body{95: Demand{}})
	raw, err := codec.Encode(wire.Envelope{From: "o", Incarnation: "00112233445566778899aabbccddeeff"}, Demand{
		Sent: 5, Pools: []PoolDemand{{Pool: models, Waiting: 1, Refused: 2, Domains: []DomainDemand{{Domain: "a", Running: 3, Reports: 4, Load: 5}}}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		ev, err := codec.Decode(raw)
		if err != nil {
			return
		}
		a := newAlone(NewWithT(t), alone{})
		for s := range 60 {
			a.Step(epoch.Add(time.Duration(s)*time.Second), ev)
		}
	})
}

// TestReportedPools guards against a pool that no message can name, so that the demand for all pools is rejected.
func TestReportedPools(t *testing.T) {
	g := NewWithT(t)
	a := newAlone(g, alone{})
	scale := &catalog.Scale{Min: 2, Max: 9, Boot: 8 * time.Second}
	pools := []catalog.Pool{{Name: models, Scale: scale}, {Scale: scale}, {Name: id.Pool(strings.Repeat("x", 300)), Scale: scale}}
	c, err := catalog.New(catalog.Config{Version: 1, Pools: pools})
	g.Expect(err).NotTo(HaveOccurred())
	a.SetCatalog(c)
	d := a.demand(epoch)
	g.Expect(d.Check()).To(Succeed())
	g.Expect(d.Pools).To(ConsistOf(HaveField("Pool", models)))
}
