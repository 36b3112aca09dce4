package httpclient

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
)

// transport returns the responses of a transport that are well-formed.
type transport struct{ *http.Transport }

// RoundTrip sends a request. It closes the connection of a malformed response.
func (t transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn net.Conn
	var informational atomic.Int64
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn },
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
			if informational.Add(1) > MaxInformational {
				return ErrTooManyInformational
			}
			return checkNames(header)
		},
	})
	resp, err := t.Transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	resp.Request = req
	if err := check(resp); err != nil {
		_ = conn.Close() // without a body the transport keeps it
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}
