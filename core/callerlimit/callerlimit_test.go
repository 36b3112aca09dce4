package callerlimit_test

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/callerlimit"
)

var (
	start    = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	balancer = netip.MustParseAddr("10.0.0.1")
	other    = netip.MustParseAddr("10.0.0.2")
)

// conn is a connection of a test: its address, phase, age of the last progress and held bytes. Its name is its index plus 1.
type conn struct {
	from  netip.Addr
	phase callerlimit.Phase
	age   time.Duration
	held  int64
}

// open opens a connection if there is room for it, or after it has closed another one.
func open(t *callerlimit.Table, now time.Time, c callerlimit.Conn, from netip.Addr) (evicted callerlimit.Conn, ok bool) {
	if evicted, ok = t.Room(now, from); evicted != 0 {
		t.Close(evicted)
	}
	if ok {
		t.Open(now, c, from)
	}
	return evicted, ok
}

func tableOf(g *WithT, conns []conn) *callerlimit.Table {
	t := callerlimit.NewTable(len(conns))
	for i, c := range conns {
		name := callerlimit.Conn(i + 1)
		evicted, ok := open(t, start, name, c.from)
		g.Expect(ok).To(BeTrue(), "refused without pressure")
		g.Expect(evicted).To(BeZero(), "closed without pressure")
		t.SetPhase(start.Add(-c.age), name, c.phase)
		t.Hold(name, c.held)
	}
	return t
}

// TestOpen guards against a crowd that keeps new connections out, and against broken requests.
func TestOpen(t *testing.T) {
	const young, old = callerlimit.StallTime / 2, 2 * callerlimit.StallTime
	for name, c := range map[string]struct {
		conns []conn
		want  callerlimit.Conn // 0 if the new connection is refused
	}{
		"all are running":                    {[]conn{{balancer, callerlimit.Running, old, 0}, {other, callerlimit.Running, old, 9}}, 0},
		"a silent one before an idle one":    {[]conn{{balancer, callerlimit.Idle, old, 0}, {balancer, callerlimit.New, old, 0}}, 2},
		"a stalled body before an idle one":  {[]conn{{balancer, callerlimit.Idle, old, 0}, {balancer, callerlimit.Reading, old, 1}}, 2},
		"the one that is silent for longest": {[]conn{{other, callerlimit.New, old, 0}, {other, callerlimit.New, old + 1, 0}}, 2},
		"an unproven one before an idle one": {[]conn{{balancer, callerlimit.Idle, old, 0}, {balancer, callerlimit.New, young, 0}}, 2},
		"an idle one before an arriving one": {[]conn{{other, callerlimit.Reading, young, 0}, {balancer, callerlimit.Idle, young, 0}}, 2},
		"an arriving one of the same caller": {[]conn{{balancer, callerlimit.Reading, young, 0}}, 0},
		"an arriving one of a crowd": {[]conn{
			{other, callerlimit.Reading, young, 0}, {other, callerlimit.Reading, young + 1, 0}, {balancer, callerlimit.Running, old, 0},
		}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			table := tableOf(g, c.conns)
			from := netip.MustParseAddr("10.0.0.3")
			if name == "an arriving one of the same caller" {
				from = balancer
			}
			evicted, ok := open(table, start, 100, from)
			g.Expect(evicted).To(Equal(c.want))
			g.Expect(ok).To(Equal(c.want != 0))
			g.Expect(table.Len()).To(Equal(len(c.conns)))
		})
	}
}

// TestMemoryVictim guards against a crowd that keeps the memory from others, and against memory taken from running requests.
func TestMemoryVictim(t *testing.T) {
	const old = 2 * callerlimit.StallTime
	for name, c := range map[string]struct {
		conns []conn // the first one asks for 10 bytes
		want  callerlimit.Conn
	}{
		"running requests keep theirs":  {[]conn{{balancer, callerlimit.Reading, 0, 0}, {other, callerlimit.Running, old, 99}}, 0},
		"a stalled one":                 {[]conn{{balancer, callerlimit.Reading, 0, 0}, {other, callerlimit.Reading, 0, 99}, {other, callerlimit.Reading, old, 1}}, 3},
		"the largest one":               {[]conn{{balancer, callerlimit.Reading, 0, 0}, {balancer, callerlimit.Reading, 0, 11}, {balancer, callerlimit.Reading, 0, 12}}, 3},
		"the largest one asks":          {[]conn{{balancer, callerlimit.Reading, 0, 0}, {balancer, callerlimit.Reading, 0, 9}}, 0},
		"the address that has the most": {[]conn{{balancer, callerlimit.Reading, 0, 0}, {other, callerlimit.Reading, 0, 6}, {other, callerlimit.Reading, 0, 7}}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(tableOf(g, c.conns).MemoryVictim(start, 1, 10)).To(Equal(c.want))
		})
	}
}

// TestProgress guards against a caller that keeps its place by sending single bytes.
func TestProgress(t *testing.T) {
	g := NewWithT(t)
	table := tableOf(g, []conn{{balancer, callerlimit.Reading, 0, 5}, {balancer, callerlimit.Reading, 0, 4}})
	later := start.Add(callerlimit.StallTime)
	table.Progress(later, 1, 2000)
	table.Progress(later, 2, 20)
	evicted, ok := open(table, later, 3, other)
	g.Expect(ok).To(BeTrue())
	g.Expect(evicted).To(Equal(callerlimit.Conn(2)))
}

// TestBegin guards against a connection that is closed as idle although a request arrives on it, and against one that is never closed.
func TestBegin(t *testing.T) {
	g := NewWithT(t)
	table := tableOf(g, []conn{{balancer, callerlimit.Idle, 0, 0}, {balancer, callerlimit.Running, 0, 0}})
	g.Expect(table.Begin(start, 1)).To(BeTrue())
	for name := range callerlimit.Conn(3) {
		g.Expect(table.Begin(start, name)).To(BeFalse(), "connection %d", name)
	}
	_, ok := open(table, start, 3, balancer)
	g.Expect(ok).To(BeFalse())
	evicted, _ := open(table, start.Add(callerlimit.StallTime), 3, balancer)
	g.Expect(evicted).To(Equal(callerlimit.Conn(1)))
}
