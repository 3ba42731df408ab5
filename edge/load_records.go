package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"go.uber.org/zap"

	"jacinthwind/common/eventlog"
	"jacinthwind/core"
	"jacinthwind/core/cell"
	"jacinthwind/core/event"
	"jacinthwind/core/job"
)

// storedRecords holds the records that earlier owners stored, by key.
type storedRecords struct {
	jobs, progress, waves map[string]core.Item
	orders                core.Item
}

// loadRecords loads records into a kernel. A record that cannot be read is skipped and
// logged: it would stop each new owner in turn.
func loadRecords(k *cell.Kernel, r storedRecords, log *eventlog.Log) {
	for key, item := range r.jobs {
		id := strings.TrimPrefix(key, prefixJob)
		j, p, err := decodeJob(id, item, r.progress[prefixProgress+id])
		if err != nil {
			log.Event(event.RecordSkipped, zap.String("key", key), zap.Error(err))
			k.LoadUnreadableJob(id)
			continue
		}
		k.LoadJob(j, p)
	}
	for key, item := range r.waves {
		if err := loadWave(k, key, item); err != nil {
			// Its VMs are ordered again, which the platform confirms.
			log.Event(event.RecordSkipped, zap.String("key", key), zap.Error(err))
		}
	}
	if len(r.orders.Value) == 0 {
		return
	}
	var orders cell.VMOrdersList
	if err := json.Unmarshal(r.orders.Value, &orders); err != nil {
		log.Event(event.RecordSkipped, zap.String("key", keyOrders), zap.Error(err))
		k.LoadUnreadableVMOrders()
		return
	}
	k.LoadVMOrders(orders)
}

// decodeJob decodes and checks a job and its progress; progress has no value if nothing
// is stored.
func decodeJob(id string, item, progress core.Item) (*job.Job, job.Progress, error) {
	p := job.Progress{State: job.Pending}
	if len(progress.Value) > 0 {
		if err := json.Unmarshal(progress.Value, &p); err != nil {
			return nil, p, fmt.Errorf("decode progress record %s: %w", progress.Key, err)
		}
	}
	var j job.Job
	err := json.Unmarshal(item.Value, &j)
	switch {
	case p.State.IsFinal() && (err != nil || j.ID != id):
		// Its state is all that is still needed.
		return &job.Job{ID: id}, p, nil
	case err != nil:
		return nil, p, fmt.Errorf("decode job record %s: %w", item.Key, err)
	case j.ID != id:
		return nil, p, fmt.Errorf("decode job record %s: it holds job %q", item.Key, j.ID)
	case !p.State.IsFinal():
		if err := j.Check(); err != nil {
			return nil, p, fmt.Errorf("check job record %s: %w", item.Key, err)
		}
	}
	return &j, p, nil
}

// loadWave loads the record of a wave into a kernel.
func loadWave(k *cell.Kernel, key string, item core.Item) error {
	number, err := strconv.Atoi(strings.TrimPrefix(key, prefixWave))
	if err != nil {
		return fmt.Errorf("parse wave number of key %s: %w", key, err)
	}
	var p cell.WaveProgress
	if err := json.Unmarshal(item.Value, &p); err != nil {
		return fmt.Errorf("decode wave record %s: %w", key, err)
	}
	k.LoadWave(number, p)
	return nil
}

// loadKernel reads all stored records, several kinds at a time, and loads them into a
// kernel.
func loadKernel(ctx context.Context, store core.MetadataStore, k *cell.Kernel, log *eventlog.Log) error {
	var r storedRecords
	reads := []func() error{
		func() (err error) { r.jobs, _, err = readPrefix(ctx, store, prefixJob); return err },
		func() (err error) { r.progress, _, err = readPrefix(ctx, store, prefixProgress); return err },
		func() (err error) { r.waves, _, err = readPrefix(ctx, store, prefixWave); return err },
		func() (err error) {
			if r.orders, err = store.Get(ctx, keyOrders); errors.Is(err, core.ErrNotFound) {
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
	loadRecords(k, r, log)
	return nil
}
