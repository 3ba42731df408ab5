package cell

import (
	"time"

	"jacinthwind/core/fleet"
)

// Thresholds of the pacing.
const (
	// slowDownPercent is the percentage of a latency target from which fill tasks on
	// the same executor are slowed down; below speedUpPercent they are sped up.
	slowDownPercent = 85
	speedUpPercent  = 55
	// speedUpStepPercent is by how many percentage points fill tasks are sped up at a
	// time.
	speedUpStepPercent = 15
	// paceInterval is the time between two changes, so that the effect of one shows
	// in the load figures, which cover half a second.
	paceInterval = 700 * time.Millisecond
)

// adjustPace slows down the fill tasks of an executor while a service task beside
// them is close to its latency target, and speeds them up when there is room.
func (k *Kernel) adjustPace(x *executor) {
	worst := int64(0)
	for _, r := range x.runs {
		if r.state == runActive && r.step.TargetMs > 0 {
			worst = max(worst, r.load*100/r.step.TargetMs)
		}
	}
	for _, r := range sortedRuns(x) {
		if !r.step.BestEffort || r.state != runActive || k.now.Mono < r.pacedAt+paceInterval {
			continue
		}
		percent := r.pacePercent
		switch {
		case worst >= 100:
			percent = 0
		case worst >= slowDownPercent:
			percent = r.pacePercent / 2
		case worst < speedUpPercent:
			percent = min(r.pacePercent+speedUpStepPercent, 100)
		}
		if percent == r.pacePercent {
			continue
		}
		r.pacePercent, r.pacedAt = percent, k.now.Mono
		k.emit(Pace{fleet.ThrottleOrder{Percent: percent, StopOrder: fleet.StopOrder{
			Address: x.Address, Executor: x.ID, Task: r.name, Run: r.number, Token: k.Token,
		}}})
	}
}
