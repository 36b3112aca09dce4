package sendtrack_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"bluebellflow/io/sendtrack"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func post(t *testing.T, dial sendtrack.DialFunc, url string) (*sendtrack.Tracker, error) {
	t.Helper()
	transport := &http.Transport{DialContext: sendtrack.WrapDial(dial)}
	defer transport.CloseIdleConnections()
	ctx, tracker := sendtrack.WithTracker(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := transport.RoundTrip(req)
	if err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		err = resp.Body.Close()
	}
	return tracker, err
}

// TestUnsent guards against calling a request sent, and so its outcome unknown, that found no connection.
func TestUnsent(t *testing.T) {
	refuse := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	tracker, err := post(t, refuse, "http://127.0.0.1:1")
	g := NewWithT(t)
	g.Expect(err).To(HaveOccurred())
	g.Expect(tracker.Seal()).To(BeFalse())
}

// TestSent guards against calling a request unsent whose bytes reached the server.
func TestSent(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer server.Close()
	dialer := net.Dialer{}
	tracker, err := post(t, dialer.DialContext, server.URL)
	g := NewWithT(t)
	g.Expect(err).To(HaveOccurred())
	g.Expect(tracker.Seal()).To(BeTrue())
}

// TestSealedConnection guards against a request that is declared unsent and then written after all.
func TestSealedConnection(t *testing.T) {
	g := NewWithT(t)
	near, far := net.Pipe()
	defer far.Close()
	defer near.Close()
	dial := sendtrack.WrapDial(func(context.Context, string, string) (net.Conn, error) { return near, nil })
	conn, err := dial(context.Background(), "tcp", "")
	g.Expect(err).NotTo(HaveOccurred())
	// The transport hands the connection to the request, and the request fails before it is written.
	ctx, tracker := sendtrack.WithTracker(context.Background())
	httptrace.ContextClientTrace(ctx).GotConn(httptrace.GotConnInfo{Conn: conn})
	g.Expect(tracker.Seal()).To(BeFalse())
	_, err = conn.Write([]byte("late"))
	g.Expect(err).To(MatchError(ContainSubstring("sealed")))
}
