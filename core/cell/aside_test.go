package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/cell"
	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
)

// crowd is a world in which small tasks come all the time, as many as the pool holds.
type crowd struct {
	*world
	sent int
	// smallTime is how long a small task takes; callers say 400 ms.
	smallTime time.Duration
	// large is what large tasks need, and they take 300 ms.
	large fleet.Vector
}

func newCrowd(t *testing.T, executors int) *crowd {
	c := &crowd{world: newWorld(t, executors), smallTime: 400 * time.Millisecond, large: fleet.Vector{CPU: 8000, Mem: 100}}
	c.config.Queues[0].ObjectiveBase = 4 * time.Second
	c.taskTime = func(task string, _ int) (time.Duration, fleet.RunEnd) {
		if task[:1] == "f" {
			return 300 * time.Millisecond, fleet.EndDone
		}
		return c.smallTime, fleet.EndDone
	}
	c.advance(time.Second)
	c.press(time.Second)
	return c
}

// press keeps small tasks of 2 cores coming for some time: somewhat fewer than the pool could do,
// each of another moment.
func (c *crowd) press(d time.Duration) {
	gap := 400 * time.Millisecond / time.Duration(4*len(c.executors)) * 11 / 10
	for end := c.now + d; c.now < end; {
		c.sent++
		j := simpleJob(c.sent, 1, 2000)
		j.Steps[0].EstimateMs = 400
		c.submitJob(j)
		c.advance(max(gap, testStep).Round(testStep))
		c.requireSoundPlaces()
	}
}

// requireSoundPlaces requires that nothing is set aside for a job that ended, and for a bounded part
// of the executors.
func (w *world) requireSoundPlaces() {
	set := 0
	for _, x := range w.kernel.Dump(w.clock()).Executors {
		if x.SetAsideFor == "" {
			continue
		}
		set++
		require.False(w.t, w.jobState(x.SetAsideFor[:16]).IsFinal(), x.SetAsideFor)
	}
	require.LessOrEqual(w.t, set, max(len(w.executors)/8, 1)+1)
}

// largeJob returns a job of tasks that need a whole executor each.
func (c *crowd) largeJob(n, count int) *job.Job {
	j := simpleJob(n, count, c.large.CPU)
	j.ID = "f" + j.ID[1:]
	j.Steps[0].EstimateMs = 300
	return j
}

func (w *world) setAside() (executors []string) {
	for _, x := range w.kernel.Dump(w.clock()).Executors {
		if x.SetAsideFor != "" {
			executors = append(executors, x.ID)
		}
	}
	return executors
}

// Load: a stream of small tasks against one large task, and against two that wait for the same
// executor.
func TestLargeTaskStartsBesideStreamOfSmallOnes(t *testing.T) {
	for name, tasks := range map[string]int{"one": 1, "two": 2} {
		t.Run(name, func(t *testing.T) {
			c := newCrowd(t, 4)
			j := c.largeJob(1, tasks)
			c.submitJob(j)
			c.press(time.Duration(1200+1200*tasks) * time.Millisecond)
			require.Equal(t, job.Succeeded, c.jobState(j.ID))
			require.Empty(t, c.setAside())
		})
	}
}

// Load: the small tasks beside the place take far longer than expected. The place is given back,
// and no small task waits for it any longer.
func TestPlaceIsGivenBackIfRunTimesAreWrong(t *testing.T) {
	c := newCrowd(t, 4)
	c.smallTime = time.Minute
	c.submitJob(c.largeJob(1, 1))
	c.press(600 * time.Millisecond)
	c.advance(4 * time.Second)
	require.Empty(t, c.setAside())
}

// Load: the executor with the place crashes, or its VM is announced to leave.
func TestPlaceGoesWithItsExecutor(t *testing.T) {
	for name, end := range map[string]func(*crowd, *fakeExecutor){
		"crash": func(c *crowd, x *fakeExecutor) { c.crash(x) },
		"drain": func(c *crowd, x *fakeExecutor) { x.Draining = true },
	} {
		t.Run(name, func(t *testing.T) {
			c := newCrowd(t, 4)
			j := c.largeJob(1, 1)
			c.submitJob(j)
			for range 100 {
				c.press(10 * time.Millisecond)
				if len(c.setAside()) > 0 {
					break
				}
			}
			places := c.setAside()
			require.Len(t, places, 1)
			end(c, c.executors[places[0]])
			c.listExecutors()
			c.press(300 * time.Millisecond)
			require.NotContains(t, c.setAside(), places[0])
			c.advance(4 * time.Second)
			require.Equal(t, job.Succeeded, c.jobState(j.ID))
		})
	}
}

// Load: the owner is lost while a place is set aside.
func TestNextOwnerSetsPlacesAsideAnew(t *testing.T) {
	c := newCrowd(t, 4)
	j := c.largeJob(1, 1)
	c.submitJob(j)
	c.press(300 * time.Millisecond)
	c.replaceOwner()
	require.Empty(t, c.setAside())
	c.press(3 * time.Second)
	require.Equal(t, job.Succeeded, c.jobState(j.ID))
}

// Load: a gang of two that works on one rack, beside a stream of small tasks.
func TestGangGetsPlacesAsAWhole(t *testing.T) {
	c := newCrowd(t, 16)
	for i, id := range []string{"e0", "e1", "e2", "e3"} {
		c.executors[id].Labels = []string{"a", []string{"r1-1", "r1-2"}[i%2]}
	}
	c.listExecutors()
	j := c.largeJob(1, 2)
	j.Steps[0].Gang, j.Steps[0].SameRack = true, true
	c.submitJob(j)
	c.press(4 * time.Second)
	require.Equal(t, job.Succeeded, c.jobState(j.ID))
}

// Load: a large task of a team that has reached its limit.
func TestNothingIsSetAsideAtTheLimitOfTheTeam(t *testing.T) {
	c := newCrowd(t, 4)
	c.config.Teams = append(c.config.Teams, fleet.Team{Name: "small", Limit: fleet.Vector{CPU: 9000}})
	c.config.Version++
	c.config.Index()
	c.step(cell.Configured{Configuration: c.config})
	c.taskTime = func(string, int) (time.Duration, fleet.RunEnd) { return 2 * time.Second, fleet.EndDone }
	first, second := c.largeJob(1, 1), c.largeJob(2, 1)
	first.Team, second.Team = "small", "small"
	c.submitJob(first)
	c.advance(3 * time.Second)
	c.submitJob(second)
	c.press(500 * time.Millisecond)
	if c.jobState(first.ID) != job.Succeeded {
		require.Empty(t, c.setAside())
	}
}
