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
	// maxControlBody bounds a load report or a batch of cache events, in bytes.
	maxControlBody = 1 << 20
	// readSize is the most that one read of a stream takes, and so the largest batch of tokens.
	readSize = 16 << 10
	// maxAttempts bounds the attempts in flight from this node.
	maxAttempts = 4096
	// maxControlCalls bounds cancellations and orders in flight.
	maxControlCalls = 256
	// maxConnsPerServer bounds the connections to one backend server; attempts beyond it wait for one.
	maxConnsPerServer = 256
	// maxIdlePerServer bounds the connections kept open to an idle backend server.
	maxIdlePerServer = 8
)

// Client talks to all backend servers over one pool of connections.
type Client struct {
	incarnation    id.Incarnation
	domain         id.FailureDomain
	deliver        func(event.Event)
	now            func() time.Time
	attemptHTTP    *http.Client // attempts
	controlHTTP    *http.Client // cancellations, orders and polls, whose bytes are counted
	attempts       *tasks.Group
	controlTasks   *tasks.Group
	vars           *expvar.Map
	reportError    func(error)
	controlTimeout time.Duration // for cancellations, orders and polls
	poller         *poller

	mu      sync.Mutex
	running map[id.Attempt]context.CancelFunc
}

// Option changes a client's defaults.
type Option func(*Client)

// DomainHeader names the failure domain of the node that sends a request.
const DomainHeader = "Bluebellflow-Domain"

// WithNow replaces the clock against which deadlines are measured.
func WithNow(now func() time.Time) Option { return func(c *Client) { c.now = now } }

// WithControlTimeout bounds cancellations, orders and polls.
func WithControlTimeout(d time.Duration) Option { return func(c *Client) { c.controlTimeout = d } }

// WithVars counts attempts and failures in the given map.
func WithVars(vars *expvar.Map) Option { return func(c *Client) { c.vars = vars } }

// WithErrorHandler passes on errors that have no attempt to answer, such as a malformed load report.
func WithErrorHandler(report func(error)) Option { return func(c *Client) { c.reportError = report } }

// New returns a client for one incarnation of a node; outcomes go to deliver, which must not block.
func New(self event.Self, deliver func(event.Event), opts ...Option) *Client {
	dialer := &net.Dialer{Timeout: time.Second}
	c := &Client{
		incarnation:    self.Incarnation,
		domain:         self.FailureDomain,
		deliver:        deliver,
		now:            time.Now,
		attempts:       tasks.New(maxAttempts),
		controlTasks:   tasks.New(maxControlCalls),
		vars:           new(expvar.Map),
		reportError:    func(error) {},
		controlTimeout: time.Second,
		poller:         newPoller(),
		running:        map[id.Attempt]context.CancelFunc{},
	}
	c.attemptHTTP = newHTTP(dialer.DialContext)
	c.controlHTTP = newHTTP(bytecount.WrapDial(dialer.DialContext, func(n int64) { c.vars.Add("control_bytes", n) }))
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
	c.pollLoop(ctx)
	c.attempts.Close()
	c.controlTasks.Close()
	c.attemptHTTP.CloseIdleConnections()
	c.controlHTTP.CloseIdleConnections()
	return nil
}

// attemptID is the attempt's identity on the wire.
func (c *Client) attemptID(a id.Attempt) string {
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
	started := c.controlTasks.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, c.controlTimeout)
		defer cancel()
		if _, err := c.exchange(ctx, http.MethodDelete, a.Addr, "/v1/run/"+c.attemptID(a.Attempt), nil); err != nil {
			c.reportError(fmt.Errorf("backend server %s: cancel attempt %d: %w", a.Server, a.Attempt, err))
		}
	})
	if !started {
		c.reportError(fmt.Errorf("backend server %s: cancel attempt %d: too many cancellations", a.Server, a.Attempt))
	}
}

type orderBody struct {
	Kind    string     `json:"kind"`
	Version id.Version `json:"version"`
	Fence   uint64     `json:"fence"`
}

// Order sends an order to a backend server; the outcome arrives as event.OrderResult.
func (c *Client) Order(o event.Order) {
	started := c.controlTasks.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, c.controlTimeout)
		defer cancel()
		code, err := c.order(ctx, o)
		if err != nil {
			c.reportError(fmt.Errorf("backend server %s: order %s %s: %w", o.Server, o.Kind, o.Version, err))
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

type response struct {
	status int
	body   []byte
	sent   bool // some byte of the call may have reached the server
}

// setDomainHeader tells a backend server which failure domain a request comes from.
func (c *Client) setDomainHeader(req *http.Request) { req.Header.Set(DomainHeader, string(c.domain)) }

// exchange makes a short call with a bounded answer.
func (c *Client) exchange(ctx context.Context, method string, addr netip.AddrPort, path string, body []byte) (response, error) {
	tracked, tracker := sendtrack.WithTracker(ctx)
	req, err := http.NewRequestWithContext(tracked, method, "http://"+addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	c.setDomainHeader(req)
	req.Header.Set("User-Agent", "") // 30 bytes of each poll
	resp, err := c.controlHTTP.Do(req)
	if err != nil {
		return response{sent: tracker.Seal()}, err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBody+1))
	if err != nil {
		return response{sent: true}, fmt.Errorf("read answer: %w", err)
	}
	if len(raw) > maxControlBody {
		return response{sent: true}, fmt.Errorf("answer larger than %d bytes", maxControlBody)
	}
	return response{status: resp.StatusCode, body: raw, sent: true}, nil
}
