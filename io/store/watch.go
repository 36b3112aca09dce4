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

// maxDoublings bounds the exponential growth of the pause after consecutive failures.
const maxDoublings = 5

// watchPosition is the position of a watch in the platform's sequence of changes.
type watchPosition struct {
	seq    uint64
	synced bool // seq was received from the platform
}

// watch follows a prefix with long polls until the context is done.
func (c *Client) watch(ctx context.Context, prefix string) {
	var at watchPosition
	for failures := 0; ctx.Err() == nil; {
		next, err := c.watchOnce(ctx, prefix, at)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			c.reportError(fmt.Errorf("platform: watch %q: %w", prefix, err))
			if !sleepWithJitter(ctx, c.initialBackoff<<min(failures, maxDoublings)) {
				return
			}
			failures++
			continue
		}
		at, failures = next, 0
		// A store that was never written has sequence number 0, and the platform answers a poll from 0 at once.
		if at.seq == 0 && !sleepWithJitter(ctx, c.initialBackoff) {
			return
		}
	}
}

// watchOnce makes one long poll, delivers the changes and returns the position for the next poll.
func (c *Client) watchOnce(ctx context.Context, prefix string, at watchPosition) (watchPosition, error) {
	ctx, cancel := context.WithTimeout(ctx, c.maxWatchWait+c.timeout)
	defer cancel()
	path := fmt.Sprintf("/watch?prefix=%s&after=%d&wait=%d", url.QueryEscape(prefix), at.seq, c.maxWatchWait.Milliseconds())
	resp, err := c.roundTrip(ctx, http.MethodGet, path, nil, nil, maxResponseBytes)
	if err != nil {
		return at, err
	}
	if resp.status != http.StatusOK {
		return at, statusError(resp)
	}
	update, err := decodeWatch(resp.body)
	if err != nil {
		return at, err
	}
	for _, change := range update.Changes {
		c.deliver(event.ObjectChanged{Name: change.Name, Version: change.Version})
	}
	// The response to a poll from 0 holds only the current sequence number, and a sequence number that
	// decreased belongs to another store. In both cases, as after a gap, changes may have been missed.
	firstSync := !at.synced || (at.seq == 0 && update.Seq > 0)
	if update.Gap || firstSync || update.Seq < at.seq {
		c.deliver(event.ObjectChanged{})
	}
	return watchPosition{seq: update.Seq, synced: true}, nil
}

type watchResponse struct {
	Seq     uint64          `json:"seq"`
	Changes []objectVersion `json:"changes"`
	Gap     bool            `json:"gap"`
}

func decodeWatch(raw []byte) (watchResponse, error) {
	var update watchResponse
	if err := json.Unmarshal(raw, &update); err != nil {
		return watchResponse{}, fmt.Errorf("decode watch response: %w", err)
	}
	for _, change := range update.Changes {
		if err := change.check(); err != nil {
			return watchResponse{}, fmt.Errorf("decode watch response: %w", err)
		}
	}
	return update, nil
}

// vmBytesPerSecond is the share of a node's traffic budget of 16 KB/s for reads of the VM list. In a larger fleet the list
// is longer and each node reads it less often, but more nodes read it at different times and pass leaving markers on. The
// time until the first node has read a change therefore stays the same.
const vmBytesPerSecond = 4 << 10

// maxVMPollInterval bounds the time until a node learns of a new VM.
const maxVMPollInterval = 2 * time.Minute

// vmPollInterval returns the pause after a read of a VM list of the given size in bytes.
func vmPollInterval(minInterval time.Duration, size int) time.Duration {
	return max(minInterval, min(maxVMPollInterval, time.Duration(size)*time.Second/vmBytesPerSecond))
}

// pollVMs reads the VM list at intervals until the context is done.
func (c *Client) pollVMs(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; {
		size, err := c.readVMs(ctx)
		interval := vmPollInterval(c.pollInterval, size)
		if err != nil && ctx.Err() == nil {
			c.reportError(fmt.Errorf("platform: read VM list: %w", err))
			interval = max(interval, c.initialBackoff<<min(failures, maxDoublings))
			failures++
		} else {
			failures = 0
		}
		if !sleepWithJitter(ctx, interval) {
			return
		}
	}
}

// readVMs reads and delivers the VM list and returns the size of the response in bytes.
func (c *Client) readVMs(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.roundTrip(ctx, http.MethodGet, "/vms", nil, nil, maxResponseBytes)
	if err != nil {
		return 0, err
	}
	if resp.status != http.StatusOK {
		return 0, statusError(resp)
	}
	list, err := decodeVMs(resp.body)
	if list != nil {
		c.deliver(event.VMList{List: list})
	}
	return len(resp.body), err
}

// decodeVMs returns the valid entries and an error for each invalid one, because one bad entry must
// not hide the leaving markers of the others.
func decodeVMs(raw []byte) ([]event.VM, error) {
	var resp struct {
		VMs *[]json.RawMessage `json:"vms"`
	}
	if err := json.Unmarshal(raw, &resp); err != nil {
		return nil, fmt.Errorf("decode: %w", err)
	}
	if resp.VMs == nil {
		return nil, errors.New(`decode: no field "vms"`)
	}
	list := make([]event.VM, 0, len(*resp.VMs))
	var errs []error
	for i, entry := range *resp.VMs {
		var vm event.VM
		err := json.Unmarshal(entry, &vm)
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
		return errors.New("VM has no name")
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
