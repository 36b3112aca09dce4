package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answerTimeout bounds a connection to Answer.
const answerTimeout = 5 * time.Second

// Malformed are beginnings of responses that are none by RFC 9110 and RFC 9112. Further header lines, an empty line and a body may
// follow.
var Malformed = map[string]string{
	"status 000":              "HTTP/1.1 000 Trouble\r\n",
	"status 000 before a 200": "HTTP/1.1 000 Trouble\r\n\r\nHTTP/1.1 200 OK\r\n",
	"status 099":              "HTTP/1.1 099 Trouble\r\n",
	"status 600":              "HTTP/1.1 600 Trouble\r\n",
	"status 999":              "HTTP/1.1 999 Trouble\r\n",
	"status with a sign":      "HTTP/1.1 +20 Trouble\r\n",
	"status minus zero":       "HTTP/1.1 -00 Trouble\r\n",
	"status of two digits":    "HTTP/1.1 20 Trouble\r\n",
	"status of four digits":   "HTTP/1.1 2000 Trouble\r\n",
	"no status":               "HTTP/1.1  OK\r\n",
	"unasked upgrade":         "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 OK\r\n",
	"version 2":               "HTTP/2.0 200 OK\r\n",
	"version 0":               "HTTP/0.9 200 OK\r\n",
	"name of the protocol":    "http/1.1 200 OK\r\n",
	"NUL in the reason":       "HTTP/1.1 200 O\x00K\r\n",
	"CR in the reason":        "HTTP/1.1 200 O\rK\r\n",
	"blank in a name":         "HTTP/1.1 200 OK\r\nA b: c\r\n",
	"blank before the colon":  "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n",
	"blank, framing":          "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
	"blank, informational":    "HTTP/1.1 103 Early Hints\r\nA b: c\r\n\r\nHTTP/1.1 200 OK\r\n",
	"blank, failure":          "HTTP/1.1 500 Internal Server Error\r\nA b: c\r\n",
	"blank, refusal":          "HTTP/1.1 503 Service Unavailable\r\nA b: c\r\n",
	"tab in a name":           "HTTP/1.1 200 OK\r\nA\tb: c\r\n",
	"tab before the colon":    "HTTP/1.1 200 OK\r\nA\t: b\r\n",
	"NUL in a name":           "HTTP/1.1 200 OK\r\nA\x00: b\r\n",
	"DEL in a name":           "HTTP/1.1 200 OK\r\nA\x7f: b\r\n",
	"CR in a name":            "HTTP/1.1 200 OK\r\nA\rb: c\r\n",
	"no name":                 "HTTP/1.1 200 OK\r\n: b\r\n",
	"informational responses": strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 9) + "HTTP/1.1 200 OK\r\n",
}

// Answer returns a function for Start that reads a request, writes raw bytes and waits up to answerTimeout until the client closes
// the connection.
func Answer(raw string) func(net.Conn) {
	return func(conn net.Conn) {
		_ = conn.SetDeadline(time.Now().Add(answerTimeout))
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(conn, raw)
		_, _ = io.Copy(io.Discard, conn)
	}
}
