package tasks

import (
	"context"
	"sync"
)

// Group runs at most a fixed number of goroutines at once. Close cancels all of them and waits for them.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	limit  int

	mu     sync.Mutex
	active int
	closed bool
}

// New returns a group that runs at most limit goroutines at once.
func New(limit int) *Group {
	ctx, cancel := context.WithCancel(context.Background())
	return &Group{ctx: ctx, cancel: cancel, limit: limit}
}

// Go runs fn in a goroutine, or returns false if the limit is reached or the group is closed.
// The context passed to fn is canceled when the group is closed.
func (g *Group) Go(fn func(ctx context.Context)) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed || g.active >= g.limit {
		return false
	}
	g.active++
	g.wg.Go(func() {
		defer g.release()
		fn(g.ctx)
	})
	return true
}

func (g *Group) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active--
}

// Active returns the number of running goroutines.
func (g *Group) Active() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.active
}

// Close cancels the context of all goroutines and waits for them to return.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.cancel()
	g.wg.Wait()
}
