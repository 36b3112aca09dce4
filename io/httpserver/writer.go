package httpserver

import "net/http"

// closingWriter writes a response that says during a drain that its connection is closed after it.
type closingWriter struct {
	http.ResponseWriter
	server *Server
}

// announceClose has no effect once the header was written.
func (w closingWriter) announceClose() {
	if w.server.closing() != 0 {
		w.Header().Set("Connection", "close")
	}
}

// WriteHeader writes the status and the headers.
func (w closingWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.announceClose()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (w closingWriter) Write(p []byte) (int, error) {
	w.announceClose()
	return w.ResponseWriter.Write(p)
}

// FlushError sends what was written.
func (w closingWriter) FlushError() error {
	w.announceClose()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap returns the writer of net/http, for an http.ResponseController.
func (w closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// unwrap returns the writer of net/http, which http.MaxBytesReader tells that a body is too large.
func unwrap(w http.ResponseWriter) http.ResponseWriter {
	if c, ok := w.(closingWriter); ok {
		return c.ResponseWriter
	}
	return w
}
