package httpclient_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/io/httpclient"
	"bluebellflow/io/rawserver"
)

// testTimeout bounds each exchange.
const testTimeout = 10 * time.Second

// newClient returns a client for a test.
func newClient(t *testing.T) *http.Client {
	client := httpclient.New(&http.Transport{})
	client.Timeout = testTimeout
	t.Cleanup(client.CloseIdleConnections)
	return client
}

// get returns the status and the whole body of the response to a request.
func get(client *http.Client, url string) (status int, body string, err error) {
	resp, err := client.Get(url)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), err
}

// readHead returns the error of ReadResponse.
func readHead(raw string) error {
	_, err := httpclient.ReadResponse(bufio.NewReader(strings.NewReader(raw)), nil)
	return err
}

// TestMalformed guards against bytes that are taken for a response, or skipped so that what follows them is, and against another
// request on their connection.
func TestMalformed(t *testing.T) {
	for name, begin := range rawserver.Malformed {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			raw := begin + "Content-Length: 0\r\n\r\n"
			g.Expect(readHead(raw)).NotTo(Succeed())
			s, url := start(t, rawserver.Answer(raw))
			client := newClient(t)
			for conns := range int64(2) {
				_, _, err := get(client, url)
				g.Expect(err).To(HaveOccurred())
				g.Expect(s.Conns()).To(Equal(conns + 1))
			}
		})
	}
}

// TestMalformedTrailer guards against a body that counts as whole although a malformed field follows it.
func TestMalformedTrailer(t *testing.T) {
	for name, c := range map[string]struct {
		line  string
		whole bool
	}{"token": {"A: b", true}, "blank": {"A b: c", false}, "blank before the colon": {"A : b", false}, "tab": {"A\t: b", false}} {
		t.Run(name, func(t *testing.T) {
			_, url := start(t, rawserver.Answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"+c.line+"\r\n\r\n"))
			_, _, err := get(newClient(t), url)
			NewWithT(t).Expect(err == nil).To(Equal(c.whole), "%v", err)
		})
	}
}

// TestWellFormed guards against the loss of responses that are unusual and allowed.
func TestWellFormed(t *testing.T) {
	for name, begin := range map[string]string{
		"no reason":           "HTTP/1.1 200 \r\n",
		"no blank, no reason": "HTTP/1.1 200\r\n",
		"obs-text, tab":       "HTTP/1.1 200 \xe9t\xe9\tOK\r\n",
		"version 1.0":         "HTTP/1.0 200 OK\r\n",
		"version 1.2":         "HTTP/1.2 200 OK\r\n",
		"line feeds only":     "HTTP/1.1 200 OK\nA: b\n",
		"lowest of a class":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
		"folded value":        "HTTP/1.1 200 OK\r\nA: b\r\n c: d\r\n",
		"blank in a value":    "HTTP/1.1 200 OK\r\nA:  b c \r\n",
		"no value":            "HTTP/1.1 200 OK\r\nA:\r\n",
		"any token":           "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09aZ: b\r\n",
		"early hints":         "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			raw := begin + "Content-Length: 2\r\n\r\nok"
			g.Expect(readHead(raw)).To(Succeed())
			_, url := start(t, rawserver.Answer(raw))
			status, body, err := get(newClient(t), url)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect([]any{status, body}).To(Equal([]any{http.StatusOK, "ok"}))
		})
	}
}
