package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/io/bytecount"
	"bluebellflow/io/sendtrack"
	"bluebellflow/io/tasks"
)

const (
	// MaxOutput bounds the output of a stage that does not stream, in bytes.
	MaxOutput = 8 << 20
	// maxEvent bounds one server-sent event of a stream, in bytes.
	maxEvent = 1 << 20
	// maxReport bounds a load report or a batch of cache events, in bytes.
	maxReport = 1 << 20
	// readSize is the most that one read of a stream takes, and so the largest batch of tokens.
	readSize = 16 << 10
	// maxAttempts bounds the attempts in flight from this node.
	maxAttempts = 4096
	// maxOthers bounds cancellations and orders in flight.
	maxOthers = 256
	// maxConnsPerServer bounds the connections to one backend server; attempts beyond it wait for one.
	maxConnsPerServer = 256
	// maxIdlePerServer bounds the connections kept open to an idle backend server.
	maxIdlePerServer = 8
)

// Client talks to all backend servers over one pool of connections.
type Client struct {
	incarnation id.Incarnation
	domain      id.FailureDomain
	deliver     func(event.Event)
	now         func() time.Time
	http        *http.Client // attempts
	control     *http.Client // cancellations, orders and polls, whose bytes are counted
	attempts    *tasks.Group
	others      *tasks.Group
	vars        *expvar.Map
	report      func(error)
	timeout     time.Duration // for cancellations, orders and polls
	polling     *polling

	mu      sync.Mutex
	running map[id.Attempt]context.CancelFunc
}

// Option changes a client's defaults.
type Option func(*Client)

// DomainHeader names the failure domain of the node that sends a request.
const DomainHeader = "Bluebellflow-Domain"

// WithNow replaces the clock against which deadlines are measured.
func WithNow(now func() time.Time) Option { return func(c *Client) { c.now = now } }

// WithTimeout bounds cancellations, orders and polls.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithVars counts attempts and failures in the given map.
func WithVars(vars *expvar.Map) Option { return func(c *Client) { c.vars = vars } }

// WithReport passes on errors that have no attempt to answer, such as a malformed load report.
func WithReport(report func(error)) Option { return func(c *Client) { c.report = report } }

// New returns a client for one incarnation of a node; outcomes go to deliver, which must not block.
func New(self event.Self, deliver func(event.Event), opts ...Option) *Client {
	dialer := &net.Dialer{Timeout: time.Second}
	c := &Client{
		incarnation: self.Incarnation,
		domain:      self.FailureDomain,
		deliver:     deliver,
		now:         time.Now,
		attempts:    tasks.New(maxAttempts),
		others:      tasks.New(maxOthers),
		vars:        new(expvar.Map),
		report:      func(error) {},
		timeout:     time.Second,
		polling:     newPolling(),
		running:     map[id.Attempt]context.CancelFunc{},
	}
	c.http = newHTTP(dialer.DialContext)
	c.control = newHTTP(bytecount.WrapDial(dialer.DialContext, func(n int64) { c.vars.Add("control_bytes", n) }))
	for _, o := range opts {
		o(c)
	}
	return c
}

func newHTTP(dial bytecount.DialFunc) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         sendtrack.WrapDial(dial),
			MaxConnsPerHost:     maxConnsPerServer,
			MaxIdleConnsPerHost: maxIdlePerServer,
			IdleConnTimeout:     30 * time.Second,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Run polls backend servers until the context ends; it returns after all attempts have ended.
func (c *Client) Run(ctx context.Context) error {
	c.poll(ctx)
	c.attempts.Close()
	c.others.Close()
	c.http.CloseIdleConnections()
	c.control.CloseIdleConnections()
	return nil
}

// name is the attempt's identity on the wire.
func (c *Client) name(a id.Attempt) string {
	return string(c.incarnation) + "." + strconv.FormatUint(uint64(a), 10)
}

// Cancel abandons an attempt: its connection is closed, its server is told, and no more events of it are delivered.
func (c *Client) Cancel(a event.Cancel) {
	c.mu.Lock()
	cancel, running := c.running[a.Attempt]
	delete(c.running, a.Attempt)
	c.mu.Unlock()
	if running {
		cancel()
	}
	c.vars.Add("attempts_cancelled", 1)
	started := c.others.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, c.timeout)
		defer cancel()
		if _, err := c.exchange(ctx, http.MethodDelete, a.Addr, "/v1/run/"+c.name(a.Attempt), nil); err != nil {
			c.report(fmt.Errorf("backend server %s: cancel attempt %d: %w", a.Server, a.Attempt, err))
		}
	})
	if !started {
		c.report(fmt.Errorf("backend server %s: cancel attempt %d: too many cancellations", a.Server, a.Attempt))
	}
}

type orderBody struct {
	Kind    string     `json:"kind"`
	Version id.Version `json:"version"`
	Fence   uint64     `json:"fence"`
}

// Order sends an order to a backend server; the outcome arrives as event.OrderResult.
func (c *Client) Order(o event.Order) {
	started := c.others.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, c.timeout)
		defer cancel()
		code, err := c.order(ctx, o)
		if err != nil {
			c.report(fmt.Errorf("backend server %s: order %s %s: %w", o.Server, o.Kind, o.Version, err))
		}
		c.deliver(event.OrderResult{Order: o, Code: code})
	})
	if !started {
		c.deliver(event.OrderResult{Order: o, Code: event.CodeUnavailable})
	}
}

func (c *Client) order(ctx context.Context, o event.Order) (event.Code, error) {
	body, err := json.Marshal(orderBody{Kind: o.Kind, Version: o.Version, Fence: o.Fence})
	if err != nil {
		return event.CodeUnavailable, err
	}
	answer, err := c.exchange(ctx, http.MethodPost, o.Addr, "/v1/orders", body)
	if err != nil {
		if answer.sent {
			return event.CodeUnknown, err
		}
		return event.CodeUnavailable, err
	}
	switch answer.status {
	case http.StatusOK:
		return event.CodeOK, nil
	case http.StatusConflict:
		return event.CodeConflict, nil
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return event.CodeUnavailable, fmt.Errorf("status %d", answer.status)
	}
	return event.CodeUnknown, fmt.Errorf("status %d", answer.status)
}

type answer struct {
	status int
	body   []byte
	sent   bool // some byte of the call may have reached the server
}

// mark tells a backend server which failure domain a request comes from.
func (c *Client) mark(req *http.Request) { req.Header.Set(DomainHeader, string(c.domain)) }

// exchange makes a short call with a bounded answer.
func (c *Client) exchange(ctx context.Context, method string, addr netip.AddrPort, path string, body []byte) (answer, error) {
	tracked, tracker := sendtrack.WithTracker(ctx)
	req, err := http.NewRequestWithContext(tracked, method, "http://"+addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	c.mark(req)
	req.Header.Set("User-Agent", "") // 30 bytes of each poll
	resp, err := c.control.Do(req)
	if err != nil {
		return answer{sent: tracker.Seal()}, err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxReport+1))
	if err != nil {
		return answer{sent: true}, fmt.Errorf("read answer: %w", err)
	}
	if len(raw) > maxReport {
		return answer{sent: true}, fmt.Errorf("answer larger than %d bytes", maxReport)
	}
	return answer{status: resp.StatusCode, body: raw, sent: true}, nil
}
