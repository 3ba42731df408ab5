package cell

import (
	"time"

	"jacinthwind/core/event"
)

// Thresholds of straggler detection.
const (
	// stallTimeout is how long a run may report no progress. A run's percentage
	// changes every few tens of milliseconds, and it is read at least once a second.
	stallTimeout = 900 * time.Millisecond
	// minSpeedWindow is how long a run is observed before its speed is judged.
	minSpeedWindow = 600 * time.Millisecond
	// slowSpeedPercent is the speed, as a percentage of the estimate, below which an
	// executor counts as slow; estimates are off by a factor of two.
	slowSpeedPercent = 35
	// minSlowRuns is how many runs must show that an executor is slow, since a single
	// one may just be long.
	minSlowRuns = 2
	// restartGainPercent is the time left for a run, as a percentage of the time that
	// a new run takes, above which a restart pays off.
	restartGainPercent = 150
	// maxPatience limits how often the time that a task gets is doubled, once each time
	// it is stopped as a straggler: a task may be slow wherever it runs.
	maxPatience = 8
)

// stopStragglers stops runs that make no progress, and runs on a slow executor that
// would finish sooner elsewhere.
func (k *Kernel) stopStragglers(x *executor) {
	var speeds, judged int64
	var stalled, slow []*run
	for _, r := range sortedRuns(x) {
		if r.state != runActive || r.unlisted || r.step.Service || r.step.BestEffort || r.step.Gang || r.step.EstimateMs <= 0 || r.firstReportAt == 0 {
			continue
		}
		if k.now.Monotonic >= r.progressedAt+stallTimeout<<min(r.task().straggled, maxPatience) {
			stalled = append(stalled, r)
			continue
		}
		observedMs := (k.now.Monotonic - r.firstReportAt).Milliseconds()
		if observedMs < minSpeedWindow.Milliseconds() {
			continue
		}
		// The speed is the estimated work done, as a percentage of the elapsed time.
		speed := int64(r.percent-r.firstPercent) * r.step.EstimateMs / observedMs
		speeds += speed
		judged++
		if k.isFasterElsewhere(r, speed) {
			slow = append(slow, r)
		}
	}
	if judged < minSlowRuns || speeds >= judged*slowSpeedPercent {
		slow = nil
	}
	if len(stalled)+len(slow) == 0 {
		return
	}
	for _, r := range append(stalled, slow...) {
		t := r.task()
		if t.straggled < ownFaultAfter {
			x.avoidUntil = max(x.avoidUntil, k.now.Monotonic+failureAvoidance)
		}
		t.straggled++
		k.log(event.RunStraggles, "task", r.name, "run", r.number, "executor", x.ID, "percent", r.percent,
			"unchanged_ms", (k.now.Monotonic - r.progressedAt).Milliseconds(), "estimate_ms", r.step.EstimateMs)
		k.stopRun(r)
	}
}

// isFasterElsewhere reports whether a new run would finish well before a run that
// continues at the given speed, in percent of the estimate.
func (k *Kernel) isFasterElsewhere(r *run, speed int64) bool {
	left := int64(100-r.percent) * r.step.EstimateMs / max(speed, 1)
	restart := r.step.EstimateMs + k.MaxStopDuration.Milliseconds()
	return left*100 > restart*restartGainPercent<<min(r.task().straggled, maxPatience)
}
