package requestreply

import (
	"context"
	"errors"
	"sync"

	"bluebellflow/core/event"
)

// maxPending is the maximum number of commands that wait for a result.
const maxPending = 256

// ErrBusy means that too many commands wait for a result; the new command was not started.
var ErrBusy = errors.New("too many commands in progress")

// ErrStopped means that no more results will come. A command that was delivered before may still have taken effect.
var ErrStopped = errors.New("this node has stopped")

// Correlator numbers commands and passes each result to the caller that waits for it.
type Correlator struct {
	deliver func(event.Event)

	mu         sync.Mutex
	lastNumber uint64
	stopped    bool // no more results will come
	pending    map[uint64]chan event.CommandResult
}

// New returns a Correlator that passes commands to deliver.
func New(deliver func(event.Event)) *Correlator {
	return &Correlator{deliver: deliver, pending: map[uint64]chan event.CommandResult{}}
}

// Do delivers the command that build returns for a new number and waits for its result. If the context ends first, the
// command may still take effect.
func (c *Correlator) Do(ctx context.Context, build func(number uint64) event.Event) (event.CommandResult, error) {
	number, results, err := c.begin()
	if err != nil {
		return event.CommandResult{}, err
	}
	defer c.remove(number)
	c.deliver(build(number))
	select {
	case result, ok := <-results:
		if !ok {
			return event.CommandResult{}, ErrStopped
		}
		return result, nil
	case <-ctx.Done():
		return event.CommandResult{}, ctx.Err()
	}
}

func (c *Correlator) begin() (uint64, chan event.CommandResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return 0, nil, ErrStopped
	}
	if len(c.pending) >= maxPending {
		return 0, nil, ErrBusy
	}
	c.lastNumber++
	results := make(chan event.CommandResult, 1)
	c.pending[c.lastNumber] = results
	return c.lastNumber, results, nil
}

func (c *Correlator) remove(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, number)
}

// Complete passes a result to its waiting caller without blocking. A result that nobody waits for is dropped, and so is a
// second result of the same command.
func (c *Correlator) Complete(result event.CommandResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if results, ok := c.pending[result.Number]; ok {
		delete(c.pending, result.Number)
		results <- result
	}
}

// Stop ends the wait of all callers, because no more results will come.
func (c *Correlator) Stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	for _, results := range c.pending {
		close(results)
	}
	clear(c.pending)
}
