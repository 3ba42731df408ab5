package cell_test

import (
	"maps"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/event"
	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
)

// Limits of the waits.
const (
	// watchInterval is the time between two checks of the waits, and sumsInterval between
	// two checks of the kernel's sums.
	watchInterval = 50 * time.Millisecond
	sumsInterval  = 500 * time.Millisecond
	// calmTime is how long nothing must have been disturbed for a wait to count.
	calmTime = 7 * time.Second
	// maxServiceWait is how long a service task may wait after its last run, and maxIdleWait
	// how long a job with work may have nothing running, if it could run for the last
	// owedTime. Executors that have had room for less than minRoomTime do not count.
	maxServiceWait = 6 * time.Second
	maxIdleWait    = 3 * time.Second
	owedTime       = 3 * time.Second
	minRoomTime    = 500 * time.Millisecond
	// minRoomyExecutors is how many executors must have room for the task.
	minRoomyExecutors = 2
)

// waitWatch checks at any time that no task waits while executors have room for it.
type waitWatch struct {
	checkedAt, sumsAt time.Duration
	// ranAt holds when a task last ran, or was first seen, and busyAt the same by job.
	ranAt, busyAt map[string]time.Duration
	// roomSince holds since when an executor has had room for a task.
	roomSince map[taskOnExecutor]time.Duration
	// owedSince holds since when a task should have run.
	owedSince map[string]time.Duration
	// lastingDisturbance reports whether a disturbance lasts that the world does not know.
	lastingDisturbance func() bool
}

// taskOnExecutor names a task and an executor.
type taskOnExecutor struct{ task, executor string }

// watchWaits makes a world check the waits from now on.
func (w *world) watchWaits() {
	w.watch = &waitWatch{
		ranAt: map[string]time.Duration{}, busyAt: map[string]time.Duration{},
		roomSince:          map[taskOnExecutor]time.Duration{},
		owedSince:          map[string]time.Duration{},
		lastingDisturbance: func() bool { return false },
	}
}

// isDisturbed reports whether a disturbance lasts.
func (w *world) isDisturbed() bool {
	if w.storeDown || w.unproved || w.outageConfirmed || len(w.alive) != 1 || w.watch.lastingDisturbance() {
		return true
	}
	for _, x := range w.executors {
		if x.unreachable || len(x.unreachableFor) > 0 {
			return true
		}
	}
	return false
}

// check checks the waits and the sums, if it is time.
func (v *waitWatch) check(w *world) {
	if w.now < v.checkedAt+watchInterval {
		return
	}
	v.checkedAt = w.now
	if w.isDisturbed() {
		w.disturbedAt = w.now
	}
	if w.now >= v.sumsAt+sumsInterval {
		v.sumsAt = w.now
		w.checkSums()
	}
	for _, x := range w.executors {
		for task := range x.runs {
			delete(v.owedSince, task)
			v.ranAt[task], v.busyAt[task[:16]] = w.now, w.now
		}
	}
	for _, id := range slices.Sorted(maps.Keys(w.specs)) {
		if !w.cancelRequested[id] && !w.jobState(id).IsFinal() {
			v.checkJob(w, id, w.specs[id])
		}
	}
}

// checkJob checks the waiting tasks of a job.
func (v *waitWatch) checkJob(w *world, id string, spec *job.Job) {
	if v.busyAt[id] == 0 {
		v.busyAt[id] = w.now
	}
	done := map[int]int{}
	doneTasks := map[string]bool{}
	for _, p := range w.stored[id].Tasks {
		if p.Done {
			done[p.Step]++
			doneTasks[job.TaskID{Job: id, Step: p.Step, Index: p.Index}.String()] = true
		}
	}
	for i := range spec.Steps {
		s := &spec.Steps[i]
		if slices.ContainsFunc(s.After, func(a int) bool { return done[a] < spec.Steps[a].Count }) {
			continue
		}
		for index := range s.Count {
			task := job.TaskID{Job: id, Step: i, Index: index}.String()
			if v.ranAt[task] == 0 {
				v.ranAt[task] = w.now
			}
			if doneTasks[task] || v.ranAt[task] == w.now {
				delete(v.owedSince, task)
				continue
			}
			v.checkTask(w, spec, s, i, task)
		}
	}
}

// checkTask checks a task that does not run.
func (v *waitWatch) checkTask(w *world, spec *job.Job, s *job.Step, step int, task string) {
	var roomy []string
	for _, id := range slices.Sorted(maps.Keys(w.executors)) {
		x, key := w.executors[id], taskOnExecutor{task, id}
		if !w.canTake(x, spec, s, step) {
			delete(v.roomSince, key)
			continue
		}
		if v.roomSince[key] == 0 {
			v.roomSince[key] = w.now
		}
		if w.now >= v.roomSince[key]+minRoomTime {
			roomy = append(roomy, id)
		}
	}
	need := minRoomyExecutors
	if s.Gang {
		// The members may need one executor each, twice over.
		need = 2 * s.Count
	}
	if len(roomy) < need || w.now < w.disturbedAt+calmTime || !w.isBelowHalfOfLimit(spec, s) || (!s.Service && w.isHalfInUse(spec.Pool)) {
		delete(v.owedSince, task)
		return
	}
	if v.owedSince[task] == 0 {
		v.owedSince[task] = w.now
	}
	if w.now < v.owedSince[task]+owedTime {
		return
	}
	if s.Service {
		require.Less(w.t, w.now, v.ranAt[task]+maxServiceWait, "at %v: the service task %s does not run, with room for it on %v; disturbed at %v; %s %+v; %v", w.now, task, roomy, w.disturbedAt, spec.Team, *s, w.explainWait())
		return
	}
	require.Less(w.t, w.now, max(v.busyAt[spec.ID], v.ranAt[task])+maxIdleWait, "at %v: job %s has nothing running while %s waits, with room for it on %v; disturbed at %v; %s %+v; %v", w.now, spec.ID, task, roomy, w.disturbedAt, spec.Team, *s, w.explainWait())
}

// canTake reports whether an executor is usable and has room for a task.
func (w *world) canTake(x *fakeExecutor, spec *job.Job, s *job.Step, step int) bool {
	if !w.isUsable(x, spec.Pool) || (s.Label != "" && !x.HasLabel(s.Label)) {
		return false
	}
	sameStep := 0
	for task := range x.runs {
		if id, err := job.ParseTaskID(task); err == nil && id.Job == spec.ID && id.Step == step {
			sameStep++
		}
	}
	used := x.used().Add(s.ReservedSize())
	return used.FitsIn(x.room) && used.FitsIn(x.Capacity) && (s.PerExecutor == 0 || sameStep < s.PerExecutor)
}

// isUsable reports whether tasks of a pool may run on an executor.
func (w *world) isUsable(x *fakeExecutor, pool string) bool {
	return x.Pool == pool && !x.down && !x.Draining && !x.unreachable && x.Capacity.CPU > 0 && !slices.Contains(w.evacuated, x.DataCentre)
}

// isBelowHalfOfLimit reports whether a job's team uses less than half of its limit, and a
// step of the job exceeds it by one task at most.
func (w *world) isBelowHalfOfLimit(spec *job.Job, s *job.Step) bool {
	name := spec.Team
	team := w.config.Team(name)
	if team == nil {
		return true
	}
	var used fleet.Vector
	for _, x := range w.executors {
		for task := range x.runs {
			if id, err := job.ParseTaskID(task); err == nil && w.specs[id.Job].Team == name {
				used = used.Add(w.specs[id.Job].Steps[id.Step].Size)
			}
		}
	}
	limit := team.Limit
	if s.Gang && !used.Add(s.Size.Times(int64(s.Count-1))).Within(limit) {
		return false
	}
	return (limit.CPU == 0 || used.CPU*2 < limit.CPU) && (limit.Mem == 0 || used.Mem*2 < limit.Mem)
}

// isHalfInUse reports whether half of a pool's capacity or more is in use.
func (w *world) isHalfInUse(pool string) bool {
	var used, total fleet.Vector
	for _, x := range w.executors {
		if w.isUsable(x, pool) {
			used, total = used.Add(x.used()), total.Add(x.room)
		}
	}
	return used.CPU*2 >= total.CPU || used.Mem*2 >= total.Mem
}

// checkSums checks that the kernel's sums of what is in use match its runs.
func (w *world) checkSums() {
	d := w.kernel.Dump(w.clock())
	usage := map[string]fleet.Vector{}
	for _, x := range d.Executors {
		var used fleet.Vector
		for _, r := range x.Runs {
			id, err := job.ParseTaskID(r.Task)
			require.NoError(w.t, err)
			spec := w.specs[id.Job]
			step := &spec.Steps[id.Step]
			used = used.Add(step.ReservedSize())
			usage[spec.Team] = usage[spec.Team].Add(step.Size)
		}
		require.Equal(w.t, used, x.Used, "at %v: sum of the runs of %s", w.now, x.ID)
	}
	for team, sum := range d.Usage {
		require.Equal(w.t, usage[team], sum, "at %v: sum of the runs of %s", w.now, team)
	}
}

// explainWait returns what the kernel last logged of a waiting task, what it counts for each
// team, and the runs that it knows and the executors have not.
func (w *world) explainWait() []any {
	var explained []any
	for _, e := range slices.Backward(w.logged) {
		if e.Event == event.TaskWaits {
			explained = append(explained, e.Fields...)
			break
		}
	}
	d := w.kernel.Dump(w.clock())
	explained = append(explained, "usage", d.Usage)
	for _, x := range d.Executors {
		for _, r := range x.Runs {
			if real := w.executors[x.ID]; real == nil || real.runs[r.Task] == nil {
				explained = append(explained, "not running", x.ID, x.Misses, r)
			}
		}
	}
	return explained
}
