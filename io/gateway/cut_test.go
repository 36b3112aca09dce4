package gateway_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// framings are whole responses without the line ends of their heads, in each way to mark the end of a body.
var framings = map[string]struct{ head, body string }{
	"length":  {"HTTP/1.1 200 OK|Content-Type: text/plain|Content-Length: 11|Seal: s||", "hello world"},
	"chunks":  {"HTTP/1.1 200 OK|Content-Type: text/plain|Transfer-Encoding: chunked|Seal: s||", "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n"},
	"neither": {"HTTP/1.1 200 OK|Content-Type: text/plain|Seal: s||", "hello world"},
	"events with a length": {
		"HTTP/1.1 200 OK|Content-Type: text/event-stream|Content-Length: 30|Seal: s||", wholeEvents,
	},
	"events in chunks": {
		"HTTP/1.1 200 OK|Content-Type: text/event-stream|Transfer-Encoding: chunked|Seal: s||",
		"f\r\n" + wholeEvents[:15] + "\r\nf\r\n" + wholeEvents[15:] + "\r\n0\r\n\r\n",
	},
	"events with neither": {"HTTP/1.1 200 OK|Content-Type: text/event-stream|Seal: s||", wholeEvents},
	"after another head":  {"HTTP/1.1 103 Early Hints|Link: x||HTTP/1.1 200 OK|Content-Length: 0|Seal: s||", ""},
}

// TestCutResponses lets a server stop at each byte of its response and close the connection. It guards against a caller that gets
// a response which looks whole.
func TestCutResponses(t *testing.T) {
	for name, framing := range framings {
		for lineEnd, ends := range map[string]string{"CRLF": "\r\n", "LF": "\n"} {
			t.Run(name+", "+lineEnd, func(t *testing.T) {
				t.Parallel()
				head := strings.ReplaceAll(framing.head, "|", ends)
				whole := head + framing.body
				for n := range len(whole) {
					if n >= len(head) && strings.HasSuffix(name, "neither") {
						break // the end of the connection is the end of the body
					}
					body, ended, err := relayTo(t, listen(t, func(conn net.Conn) { _, _ = io.WriteString(conn, whole[:n]) }))
					NewWithT(t).Expect(ended.Fail).NotTo(BeZero(), "cut after %d bytes: %q", n, whole[:n])
					NewWithT(t).Expect(err).To(HaveOccurred(), "cut after %d bytes, %q looks whole", n, body)
				}
				body, ended, err := relayTo(t, listen(t, func(conn net.Conn) { _, _ = io.WriteString(conn, whole) }))
				NewWithT(t).Expect(err).NotTo(HaveOccurred())
				NewWithT(t).Expect(ended.Fail).To(BeZero(), fmt.Sprintf("whole response %q", body))
			})
		}
	}
}
