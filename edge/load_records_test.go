package edge

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/common/eventlog"
	"jacinthwind/core"
	"jacinthwind/core/cell"
	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
)

// TestUnreadableRecordStopsEachNewOwner guards against a stored record that each new owner
// fails to read in turn, so that the pools never have an owner again.
func TestUnreadableRecordStopsEachNewOwner(t *testing.T) {
	jobs, progress := map[string]core.Item{}, map[string]core.Item{}
	store := func(id string, record any, state any) {
		jobs[prefixJob+id] = core.Item{Key: prefixJob + id, Value: encodeTestRecord(record)}
		if state != nil {
			progress[prefixProgress+id] = core.Item{Key: prefixProgress + id, Value: encodeTestRecord(state)}
		}
	}
	steps := []job.Step{{Count: 1, Size: fleet.Vector{CPU: 100}}}
	store("0000000000000001", job.Job{ID: "0000000000000001", Steps: steps}, nil)
	store("0000000000000002", "{", nil)
	store("0000000000000003", job.Job{ID: "0000000000000003", Steps: steps}, `{"state":7}`)
	store("0000000000000004", job.Job{ID: "0000000000000004", Steps: []job.Step{{Count: 1, After: []int{5}}}}, nil)
	store("0000000000000005", job.Job{ID: "0000000000000005", Steps: []job.Step{{Count: -1}}}, nil)
	store("0000000000000006", job.Job{ID: "0000000000000006", Steps: steps}, job.Progress{State: job.Running, Tasks: []job.TaskProgress{{Occurrence: -1, Index: 3}}})
	store("0000000000000007", "{", job.Progress{State: job.Succeeded})
	store("0000000000000008", job.Job{ID: "another"}, nil)

	k := cell.New(cell.Settings{MaxRenewalGap: 6 * time.Second, VMOrderLease: time.Second}, now(), 1, 0)
	waves := map[string]core.Item{prefixWave + "x": {}, prefixWave + "3": {Value: []byte("{")}}
	loadRecords(k, storedRecords{jobs: jobs, progress: progress, waves: waves, orders: core.Item{Value: []byte("{")}}, eventlog.Nop())
	for id, want := range map[string]job.State{
		"0000000000000001": job.Pending, "0000000000000002": job.Running, "0000000000000003": job.Running,
		"0000000000000004": job.Running, "0000000000000005": job.Running, "0000000000000006": job.Running,
		"0000000000000007": job.Succeeded, "0000000000000008": job.Running,
	} {
		state, known := k.JobState(id)
		require.True(t, known, "job %s", id)
		require.Equal(t, want, state, "job %s", id)
	}
	// What cannot be read can still be cancelled.
	k.Step(now(), cell.CancelRequested{Call: 1, Job: "0000000000000002"})
	var stored []string
	for _, e := range k.Step(now(), cell.Tick{}) {
		if w, ok := e.(cell.Write); ok {
			for _, p := range w.Puts {
				stored = append(stored, string(p.Kind)+" "+p.Name)
			}
		}
	}
	require.Equal(t, []string{"job 0000000000000002", "progress 0000000000000002"}, stored)
}

// encodeTestRecord encodes a record; a string is taken as it is.
func encodeTestRecord(v any) []byte {
	if s, ok := v.(string); ok {
		return []byte(s)
	}
	return mustEncode(v)
}

// listStore is a fakeStore that answers reads of many keys, up to a size.
type listStore struct {
	*fakeStore
	maxAnswerBytes int
}

func (s *listStore) GetMany(_ context.Context, keys []string) ([]core.Item, error) {
	var found []core.Item
	size := 0
	for _, key := range keys {
		if item, ok := s.items[key]; ok {
			found = append(found, item)
			size += len(item.Value)
		}
	}
	if s.maxAnswerBytes > 0 && size > s.maxAnswerBytes {
		return nil, fmt.Errorf("%w: %w", core.ErrUnavailable, core.ErrUnreadable)
	}
	return found, nil
}

func (s *listStore) Get(_ context.Context, key string) (core.Item, error) {
	item, ok := s.items[key]
	if !ok {
		return item, core.ErrNotFound
	}
	return item, nil
}

// TestPartsAreStoredReadAndRemoved guards against a next owner that finds a part of the progress
// of a large job only, and against transactions with more entries than the store takes
// (review case 2).
func TestPartsAreStoredReadAndRemoved(t *testing.T) {
	const id, partTasks, tasks = "000000000000000a", 256, 20_000
	j := &job.Job{ID: id, Queue: "q", Pool: "p", Steps: []job.Step{{Count: tasks, Size: fleet.Vector{CPU: 100}}}, AcceptedMs: 5}
	parts := j.PartCount(partTasks)
	progress := job.Progress{State: job.Running, PartTasks: partTasks, Parts: parts}
	e := cell.Write{Puts: []cell.Record{{Kind: cell.JobRecord, Name: id, Value: j}, {Kind: cell.ProgressRecord, Name: id, Value: progress}}}
	for n := range parts - 1 {
		part := job.ProgressPart{AcceptedMs: 5}
		for i := range partTasks {
			part.MarkDone(i)
		}
		e.Puts = append(e.Puts, cell.Record{Kind: cell.ProgressPartRecord, Name: id, Part: n, Value: part})
	}
	s, w := newTestWriter(t)
	largest := 0
	w.store = &sizeRecordingStore{fakeStore: s, largest: &largest}
	require.NoError(t, writeAll(w, e))
	require.LessOrEqual(t, largest, 32)

	read := &listStore{fakeStore: s}
	index := map[string]core.Item{prefixOpen + id: {}}
	jobs, stored, err := readIndexed(t.Context(), read, index)
	require.NoError(t, err)
	found, err := readParts(t.Context(), read, stored)
	require.NoError(t, err)
	_, p, err := decodeJob(id, jobs[prefixJob+id], stored[prefixProgress+id], found[id])
	require.NoError(t, err)
	require.Equal(t, (parts-1)*partTasks, len(p.Tasks))

	damaged := found[id][partKey(id, 1)]
	damaged.Value = []byte("{")
	found[id][partKey(id, 1)] = damaged
	_, _, err = decodeJob(id, jobs[prefixJob+id], stored[prefixProgress+id], found[id])
	require.Error(t, err, "a job of which a part cannot be read must not run")

	require.NoError(t, writeAll(w, cell.Write{Remove: []cell.RemovedJob{{ID: id, Parts: parts}}}))
	require.LessOrEqual(t, largest, 32)
	for key := range s.items {
		require.NotContains(t, key, prefixPart)
	}
}

// TestRecordsTooLargeForOneAnswerAreRead guards against a takeover that never ends since the
// records that are read with one call are larger than an answer may be (review case 2 on a
// related path).
func TestRecordsTooLargeForOneAnswerAreRead(t *testing.T) {
	s, _ := newTestWriter(t)
	index := map[string]core.Item{}
	for i := range 40 {
		id := fmt.Sprintf("%016x", i)
		index[prefixOpen+id] = core.Item{}
		for _, prefix := range []string{prefixJob, prefixProgress} {
			s.items[prefix+id] = core.Item{Key: prefix + id, Value: make([]byte, 1000), Revision: 1}
		}
	}
	jobs, progress, err := readIndexed(t.Context(), &listStore{s, 3500}, index)
	require.NoError(t, err)
	require.Len(t, jobs, 40)
	require.Len(t, progress, 40)
}
