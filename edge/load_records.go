package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"jacinthwind/common/eventlog"
	"jacinthwind/core"
	"jacinthwind/core/cell"
	"jacinthwind/core/event"
	"jacinthwind/core/job"
)

// storedRecords holds the records that earlier owners stored, by key.
type storedRecords struct {
	jobs, progress, waves map[string]core.Item
	// parts holds the parts of the progress of open jobs, by job and key.
	parts  map[string]map[string]core.Item
	orders core.Item
}

// loadRecords loads records into a kernel. A record that cannot be read is skipped and
// logged: it would stop each new owner in turn.
func loadRecords(k *cell.Kernel, r storedRecords, log *eventlog.Log) {
	for key, item := range r.jobs {
		id := strings.TrimPrefix(key, prefixJob)
		j, p, err := decodeJob(id, item, r.progress[prefixProgress+id], r.parts[id])
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
// is stored, and parts has those that are stored.
func decodeJob(id string, item, progress core.Item, parts map[string]core.Item) (*job.Job, job.Progress, error) {
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
		if err := addParts(&j, &p, parts); err != nil {
			return nil, p, err
		}
	}
	return &j, p, nil
}

// addParts decodes the parts of a job's progress and adds them to it.
func addParts(j *job.Job, p *job.Progress, parts map[string]core.Item) error {
	if p.Parts > 0 && p.Parts != j.PartCount(p.PartTasks) {
		return fmt.Errorf("check progress of job %s: %d parts of %d tasks", j.ID, p.Parts, p.PartTasks)
	}
	for n := range p.Parts {
		item, ok := parts[partKey(j.ID, n)]
		if !ok {
			// Nothing of it has run.
			continue
		}
		var part job.ProgressPart
		if err := json.Unmarshal(item.Value, &part); err != nil {
			return fmt.Errorf("decode part %s of the progress: %w", item.Key, err)
		}
		p.AddPart(j, n, part)
	}
	return nil
}

// readParts reads the parts of the progress of all open jobs that have them.
func readParts(ctx context.Context, store core.MetadataStore, progress map[string]core.Item) (map[string]map[string]core.Item, error) {
	var divided []string
	for key, item := range progress {
		var p job.Progress
		if bytes.Contains(item.Value, partsField) && json.Unmarshal(item.Value, &p) == nil && p.Parts > 0 && !p.State.IsFinal() {
			divided = append(divided, strings.TrimPrefix(key, prefixProgress))
		}
	}
	parts := map[string]map[string]core.Item{}
	var mu sync.Mutex
	err := readEach(divided, func(id string) error {
		items, _, err := readPrefix(ctx, store, prefixPart+id+"/")
		mu.Lock()
		defer mu.Unlock()
		parts[id] = items
		return err
	})
	return parts, err
}

// partsField is in every record of progress that has parts.
var partsField = []byte(`"parts":`)

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

// recordReaders is the number of reads of single records that are under way at a time.
const recordReaders = 4

// loadedJobs describes the index of the open jobs as it was found.
type loadedJobs struct {
	// indexed is true if only the jobs of the index were read.
	indexed bool
	// open holds the jobs that have not ended, and stale those that the index lists
	// although they have.
	open, stale []string
}

// loadKernel reads the stored records, several kinds at a time, and loads them into a
// kernel: of the jobs only those that the index lists, or all if it is not complete.
func loadKernel(ctx context.Context, store core.MetadataStore, k *cell.Kernel, indexed bool, log *eventlog.Log) (loadedJobs, error) {
	var r storedRecords
	var index map[string]core.Item
	reads := []func() error{
		func() (err error) { r.waves, _, err = readPrefix(ctx, store, prefixWave); return err },
		func() (err error) {
			if r.orders, err = store.Get(ctx, keyOrders); errors.Is(err, core.ErrNotFound) {
				return nil
			}
			return err
		},
	}
	if indexed {
		reads = append(reads, func() (err error) {
			if index, _, err = readPrefix(ctx, store, prefixOpen); err == nil {
				r.jobs, r.progress, err = readIndexed(ctx, store, index)
			}
			return err
		})
	} else {
		reads = append(reads,
			func() (err error) { r.jobs, _, err = readPrefix(ctx, store, prefixJob); return err },
			func() (err error) { r.progress, _, err = readPrefix(ctx, store, prefixProgress); return err })
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
		return loadedJobs{}, failed
	}
	var err error
	if r.parts, err = readParts(ctx, store, r.progress); err != nil {
		return loadedJobs{}, err
	}
	loadRecords(k, r, log)
	return compareIndex(k, r, index, indexed), nil
}

// compareIndex compares the loaded jobs with the index.
func compareIndex(k *cell.Kernel, r storedRecords, index map[string]core.Item, indexed bool) loadedJobs {
	loaded := loadedJobs{indexed: indexed}
	for key := range r.jobs {
		id := strings.TrimPrefix(key, prefixJob)
		if state, _ := k.JobState(id); !state.IsFinal() {
			loaded.open = append(loaded.open, id)
		}
	}
	for key := range index {
		id := strings.TrimPrefix(key, prefixOpen)
		if state, known := k.JobState(id); !known || state.IsFinal() {
			loaded.stale = append(loaded.stale, id)
		}
	}
	return loaded
}

// readIndexed reads the records of the jobs that the index lists.
func readIndexed(ctx context.Context, store core.MetadataStore, index map[string]core.Item) (jobs, progress map[string]core.Item, err error) {
	var keys []string
	for key := range index {
		id := strings.TrimPrefix(key, prefixOpen)
		keys = append(keys, prefixJob+id, prefixProgress+id)
	}
	jobs, progress = map[string]core.Item{}, map[string]core.Item{}
	var mu sync.Mutex
	err = readEach(slices.Collect(slices.Chunk(keys, core.MaxGetMany)), func(part []string) error {
		items, err := readKeys(ctx, store, part)
		mu.Lock()
		defer mu.Unlock()
		for _, item := range items {
			if strings.HasPrefix(item.Key, prefixJob) {
				jobs[item.Key] = item
			} else {
				progress[item.Key] = item
			}
		}
		return err
	})
	return jobs, progress, err
}

// readEach calls read with each of the keys, recordReaders at a time, and returns the first
// error. It begins no further read after an error.
func readEach[T any](keys []T, read func(T) error) error {
	var g errgroup.Group
	g.SetLimit(recordReaders)
	var failed atomic.Bool
	for _, key := range keys {
		if failed.Load() {
			break
		}
		g.Go(func() error {
			err := read(key)
			if err != nil {
				failed.Store(true)
			}
			return err
		})
	}
	return g.Wait()
}

// readKeys reads the items of some keys. A read that fails is repeated, up to
// maxPageAttempts times, and one whose answer cannot be decoded is divided: it may be too
// large. Keys without an item are read once more, each by itself: a job is forgotten if its
// record is.
func readKeys(ctx context.Context, store core.MetadataStore, keys []string) ([]core.Item, error) {
	items, err := store.GetMany(ctx, keys)
	for attempt := 1; err != nil && !errors.Is(err, core.ErrUnreadable) && attempt < maxPageAttempts && ctx.Err() == nil; attempt++ {
		sleep(ctx, watchRetryDelay)
		items, err = store.GetMany(ctx, keys)
	}
	if errors.Is(err, core.ErrUnreadable) && len(keys) > 1 {
		return readHalves(ctx, store, keys)
	}
	if err != nil {
		return nil, err
	}
	found := map[string]bool{}
	for _, item := range items {
		found[item.Key] = true
	}
	for _, key := range keys {
		if found[key] {
			continue
		}
		item, err := readRecord(ctx, store, key)
		if err != nil {
			return nil, err
		}
		if item.Key != "" {
			items = append(items, item)
		}
	}
	return items, nil
}

// readHalves reads the items of some keys in two parts.
func readHalves(ctx context.Context, store core.MetadataStore, keys []string) ([]core.Item, error) {
	first, err := readKeys(ctx, store, keys[:len(keys)/2])
	if err != nil {
		return nil, err
	}
	second, err := readKeys(ctx, store, keys[len(keys)/2:])
	return append(first, second...), err
}

// readRecord reads a record; the key of the item is empty if there is none. A record may
// be large, so it is read like a page.
func readRecord(ctx context.Context, store core.MetadataStore, key string) (core.Item, error) {
	items, _, err := readPrefix(ctx, store, key)
	return items[key], err
}

// endedJob decodes the progress of a job that is not open. A record that cannot be read
// is logged, and gives a job without a state.
func endedJob(item core.Item, log *eventlog.Log) cell.EndedJob {
	e := cell.EndedJob{ID: strings.TrimPrefix(item.Key, prefixProgress)}
	var p job.Progress
	if err := json.Unmarshal(item.Value, &p); err != nil {
		log.Event(event.RecordSkipped, zap.String("key", item.Key), zap.Error(err))
		return e
	}
	e.State, e.EndedMs, e.Parts = p.State, p.EndedMs, p.Parts
	return e
}
