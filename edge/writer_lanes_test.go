package edge

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core"
	"jacinthwind/core/cell"
	"jacinthwind/core/job"
)

// laneCounter counts the transactions of each lane.
type laneCounter struct {
	*fakeStore
	mu   sync.Mutex
	most int
	by   map[string]int
	// lanes holds the lane of each key that was written.
	lanes map[string]string
}

func (l *laneCounter) Commit(ctx context.Context, t core.Transaction) (int64, []core.Item, error) {
	l.mu.Lock()
	l.by[t.Expect[1].Key]++
	l.most = max(l.most, l.by[t.Expect[1].Key])
	for _, p := range t.Puts {
		l.lanes[p.Key] = t.Expect[1].Key
	}
	l.mu.Unlock()
	return l.fakeStore.Commit(ctx, t)
}

// TestLargeWriteTakesFewRounds: a burst on a store that takes a third of a second for each call.
// Each transaction that waits for the one before it delays all jobs of the write, and those that
// are submitted meanwhile.
func TestLargeWriteTakesFewRounds(t *testing.T) {
	s, w := newTestWriter(t)
	var e cell.Write
	for i := range 80 {
		name := fmt.Sprint("job", i)
		e.Puts = append(e.Puts, cell.Record{Kind: cell.JobRecord, Name: name, Value: &job.Job{ID: name}},
			cell.Record{Kind: cell.ProgressRecord, Name: name, Value: job.Progress{State: job.Pending}})
	}
	for _, c := range []struct{ jobs, most int }{{80, 1}, {8, 1}, {40, 1}, {80, 1}} {
		counter := &laneCounter{fakeStore: s, by: map[string]int{}, lanes: map[string]string{}}
		w.store = counter
		require.NoError(t, writeAll(w, cell.Write{Puts: e.Puts[:2*c.jobs]}))
		require.LessOrEqual(t, counter.most, c.most, "%d jobs", c.jobs)
		for i := range c.jobs {
			id := fmt.Sprint("job", i)
			require.Contains(t, s.items, prefixJob+id)
			require.Equal(t, counter.lanes[prefixJob+id], counter.lanes[prefixProgress+id], "the records of a job are stored in order")
		}
	}
}

// deadStore answers nothing, and counts the transactions that it gets at a time.
type deadStore struct {
	*fakeStore
	mu        sync.Mutex
	now, most int
	calls     int
}

func (d *deadStore) Commit(ctx context.Context, _ core.Transaction) (int64, []core.Item, error) {
	d.mu.Lock()
	d.calls++
	if d.now++; d.calls > maxWriterLanes {
		d.most = max(d.most, d.now)
	}
	d.mu.Unlock()
	sleep(ctx, 20*time.Millisecond)
	d.mu.Lock()
	d.now--
	d.mu.Unlock()
	return 0, nil, core.ErrUnavailable
}

// TestFewWritesAreRepeatedWhileStoreIsAway: the store goes away in a burst, with a write in each
// lane. All of them at once, repeated through peers, had left no room for the renewal of the lease.
func TestFewWritesAreRepeatedWhileStoreIsAway(t *testing.T) {
	s, w := newTestWriter(t)
	dead := &deadStore{fakeStore: s}
	w.store = dead
	ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
	defer cancel()
	var writes sync.WaitGroup
	for i := range maxWriterLanes {
		writes.Go(func() {
			_, _ = w.write(ctx, cell.Write{Puts: []cell.Record{{Kind: cell.ProgressRecord, Name: fmt.Sprint("job", i), Value: job.Progress{}}}})
		})
	}
	writes.Wait()
	require.Greater(t, dead.calls, maxWriterLanes)
	require.LessOrEqual(t, dead.most, maxRetries)
}
