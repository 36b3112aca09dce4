package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"bluebellflow/core/event"
)

// maxDoublings bounds the growth of the pause between failed calls.
const maxDoublings = 5

// watchPosition is how far a watch has come.
type watchPosition struct {
	seq    uint64
	synced bool // the platform has told where the sequence stands
}

// watch follows a prefix with long polls until the context ends.
func (c *Client) watch(ctx context.Context, prefix string) {
	var at watchPosition
	for failures := 0; ctx.Err() == nil; {
		next, err := c.watchOnce(ctx, prefix, at)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			c.report(fmt.Errorf("platform: watch %q: %w", prefix, err))
			if !sleepWithJitter(ctx, c.initialBackoff<<min(failures, maxDoublings)) {
				return
			}
			failures++
			continue
		}
		at, failures = next, 0
		// A store without any write has sequence 0, which the platform answers without waiting.
		if at.seq == 0 && !sleepWithJitter(ctx, c.initialBackoff) {
			return
		}
	}
}

// watchOnce makes one long poll and returns the position to continue from.
func (c *Client) watchOnce(ctx context.Context, prefix string, at watchPosition) (watchPosition, error) {
	ctx, cancel := context.WithTimeout(ctx, c.maxWatchWait+c.timeout)
	defer cancel()
	path := fmt.Sprintf("/watch?prefix=%s&after=%d&wait=%d", url.QueryEscape(prefix), at.seq, c.maxWatchWait.Milliseconds())
	answer, err := c.roundTrip(ctx, http.MethodGet, path, nil, nil, maxResponseBytes)
	if err != nil {
		return at, err
	}
	if answer.status != http.StatusOK {
		return at, statusError(answer)
	}
	news, err := decodeWatch(answer.body)
	if err != nil {
		return at, err
	}
	for _, change := range news.Changes {
		c.deliver(event.ObjectChanged{Name: change.Name, Version: change.Version})
	}
	// The answer to sequence 0 only tells where the sequence stands, and a sequence that went back
	// belongs to another store: in both cases changes may have been missed.
	fresh := !at.synced || (at.seq == 0 && news.Seq > 0)
	if news.Gap || fresh || news.Seq < at.seq {
		c.deliver(event.ObjectChanged{})
	}
	return watchPosition{seq: news.Seq, synced: true}, nil
}

type watchResponse struct {
	Seq     uint64          `json:"seq"`
	Changes []objectVersion `json:"changes"`
	Gap     bool            `json:"gap"`
}

func decodeWatch(raw []byte) (watchResponse, error) {
	var news watchResponse
	if err := json.Unmarshal(raw, &news); err != nil {
		return watchResponse{}, fmt.Errorf("decode watch: %w", err)
	}
	for _, change := range news.Changes {
		if err := change.check(); err != nil {
			return watchResponse{}, fmt.Errorf("decode watch: %w", err)
		}
	}
	return news, nil
}

// vmBytesPerSecond is the part of a node's traffic budget of 16 KB/s that reads of the VM list may use. The list grows with
// the fleet, and so does the number of nodes that read it at different times and pass leaving markers on, so that the time
// until some node has read a change stays the same.
const vmBytesPerSecond = 4 << 10

// maxVMPollInterval bounds the time after which a node knows of a new VM.
const maxVMPollInterval = 2 * time.Minute

// vmPollInterval returns the pause after a read of a VM list of the given size.
func vmPollInterval(shortest time.Duration, size int) time.Duration {
	return max(shortest, min(maxVMPollInterval, time.Duration(size)*time.Second/vmBytesPerSecond))
}

// pollVMs reads the VM list at intervals until the context ends.
func (c *Client) pollVMs(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; {
		size, err := c.readVMs(ctx)
		next := vmPollInterval(c.pollInterval, size)
		if err != nil && ctx.Err() == nil {
			c.report(fmt.Errorf("platform: VM list: %w", err))
			next = max(next, c.initialBackoff<<min(failures, maxDoublings))
			failures++
		} else {
			failures = 0
		}
		if !sleepWithJitter(ctx, next) {
			return
		}
	}
}

// readVMs reads the VM list once and returns the size of the answer in bytes.
func (c *Client) readVMs(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	answer, err := c.roundTrip(ctx, http.MethodGet, "/vms", nil, nil, maxResponseBytes)
	if err != nil {
		return 0, err
	}
	if answer.status != http.StatusOK {
		return 0, statusError(answer)
	}
	list, err := decodeVMs(answer.body)
	if list != nil {
		c.deliver(event.VMList{List: list})
	}
	return len(answer.body), err
}

// decodeVMs returns the valid entries and the errors of all others. One bad entry must not hide
// the leaving markers of the rest.
func decodeVMs(raw []byte) ([]event.VM, error) {
	var answer struct {
		VMs *[]json.RawMessage `json:"vms"`
	}
	if err := json.Unmarshal(raw, &answer); err != nil {
		return nil, fmt.Errorf("decode: %w", err)
	}
	if answer.VMs == nil {
		return nil, errors.New("decode: no field vms")
	}
	list := make([]event.VM, 0, len(*answer.VMs))
	var errs []error
	for i, one := range *answer.VMs {
		var vm event.VM
		err := json.Unmarshal(one, &vm)
		if err == nil {
			err = checkVM(vm)
		}
		if err != nil {
			errs = append(errs, fmt.Errorf("entry %d: %w", i, err))
			continue
		}
		list = append(list, vm)
	}
	return list, errors.Join(errs...)
}

func checkVM(vm event.VM) error {
	switch {
	case vm.Name == "":
		return errors.New("VM without a name")
	case vm.Kind != "entry" && vm.Kind != "backend":
		return fmt.Errorf("VM %s: unknown kind %q", vm.Name, vm.Kind)
	case !vm.Addr.IsValid():
		return fmt.Errorf("VM %s: no address", vm.Name)
	case vm.FailureDomain == "":
		return fmt.Errorf("VM %s: no failure domain", vm.Name)
	case vm.Kind == "backend" && vm.Pool == "":
		return fmt.Errorf("VM %s: no pool", vm.Name)
	}
	return nil
}
