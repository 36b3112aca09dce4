package scaling

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"bluebellflow/core/config"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/node"
	"bluebellflow/core/simulation"
)

const (
	listInterval     = time.Second // period at which a node reads the VM list
	localReportRate  = 30          // load reports per second from servers of the node's failure domain, as in io/backend
	remoteReportRate = 10          // load reports per second from all servers in turn
	serviceTime      = 30 * time.Millisecond
	readsPerStream   = 20 // a read carries several tokens
	readInterval     = 50 * time.Millisecond
	tokensPerRead    = 18 // a request has 20 * 18 = 360 tokens
	settleTime       = 12 * time.Second
)

var pools = []id.Pool{"encoder", "retriever", "model", "loans"}

// Size is the size of a fleet and its load.
type Size struct {
	Nodes      int     `json:"nodes"`
	Domains    int     `json:"domains"`
	Servers    int     `json:"servers"`
	Workspaces int     `json:"workspaces"`
	Rate       float64 `json:"rate"` // requests per second and node; every tenth runs an action with an idempotency key
}

// fleet simulates all nodes, their backend servers and their callers.
type fleet struct {
	*simulation.World
	size         Size
	stats        *Stats
	vms          []event.VM
	localServers map[id.FailureDomain][]int // indexes of the servers of a failure domain
	reportRounds map[id.Node]int            // number of sendLoadReports rounds so far
	requestCount int
	outcomes     map[string]int // number of requests by outcome
	underLoad    bool
}

func domainOf(i, domains int) id.FailureDomain {
	return id.FailureDomain(fmt.Sprintf("d%02d", i%domains))
}

func regionOf(i, domains int) id.Region {
	return id.Region(fmt.Sprintf("r%d", i%domains%min(8, domains)))
}

// newFleet starts all nodes, applies the settings and runs until the fleet has settled.
func newFleet(seed uint64, size Size) *fleet {
	f := &fleet{
		World: simulation.New(seed), size: size, stats: newStats(), localServers: map[id.FailureDomain][]int{},
		reportRounds: map[id.Node]int{}, outcomes: map[string]int{},
	}
	f.OnExternal = f.handleAction
	for i := range size.Nodes {
		f.vms = append(f.vms, event.VM{
			Name: fmt.Sprintf("node-%03d", i), Kind: "entry", Region: regionOf(i, size.Domains),
			Addr:          netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 200), byte(i%200 + 1)}), 7000),
			FailureDomain: domainOf(i, size.Domains),
		})
	}
	for i := range size.Servers {
		d := domainOf(i, size.Domains)
		f.localServers[d] = append(f.localServers[d], i)
		f.vms = append(f.vms, event.VM{
			Name: string(serverName(i)), Kind: "backend", Region: regionOf(i, size.Domains), FailureDomain: d,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i / 200), byte(i%200 + 1)}), 8000),
			Pool: pools[i/size.Domains%len(pools)], Version: "v1",
		})
	}
	codec := node.Codec()
	for _, vm := range f.vms[:size.Nodes] {
		self := event.Self{Node: id.Node(vm.Name), FailureDomain: vm.FailureDomain, Region: vm.Region, Addr: vm.Addr}
		f.Add(self, func(self event.Self) simulation.Stepper {
			return &meter{Node: node.New(self), self: self, codec: codec, fleet: f}
		})
	}
	f.sendVMLists()
	f.sendLoadReports()
	f.Run(2 * time.Second)
	f.Inject(f.Nodes()[0], config.Apply{Command: event.Command{Number: 1}, Source: f.settings(1)}, 0)
	f.Run(settleTime)
	return f
}

// settings returns a settings file for all pools, failure domains and workspaces of the fleet; every workspace has the given
// weight.
func (f *fleet) settings(weight int) []byte {
	s := &strings.Builder{}
	s.WriteString(`{"root": {"deadline": "8s", "weight": 1, "limit": 512, "retries": 0.2}, "pools": {`)
	for _, p := range pools {
		fmt.Fprintf(s, `%q: {"cold": 2, "warm": 64},`, p)
	}
	s.WriteString(`}, "regions": {`)
	for r := range min(8, f.size.Domains) {
		fmt.Fprintf(s, `"r%d": {"domains": {`, r)
		for d := r; d < f.size.Domains; d += 8 {
			fmt.Fprintf(s, `"d%02d": {},`, d)
		}
		s.WriteString(`}},`)
	}
	s.WriteString(`}, "pipelines": {`)
	for p := range 8 {
		fmt.Fprintf(s, `"answer%d": {"stages": [{"kind": "encode", "pool": "encoder"}, {"kind": "retrieve", "pool": "retriever"},
			{"kind": "generate", "pool": "model", "stream": true}]},`, p)
		fmt.Fprintf(s, `"loan%d": {"stages": [{"kind": "encode", "pool": "encoder"}, {"kind": "generate", "pool": "model", "stream": true},
			{"name": "checkout", "kind": "action", "pool": "loans"}]},`, p)
	}
	s.WriteString(`}, "workspaces": {`)
	for i := range f.size.Workspaces {
		fmt.Fprintf(s, `"w%05d": {"weight": %d},`, i, weight)
	}
	s.WriteString(`}}`)
	return []byte(s.String())
}

// sendVMLists sends the VM list to every running node, once per listInterval.
func (f *fleet) sendVMLists() {
	for _, n := range f.Nodes() {
		if f.Up(n) {
			f.Inject(n, event.VMList{List: f.vms}, 2*time.Millisecond)
		}
	}
	f.AfterFunc(listInterval, f.sendVMLists)
}

// sendLoadReports sends each node the load reports that its polls return within 100 ms: from servers of its own failure
// domain, at most two per second and server, and from all servers in turn.
func (f *fleet) sendLoadReports() {
	for _, n := range f.Nodes() {
		if !f.Up(n) {
			continue
		}
		local := f.localServers[f.Self(n).FailureDomain]
		f.reportRounds[n]++
		round := f.reportRounds[n]
		count := min(localReportRate/10, (len(local)+4)/5)
		for i := range count {
			f.sendLoadReport(n, local[(round*count+i)%len(local)])
		}
		for i := range remoteReportRate / 10 {
			f.sendLoadReport(n, (round*remoteReportRate/10+i)%f.size.Servers)
		}
	}
	f.AfterFunc(100*time.Millisecond, f.sendLoadReports)
}

func (f *fleet) sendLoadReport(to id.Node, server int) {
	f.Inject(to, event.LoadReport{
		Server: serverName(server), Start: serverStart(server), Version: "v1", Limit: 64, Warm: true, At: f.Now,
	}, time.Millisecond)
}

func serverStart(server int) id.Start { return id.Start(fmt.Sprintf("server-%04d#1", server)) }

// handleAction answers dispatched attempts and counts the outcomes of requests.
func (f *fleet) handleAction(_ *simulation.World, from id.Node, a event.Action) {
	switch a := a.(type) {
	case event.Dispatch:
		f.answerAttempt(from, a)
	case event.Reply:
		if a.End && a.Problem != nil {
			f.outcomes[string(a.Problem.Kind)+": "+a.Problem.Detail]++
		} else if a.End {
			f.outcomes["answered"]++
		}
	}
}

func (f *fleet) answerAttempt(from id.Node, a event.Dispatch) {
	start := id.Start(string(a.Server) + "#1")
	if !a.Stream {
		f.Inject(from, event.AttemptDone{Attempt: a.Attempt, Data: []byte("done"), Start: start, Took: serviceTime}, serviceTime)
		return
	}
	data := make([]byte, 4*tokensPerRead)
	for i := range readsPerStream {
		f.Inject(from, event.AttemptOutput{Attempt: a.Attempt, Seq: i * tokensPerRead, Tokens: tokensPerRead, Data: data}, serviceTime+time.Duration(i)*readInterval)
	}
	total := serviceTime + readsPerStream*readInterval
	f.Inject(from, event.AttemptDone{Attempt: a.Attempt, Tokens: readsPerStream * tokensPerRead, Start: start, Took: total}, total)
}

// startLoad sends requests to every node at the rate of the fleet's size until underLoad is cleared.
func (f *fleet) startLoad() {
	f.underLoad = true
	interval := time.Duration(float64(time.Second) / f.size.Rate)
	for _, n := range f.Nodes() {
		f.AfterFunc(time.Duration(f.Rand.Int64N(int64(interval))), func() { f.sendRequest(n, interval) })
	}
}

// sendRequest sends a request to a node and schedules the next one, while underLoad is set.
func (f *fleet) sendRequest(n id.Node, interval time.Duration) {
	if !f.underLoad {
		return
	}
	f.requestCount++
	a := event.RequestArrived{
		Request: id.Request(fmt.Sprintf("r%d", f.requestCount)), Workspace: id.Workspace(fmt.Sprintf("w%05d", f.requestCount%f.size.Workspaces)),
		Pipeline: id.Pipeline(fmt.Sprintf("answer%d", f.requestCount%8)), Priority: 3, Stream: true,
		Deadline: f.Now.Add(8 * time.Second), Body: []byte(fmt.Sprintf("request %d", f.requestCount)),
	}
	if f.requestCount%10 == 0 {
		a.Pipeline, a.Key = id.Pipeline(fmt.Sprintf("loan%d", f.requestCount%8)), fmt.Sprintf("key-%d", f.requestCount)
	}
	f.Inject(n, a, 0)
	f.AfterFunc(interval, func() { f.sendRequest(n, interval) })
}
