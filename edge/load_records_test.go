package edge

import (
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
