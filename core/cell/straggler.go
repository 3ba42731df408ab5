package cell

import (
	"time"

	"jacinthwind/core/event"
)

// Straggler constants.
const (
	// stuckAfter is for how long a run may show no progress: its percent moves
	// every few tens of ms, and looks are a second apart at the most.
	stuckAfter = 900 * time.Millisecond
	// slowAfter is how long a run is watched before its speed is judged.
	slowAfter = 600 * time.Millisecond
	// slowSpeed is the speed, in percent of what the estimates say, below which an
	// executor counts as slow; estimates are off by a factor of two.
	slowSpeed = 35
	// slowRuns is how many runs have to speak for it: one may just be long.
	slowRuns = 2
	// restartGain is by how much a new run has to be sooner, in percent.
	restartGain = 150
)

// stragglers stops the runs that stand still, and those on a slow executor that
// would be done sooner elsewhere.
func (k *Kernel) stragglers(x *executor) {
	var speeds, judged int64
	var stuck, slow []*run
	for _, r := range sortedRuns(x) {
		if r.state != runActive || r.step.Service || r.step.Fills || r.step.Gang || r.step.EstimateMs <= 0 || r.seen == 0 {
			continue
		}
		if k.now.Mono >= r.moved+stuckAfter {
			stuck = append(stuck, r)
			continue
		}
		watched := (k.now.Mono - r.seen).Milliseconds()
		if watched < slowAfter.Milliseconds() {
			continue
		}
		// The speed is the estimated work that was done in percent of the time.
		speed := int64(r.percent-r.seenPercent) * r.step.EstimateMs / watched
		speeds += speed
		judged++
		if k.soonerElsewhere(r, speed) {
			slow = append(slow, r)
		}
	}
	if judged < slowRuns || speeds >= judged*slowSpeed {
		slow = nil
	}
	if len(stuck)+len(slow) == 0 {
		return
	}
	x.avoid = max(x.avoid, k.now.Mono+avoidFor)
	for _, r := range append(stuck, slow...) {
		k.log(event.RunStraggles, "task", r.name, "run", r.number, "executor", x.ID, "percent", r.percent,
			"unchanged_ms", (k.now.Mono - r.moved).Milliseconds(), "estimate_ms", r.step.EstimateMs)
		k.stopRun(r)
	}
}

// soonerElsewhere reports whether a new run would be done before one that goes on
// at a speed in percent of the estimate.
func (k *Kernel) soonerElsewhere(r *run, speed int64) bool {
	left := int64(100-r.percent) * r.step.EstimateMs / max(speed, 1)
	again := r.step.EstimateMs + k.StopMax.Milliseconds()
	return left*100 > again*restartGain
}
