package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthwind/core/cell"
	"jacinthwind/core/job"
)

// TestRefusedJobRunsByEarlierCall guards against a job that runs after its caller was told that it
// never would: of two calls that submit it the later one arrives first and is refused (issue 38, REFUSED).
func TestRefusedJobRunsByEarlierCall(t *testing.T) {
	for name, c := range map[string]struct {
		// sentAgo and left are when the call that arrives last was sent and how long its
		// caller still waits.
		sentAgo, left time.Duration
		want          cell.Verdict
	}{
		"sent before the refusal":                  {1300 * time.Millisecond, time.Second, cell.Refused},
		"sent before, and its caller has left":     {1300 * time.Millisecond, -100 * time.Millisecond, cell.Refused},
		"sent after, and its caller has left":      {400 * time.Millisecond, -100 * time.Millisecond, cell.Refused},
		"sent after the refusal":                   {400 * time.Millisecond, 800 * time.Millisecond, cell.Accepted},
		"it is not known when it was sent":         {time.Hour, time.Second, cell.Refused},
		"sent at the same moment as the refusal":   {500 * time.Millisecond, time.Second, cell.Refused},
		"sent right after the refusal":             {499 * time.Millisecond, time.Second, cell.Accepted},
		"sent again by a caller that came back":    {0, callTimeout, cell.Accepted},
		"too little time for the job to be stored": {0, 30 * time.Millisecond, cell.Refused},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1)
			w.executors["e0"].Draining = true
			w.listExecutors()
			w.advance(2 * time.Second)
			j := simpleJob(1, 1, 1000)
			require.Equal(t, cell.Refused, w.verdicts[w.submitJob(j)].Verdict)
			w.executors["e0"].Draining = false
			w.listExecutors()
			w.advance(500 * time.Millisecond)
			now := w.now
			call := w.submitLate(simpleJob(1, 1, 1000), max(now-c.sentAgo, 0), now+c.left)
			w.advance(time.Second)
			require.Equal(t, c.want, w.verdicts[call].Verdict)
			if c.want == cell.Refused {
				require.Zero(t, w.starts[j.ID+".0.0.0"])
			}
		})
	}
}

// TestCallThatArrivesLateFindsItsJob checks that only new jobs need a call in time: the
// second call for a job that is being stored, or is stored, gets the answer for it.
func TestCallThatArrivesLateFindsItsJob(t *testing.T) {
	w := newWorld(t, 1)
	w.advance(time.Second)
	first := w.submitJob(simpleJob(1, 1, 1000))
	late := w.submitLate(simpleJob(1, 1, 1000), 0, w.now-time.Second)
	w.advance(200 * time.Millisecond)
	require.Equal(t, cell.Accepted, w.verdicts[first].Verdict)
	require.Equal(t, cell.Accepted, w.verdicts[late].Verdict)
	again := w.submitLate(simpleJob(1, 1, 1000), 0, w.now-time.Second)
	w.advance(200 * time.Millisecond)
	require.Equal(t, cell.Accepted, w.verdicts[again].Verdict)
	require.Equal(t, 1, w.starts["0000000000000001.0.0.0"])
}

// heldCall is a call on its way to an owner.
type heldCall struct {
	owner          *cell.Kernel
	job            *job.Job
	sent, deadline time.Duration
}

// TestRandomLateCallsStartRefusedJob delivers the calls of submissions late and in random order
// while executors come and go and owners change: a job runs only if the last answer that a
// caller got in time is not a refusal.
func TestRandomLateCallsStartRefusedJob(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &randomWorld{T: t, world: newWorld(t, 2)}
		r.advance(time.Second)
		var held []heldCall
		refused, refusedAt := map[string]bool{}, map[string]time.Duration{}
		deliver := func(c heldCall) {
			if c.owner != r.kernel {
				// Its link has ended with the ownership.
				return
			}
			again := *c.job
			call := r.submitLate(&again, c.sent, c.deadline)
			r.advance(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			a, answered := r.verdicts[call]
			switch {
			case r.now > c.deadline:
				// Callers hear of answers in time only.
			case answered:
				refused[c.job.ID] = a.Verdict != cell.Accepted
			case c.sent >= refusedAt[c.job.ID]:
				refused[c.job.ID] = false
			}
			if refused[c.job.ID] {
				refusedAt[c.job.ID] = r.now
			}
		}
		for range rapid.IntRange(10, 60).Draw(t, "length") {
			switch rapid.IntRange(0, 7).Draw(t, "act") {
			case 0, 1:
				r.jobs++
				held = append(held, heldCall{r.kernel, simpleJob(r.jobs, 1, 1000), r.now, r.now + callTimeout})
			case 2, 3:
				if len(held) > 0 {
					// The call is sent again; both are on their way.
					c := held[rapid.IntRange(0, len(held)-1).Draw(t, "call")]
					deliver(heldCall{r.kernel, c.job, r.now, r.now + callTimeout})
				}
			case 4:
				if len(held) > 0 {
					i := rapid.IntRange(0, len(held)-1).Draw(t, "call")
					c := held[i]
					held = append(held[:i], held[i+1:]...)
					deliver(c)
				}
			case 5:
				x := r.drawExecutor()
				x.Draining = !x.Draining
				r.listExecutors()
			case 6:
				r.advance(time.Duration(rapid.IntRange(10, 2000).Draw(t, "ms")) * time.Millisecond)
			case 7:
				r.deposeOwner()
			}
		}
		for _, c := range held {
			deliver(c)
		}
		r.advance(5 * time.Second)
		for id, lastAnswerRefuses := range refused {
			if lastAnswerRefuses {
				require.Zero(t, r.starts[id+".0.0.0"], "starts of the refused job %s", id)
			}
		}
	})
}

// TestJobRunsAfterItsCancelFoundNone guards against a job that runs after its caller was told that it
// does not exist: the call that submits it arrives after the cancel that was sent later.
func TestJobRunsAfterItsCancelFoundNone(t *testing.T) {
	w := newWorld(t, 1)
	w.advance(2 * time.Second)
	j := simpleJob(1, 1, 1000)
	sent := w.now
	w.advance(300 * time.Millisecond)
	w.lastCall++
	w.step(cell.CancelRequested{Call: w.lastCall, Job: j.ID})
	require.Equal(t, cell.NotFound, w.verdicts[w.lastCall].Verdict)
	w.advance(100 * time.Millisecond)
	w.submitLate(j, sent, sent+callTimeout)
	w.advance(5 * time.Second)
	require.Zero(t, w.starts[j.ID+".0.0.0"])
}

// TestJobOfCallWithoutClockIsNeverAccepted guards against a caller of a node that does not say when calls
// were sent: each of its retries renews the refusal that refuses the next one.
func TestJobOfCallWithoutClockIsNeverAccepted(t *testing.T) {
	w := newWorld(t, 1)
	w.executors["e0"].Draining = true
	w.listExecutors()
	w.advance(2 * time.Second)
	require.Equal(t, cell.Refused, w.verdicts[w.submitLate(simpleJob(1, 1, 1000), 0, 0)].Verdict)
	w.executors["e0"].Draining = false
	w.listExecutors()
	accepted := false
	for range 60 {
		w.advance(time.Second)
		call := w.submitLate(simpleJob(1, 1, 1000), 0, 0)
		w.advance(200 * time.Millisecond)
		accepted = accepted || w.verdicts[call].Verdict == cell.Accepted
	}
	require.True(t, accepted)
}
