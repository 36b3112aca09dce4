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
	// maxPolls is the maximum number of polls in flight; servers that do not respond cannot delay the polls of the others for
	// long.
	maxPolls = 32
	// remoteIntervalFactor multiplies the poll interval for servers of other failure domains.
	remoteIntervalFactor = 4
	// maxCounter is the maximum count in a load report; a larger one cannot be a number of attempts.
	maxCounter = 1 << 20
)

// poller holds the polled servers and the rate limits of polls. Servers of other failure domains have a rate limit of their
// own, because there may be thirty times as many of them.
type poller struct {
	interval                    time.Duration
	localLimiter, remoteLimiter *rate.Limiter

	mu      sync.Mutex
	targets map[id.Server]*target
}

// target is a polled server.
type target struct {
	addr     netip.AddrPort
	local    bool // whether the server is in this node's failure domain
	nextPoll time.Time
	inFlight bool
	removed  bool
	start    id.Start // identity of the server's process in its last load report
	cacheSeq uint64   // sequence number of the last cache event read
	noCache  bool     // whether the server has no cache events
	polls    int      // number of polls so far; see cacheDue
}

// defaultPollRate is the maximum number of polls per second: 24 polls of about 300 bytes take less than half of a node's
// budget of 16 KB/s for control traffic. This rate is enough because nodes also learn by gossip that a server polled by
// another node is shutting down. A poll that reads the cache events too counts twice.
const defaultPollRate = 24

// pollsPerCacheRead is the number of polls per read of the cache events, which are delayed in any case.
const pollsPerCacheRead = 4

func newPoller() *poller {
	p := &poller{interval: 500 * time.Millisecond, targets: map[id.Server]*target{}}
	p.setRate(defaultPollRate)
	return p
}

// setRate divides the polls per second: three quarters for the own failure domain, one quarter for all others.
func (p *poller) setRate(perSecond float64) {
	burst := max(2, int(perSecond))
	p.localLimiter = rate.NewLimiter(rate.Limit(perSecond*3/4), burst)
	p.remoteLimiter = rate.NewLimiter(rate.Limit(perSecond/4), burst)
}

// WithPolling sets the poll interval of servers in the own failure domain, and the maximum number of polls per second over
// all servers. Servers of other failure domains are polled a quarter as often.
func WithPolling(interval time.Duration, perSecond float64) Option {
	return func(c *Client) {
		c.poller.interval = interval
		c.poller.setRate(perSecond)
	}
}

// SetServers replaces the set of polled servers with the backend servers of a VM list.
func (c *Client) SetServers(list []event.VM) {
	c.poller.mu.Lock()
	defer c.poller.mu.Unlock()
	kept := make(map[id.Server]*target, len(list))
	for _, vm := range list {
		if vm.Kind != "backend" {
			continue
		}
		name := id.Server(vm.Name)
		t, known := c.poller.targets[name]
		if !known || t.addr != vm.Addr {
			t = &target{addr: vm.Addr}
		}
		t.local = vm.FailureDomain == c.domain
		kept[name] = t
	}
	for name, t := range c.poller.targets {
		t.removed = kept[name] != t
	}
	c.poller.targets = kept
}

// pollLoop polls the servers at their intervals until ctx ends.
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

// dueTargets returns at most count servers whose poll is due, the longest overdue first, and marks them as in flight.
func (c *Client) dueTargets(now time.Time, count int) []dueTarget {
	c.poller.mu.Lock()
	defer c.poller.mu.Unlock()
	var due []dueTarget
	for name, t := range c.poller.targets {
		if !t.inFlight && !now.Before(t.nextPoll) {
			due = append(due, dueTarget{name, t})
		}
	}
	slices.SortFunc(due, func(a, b dueTarget) int { return a.target.nextPoll.Compare(b.target.nextPoll) })
	var out []dueTarget
	for _, d := range due {
		if len(out) >= count {
			break
		}
		if c.poller.allow(now, d.target) {
			out = append(out, d)
		}
	}
	return out
}

// allow takes one call from the rate limiter, or two if the poll reads the cache events too. If the limiter allows them, it
// schedules the next poll.
func (p *poller) allow(now time.Time, t *target) bool {
	limiter, interval := p.localLimiter, p.interval
	if !t.local {
		limiter, interval = p.remoteLimiter, remoteIntervalFactor*p.interval
	}
	calls := 1
	if t.cacheDue() {
		calls = 2
	}
	if !limiter.AllowN(now, calls) {
		return false
	}
	t.polls++
	t.inFlight = true
	t.nextPoll = now.Add(interval)
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
	resp, err := c.exchange(ctx, http.MethodGet, t.addr, "/v1/load", nil)
	if err != nil {
		return err
	}
	if resp.status != http.StatusOK {
		return fmt.Errorf("load: status %d", resp.status)
	}
	report, err := decodeLoad(resp.body)
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

// deliverPolled delivers an event unless its server is no longer listed.
func (c *Client) deliverPolled(t *target, ev event.Event) {
	c.poller.mu.Lock()
	removed := t.removed
	c.poller.mu.Unlock()
	if !removed {
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

// pollCache reads the cache events after the last one read. A server without cache events is not queried again until it
// restarts.
func (c *Client) pollCache(ctx context.Context, name id.Server, t *target) error {
	// allow has counted this poll, so the remainder is 1 where cacheDue saw 0.
	if t.noCache || t.polls%pollsPerCacheRead != 1 {
		return nil
	}
	resp, err := c.exchange(ctx, http.MethodGet, t.addr, "/v1/cache?after="+strconv.FormatUint(t.cacheSeq, 10), nil)
	if err != nil {
		return err
	}
	if resp.status == http.StatusNotFound {
		t.noCache = true
		return nil
	}
	if resp.status != http.StatusOK {
		return fmt.Errorf("cache: status %d", resp.status)
	}
	update, err := decodeCache(resp.body)
	if err != nil {
		return err
	}
	count := uint64(len(update.Added) + len(update.Gone))
	if count == 0 {
		return nil
	}
	t.cacheSeq = update.Seq + count - 1
	update.Server, update.At = name, c.now()
	c.deliverPolled(t, update)
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
