package httpclient

import (
	"context"
	"net"
	"net/http"
	"time"
)

// defaultIdleTimeout is how long Default keeps an idle connection.
const defaultIdleTimeout = time.Minute

// Default is a client for calls that need no settings of their own.
var Default = New(&http.Transport{IdleConnTimeout: defaultIdleTimeout})

// New returns a client that uses a transport, whose connections it replaces by a Conn each. It returns ErrMalformed for what is not a
// response.
func New(t *http.Transport) *http.Client {
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		raw, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(raw), nil
	}
	return &http.Client{Transport: transport{t}}
}
