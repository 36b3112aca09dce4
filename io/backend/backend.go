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
	"bluebellflow/io/httpclient"
	"bluebellflow/io/membudget"
	"bluebellflow/io/sendtrack"
	"bluebellflow/io/tasks"
)

const (
	// MaxOutputBytes is the maximum output of a stage that does not stream, in bytes.
	MaxOutputBytes = 8 << 20
	// maxEventBytes is the maximum size of a server-sent event in a stream, in bytes.
	maxEventBytes = 1 << 20
	// maxHeaderBytes is the maximum size of the header of a response, in bytes.
	maxHeaderBytes = 64 << 10
	// maxMemory is the size in bytes of what all responses together may take in memory while they are read.
	maxMemory = 64 << 20
	// maxControlBytes is the maximum size of a load report or of a batch of cache events, in bytes.
	maxControlBytes = 1 << 20
	// readBufferSize is the size of the read buffer of a stream in bytes, and so the maximum size of a batch of tokens.
	readBufferSize = 16 << 10
	// maxAttempts is the maximum number of attempts in flight from this node.
	maxAttempts = 4096
	// maxControlCalls is the maximum number of cancellations and orders in flight.
	maxControlCalls = 256
	// maxConnsPerServer is the maximum number of connections to one backend server; further attempts wait for a connection.
	maxConnsPerServer = 256
	// maxIdleConnsPerServer is the maximum number of idle connections kept open to one backend server.
	maxIdleConnsPerServer = 8
)

// Client sends requests to all backend servers.
type Client struct {
	incarnation    id.Incarnation
	domain         id.FailureDomain
	deliver        func(event.Event)
	now            func() time.Time
	attemptHTTP    *http.Client // for attempts
	controlHTTP    *http.Client // for cancellations, orders and polls, whose bytes are counted
	attempts       *tasks.Group
	controlTasks   *tasks.Group
	vars           *expvar.Map
	reportError    func(error)
	controlTimeout time.Duration // for cancellations, orders and polls
	echoes         echoes
	poller         *poller
	memory         *membudget.Budget

	mu      sync.Mutex
	running map[id.Attempt]context.CancelFunc
}

// Option sets an option of a Client.
type Option func(*Client)

// DomainHeader is the header with the failure domain of the node that sends a request.
const DomainHeader = "Bluebellflow-Domain"

// WithNow sets the clock against which deadlines are measured.
func WithNow(now func() time.Time) Option { return func(c *Client) { c.now = now } }

// WithControlTimeout sets the timeout of cancellations, orders and polls.
func WithControlTimeout(d time.Duration) Option { return func(c *Client) { c.controlTimeout = d } }

// WithVars counts attempts and failures in the given map.
func WithVars(vars *expvar.Map) Option { return func(c *Client) { c.vars = vars } }

// WithMemory bounds the bytes that the responses in progress may keep in memory together.
func WithMemory(b *membudget.Budget) Option { return func(c *Client) { c.memory = b } }

// WithErrorHandler sets the function that receives errors that end no attempt, such as a malformed load report.
func WithErrorHandler(handle func(error)) Option { return func(c *Client) { c.reportError = handle } }

// New returns a Client for one incarnation of a node. It passes its events to deliver, which must not block.
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
		memory:         membudget.New(maxMemory),
	}
	c.attemptHTTP = newHTTP(dialer.DialContext)
	c.controlHTTP = newHTTP(bytecount.WrapDial(dialer.DialContext, func(n int64) { c.vars.Add("control_bytes", n) }))
	for _, o := range opts {
		o(c)
	}
	return c
}

func newHTTP(dial bytecount.DialFunc) *http.Client {
	client := httpclient.New(&http.Transport{
		DialContext:         sendtrack.WrapDial(dial),
		MaxConnsPerHost:     maxConnsPerServer,
		MaxIdleConnsPerHost: maxIdleConnsPerServer,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeaderBytes,
	})
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return client
}

// Run polls backend servers until ctx ends; it returns after all attempts have ended.
func (c *Client) Run(ctx context.Context) error {
	c.pollLoop(ctx)
	c.attempts.Close()
	c.controlTasks.Close()
	c.attemptHTTP.CloseIdleConnections()
	c.controlHTTP.CloseIdleConnections()
	return nil
}

// attemptID returns the attempt's identifier on the wire.
func (c *Client) attemptID(a id.Attempt) string {
	return string(c.incarnation) + "." + strconv.FormatUint(uint64(a), 10)
}

// Cancel cancels an attempt: it closes the connection, notifies the server and delivers no more events of the attempt.
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

// Order sends an order, such as to load a version, to a backend server; the outcome is delivered as an event.OrderResult.
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
	resp, err := c.exchange(ctx, http.MethodPost, o.Addr, "/v1/orders", body)
	if err != nil {
		if resp.sent {
			return event.CodeUnknown, err
		}
		return event.CodeUnavailable, err
	}
	switch resp.status {
	case http.StatusOK:
		return event.CodeOK, nil
	case http.StatusConflict:
		return event.CodeConflict, nil
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return event.CodeUnavailable, fmt.Errorf("status %d", resp.status)
	}
	return event.CodeUnknown, fmt.Errorf("status %d", resp.status)
}

type response struct {
	status int
	body   []byte
	sent   bool // whether a byte of the request may have reached the server
}

// setDomainHeader sets the header with the failure domain of this node.
func (c *Client) setDomainHeader(req *http.Request) { req.Header.Set(DomainHeader, string(c.domain)) }

// exchange sends a control request and reads its response, whose size is limited.
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
	req.Header.Set("User-Agent", "") // saves 30 bytes in each poll
	resp, err := c.controlHTTP.Do(req)
	if err != nil {
		return response{sent: tracker.Seal()}, err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBytes+1))
	if err != nil {
		return response{sent: true}, fmt.Errorf("read response: %w", err)
	}
	if len(raw) > maxControlBytes {
		return response{sent: true}, fmt.Errorf("response larger than %d bytes", maxControlBytes)
	}
	return response{status: resp.StatusCode, body: raw, sent: true}, nil
}
