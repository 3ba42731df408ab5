package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"jacinthwind/core"
	"jacinthwind/core/cell"
	"jacinthwind/core/job"
)

// loadRecords loads the records that earlier owners stored into a kernel.
func loadRecords(k *cell.Kernel, jobs, progress, waves map[string]core.Item, orders core.Item) error {
	for key, item := range jobs {
		var j job.Job
		if err := json.Unmarshal(item.Value, &j); err != nil {
			return fmt.Errorf("decode job record %s: %w", key, err)
		}
		p := job.Progress{State: job.Pending}
		if stored, ok := progress[prefixProgress+j.ID]; ok {
			if err := json.Unmarshal(stored.Value, &p); err != nil {
				return fmt.Errorf("decode progress record %s: %w", stored.Key, err)
			}
		}
		k.LoadJob(&j, p)
	}
	for key, item := range waves {
		number, err := strconv.Atoi(strings.TrimPrefix(key, prefixWave))
		if err != nil {
			return fmt.Errorf("parse wave number of key %s: %w", key, err)
		}
		var p cell.WaveProgress
		if err := json.Unmarshal(item.Value, &p); err != nil {
			return fmt.Errorf("decode wave record %s: %w", key, err)
		}
		k.LoadWave(number, p)
	}
	if len(orders.Value) > 0 {
		var r cell.VMOrdersList
		if err := json.Unmarshal(orders.Value, &r); err != nil {
			return fmt.Errorf("decode VM order record %s: %w", keyOrders, err)
		}
		k.LoadVMOrders(r)
	}
	return nil
}

// loadKernel reads all stored records, several kinds at a time, and loads them into a
// kernel.
func loadKernel(ctx context.Context, store core.MetadataStore, k *cell.Kernel) error {
	var jobs, progress, waves map[string]core.Item
	var orders core.Item
	reads := []func() error{
		func() (err error) { jobs, _, err = readPrefix(ctx, store, prefixJob); return err },
		func() (err error) { progress, _, err = readPrefix(ctx, store, prefixProgress); return err },
		func() (err error) { waves, _, err = readPrefix(ctx, store, prefixWave); return err },
		func() (err error) {
			if orders, err = store.Get(ctx, keyOrders); errors.Is(err, core.ErrNotFound) {
				return nil
			}
			return err
		},
	}
	results := make(chan error, len(reads))
	for _, read := range reads {
		go func() { results <- read() }()
	}
	var failed error
	for range reads {
		if err := <-results; err != nil {
			failed = err
		}
	}
	if failed != nil {
		return failed
	}
	return loadRecords(k, jobs, progress, waves, orders)
}
