package tasks

import (
	"context"
	"sync"
)

// Group runs at most a fixed number of goroutines at once and ends all of them on Close.
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

// Go starts do in a goroutine, or reports false if the limit is reached or the group is closed.
// The context passed to do ends when the group is closed.
func (g *Group) Go(do func(ctx context.Context)) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed || g.active >= g.limit {
		return false
	}
	g.active++
	g.wg.Go(func() {
		defer g.release()
		do(g.ctx)
	})
	return true
}

func (g *Group) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active--
}

// Active returns the number of goroutines that run.
func (g *Group) Active() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.active
}

// Close ends the context of all goroutines and waits for them.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.cancel()
	g.wg.Wait()
}
