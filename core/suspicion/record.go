package suspicion

import "time"

// Limits of the decisions.
const (
	// promptCrash is how long a run that an executor survived is still the likely cause
	// of its crash. Tasks that crash executors mostly do so at their start.
	promptCrash = 100 * time.Millisecond
	// innocentAge is how long an executor must survive a run for the run to be out of
	// suspicion.
	innocentAge = 2 * time.Second
	// shortObservation is how long a task that one executor crashed under runs in
	// isolation; after more crashes it is innocentAge.
	shortObservation = 250 * time.Millisecond
	// maxUnisolatedCrashes is the number of crashes after which a task runs only in
	// isolation, however long the executors survived it.
	maxUnisolatedCrashes = 2
	// maxIsolatedCrashes is the number of crashes in isolation after which a task is
	// given up; a single executor may also be lost by chance.
	maxIsolatedCrashes = 2
	// maxCrashes is the number of crashes after which a single one in isolation is
	// enough.
	maxCrashes = 4
	// maxUnisolatedLosses is the number of crashes, those with a likelier cause included,
	// after which a task runs only in isolation.
	maxUnisolatedLosses = 3
	// maxDoubtfulLosses is the number of crashes after which the next one in isolation must
	// leave no doubt.
	maxDoubtfulLosses = 2
	// maxLosses is the number of crashes, those with a likelier cause included, after which
	// a task is given up although none was in isolation.
	maxLosses = 5
	// minRestartDelay is how long a task that lasts waits to start again after
	// maxUnisolatedLosses, and maxRestartDelay how long after more. With the time until a
	// loss is noticed and an executor is ready, it runs again within the 6 s that users allow.
	minRestartDelay = 1500 * time.Millisecond
	maxRestartDelay = 3 * time.Second
	// maxBystanderAge is how long an executor must survive a run for a crash with a
	// likelier cause not to count against its task at all.
	maxBystanderAge = 10 * time.Second
	// ageMargin is by how much longer an executor must survive a task than it did at the
	// latest crash.
	ageMargin = 250 * time.Millisecond
)

// Record holds the crashes of executors under one task.
type Record struct {
	// Crashes counts the executors that crashed while the task was under suspicion.
	Crashes int `json:"n,omitempty"`
	// Isolated counts those that crashed while the task ran there in isolation.
	Isolated int `json:"i,omitempty"`
	// Doubtful counts those that crashed in isolation beside another likely cause.
	Doubtful int `json:"d,omitempty"`
	// Prompt is true if an executor crashed right after the task had started.
	Prompt bool `json:"p,omitempty"`
	// Beside counts the executors that crashed under the task while the crash had a
	// likelier cause.
	Beside int `json:"b,omitempty"`
	// Silent counts the executors that were silent for so long that the run lapsed. They may
	// live, cut off: that is a reason to isolate the task, but not to give it up.
	Silent int `json:"l,omitempty"`
	// OldestMs is the longest time from a start to the crash of the executor.
	OldestMs int64 `json:"o,omitempty"`
	// Unstarted is true if the task has not started since the latest crash was counted, so
	// that there is no start that the next owner could presume to be lost.
	Unstarted bool `json:"u,omitempty"`
	// Start is the latest start, nil if it is not known. Earlier builds leave it out.
	Start *Start `json:"s,omitempty"`
}

// Start is a start of a suspected task. It shows the next owner whether its executor was lost.
type Start struct {
	// Run is the number of the run.
	Run int `json:"r"`
	// Executor is the id of the executor, empty if any may have been chosen. BornMs is the
	// Unix time in milliseconds at which its incarnation started.
	Executor string `json:"e,omitempty"`
	BornMs   int64  `json:"b,omitempty"`
}

// Victim is a run on an executor that crashed.
type Victim struct {
	// Survived is how long the executor is known to have lived after the start.
	Survived time.Duration
	// Age is how long after the start the executor fell silent.
	Age time.Duration
	// Isolated is true if the run was still observed in isolation.
	Isolated bool
	// Doubtful is true if another likely cause was beside it.
	Doubtful bool
}

// Suspects returns the indexes of the runs that may have crashed their executor. An
// isolated run is the only suspect. Otherwise these are the runs that the executor did
// not survive for long, or all if there are none.
func Suspects(victims []Victim) []int {
	var isolated, young, all []int
	for i, v := range victims {
		all = append(all, i)
		if v.Isolated {
			isolated = append(isolated, i)
		}
		if !IsInnocent(v.Survived) {
			young = append(young, i)
		}
	}
	switch {
	case len(isolated) > 0:
		return isolated
	case len(young) > 0:
		return young
	}
	return all
}

// Add records a crash under a suspect. One under a start that may not have been carried out
// never counts against isolation.
func (r *Record) Add(v Victim, carriedOut bool) {
	r.Crashes++
	switch {
	case !v.Isolated || !carriedOut:
	case v.Doubtful:
		r.Doubtful++
	default:
		r.Isolated++
	}
	r.Prompt = r.Prompt || v.Survived < promptCrash
	r.noteAge(v)
}

// AddBystander records a crash under a task while the crash has a likelier cause: a task
// that crashes its executors later than others would never be found otherwise.
func (r *Record) AddBystander(v Victim) {
	if v.Survived < maxBystanderAge {
		r.Beside++
		r.noteAge(v)
	}
}

// AddSilence records that an executor was silent under a suspect until its deadline passed.
func (r *Record) AddSilence(v Victim) {
	r.Silent++
	r.noteAge(v)
}

// AddLossOfRack records a crash under a task together with most executors of the rack. That
// is never a reason to give a task up, but several tasks may crash a small rack.
func (r *Record) AddLossOfRack(v Victim) {
	if !IsInnocent(v.Survived) && r.losses() < maxUnisolatedLosses {
		r.AddBystander(v)
	}
}

func (r *Record) noteAge(v Victim) {
	r.OldestMs = max(r.OldestMs, min(v.Age, maxBystanderAge).Milliseconds())
}

// PresumeCrash counts a start of a suspected task that was lost together with its owner. It
// proves nothing: the owner may not have started it.
func (r *Record) PresumeCrash() {
	r.CloseStart()
	if r.NeedsIsolation() {
		r.Crashes++
	} else {
		r.Beside++
	}
}

// Announce notes that the task starts.
func (r *Record) Announce(s Start) { r.Start, r.Unstarted = &s, false }

// Announced returns the latest start, the zero value if it is not known.
func (r *Record) Announced() Start {
	if r.Start == nil {
		return Start{}
	}
	return *r.Start
}

// CloseStart notes that no start is left that the next owner could presume to be lost.
func (r *Record) CloseStart() { r.Start, r.Unstarted = nil, true }

// IsSuspect reports whether an executor crashed under the task without a likelier cause.
func (r Record) IsSuspect() bool { return r.Crashes > 0 }

// losses returns how many executors crashed under the task.
func (r Record) losses() int { return r.Crashes + r.Beside }

// possibleLosses returns how many executors crashed under the task, or may have.
func (r Record) possibleLosses() int { return r.losses() + r.Silent }

// NeedsIsolation reports whether the task may only start in isolation.
func (r Record) NeedsIsolation() bool {
	return r.Prompt || r.Crashes >= maxUnisolatedCrashes || r.possibleLosses() >= maxUnisolatedLosses
}

// NeedsProof reports whether the next crash in isolation must leave no doubt: the task has
// few starts left.
func (r Record) NeedsProof() bool { return r.losses() >= maxDoubtfulLosses }

// MayJoin reports whether the task may start beside other suspected tasks if it would wait
// too long to start in isolation.
func (r Record) MayJoin() bool { return r.Isolated == 0 && r.losses() < maxCrashes }

// Observation returns how long an executor must survive the task until other tasks may
// start beside it.
func (r Record) Observation() time.Duration {
	if r.NeedsProof() {
		return r.clearingAge()
	}
	return shortObservation
}

// ServiceObservation is Observation for a task that lasts: it is never given up, so that no crash
// must be proved.
func (r Record) ServiceObservation() time.Duration { return min(r.Observation(), innocentAge) }

// clearingAge returns how long an executor must survive the task to clear it.
func (r Record) clearingAge() time.Duration {
	return max(innocentAge, r.longestAge())
}

// HasOutlived reports whether an executor has survived a run of the task for longer than the
// earlier ones, so that a crash is rather the work of another task.
func (r Record) HasOutlived(survived time.Duration) bool {
	return survived >= min(r.longestAge(), innocentAge)
}

// longestAge returns how long an executor must survive the task to outlive its crashes.
func (r Record) longestAge() time.Duration {
	return time.Duration(r.OldestMs)*time.Millisecond + ageMargin
}

// IsCleared reports whether an executor has survived a run of the task for so long that the
// task is out of suspicion.
func (r Record) IsCleared(survived time.Duration) bool { return survived >= r.clearingAge() }

// ShouldGiveUp reports whether the task crashes its executors and must not start again.
func (r Record) ShouldGiveUp() bool {
	if r.losses() >= maxLosses || (r.Isolated > 0 && r.losses() >= maxCrashes) {
		return true
	}
	// A doubtful one completes the proof that one in isolation began; a bystander of both
	// must have been lost a third time.
	return r.Isolated >= maxIsolatedCrashes || (r.Isolated > 0 && r.Isolated+r.Doubtful >= maxIsolatedCrashes && r.losses() > maxIsolatedCrashes)
}

// RestartDelay returns how long a task that lasts waits after a crash before it starts again.
// Such a task is never given up, since the crashes may have other causes.
func (r Record) RestartDelay() time.Duration {
	switch {
	case r.losses() < maxUnisolatedLosses:
		return 0
	case r.losses() == maxUnisolatedLosses:
		return minRestartDelay
	}
	return maxRestartDelay
}

// IsInnocent reports whether an executor has survived a run for so long that its task is
// out of suspicion.
func IsInnocent(survived time.Duration) bool { return survived >= innocentAge }

// IsProven reports whether an executor has survived a run for so long that the task has proven
// itself: a crash says nothing of it.
func IsProven(survived time.Duration) bool { return survived >= maxBystanderAge }

// IsSettled reports whether an executor has survived a run for long enough that a crash is
// rather the work of a task that starts later.
func IsSettled(survived time.Duration) bool { return survived >= shortObservation }
