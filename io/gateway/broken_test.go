package gateway_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/io/rawserver"
)

const (
	plainHead   = "HTTP/1.1 200 OK\r\nSeal: s\r\n"
	failureHead = "HTTP/1.1 500 Internal Server Error\r\nSeal: s\r\n"
)

// TestEarlyAnswer guards against an answer with neither a length nor chunks that looks whole although its connection was reset
// while the request was still being written, and against the loss of early answers that are whole.
func TestEarlyAnswer(t *testing.T) {
	const tries = 20
	for name, c := range map[string]struct {
		answer string
		end    func(*net.TCPConn)
		want   string // body of a whole answer, empty for one that is broken off
	}{
		"success, reset":           {plainHead + "\r\nhalf", rawserver.Reset, ""},
		"success, reset later":     {plainHead + "\r\nhalf", rawserver.ResetAfter(20 * time.Millisecond), ""},
		"failure, reset":           {failureHead + "\r\nhalf", rawserver.Reset, ""},
		"stream, reset":            {streamHead + "\r\n" + wholeEvents, rawserver.Reset, ""},
		"length, reset":            {plainHead + "Content-Length: 9\r\n\r\nhalf", rawserver.Reset, ""},
		"chunks, reset":            {plainHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", rawserver.Reset, ""},
		"success, end":             {plainHead + "\r\nwhole", rawserver.EndThenRead, "whole"},
		"success, end and reset":   {plainHead + "\r\nwhole", rawserver.EndThenReset, "whole"},
		"failure, end":             {failureHead + "\r\nwhole", rawserver.EndThenRead, "whole"},
		"stream, end":              {streamHead + "\r\n" + wholeEvents, rawserver.EndThenRead, wholeEvents},
		"length, rest is read":     {plainHead + "Content-Length: 5\r\n\r\nwhole", rawserver.Read, "whole"},
		"chunks, rest is read":     {plainHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", rawserver.Read, "whole"},
		"stream in chunks, read":   {streamHead + "Transfer-Encoding: chunked\r\n\r\n1e\r\n" + wholeEvents + "\r\n0\r\n\r\n", rawserver.Read, wholeEvents},
		"stream of a length, read": {streamHead + "Content-Length: 30\r\n\r\n" + wholeEvents, rawserver.Read, wholeEvents},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server, err := rawserver.Start(rawserver.AnswerEarly(c.answer, c.end))
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = server.Close() }()
			for i := range tries {
				size := rawserver.EarlyBodyBytes
				if i == 0 {
					size = 1 // only the reader of the answer can be told of a reset
				}
				body, ended, err := relayRequest(t, server.Addr(), http.MethodPost, strings.NewReader(strings.Repeat("x", size)))
				if c.want == "" {
					g.Expect(ended.Fail).To(Equal(event.FailBroken))
					g.Expect(err).To(HaveOccurred(), "%q looks whole", body)
					continue
				}
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(ended.Held || ended.Fail == 0).To(BeTrue(), "%+v", ended)
				g.Expect(body).To(Equal(c.want))
			}
		})
	}
}

// TestMalformedAnswer guards against bytes that are no answer and reach a caller as one, and against what follows them on the
// connection.
func TestMalformedAnswer(t *testing.T) {
	for name, begin := range rawserver.Malformed {
		t.Run(name, func(t *testing.T) {
			body, ended, err := relay(t, begin+"Content-Length: 0\r\n\r\n"+plainHead+"Content-Length: 5\r\n\r\nother")
			NewWithT(t).Expect(ended.Fail).To(Equal(event.FailBroken), "%q, it may have run", body)
			NewWithT(t).Expect(err).To(HaveOccurred())
		})
	}
}
