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

// Budget is a number of bytes that may be kept in memory together. Of each response, FreeBytes are not counted.
type Budget struct {
	total    int64
	left     atomic.Int64
	used     atomic.Bool // more than half has been taken since onUnused was called
	onUnused func()
}

// New returns a budget.
func New(bytes int64) *Budget {
	b := &Budget{total: bytes, onUnused: func() {}}
	b.left.Store(bytes)
	return b
}

// OnUnused sets a function that is called when most of the budget has been returned after more than half was taken. It must
// not block.
func (b *Budget) OnUnused(f func()) { b.onUnused = f }

// Take takes bytes and reports whether there were as many left.
func (b *Budget) Take(bytes int64) bool {
	left := b.left.Add(-bytes)
	if left < 0 {
		b.left.Add(bytes)
		return false
	}
	if left < b.total/2 && !b.used.Load() {
		b.used.Store(true)
	}
	return true
}

// Return gives back bytes that were taken.
func (b *Budget) Return(bytes int64) {
	left := b.left.Add(bytes)
	if left > b.total-b.total/8 && b.used.Load() && b.used.CompareAndSwap(true, false) {
		b.onUnused()
	}
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
	if !s.budget.Take(more) {
		return false
	}
	s.taken += more
	return true
}

// Release returns what the response has taken.
func (s *Share) Release() {
	s.budget.Return(s.taken)
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
