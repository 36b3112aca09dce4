package membudget

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// FreeBytes is the size in bytes of a buffer that is not counted, so that shorter responses never fail because of others.
	FreeBytes = 16 << 10
	// firstBuffer is the size in bytes of the first buffer for a response.
	firstBuffer = 4 << 10
)

var (
	// ErrTooLarge means that a response exceeds its own limit.
	ErrTooLarge = errors.New("response is too large")
	// ErrExhausted means that the responses in progress leave no memory for more of this one.
	ErrExhausted = errors.New("responses in progress take too much memory")
)

// Budget is the number of bytes that all responses together may keep in memory, FreeBytes of each not counted.
type Budget struct{ left atomic.Int64 }

// New returns a budget.
func New(bytes int64) *Budget {
	b := &Budget{}
	b.left.Store(bytes)
	return b
}

// Left returns the number of bytes that may still be kept.
func (b *Budget) Left() int64 { return b.left.Load() }

// Share is what one response takes of a budget. It must be released.
type Share struct {
	budget *Budget
	taken  int64
}

// NewShare returns a share that has taken nothing.
func (b *Budget) NewShare() *Share { return &Share{budget: b} }

// Keep reports whether the response may keep n bytes in all.
func (s *Share) Keep(n int) bool {
	more := int64(n) - FreeBytes - s.taken
	if more <= 0 {
		return true
	}
	if s.budget.left.Add(-more) < 0 {
		s.budget.left.Add(more)
		return false
	}
	s.taken += more
	return true
}

// Release returns what the response has taken.
func (s *Share) Release() {
	s.budget.left.Add(s.taken)
	s.taken = 0
}

// ReadAll reads to the end. It returns what it has read with ErrTooLarge if there is more than limit bytes, and with
// ErrExhausted if there is no memory for more.
func (s *Share) ReadAll(r io.Reader, limit int) ([]byte, error) {
	raw := make([]byte, 0, min(firstBuffer, limit+1))
	for {
		n, err := r.Read(raw[len(raw):cap(raw)])
		raw = raw[:len(raw)+n]
		switch {
		case len(raw) > limit:
			return raw, ErrTooLarge
		case errors.Is(err, io.EOF):
			return raw, nil
		case err != nil:
			return raw, err
		}
		if len(raw) < cap(raw) {
			continue
		}
		larger := min(2*cap(raw), limit+1)
		if !s.Keep(larger) {
			return raw, ErrExhausted
		}
		raw = append(make([]byte, 0, larger), raw...)
	}
}
