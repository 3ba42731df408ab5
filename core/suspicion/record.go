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
)

// Record holds the crashes of executors under one task.
type Record struct {
	// Crashes counts the executors that crashed while the task was under suspicion.
	Crashes int `json:"n,omitempty"`
	// Isolated counts those that crashed while the task ran there in isolation.
	Isolated int `json:"i,omitempty"`
	// Prompt is true if an executor crashed right after the task had started.
	Prompt bool `json:"p,omitempty"`
}

// Victim is a run on an executor that crashed.
type Victim struct {
	// Survived is how long the executor is known to have lived after the start.
	Survived time.Duration
	// Isolated is true if the run was still observed in isolation.
	Isolated bool
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

// Add records a crash under a suspect. A loss that may not have been a crash never
// counts against isolation.
func (r *Record) Add(v Victim, certain bool) {
	r.Crashes++
	if v.Isolated && certain {
		r.Isolated++
	}
	r.Prompt = r.Prompt || v.Survived < promptCrash
}

// PresumeCrash counts a start of a suspected task that was lost together with its owner.
func (r *Record) PresumeCrash() { r.Crashes++ }

// NeedsIsolation reports whether the task may only start in isolation.
func (r Record) NeedsIsolation() bool { return r.Prompt || r.Crashes >= maxUnisolatedCrashes }

// MayJoin reports whether the task may start beside other suspected tasks if it would wait
// too long to start in isolation.
func (r Record) MayJoin() bool { return r.Isolated == 0 && r.Crashes < maxCrashes }

// Observation returns how long an executor must survive the task until other tasks may
// start beside it.
func (r Record) Observation() time.Duration {
	if r.Crashes >= maxUnisolatedCrashes {
		return innocentAge
	}
	return shortObservation
}

// ShouldGiveUp reports whether the task crashes its executors and must not start again.
func (r Record) ShouldGiveUp() bool {
	return r.Isolated >= maxIsolatedCrashes || (r.Isolated > 0 && r.Crashes >= maxCrashes)
}

// IsInnocent reports whether an executor has survived a run for so long that its task is
// out of suspicion.
func IsInnocent(survived time.Duration) bool { return survived >= innocentAge }

// IsSettled reports whether an executor has survived a run for long enough that a crash is
// rather the work of a task that starts later.
func IsSettled(survived time.Duration) bool { return survived >= shortObservation }
