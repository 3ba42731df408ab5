package cell

import (
	"time"

	"jacinthwind/core/fleet"
)

// Pacing constants.
const (
	// paceAt is the share of a latency target, in percent, from which fill
	// tasks beside it are slowed, and paceUpAt the one below which they speed up.
	paceAt   = 85
	paceUpAt = 55
	// paceStep is by how many percent fill tasks speed up at a time.
	paceStep = 15
	// paceEvery lets the effect of a change show in the half second's figures.
	paceEvery = 700 * time.Millisecond
)

// pace slows the fill tasks of an executor while a service task beside them
// comes near its latency target, and speeds them up when there is room.
func (k *Kernel) pace(x *executor) {
	worst := int64(0)
	for _, r := range x.runs {
		if r.state == runActive && r.step.TargetMs > 0 {
			worst = max(worst, r.load*100/r.step.TargetMs)
		}
	}
	for _, r := range sortedRuns(x) {
		if !r.step.Fills || r.state != runActive || k.now.Mono < r.paced+paceEvery {
			continue
		}
		want := r.pace
		switch {
		case worst >= 100:
			want = 0
		case worst >= paceAt:
			want = r.pace / 2
		case worst < paceUpAt:
			want = min(r.pace+paceStep, 100)
		}
		if want == r.pace {
			continue
		}
		r.pace, r.paced = want, k.now.Mono
		k.emit(Pace{fleet.PaceOrder{Percent: want, StopOrder: fleet.StopOrder{
			Address: x.Address, Executor: x.ID, Task: r.name, Run: r.number, Token: k.Token,
		}}})
	}
}
