package requestreply

import (
	"context"
	"errors"
	"sync"

	"bluebellflow/core/event"
)

// maxPending bounds the commands that wait for an answer at once.
const maxPending = 256

// ErrBusy means that too many commands wait for their answers; the command was not started.
var ErrBusy = errors.New("too many commands in progress")

// Correlator numbers commands and returns each answer to the one who asked.
type Correlator struct {
	deliver func(event.Event)

	mu         sync.Mutex
	lastNumber uint64
	pending    map[uint64]chan event.CommandResult
}

// New returns a desk that hands commands to deliver.
func New(deliver func(event.Event)) *Correlator {
	return &Correlator{deliver: deliver, pending: map[uint64]chan event.CommandResult{}}
}

// Do delivers the command that build returns for a new number, and waits for its answer. When the
// context ends first, the command may still take effect.
func (d *Correlator) Do(ctx context.Context, build func(number uint64) event.Event) (event.CommandResult, error) {
	number, answers, err := d.begin()
	if err != nil {
		return event.CommandResult{}, err
	}
	defer d.remove(number)
	d.deliver(build(number))
	select {
	case a := <-answers:
		return a, nil
	case <-ctx.Done():
		return event.CommandResult{}, ctx.Err()
	}
}

func (d *Correlator) begin() (uint64, chan event.CommandResult, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.pending) >= maxPending {
		return 0, nil, ErrBusy
	}
	d.lastNumber++
	answers := make(chan event.CommandResult, 1)
	d.pending[d.lastNumber] = answers
	return d.lastNumber, answers, nil
}

func (d *Correlator) remove(number uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.pending, number)
}

// Complete passes an answer on without blocking; an answer that nobody waits for, or a second one, is dropped.
func (d *Correlator) Complete(a event.CommandResult) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if answers, ok := d.pending[a.Number]; ok {
		delete(d.pending, a.Number)
		answers <- a
	}
}
