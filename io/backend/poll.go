package backend

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/time/rate"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

const (
	// maxPolls bounds the polls in flight, so that servers that do not answer cannot hold up the others for long.
	maxPolls = 32
	// remoteIntervalFactor is how many times less often servers of other failure domains are polled.
	remoteIntervalFactor = 4
	// maxCounter bounds the counts in a load report; more cannot be a count of attempts.
	maxCounter = 1 << 20
)

// poller is what the client knows about the servers that it polls. Servers of other failure domains
// have a limit of their own, because there may be thirty times as many of them.
type poller struct {
	interval                    time.Duration
	localLimiter, remoteLimiter *rate.Limiter

	mu      sync.Mutex
	targets map[id.Server]*target
}

type target struct {
	addr     netip.AddrPort
	local    bool // in this node's failure domain
	nextPoll time.Time
	inFlight bool
	removed  bool
	start    id.Start
	cacheSeq uint64 // last cache event seen
	noCache  bool   // the server has no cache events
	polls    int    // since the last read of the cache events
}

// defaultPollRate is the most polls a second: 24 of about 300 bytes take less than half of a node's budget
// of 16 KB/s for control. What one node learns of a leaving server reaches the others by gossip.
const defaultPollRate = 24

// pollsPerCacheRead is how many load reports are read for one read of the cache events, which are late anyway.
const pollsPerCacheRead = 4

func newPoller() *poller {
	p := &poller{interval: 500 * time.Millisecond, targets: map[id.Server]*target{}}
	p.setRate(defaultPollRate)
	return p
}

// setRate divides the polls a second: three quarters for the own failure domain, one for all others.
func (p *poller) setRate(perSecond float64) {
	burst := max(2, int(perSecond))
	p.localLimiter = rate.NewLimiter(rate.Limit(perSecond*3/4), burst)
	p.remoteLimiter = rate.NewLimiter(rate.Limit(perSecond/4), burst)
}

// WithPolling sets the pause between two polls of a server of the own failure domain, and the most
// polls a second over all servers. Servers of other failure domains are polled a quarter as often.
func WithPolling(interval time.Duration, perSecond float64) Option {
	return func(c *Client) {
		c.poller.interval = interval
		c.poller.setRate(perSecond)
	}
}

// SetServers replaces the set of polled servers by the backend servers of a VM list.
func (c *Client) SetServers(list []event.VM) {
	c.poller.mu.Lock()
	defer c.poller.mu.Unlock()
	kept := make(map[id.Server]*target, len(list))
	for _, vm := range list {
		if vm.Kind != "backend" {
			continue
		}
		name := id.Server(vm.Name)
		old, known := c.poller.targets[name]
		if !known || old.addr != vm.Addr {
			old = &target{addr: vm.Addr}
		}
		old.local = vm.FailureDomain == c.domain
		kept[name] = old
	}
	for name, t := range c.poller.targets {
		t.removed = kept[name] != t
	}
	c.poller.targets = kept
}

// pollLoop asks servers for their load at intervals until the context ends.
func (c *Client) pollLoop(ctx context.Context) {
	ticker := time.NewTicker(max(c.poller.interval/4, time.Millisecond))
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	slots := make(chan struct{}, maxPolls)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, due := range c.dueTargets(now, maxPolls-len(slots)) {
				slots <- struct{}{}
				running.Go(func() {
					c.pollServer(ctx, due.name, due.target)
					<-slots
				})
			}
		}
	}
}

type dueTarget struct {
	name   id.Server
	target *target
}

// dueTargets returns at most count servers whose poll is due, the longest overdue first, and marks them as busy.
func (c *Client) dueTargets(now time.Time, count int) []dueTarget {
	c.poller.mu.Lock()
	defer c.poller.mu.Unlock()
	var waiting []dueTarget
	for name, t := range c.poller.targets {
		if !t.inFlight && !now.Before(t.nextPoll) {
			waiting = append(waiting, dueTarget{name, t})
		}
	}
	slices.SortFunc(waiting, func(a, b dueTarget) int { return a.target.nextPoll.Compare(b.target.nextPoll) })
	var out []dueTarget
	for _, d := range waiting {
		if len(out) >= count {
			break
		}
		if c.poller.allow(now, d.target) {
			out = append(out, d)
		}
	}
	return out
}

// allow takes a poll from the limit, two if the server is asked for cache events too.
func (p *poller) allow(now time.Time, t *target) bool {
	limit, pause := p.localLimiter, p.interval
	if !t.local {
		limit, pause = p.remoteLimiter, remoteIntervalFactor*p.interval
	}
	calls := 1
	if t.cacheDue() {
		calls = 2
	}
	if !limit.AllowN(now, calls) {
		return false
	}
	t.polls++
	t.inFlight = true
	t.nextPoll = now.Add(pause)
	return true
}

// cacheDue reports whether the next poll reads the cache events too.
func (t *target) cacheDue() bool { return !t.noCache && t.polls%pollsPerCacheRead == 0 }

func (c *Client) pollServer(ctx context.Context, name id.Server, t *target) {
	ctx, cancel := context.WithTimeout(ctx, c.controlTimeout)
	defer cancel()
	err := c.pollLoad(ctx, name, t)
	if err == nil {
		err = c.pollCache(ctx, name, t)
	}
	if err != nil && !errors.Is(ctx.Err(), context.Canceled) {
		c.vars.Add("polls_failed", 1)
		c.deliverPolled(t, event.LoadQueryFailed{Server: name, Refused: errors.Is(err, syscall.ECONNREFUSED)})
		c.reportError(fmt.Errorf("backend server %s: %w", name, err))
	}
	c.poller.mu.Lock()
	t.inFlight = false
	c.poller.mu.Unlock()
}

func (c *Client) pollLoad(ctx context.Context, name id.Server, t *target) error {
	c.vars.Add("polls", 1)
	answer, err := c.exchange(ctx, http.MethodGet, t.addr, "/v1/load", nil)
	if err != nil {
		return err
	}
	if answer.status != http.StatusOK {
		return fmt.Errorf("load: status %d", answer.status)
	}
	report, err := decodeLoad(answer.body)
	if err != nil {
		return err
	}
	if report.Start != t.start {
		t.start, t.cacheSeq, t.noCache = report.Start, 0, false
	}
	report.Server = name
	c.deliverPolled(t, report)
	return nil
}

// deliverPolled drops what comes from a server that is no longer listed.
func (c *Client) deliverPolled(t *target, ev event.Event) {
	c.poller.mu.Lock()
	gone := t.removed
	c.poller.mu.Unlock()
	if !gone {
		c.deliver(ev)
	}
}

type loadBody struct {
	Start   id.Start   `json:"start"`
	Version id.Version `json:"version"`
	Running int        `json:"running"`
	Waiting int        `json:"waiting"`
	Limit   int        `json:"limit"`
	Warm    bool       `json:"warm"`
	Leaving bool       `json:"leaving"`
	At      float64    `json:"at"`
}

func decodeLoad(raw []byte) (event.LoadReport, error) {
	var b loadBody
	if err := json.Unmarshal(raw, &b); err != nil {
		return event.LoadReport{}, fmt.Errorf("decode load: %w", err)
	}
	if b.Start == "" {
		return event.LoadReport{}, errors.New("decode load: no start identity")
	}
	for _, n := range []int{b.Running, b.Waiting, b.Limit} {
		if n < 0 || n > maxCounter {
			return event.LoadReport{}, fmt.Errorf("decode load: running %d, waiting %d, limit %d", b.Running, b.Waiting, b.Limit)
		}
	}
	if b.At <= 0 || b.At > math.MaxInt64/1e6 {
		return event.LoadReport{}, fmt.Errorf("decode load: time %g", b.At)
	}
	return event.LoadReport{
		Start: b.Start, Version: b.Version, Running: b.Running, Waiting: b.Waiting,
		Limit: b.Limit, Warm: b.Warm, Leaving: b.Leaving, At: time.UnixMicro(int64(b.At * 1e3)),
	}, nil
}

// pollCache asks for cache events after the last one seen; a server without them is not asked again until it restarts.
func (c *Client) pollCache(ctx context.Context, name id.Server, t *target) error {
	if t.noCache || t.polls%pollsPerCacheRead != 1 {
		return nil
	}
	answer, err := c.exchange(ctx, http.MethodGet, t.addr, "/v1/cache?after="+strconv.FormatUint(t.cacheSeq, 10), nil)
	if err != nil {
		return err
	}
	if answer.status == http.StatusNotFound {
		t.noCache = true
		return nil
	}
	if answer.status != http.StatusOK {
		return fmt.Errorf("cache: status %d", answer.status)
	}
	cached, err := decodeCache(answer.body)
	if err != nil {
		return err
	}
	count := uint64(len(cached.Added) + len(cached.Gone))
	if count == 0 {
		return nil
	}
	t.cacheSeq = cached.Seq + count - 1
	cached.Server, cached.At = name, c.now()
	c.deliverPolled(t, cached)
	return nil
}

type cacheBody struct {
	Start id.Start `json:"start"`
	Seq   uint64   `json:"seq"`
	Added []string `json:"added"`
	Gone  []string `json:"gone"`
}

func decodeCache(raw []byte) (event.CacheUpdate, error) {
	var b cacheBody
	if err := json.Unmarshal(raw, &b); err != nil {
		return event.CacheUpdate{}, fmt.Errorf("decode cache: %w", err)
	}
	if b.Start == "" {
		return event.CacheUpdate{}, errors.New("decode cache: no start identity")
	}
	added, err := parseHashes(b.Added)
	if err != nil {
		return event.CacheUpdate{}, err
	}
	gone, err := parseHashes(b.Gone)
	if err != nil {
		return event.CacheUpdate{}, err
	}
	if len(added)+len(gone) > 0 && (b.Seq == 0 || b.Seq > math.MaxInt64) {
		return event.CacheUpdate{}, fmt.Errorf("decode cache: sequence %d", b.Seq)
	}
	return event.CacheUpdate{Start: b.Start, Seq: b.Seq, Added: added, Gone: gone}, nil
}

func parseHashes(raw []string) ([]uint64, error) {
	out := make([]uint64, 0, len(raw))
	for _, text := range raw {
		h, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("decode cache: prefix hash %q", text)
		}
		out = append(out, h)
	}
	return out, nil
}
