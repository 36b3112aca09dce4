package requestreply

import (
	"context"
	"errors"
	"sync"

	"bluebellflow/core/event"
)

// maxOpen bounds the commands that wait for an answer at once.
const maxOpen = 256

// ErrBusy means that too many commands wait for their answers; the command was not started.
var ErrBusy = errors.New("too many commands in progress")

// Desk numbers commands and returns each answer to the one who asked.
type Desk struct {
	deliver func(event.Event)

	mu   sync.Mutex
	last uint64
	open map[uint64]chan event.CommandResult
}

// New returns a desk that hands commands to deliver.
func New(deliver func(event.Event)) *Desk {
	return &Desk{deliver: deliver, open: map[uint64]chan event.CommandResult{}}
}

// Do delivers the command that build returns for a new number, and waits for its answer. When the
// context ends first, the command may still take effect.
func (d *Desk) Do(ctx context.Context, build func(number uint64) event.Event) (event.CommandResult, error) {
	number, answers, err := d.begin()
	if err != nil {
		return event.CommandResult{}, err
	}
	defer d.finish(number)
	d.deliver(build(number))
	select {
	case a := <-answers:
		return a, nil
	case <-ctx.Done():
		return event.CommandResult{}, ctx.Err()
	}
}

func (d *Desk) begin() (uint64, chan event.CommandResult, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.open) >= maxOpen {
		return 0, nil, ErrBusy
	}
	d.last++
	answers := make(chan event.CommandResult, 1)
	d.open[d.last] = answers
	return d.last, answers, nil
}

func (d *Desk) finish(number uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.open, number)
}

// Answer passes an answer on without blocking; an answer that nobody waits for, or a second one, is dropped.
func (d *Desk) Answer(a event.CommandResult) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if answers, ok := d.open[a.Number]; ok {
		delete(d.open, a.Number)
		answers <- a
	}
}
