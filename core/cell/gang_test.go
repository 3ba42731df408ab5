package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
)

// TestRunOfGangFailsOnce guards against failing a job before its attempts are used up, since the
// failures of several members in one run of their gang were added (review case 9).
func TestRunOfGangFailsOnce(t *testing.T) {
	w := newWorld(t, 2)
	w.advance(time.Second)
	gang := simpleJob(1, 2, 5000)
	gang.Steps[0].Gang = true
	w.submitJob(gang)
	members := []string{gang.ID + ".0.0.0", gang.ID + ".0.0.1"}
	for _, want := range []job.State{job.Running, job.Failed} {
		w.awaitRun(members[0])
		w.awaitRun(members[1])
		for _, task := range members {
			x := w.executorOf(task)
			x.endRun(x.runs[task], fleet.EndFailed)
		}
		w.advance(100 * time.Millisecond)
		require.Equal(t, want, w.jobState(gang.ID))
	}
}
