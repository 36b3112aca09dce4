package httpserver

import (
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// bodyTimeout is the time limit for reading a body, to which the time for its size at bodyBytesPerSecond is added.
	bodyTimeout        = 10 * time.Second
	bodyBytesPerSecond = 64 << 10
	// firstBodyBuffer is the size of the first buffer for a body, which is part of membudget.ConnBytes.
	firstBodyBuffer = 4 << 10
	// progressInterval is the least time between two records of the progress of a body.
	progressInterval = 100 * time.Millisecond
)

// ErrBusy means that there is no memory for a body. The request has not run.
var ErrBusy = errors.New("other requests take too much memory")

// ReadBody reads the body of a request, of at most limit bytes; otherwise the error is an *http.MaxBytesError. The memory of the
// body is returned at the end of the handler. After an error the connection is closed.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	b := bodyReader{conn: connOf(r), control: http.NewResponseController(w), length: r.ContentLength, limit: limit}
	if r.ContentLength == 0 {
		return nil, nil
	}
	raw, err := b.read(http.MaxBytesReader(unwrap(w), r.Body, limit))
	if err != nil {
		w.Header().Set("Connection", "close")
		return nil, err
	}
	_ = b.control.SetReadDeadline(time.Time{})
	if b.conn != nil && !b.conn.run() {
		return nil, errEvicted
	}
	return raw, nil
}

// bodyReader reads one body.
type bodyReader struct {
	conn          *guardedConn // nil if no guard watches it
	control       *http.ResponseController
	length, limit int64 // length is negative if it is not known
	until         time.Time
	progressAt    time.Time
}

func (b *bodyReader) read(body io.Reader) ([]byte, error) {
	if b.length > b.limit {
		return nil, &http.MaxBytesError{Limit: b.limit}
	}
	size := b.limit
	if b.length > 0 {
		size = b.length
	}
	b.until = time.Now().Add(bodyTimeout + time.Duration(size)*time.Second/bodyBytesPerSecond)
	raw := make([]byte, 0, min(firstBodyBuffer, size+1))
	for {
		b.progress(len(raw))
		n, err := body.Read(raw[len(raw):cap(raw)])
		raw = raw[:len(raw)+n]
		switch {
		case errors.Is(err, io.EOF):
			return raw, nil
		case err != nil:
			return nil, err
		case len(raw) < cap(raw):
			continue
		}
		larger := min(b.growth()*int64(cap(raw)), size+1)
		if !b.hold(larger + int64(cap(raw))) {
			return nil, ErrBusy
		}
		raw = append(make([]byte, 0, larger), raw...)
		b.hold(larger)
	}
}

// growth returns the factor by which a full buffer grows. A larger one leaves less garbage, and is wasted at most on a body that
// is shorter than announced.
func (b *bodyReader) growth() int64 {
	if b.length > 0 {
		return 4
	}
	return 2
}

// progress sets the time at which more has to arrive.
func (b *bodyReader) progress(received int) {
	now := time.Now()
	if now.Sub(b.progressAt) < progressInterval {
		return
	}
	b.progressAt = now
	until := b.until
	if b.conn != nil && now.Add(b.conn.guard.limits.Stall).Before(until) {
		until = now.Add(b.conn.guard.limits.Stall)
	}
	_ = b.control.SetReadDeadline(until)
	if b.conn != nil && received > 0 {
		b.conn.guard.progress(b.conn, received)
	}
}

// hold reports whether the connection may hold a body of a number of bytes besides its headers.
func (b *bodyReader) hold(bytes int64) bool {
	return b.conn == nil || b.conn.guard.hold(b.conn, b.conn.headerCost()+bytes)
}
