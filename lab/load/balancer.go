package load

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"bluebellflow/io/httpclient"
)

const (
	pollEvery   = 250 * time.Millisecond // interval between readiness checks of each node
	pollTimeout = time.Second            // a node that does not answer within this time is not ready
)

// ReadyBalancer is a round-robin balancer over the nodes whose readiness check succeeds.
type ReadyBalancer struct {
	nodes  func() []netip.AddrPort
	client *http.Client

	mu    sync.Mutex
	ready []netip.AddrPort
	next  int
}

// NewReadyBalancer returns a balancer over the nodes that the given function returns.
func NewReadyBalancer(nodes func() []netip.AddrPort) *ReadyBalancer {
	client := httpclient.New(&http.Transport{})
	client.Timeout = pollTimeout
	return &ReadyBalancer{nodes: nodes, client: client}
}

// Pick returns the next ready node.
func (b *ReadyBalancer) Pick() (netip.AddrPort, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return netip.AddrPort{}, false
	}
	b.next++
	return b.ready[b.next%len(b.ready)], true
}

// Run polls the nodes until the context ends.
func (b *ReadyBalancer) Run(ctx context.Context) error {
	defer b.client.CloseIdleConnections()
	for {
		b.Poll(ctx)
		if !sleep(ctx, pollEvery) {
			return nil
		}
	}
}

// Poll checks every node once.
func (b *ReadyBalancer) Poll(ctx context.Context) {
	nodes := b.nodes()
	ok := make([]bool, len(nodes))
	var group sync.WaitGroup
	for i, n := range nodes {
		group.Go(func() { ok[i] = b.isReady(ctx, n) })
	}
	group.Wait()
	var ready []netip.AddrPort
	for i, n := range nodes {
		if ok[i] {
			ready = append(ready, n)
		}
	}
	slices.SortFunc(ready, netip.AddrPort.Compare)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

func (b *ReadyBalancer) isReady(ctx context.Context, n netip.AddrPort) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/readyz", n), http.NoBody)
	if err != nil {
		return false
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// ReadyCount returns the number of ready nodes.
func (b *ReadyBalancer) ReadyCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.ready)
}
