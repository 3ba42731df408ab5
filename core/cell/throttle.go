package cell

import (
	"time"

	"jacinthwind/core/fleet"
)

// Thresholds of the throttling.
const (
	// slowDownPercent is the percentage of a latency target from which best-effort
	// tasks on the same executor are slowed down; below speedUpPercent they are sped
	// up.
	slowDownPercent = 85
	speedUpPercent  = 55
	// speedUpStepPercent is by how many percentage points best-effort tasks are sped
	// up at a time.
	speedUpStepPercent = 15
	// throttleInterval is the time between two changes, so that the effect of one shows
	// in the load figures, which cover half a second.
	throttleInterval = 700 * time.Millisecond
)

// adjustThrottles slows down the best-effort tasks of an executor while a service
// task beside them is close to its latency target, and speeds them up when there is
// processor time left.
func (k *Kernel) adjustThrottles(x *executor) {
	worst := int64(0)
	for _, r := range x.runs {
		if r.state == runActive && r.step.TargetMs > 0 {
			worst = max(worst, r.load*100/r.step.TargetMs)
		}
	}
	for _, r := range sortedRuns(x) {
		if !r.step.BestEffort || r.state != runActive || k.now.Monotonic < r.throttledAt+throttleInterval {
			continue
		}
		percent := r.throttlePercent
		switch {
		case worst >= 100:
			percent = 0
		case worst >= slowDownPercent:
			percent = r.throttlePercent / 2
		case worst < speedUpPercent:
			percent = min(r.throttlePercent+speedUpStepPercent, 100)
		}
		if percent == r.throttlePercent {
			continue
		}
		r.throttlePercent, r.throttledAt = percent, k.now.Monotonic
		k.emit(Throttle{fleet.ThrottleOrder{Percent: percent, StopOrder: fleet.StopOrder{
			Address: x.Address, Executor: x.ID, Task: r.name, Run: r.number, Token: x.token,
		}}})
	}
}
