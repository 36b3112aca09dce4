package store

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"bluebellflow/core/event"
	"bluebellflow/io/bytecount"
	"bluebellflow/io/httpclient"
	"bluebellflow/io/sendtrack"
	"bluebellflow/io/tasks"
)

const (
	// MaxValueBytes is the largest object value that the platform stores.
	MaxValueBytes = 1 << 20
	// maxResponseBytes bounds every response body except that of a get, which MaxValueBytes bounds.
	maxResponseBytes = 8 << 20
	// maxHeaderBytes bounds the header of every response.
	maxHeaderBytes = 64 << 10
	// maxPending bounds the number of concurrent operations and watches.
	maxPending = 1024
	// maxConns bounds the connections to the platform; each waiting watch holds one.
	maxConns = 64
)

// Client executes platform operations and delivers their results to the decision logic.
type Client struct {
	base        string
	deliver     func(event.Event)
	http        *http.Client
	limiter     *rate.Limiter
	tasks       *tasks.Group
	vars        *expvar.Map
	reportError func(error)

	timeout        time.Duration // of one operation, including its wait for the rate limiter
	maxWatchWait   time.Duration // how long the platform may hold a long poll of a watch
	pollInterval   time.Duration // minimum pause between reads of the VM list
	initialBackoff time.Duration // first pause after a failed watch or read of the VM list

	mu      sync.Mutex
	watched map[string]bool
}

// Option configures a Client.
type Option func(*Client)

// WithRate limits the calls per second and the size of a burst.
func WithRate(perSecond float64, burst int) Option {
	return func(c *Client) { c.limiter = rate.NewLimiter(rate.Limit(perSecond), burst) }
}

// WithTiming sets the timeout of an operation, the maximum duration of a long poll and the minimum pause between reads
// of the VM list.
func WithTiming(timeout, maxWatchWait, pollInterval time.Duration) Option {
	return func(c *Client) { c.timeout, c.maxWatchWait, c.pollInterval = timeout, maxWatchWait, pollInterval }
}

// WithBackoff sets the first pause after a failed watch or read of the VM list. The pause doubles with each further
// failure, up to 32 times the first one.
func WithBackoff(first time.Duration) Option { return func(c *Client) { c.initialBackoff = first } }

// WithVars counts calls, results and bytes in the given map.
func WithVars(vars *expvar.Map) Option { return func(c *Client) { c.vars = vars } }

// WithErrorHandler sets a function that is called with every error, such as a failed operation or a malformed VM list.
func WithErrorHandler(report func(error)) Option { return func(c *Client) { c.reportError = report } }

// New returns a client of the platform at the given address. It passes results to deliver, which must not block.
func New(platform netip.AddrPort, deliver func(event.Event), opts ...Option) *Client {
	dialer := &net.Dialer{Timeout: time.Second}
	c := &Client{
		base:           "http://" + platform.String(),
		deliver:        deliver,
		limiter:        rate.NewLimiter(50, 100),
		tasks:          tasks.New(maxPending),
		vars:           new(expvar.Map),
		reportError:    func(error) {},
		timeout:        time.Second,
		maxWatchWait:   20 * time.Second,
		pollInterval:   time.Second,
		initialBackoff: 100 * time.Millisecond,
		watched:        map[string]bool{},
	}
	c.http = httpclient.New(&http.Transport{
		DialContext:         sendtrack.WrapDial(bytecount.WrapDial(dialer.DialContext, func(n int64) { c.vars.Add("platform_bytes", n) })),
		MaxConnsPerHost:     maxConns,
		MaxIdleConnsPerHost: maxConns,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeaderBytes,
	})
	c.http.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	for _, o := range opts {
		o(c)
	}
	return c
}

// Run polls the VM list until the context is done. It then cancels all operations and waits for them.
func (c *Client) Run(ctx context.Context) error {
	c.pollVMs(ctx)
	c.tasks.Close()
	c.http.CloseIdleConnections()
	return nil
}

// Do starts an operation without blocking. Its result is delivered as an event.PlatformResult; a watch delivers
// event.ObjectChanged instead.
func (c *Client) Do(call event.PlatformCall) {
	if err := checkName(call.Op, call.Name); err != nil {
		c.finish(event.PlatformResult{Call: call, Code: event.CodeUnavailable}, err)
		return
	}
	if call.Op == event.OpWatch && !c.addWatch(call.Name) {
		return
	}
	started := c.tasks.Go(func(ctx context.Context) {
		if call.Op == event.OpWatch {
			c.watch(ctx, call.Name)
			return
		}
		ctx, cancel := context.WithTimeout(ctx, c.timeout)
		defer cancel()
		result, err := c.perform(ctx, call)
		c.finish(result, err)
	})
	if !started {
		c.finish(event.PlatformResult{Call: call, Code: event.CodeUnavailable}, fmt.Errorf("limit of %d concurrent operations reached", maxPending))
	}
}

// addWatch marks a prefix as watched, or returns false if it already is.
func (c *Client) addWatch(prefix string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watched[prefix] {
		return false
	}
	c.watched[prefix] = true
	return true
}

// finish counts and delivers a result, and reports its error if there is one.
func (c *Client) finish(result event.PlatformResult, err error) {
	if err != nil {
		c.reportError(fmt.Errorf("platform: %s: %w", formatCall(result.Call), err))
	}
	c.vars.Add("platform_"+codeName(result.Code), 1)
	c.deliver(result)
}

func (c *Client) perform(ctx context.Context, call event.PlatformCall) (event.PlatformResult, error) {
	switch call.Op {
	case event.OpGet:
		return c.get(ctx, call)
	case event.OpPut:
		return c.put(ctx, call)
	case event.OpList:
		return c.list(ctx, call)
	default:
		return event.PlatformResult{Call: call, Code: event.CodeUnavailable}, fmt.Errorf("unknown operation %d", call.Op)
	}
}

func (c *Client) get(ctx context.Context, call event.PlatformCall) (event.PlatformResult, error) {
	result := event.PlatformResult{Call: call}
	resp, err := c.roundTrip(ctx, http.MethodGet, "/objects/"+call.Name, nil, nil, MaxValueBytes)
	if err != nil {
		result.Code = resp.code
		return result, err
	}
	switch resp.status {
	case http.StatusOK:
		version, err := parseVersion(resp.header.Get("ETag"))
		if err != nil {
			result.Code = event.CodeUnknown
			return result, err
		}
		result.Code = event.CodeOK
		result.Objects = []event.Object{{Name: call.Name, Version: version, Value: resp.body}}
		return result, nil
	case http.StatusNotFound:
		result.Code = event.CodeNotFound
		return result, nil
	}
	result.Code = codeForStatus(resp.status)
	return result, statusError(resp)
}

func (c *Client) put(ctx context.Context, call event.PlatformCall) (event.PlatformResult, error) {
	result := event.PlatformResult{Call: call, Code: event.CodeUnavailable}
	if len(call.Value) > MaxValueBytes {
		return result, fmt.Errorf("value of %d bytes exceeds the limit of %d bytes", len(call.Value), MaxValueBytes)
	}
	header := http.Header{"If-None-Match": {"*"}}
	if call.Version > 0 {
		header = http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(call.Version, 10))}}
	}
	resp, err := c.roundTrip(ctx, http.MethodPut, "/objects/"+call.Name, header, call.Value, maxResponseBytes)
	if err != nil {
		result.Code = resp.code
		return result, err
	}
	switch resp.status {
	case http.StatusOK:
		version, err := parseVersion(resp.header.Get("ETag"))
		if err != nil {
			// The write took effect, but its version is unknown: the caller has to read the object back.
			result.Code = event.CodeUnknown
			return result, err
		}
		result.Code = event.CodeOK
		result.Objects = []event.Object{{Name: call.Name, Version: version}}
		return result, nil
	case http.StatusPreconditionFailed:
		result.Code = event.CodeConflict
		return result, nil
	}
	result.Code = codeForStatus(resp.status)
	return result, statusError(resp)
}

func (c *Client) list(ctx context.Context, call event.PlatformCall) (event.PlatformResult, error) {
	result := event.PlatformResult{Call: call}
	resp, err := c.roundTrip(ctx, http.MethodGet, "/objects?prefix="+url.QueryEscape(call.Name), nil, nil, maxResponseBytes)
	if err != nil {
		result.Code = resp.code
		return result, err
	}
	if resp.status != http.StatusOK {
		result.Code = codeForStatus(resp.status)
		return result, statusError(resp)
	}
	objects, err := decodeList(resp.body)
	if err != nil {
		result.Code = event.CodeUnknown
		return result, err
	}
	result.Code, result.Objects = event.CodeOK, objects
	return result, nil
}

// response is the platform's response. If there is no complete one, only code is set.
type response struct {
	status int
	header http.Header
	body   []byte
	code   event.Code
}

// roundTrip makes one call within the rate limit. An error means that there is no complete response.
func (c *Client) roundTrip(ctx context.Context, method, path string, header http.Header, body []byte, limit int64) (response, error) {
	if err := c.limiter.Wait(ctx); err != nil {
		return response{code: event.CodeUnavailable}, fmt.Errorf("wait for the rate limiter: %w", err)
	}
	c.vars.Add("platform_calls", 1)
	tracked, tracker := sendtrack.WithTracker(ctx)
	req, err := http.NewRequestWithContext(tracked, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return response{code: event.CodeUnavailable}, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := c.http.Do(req)
	if err != nil {
		if tracker.Seal() {
			return response{code: event.CodeUnknown}, err
		}
		return response{code: event.CodeUnavailable}, err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return response{code: event.CodeUnknown}, fmt.Errorf("read response: %w", err)
	}
	if int64(len(raw)) > limit {
		return response{code: event.CodeUnknown}, fmt.Errorf("response larger than %d bytes", limit)
	}
	return response{status: resp.StatusCode, header: resp.Header, body: raw}, nil
}

// codeForStatus returns the result code for an unexpected HTTP status. The platform documents that a call with one of the
// listed statuses had no effect; any other status leaves it unknown whether it had.
func codeForStatus(status int) event.Code {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestEntityTooLarge:
		return event.CodeUnavailable
	}
	return event.CodeUnknown
}

func statusError(resp response) error {
	if after := resp.header.Get("Retry-After"); after != "" {
		return fmt.Errorf("HTTP status %d, retry after %s s", resp.status, after)
	}
	return fmt.Errorf("HTTP status %d", resp.status)
}

func codeName(c event.Code) string {
	names := map[event.Code]string{
		event.CodeOK: "ok", event.CodeConflict: "conflict", event.CodeNotFound: "missing",
		event.CodeUnavailable: "unavailable", event.CodeUnknown: "lost",
	}
	return names[c]
}

func formatCall(call event.PlatformCall) string {
	ops := map[event.Op]string{event.OpGet: "get", event.OpPut: "put", event.OpList: "list", event.OpWatch: "watch"}
	return ops[call.Op] + " " + strconv.Quote(call.Name)
}

// checkName rejects names and prefixes that the platform does not accept or that path cleaning would change in a URL. A
// prefix may be empty.
func checkName(op event.Op, name string) error {
	if name == "" && (op == event.OpGet || op == event.OpPut) {
		return fmt.Errorf("object name is empty")
	}
	for _, r := range name {
		if !strings.ContainsRune("/-_.", r) && (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') {
			return fmt.Errorf("invalid character %q in object name", r)
		}
	}
	if strings.HasPrefix(name, "/") || strings.Contains(name, "//") || strings.Contains("/"+name+"/", "/../") || strings.Contains("/"+name+"/", "/./") {
		return fmt.Errorf("object name %q would be changed by URL path cleaning", name)
	}
	return nil
}

func parseVersion(tag string) (uint64, error) {
	raw, ok := strings.CutPrefix(tag, `"`)
	raw, closed := strings.CutSuffix(raw, `"`)
	version, err := strconv.ParseUint(raw, 10, 64)
	if !ok || !closed || err != nil || version == 0 {
		return 0, fmt.Errorf("ETag %q is not a quoted version number", tag)
	}
	return version, nil
}

// objectVersion is an entry of a list or watch response.
type objectVersion struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

func (n objectVersion) check() error {
	if n.Name == "" || n.Version == 0 {
		return fmt.Errorf("invalid object %q with version %d", n.Name, n.Version)
	}
	return nil
}

func decodeList(raw []byte) ([]event.Object, error) {
	var list struct {
		Objects []objectVersion `json:"objects"`
	}
	if err := json.Unmarshal(raw, &list); err != nil {
		return nil, fmt.Errorf("decode object list: %w", err)
	}
	objects := make([]event.Object, 0, len(list.Objects))
	for _, o := range list.Objects {
		if err := o.check(); err != nil {
			return nil, fmt.Errorf("decode object list: %w", err)
		}
		objects = append(objects, event.Object{Name: o.Name, Version: o.Version})
	}
	return objects, nil
}

// sleepWithJitter waits for a random time between d/2 and d, so that clients do not retry in lockstep. It returns false if
// the context is done first.
func sleepWithJitter(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d/2 + rand.N(d/2+1))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
