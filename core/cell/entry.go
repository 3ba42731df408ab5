package cell

import (
	"slices"
	"time"

	"jacinthwind/core/event"
	"jacinthwind/core/fleet"
)

// minRestartTime is the shortest time between the end of an incarnation and the start of the next.
const minRestartTime = 200 * time.Millisecond

// noteEntry notes an entry of a registered executor that was read. Entries and answers arrive in
// any order, and another writer may have left the entry: only one that names the start of the
// present incarnation describes it. The entries of an executor that names none describe the
// incarnation that is known when they are read.
func (k *Kernel) noteEntry(x *executor, e fleet.Executor) {
	x.listed, x.latestEntry = true, e
	switch {
	case e.StartedMs == 0 && x.StartedMs == 0:
		k.describe(x, e)
	case e.StartedMs < x.bornMs:
		k.logUndescribed(x)
	case x.bornMs != 0 && e.StartedMs > x.bornMs:
		k.expectIncarnation(x, e.StartedMs)
	case x.bornMs == 0 && e.StartedMs != x.StartedMs:
		// An answer in transit may come from the previous incarnation.
		x.noticedAt = k.now.Monotonic
		k.describe(x, e)
	default:
		k.describe(x, e)
	}
	x.listedAddress = e.Address
	if x.Address != x.answeredAddress {
		// An incarnation keeps its address, so the entry may be another writer's.
		x.Address = e.Address
	}
}

// describe takes over what an entry says of the present incarnation of an executor.
func (k *Kernel) describe(x *executor, e fleet.Executor) {
	if x.Capacity != e.Capacity {
		k.log(event.ExecutorResized, "executor", x.ID, "before", x.Capacity, "now", e.Capacity, "used", x.used, "runs", len(x.runs))
	}
	wasDescribed := x.isDescribed()
	e.Address = x.Address
	x.Executor, x.describesMs = e, e.StartedMs
	if e.StartedMs == 0 {
		x.describesMs = x.bornMs
	}
	x.fullCapacity = x.fullCapacity.Max(e.Capacity)
	k.forgetExecutorIndexes()
	if !wasDescribed && x.isDescribed() && x.undescribedSince != 0 {
		k.log(event.ExecutorDescribed, "executor", x.ID, "born", x.bornMs, "after_ms", (k.now.Monotonic - x.undescribedSince).Milliseconds(),
			"pool", x.Pool, "labels", x.Labels, "room", x.Capacity, "draining", x.Draining)
		x.undescribedSince = 0
	}
}

// describeByLatestEntry looks for the description of an incarnation whose start an answer has
// shown: its entry may have been read before.
func (k *Kernel) describeByLatestEntry(x *executor) {
	switch {
	case x.isDescribed():
	case x.describesMs == 0:
		// The entry was read after the incarnation was noticed.
		x.describesMs = x.bornMs
	case x.latestEntry.StartedMs == x.bornMs:
		k.describe(x, x.latestEntry)
	}
	k.logUndescribed(x)
}

// logUndescribed logs that nothing starts on an executor until the entry of the incarnation that
// answers has been read.
func (k *Kernel) logUndescribed(x *executor) {
	if x.bornMs == 0 || x.isDescribed() || x.undescribedSince != 0 {
		return
	}
	x.undescribedSince = k.now.Monotonic
	k.log(event.ExecutorUndescribed, "executor", x.ID, "born", x.bornMs, "entry_born", x.latestEntry.StartedMs, "described_born", x.describesMs)
}

// isDescribed reports whether the entry that is known of an executor is that of the incarnation
// that answers. What the entry of another one says of the pool, the room, the labels and the end
// says nothing of this one.
func (x *executor) isDescribed() bool { return x.describesMs == x.bornMs }

// isShown reports whether the present incarnation of an executor would get a call that is sent now:
// the answer to a renewal has just shown it. An open call proves nothing, since an executor that
// loses power resets no connection.
func (k *Kernel) isShown(x *executor) bool { return k.now.Monotonic <= x.shownAt+minRestartTime }

// shownExecutors returns those of the free executors on which a step with a label may start: another
// incarnation, which nobody has noticed, may be of another kind. The others that fit are asked at
// once.
func (k *Kernel) shownExecutors(s *stepRun, free []*executor) []*executor {
	need, mayStart := s.ReservedSize(), k.withinTeamLimit(s, 1)
	return slices.DeleteFunc(slices.Clone(free), func(x *executor) bool {
		if k.isShown(x) {
			return false
		}
		if mayStart && k.fits(x, s, need) {
			x.answerWanted = true
			if x.renewing && x.renewalWaits {
				k.renewAtOnce(x)
			}
		}
		return true
	})
}
