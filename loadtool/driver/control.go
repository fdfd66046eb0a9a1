package driver

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"time"

	"jackdawcart.org/core/checker"
	"jackdawcart.org/loadtool/scheduler"
)

// controlTimeout bounds one call to a control address. It allows for reading
// the large record of a long run.
const controlTimeout = 30 * time.Second

// postEvents posts each event of the workload at its scheduled time.
func (d *Driver) postEvents(ctx context.Context, start time.Time) {
	events := slices.Clone(d.workload.Events)
	slices.SortStableFunc(events, func(a, b scheduler.Event) int { return int(a.At - b.At) })
	for _, e := range events {
		if !d.sleepUntil(ctx, start.Add(time.Duration(e.At))) {
			return
		}
		if err := d.postEvent(ctx, e); err != nil {
			d.addNote("event at %s failed: %v", time.Duration(e.At), err)
		}
	}
}

// postEvent sends an event to its stand-in. A target stand-in without a
// matching target answers 404, so an event for targets succeeds if at least one
// stand-in accepts it.
func (d *Driver) postEvent(ctx context.Context, e scheduler.Event) error {
	if e.To == scheduler.ToPlatform {
		return d.postFaults(ctx, d.workload.Platform, "/control", e.Faults)
	}
	var lastErr error
	accepted := false
	for _, address := range d.workload.Targets {
		err := d.postFaults(ctx, address, "/control/"+url.PathEscape(e.Target), e.Faults)
		if err == nil {
			accepted = true
			continue
		}
		lastErr = err
	}
	if accepted {
		return nil
	}
	return lastErr
}

// maxErrorBytes bounds the response text that an error quotes.
const maxErrorBytes = 1024

func (d *Driver) postFaults(ctx context.Context, address netip.AddrPort, path string, faults json.RawMessage) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+path, bytes.NewReader(faults))
	if err != nil {
		return err
	}
	response, err := d.control.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		return fmt.Errorf("%s: %s", response.Status, bytes.TrimSpace(text))
	}
	return nil
}

// readTargetRecords merges the records of all target stand-ins into the run's
// record. It skips target runs that started before this load run, because they
// belong to earlier load runs against the same stand-ins.
func (d *Driver) readTargetRecords(ctx context.Context, start time.Time) {
	merged := checker.TargetRecord{Refusals: map[string]int{}}
	partial := d.workload.TargetsPartial || len(d.workload.Targets) == 0
	for _, address := range d.workload.Targets {
		record, err := d.readRecord(ctx, address)
		if err != nil {
			d.addNote("reading the record of %s failed: %v", address, err)
			partial = true
			continue
		}
		merged.Maps = append(merged.Maps, record.Maps...)
		for _, r := range record.Runs {
			if !r.Start.Before(start) {
				merged.Runs = append(merged.Runs, r)
			}
		}
		for code, count := range record.Refusals {
			merged.Refusals[code] += count
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record.Targets = merged
	d.record.TargetsPartial = partial
}

func (d *Driver) readRecord(ctx context.Context, address netip.AddrPort) (*checker.TargetRecord, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/control/record", http.NoBody)
	if err != nil {
		return nil, err
	}
	response, err := d.control.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var record checker.TargetRecord
	if err := json.NewDecoder(response.Body).Decode(&record); err != nil {
		return nil, err
	}
	return &record, nil
}
