package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/io/rawserver"
)

// TestRepeatedRejection guards against a rejection that a server writes once more on a kept connection and that is taken for the
// response to the next attempt, which the server runs.
func TestRepeatedRejection(t *testing.T) {
	const rejection = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n%s\r\n"
	named := func(a id.Attempt) string { return fmt.Sprintf("%s: %s.%d\r\n", attemptHeader, incarnation, a) }
	for name, c := range map[string]struct {
		repeated string
		want     event.FailKind
	}{
		"of the attempt before": {named(7), event.FailBroken},
		"of no attempt":         {"", event.FailBroken},
		"of this attempt":       {named(8), event.FailRejected},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server, err := rawserver.Start(func(conn net.Conn) {
				br := bufio.NewReader(conn)
				for _, head := range []string{named(7), c.repeated} {
					req, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					_, _ = fmt.Fprintf(conn, rejection, head)
				}
			})
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = server.Close() }()
			client, events := startClient(t)
			run := func(attempt id.Attempt) event.FailKind {
				d := newDispatch(server.Addr(), false)
				d.Attempt = attempt
				client.Dispatch(d)
				_, end := waitForEnd(t, events)
				return end.(event.AttemptFailed).Kind
			}
			g.Expect(run(7)).To(Equal(event.FailRejected))
			g.Expect(run(8)).To(Equal(c.want))
			g.Expect(server.Conns()).To(Equal(int64(1)))
		})
	}
}
