package store

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"jacinthwind/core"
)

const (
	// DefaultWatchWait is how long Watch waits for a change by default.
	DefaultWatchWait = 20 * time.Second
	// maxHistoryEvents is the number of past changes that Watch can return.
	maxHistoryEvents = 4096
)

// Memory implements core.Store in memory. Its zero value is an empty store.
type Memory struct {
	// WatchWait is how long Watch waits for a change; DefaultWatchWait is used
	// if it is zero.
	WatchWait time.Duration

	mu       sync.Mutex
	revision int64
	entries  map[string]core.Entry
	history  []core.StoreEvent
	// compacted is the latest revision that is no longer in the history.
	compacted int64
	leases    map[core.LeaseID]*lease
	nextLease int64
	changed   chan struct{}
	faults    Faults
	calls     Calls
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// Faults holds the failures that the store simulates.
type Faults struct {
	// Down makes every call fail with core.ErrUnavailable.
	Down bool
	// Delay is the time that every call waits before it runs.
	Delay time.Duration
	// LoseAnswers is the number of writes that are applied but answered with
	// core.WriteUnknown.
	LoseAnswers int
}

// Calls holds the number of calls by kind. A watch counts once however long it
// waits.
type Calls struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Renews  int64 `json:"renews"`
}

// SetFaults replaces the simulated faults and makes waiting watches check them.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	m.notifyWatches()
}

// Calls returns the number of calls so far.
func (m *Memory) Calls() Calls {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// Compact drops the history, so that a watch from an earlier revision fails with
// core.ErrCompacted.
func (m *Memory) Compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.history = nil
	m.compacted = m.revision
	m.notifyWatches()
}

// beginCall counts a call and applies the delay and the outage of the simulated
// faults to it. On success it returns with m.mu held, otherwise without.
func (m *Memory) beginCall(ctx context.Context, counter *int64) error {
	m.mu.Lock()
	*counter++
	f := m.faults
	if f.Delay > 0 {
		m.mu.Unlock()
		if err := sleep(ctx, f.Delay); err != nil {
			return core.ErrUnavailable
		}
		m.mu.Lock()
	}
	if m.faults.Down {
		m.mu.Unlock()
		return core.ErrUnavailable
	}
	m.initMaps()
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

func (m *Memory) initMaps() {
	if m.entries != nil {
		return
	}
	m.entries = make(map[string]core.Entry)
	m.leases = make(map[core.LeaseID]*lease)
	m.changed = make(chan struct{})
}

func (m *Memory) notifyWatches() {
	if m.changed != nil {
		close(m.changed)
		m.changed = make(chan struct{})
	}
}

// Get returns the entry of key, or core.ErrNotFound.
func (m *Memory) Get(ctx context.Context, key string) (core.Entry, error) {
	if err := m.beginCall(ctx, &m.calls.Reads); err != nil {
		return core.Entry{}, err
	}
	defer m.mu.Unlock()
	e, ok := m.entries[key]
	if !ok {
		return core.Entry{}, core.ErrNotFound
	}
	return e, nil
}

// List returns the entries whose keys start with prefix, sorted by key.
func (m *Memory) List(ctx context.Context, prefix string) (core.Listing, error) {
	if err := m.beginCall(ctx, &m.calls.Reads); err != nil {
		return core.Listing{}, err
	}
	defer m.mu.Unlock()
	l := core.Listing{Revision: m.revision}
	for _, key := range slices.Sorted(maps.Keys(m.entries)) {
		if strings.HasPrefix(key, prefix) {
			l.Entries = append(l.Entries, m.entries[key])
		}
	}
	return l, nil
}

// CompareAndSwap applies w if the entry has the revision that w expects and the
// lease of w exists.
func (m *Memory) CompareAndSwap(ctx context.Context, w core.Write) core.WriteResult {
	if err := m.beginCall(ctx, &m.calls.Writes); err != nil {
		return core.WriteResult{Status: core.WriteUnknown}
	}
	defer m.mu.Unlock()
	result := m.applyWrite(w)
	if m.faults.LoseAnswers > 0 {
		m.faults.LoseAnswers--
		return core.WriteResult{Status: core.WriteUnknown}
	}
	return result
}

func (m *Memory) applyWrite(w core.Write) core.WriteResult {
	if m.entries[w.Key].Revision != w.Expect {
		return core.WriteResult{Status: core.WriteConflict}
	}
	if w.Lease != "" && m.leases[w.Lease] == nil {
		return core.WriteResult{Status: core.WriteConflict}
	}
	if w.Delete {
		m.deleteEntry(w.Key)
		return core.WriteResult{Status: core.WriteOK, Revision: m.revision}
	}
	m.revision++
	e := core.Entry{Key: w.Key, Value: slices.Clone(w.Value), Revision: m.revision, Lease: w.Lease}
	m.entries[w.Key] = e
	m.appendEvent(core.StoreEvent{Entry: e})
	return core.WriteResult{Status: core.WriteOK, Revision: m.revision}
}

func (m *Memory) deleteEntry(key string) {
	if _, ok := m.entries[key]; !ok {
		return
	}
	m.revision++
	delete(m.entries, key)
	m.appendEvent(core.StoreEvent{Entry: core.Entry{Key: key, Revision: m.revision}, Deleted: true})
}

func (m *Memory) appendEvent(ev core.StoreEvent) {
	m.history = append(m.history, ev)
	if excess := len(m.history) - maxHistoryEvents; excess > 0 {
		m.compacted = m.history[excess-1].Entry.Revision
		m.history = slices.Delete(m.history, 0, excess)
	}
	m.notifyWatches()
}

// GrantLease creates a lease that expires after ttl unless it is renewed.
func (m *Memory) GrantLease(ctx context.Context, ttl time.Duration) (core.LeaseID, error) {
	if err := m.beginCall(ctx, &m.calls.Writes); err != nil {
		return "", err
	}
	defer m.mu.Unlock()
	m.nextLease++
	id := core.LeaseID("lease-" + strconv.FormatInt(m.nextLease, 10))
	l := &lease{ttl: ttl}
	l.timer = time.AfterFunc(ttl, func() { m.expireLease(id) })
	m.leases[id] = l
	return id, nil
}

func (m *Memory) expireLease(id core.LeaseID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.deleteLease(id)
}

func (m *Memory) deleteLease(id core.LeaseID) {
	l, ok := m.leases[id]
	if !ok {
		return
	}
	l.timer.Stop()
	delete(m.leases, id)
	for _, key := range slices.Sorted(maps.Keys(m.entries)) {
		if m.entries[key].Lease == id {
			m.deleteEntry(key)
		}
	}
}

// RenewLease restarts the time to live of a lease and returns the revision of
// the store, or core.ErrNotFound if the lease has ended.
func (m *Memory) RenewLease(ctx context.Context, id core.LeaseID) (int64, error) {
	if err := m.beginCall(ctx, &m.calls.Renews); err != nil {
		return 0, err
	}
	defer m.mu.Unlock()
	l, ok := m.leases[id]
	if !ok {
		return 0, core.ErrNotFound
	}
	l.timer.Reset(l.ttl)
	return m.revision, nil
}

// RevokeLease ends a lease and deletes the entries attached to it.
func (m *Memory) RevokeLease(ctx context.Context, id core.LeaseID) error {
	if err := m.beginCall(ctx, &m.calls.Writes); err != nil {
		return err
	}
	defer m.mu.Unlock()
	if _, ok := m.leases[id]; !ok {
		return core.ErrNotFound
	}
	m.deleteLease(id)
	return nil
}

// Watch returns the changes after revision to keys that start with prefix. If
// there are none it waits for one and returns an empty batch after WatchWait.
func (m *Memory) Watch(ctx context.Context, prefix string, revision int64) (core.WatchBatch, error) {
	if err := m.beginCall(ctx, &m.calls.Watches); err != nil {
		return core.WatchBatch{}, err
	}
	wait := m.WatchWait
	if wait == 0 {
		wait = DefaultWatchWait
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, err := m.readEventsAfter(prefix, revision)
		changed := m.changed
		m.mu.Unlock()
		if err != nil || len(batch.Events) > 0 {
			return batch, err
		}
		select {
		case <-ctx.Done():
			return core.WatchBatch{}, core.ErrUnavailable
		case <-timer.C:
			return batch, nil
		case <-changed:
		}
		m.mu.Lock()
	}
}

// readEventsAfter returns the changes after revision to keys that start with
// prefix, from the history.
func (m *Memory) readEventsAfter(prefix string, revision int64) (core.WatchBatch, error) {
	if m.faults.Down {
		return core.WatchBatch{}, core.ErrUnavailable
	}
	if revision < m.compacted {
		return core.WatchBatch{}, core.ErrCompacted
	}
	batch := core.WatchBatch{Revision: m.revision}
	first, _ := slices.BinarySearchFunc(m.history, revision+1, func(ev core.StoreEvent, r int64) int {
		return int(ev.Entry.Revision - r)
	})
	for _, ev := range m.history[first:] {
		if strings.HasPrefix(ev.Entry.Key, prefix) {
			batch.Events = append(batch.Events, ev)
		}
	}
	return batch, nil
}
