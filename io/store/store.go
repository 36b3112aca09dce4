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
	"bluebellflow/io/sendtrack"
	"bluebellflow/io/tasks"
)

const (
	// MaxValueBytes is the largest object that the platform stores, in bytes.
	MaxValueBytes = 1 << 20
	// maxResponseBytes bounds an answer to a list, a watch or a read of the VM list, in bytes.
	maxResponseBytes = 8 << 20
	// maxPending bounds the operations and watches that wait for an answer at once.
	maxPending = 1024
	// maxConns bounds the connections to the platform; waiting watches hold one each.
	maxConns = 64
)

// Client carries out platform operations and hands their outcomes to the decision logic.
type Client struct {
	base    string
	deliver func(event.Event)
	http    *http.Client
	limiter *rate.Limiter
	tasks   *tasks.Group
	vars    *expvar.Map
	report  func(error)

	timeout        time.Duration // for one operation, its wait for the rate limit included
	maxWatchWait   time.Duration // longest wait of a watch
	pollInterval   time.Duration // between two reads of the VM list
	initialBackoff time.Duration // first pause after a failed watch or VM list

	mu      sync.Mutex
	watched map[string]bool
}

// Option changes a client's defaults.
type Option func(*Client)

// WithRate limits the calls a second and the burst of calls.
func WithRate(perSecond float64, burst int) Option {
	return func(c *Client) { c.limiter = rate.NewLimiter(rate.Limit(perSecond), burst) }
}

// WithTiming sets the timeout of an operation, the longest wait of a watch and the pause between reads of the VM list.
func WithTiming(timeout, wait, poll time.Duration) Option {
	return func(c *Client) { c.timeout, c.maxWatchWait, c.pollInterval = timeout, wait, poll }
}

// WithBackoff sets the first pause after a failed watch or read of the VM list; it doubles up to 32 times that.
func WithBackoff(first time.Duration) Option { return func(c *Client) { c.initialBackoff = first } }

// WithVars counts calls and outcomes in the given map.
func WithVars(vars *expvar.Map) Option { return func(c *Client) { c.vars = vars } }

// WithReport passes on errors that have no operation to answer, such as a malformed VM list.
func WithReport(report func(error)) Option { return func(c *Client) { c.report = report } }

// New returns a client of the platform at an address; outcomes go to deliver, which must not block.
func New(platform netip.AddrPort, deliver func(event.Event), opts ...Option) *Client {
	dialer := &net.Dialer{Timeout: time.Second}
	c := &Client{
		base:           "http://" + platform.String(),
		deliver:        deliver,
		limiter:        rate.NewLimiter(50, 100),
		tasks:          tasks.New(maxPending),
		vars:           new(expvar.Map),
		report:         func(error) {},
		timeout:        time.Second,
		maxWatchWait:   20 * time.Second,
		pollInterval:   time.Second,
		initialBackoff: 100 * time.Millisecond,
		watched:        map[string]bool{},
	}
	c.http = &http.Client{
		Transport: &http.Transport{
			DialContext:         sendtrack.WrapDial(bytecount.WrapDial(dialer.DialContext, func(n int64) { c.vars.Add("platform_bytes", n) })),
			MaxConnsPerHost:     maxConns,
			MaxIdleConnsPerHost: maxConns,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Run polls the VM list until the context ends; it returns after all operations have ended.
func (c *Client) Run(ctx context.Context) error {
	c.pollVMs(ctx)
	c.tasks.Close()
	c.http.CloseIdleConnections()
	return nil
}

// Do carries out an operation without blocking; the outcome arrives as event.PlatformResult, a watch's as event.ObjectChanged.
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
		c.finish(event.PlatformResult{Call: call, Code: event.CodeUnavailable}, fmt.Errorf("%d operations are waiting", maxPending))
	}
}

// addWatch reports whether the prefix is not watched yet.
func (c *Client) addWatch(prefix string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watched[prefix] {
		return false
	}
	c.watched[prefix] = true
	return true
}

func (c *Client) finish(result event.PlatformResult, err error) {
	if err != nil {
		c.report(fmt.Errorf("platform: %s: %w", formatCall(result.Call), err))
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
	answer, err := c.roundTrip(ctx, http.MethodGet, "/objects/"+call.Name, nil, nil, MaxValueBytes)
	if err != nil {
		result.Code = answer.code
		return result, err
	}
	switch answer.status {
	case http.StatusOK:
		version, err := parseVersion(answer.header.Get("ETag"))
		if err != nil {
			result.Code = event.CodeUnknown
			return result, err
		}
		result.Code = event.CodeOK
		result.Objects = []event.Object{{Name: call.Name, Version: version, Value: answer.body}}
		return result, nil
	case http.StatusNotFound:
		result.Code = event.CodeNotFound
		return result, nil
	}
	result.Code = codeForStatus(answer.status)
	return result, statusError(answer)
}

func (c *Client) put(ctx context.Context, call event.PlatformCall) (event.PlatformResult, error) {
	result := event.PlatformResult{Call: call, Code: event.CodeUnavailable}
	if len(call.Value) > MaxValueBytes {
		return result, fmt.Errorf("value of %d bytes, limit %d", len(call.Value), MaxValueBytes)
	}
	header := http.Header{"If-None-Match": {"*"}}
	if call.Version > 0 {
		header = http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(call.Version, 10))}}
	}
	answer, err := c.roundTrip(ctx, http.MethodPut, "/objects/"+call.Name, header, call.Value, maxResponseBytes)
	if err != nil {
		result.Code = answer.code
		return result, err
	}
	switch answer.status {
	case http.StatusOK:
		version, err := parseVersion(answer.header.Get("ETag"))
		if err != nil {
			// The write took effect, but its version is unknown: the owner has to read it back.
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
	result.Code = codeForStatus(answer.status)
	return result, statusError(answer)
}

func (c *Client) list(ctx context.Context, call event.PlatformCall) (event.PlatformResult, error) {
	result := event.PlatformResult{Call: call}
	answer, err := c.roundTrip(ctx, http.MethodGet, "/objects?prefix="+url.QueryEscape(call.Name), nil, nil, maxResponseBytes)
	if err != nil {
		result.Code = answer.code
		return result, err
	}
	if answer.status != http.StatusOK {
		result.Code = codeForStatus(answer.status)
		return result, statusError(answer)
	}
	objects, err := decodeList(answer.body)
	if err != nil {
		result.Code = event.CodeUnknown
		return result, err
	}
	result.Code, result.Objects = event.CodeOK, objects
	return result, nil
}

// response is what came back; code is set only if nothing usable did.
type response struct {
	status int
	header http.Header
	body   []byte
	code   event.Code
}

// roundTrip makes one call within the rate limit. The error says that there is no complete answer.
func (c *Client) roundTrip(ctx context.Context, method, path string, header http.Header, body []byte, limit int64) (response, error) {
	if err := c.limiter.Wait(ctx); err != nil {
		return response{code: event.CodeUnavailable}, fmt.Errorf("wait for the rate limit: %w", err)
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
		return response{code: event.CodeUnknown}, fmt.Errorf("read answer: %w", err)
	}
	if int64(len(raw)) > limit {
		return response{code: event.CodeUnknown}, fmt.Errorf("answer larger than %d bytes", limit)
	}
	return response{status: resp.StatusCode, header: resp.Header, body: raw}, nil
}

// codeForStatus maps a status that is not the expected answer. Only the statuses that the platform
// documents as having no effect prove that nothing happened.
func codeForStatus(status int) event.Code {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestEntityTooLarge:
		return event.CodeUnavailable
	}
	return event.CodeUnknown
}

func statusError(a response) error {
	if after := a.header.Get("Retry-After"); after != "" {
		return fmt.Errorf("status %d, retry after %s s", a.status, after)
	}
	return fmt.Errorf("status %d", a.status)
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

// checkName refuses names that the platform does not accept; a prefix may be empty.
func checkName(op event.Op, name string) error {
	if name == "" && (op == event.OpGet || op == event.OpPut) {
		return fmt.Errorf("object without a name")
	}
	for _, r := range name {
		if !strings.ContainsRune("/-_.", r) && (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') {
			return fmt.Errorf("character %q in an object name", r)
		}
	}
	if strings.HasPrefix(name, "/") || strings.Contains(name, "//") || strings.Contains("/"+name+"/", "/../") || strings.Contains("/"+name+"/", "/./") {
		return fmt.Errorf("name %q would be changed in a URL path", name)
	}
	return nil
}

func parseVersion(tag string) (uint64, error) {
	raw, ok := strings.CutPrefix(tag, `"`)
	raw, closed := strings.CutSuffix(raw, `"`)
	version, err := strconv.ParseUint(raw, 10, 64)
	if !ok || !closed || err != nil || version == 0 {
		return 0, fmt.Errorf("ETag %q is not a quoted version", tag)
	}
	return version, nil
}

type objectVersion struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

func (n objectVersion) check() error {
	if n.Name == "" || n.Version == 0 {
		return fmt.Errorf("object %q with version %d", n.Name, n.Version)
	}
	return nil
}

func decodeList(raw []byte) ([]event.Object, error) {
	var list struct {
		Objects []objectVersion `json:"objects"`
	}
	if err := json.Unmarshal(raw, &list); err != nil {
		return nil, fmt.Errorf("decode list: %w", err)
	}
	objects := make([]event.Object, 0, len(list.Objects))
	for _, o := range list.Objects {
		if err := o.check(); err != nil {
			return nil, fmt.Errorf("decode list: %w", err)
		}
		objects = append(objects, event.Object{Name: o.Name, Version: o.Version})
	}
	return objects, nil
}

// sleepWithJitter waits for a time of between half and all of d, so that clients do not return together.
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
