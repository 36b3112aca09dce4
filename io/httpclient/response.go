package httpclient

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// MaxInformational bounds the informational responses (1xx) before a response.
const MaxInformational = 8

const (
	// minStatus and maxStatus bound the statuses that RFC 9110 allows.
	minStatus = 100
	maxStatus = 599
	// statusLength is the number of digits of a status.
	statusLength = 3
)

// ErrMalformed means that what a server has sent is not a response by RFC 9110 and RFC 9112. The request may have run, and the
// connection must be closed.
var ErrMalformed = errors.New("malformed response")

// ErrTooManyInformational means that a server has sent more than MaxInformational informational responses.
var ErrTooManyInformational = errors.New("too many informational responses")

// ReadResponse reads the head of a response. It skips informational ones before it.
func ReadResponse(br *bufio.Reader, req *http.Request) (*http.Response, error) {
	for range MaxInformational + 1 {
		resp, err := ReadHead(br, req)
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
	return nil, ErrTooManyInformational
}

// ReadHead reads the head of the next response, which may be informational.
func ReadHead(br *bufio.Reader, req *http.Request) (*http.Response, error) {
	resp, err := http.ReadResponse(br, req)
	if err != nil {
		return nil, err
	}
	return resp, check(resp)
}

// check checks the head of a response, and has the names of its trailer checked at the end of its body.
func check(resp *http.Response) error {
	if err := checkStatusLine(resp); err != nil {
		return err
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &body{ReadCloser: resp.Body, resp: resp}
	}
	return checkNames(resp.Header)
}

// body is a body in chunks, which a trailer may follow.
type body struct {
	io.ReadCloser
	resp *http.Response
}

// Read reads the body. It returns ErrMalformed if the trailer is malformed.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		err = cmp.Or(checkNames(b.resp.Trailer), err)
	}
	return n, err
}

// checkNames checks that no name of a field has a blank, which net/http accepts. A field such as "Content-Length " does not delimit the
// body.
func checkNames[H ~map[string][]string](fields H) error {
	for name := range fields {
		if strings.Contains(name, " ") {
			return fmt.Errorf("%w: field name %q", ErrMalformed, name)
		}
	}
	return nil
}

// checkStatusLine checks a status line that net/http has accepted: it takes any three characters that strconv.Atoi accepts for a
// status, any major version and any reason. A response 101 is an error too, because no client of the product offers another protocol.
func checkStatusLine(resp *http.Response) error {
	status, reason := resp.Status[:statusLength], resp.Status[statusLength:]
	switch {
	case resp.ProtoMajor != 1:
		return fmt.Errorf("%w: version %q", ErrMalformed, resp.Proto)
	case strings.Trim(status, "0123456789") != "" || resp.StatusCode < minStatus || resp.StatusCode > maxStatus:
		return fmt.Errorf("%w: status %q", ErrMalformed, status)
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return fmt.Errorf("%w: status %q without an upgrade", ErrMalformed, status)
	case strings.ContainsFunc(reason, isControl):
		return fmt.Errorf("%w: reason %q", ErrMalformed, reason)
	}
	return nil
}

// isControl reports whether a character may not stand in a reason phrase.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }
