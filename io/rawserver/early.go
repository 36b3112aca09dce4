package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// EarlyBodyBytes is the size of a request body in bytes that does not fit into the buffers of a connection to AnswerEarly.
const EarlyBodyBytes = 900 << 10

// earlyReadBuffer is the size in bytes of the receive buffer with which a request is still being written when it is answered.
const earlyReadBuffer = 4 << 10

// AnswerEarly returns a function for Start that writes an answer as soon as it has read the head of a request, and then calls end.
func AnswerEarly(answer string, end func(*net.TCPConn)) func(net.Conn) {
	return func(raw net.Conn) {
		conn := raw.(*net.TCPConn)
		_ = conn.SetReadBuffer(earlyReadBuffer)
		if _, err := http.ReadRequest(bufio.NewReaderSize(conn, 1<<10)); err != nil {
			return
		}
		if _, err := io.WriteString(conn, answer); err == nil {
			end(conn)
		}
	}
}

// Reset resets a connection.
func Reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// EndThenReset ends the answer on a connection and resets the connection without reading the rest of the request.
func EndThenReset(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	Reset(conn)
}

// EndThenRead ends the answer on a connection and reads the rest of the request.
func EndThenRead(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
}

// Read reads the rest of a request, until the client closes the connection.
func Read(conn *net.TCPConn) { _, _ = io.Copy(io.Discard, conn) }

// ResetAfter returns a function that resets a connection after the given time.
func ResetAfter(d time.Duration) func(*net.TCPConn) {
	return func(conn *net.TCPConn) {
		time.Sleep(d)
		Reset(conn)
	}
}
