package cell

import (
	"slices"
	"time"

	"jacinthwind/core/fleet"
	"jacinthwind/core/suspicion"
)

const (
	// togetherWindow is how far apart executors that are lost for one reason fall silent.
	togetherWindow = 300 * time.Millisecond
	// lossWindow is for how long the loss of an executor is counted beside later ones.
	lossWindow = 10 * time.Second
	// minLostTogether is how many executors of a rack, more than half of it, must be lost
	// together so that no task is blamed.
	minLostTogether = 3
)

// executorLoss is the loss of an incarnation with runs.
type executorLoss struct {
	executor string
	rack     rackKey
	// certain is true if the incarnation has ended. Otherwise the executor did not answer until
	// its deadline passed, and may live on.
	certain bool
	// at is when it fell silent, or was found to be lost if it did not.
	at, noticedAt time.Duration
	// isolated is true if it had a run in isolation then.
	isolated bool
	// charges holds what was charged and may be taken back.
	charges []*charge
}

// rackKey identifies a rack.
type rackKey struct{ dataCentre, rack string }

func (x *executor) rackKey() rackKey { return rackKey{x.DataCentre, x.Rack()} }

// charge is what the loss of an executor says of a run on it.
type charge struct {
	run     *run
	loss    *executorLoss
	victim  suspicion.Victim
	suspect bool
	// before and after are the records of the task around the charge, once it is charged;
	// after names no start.
	before, after suspicion.Record
}

// blameLoss charges the loss of an executor to the tasks that may have caused it, and gives up
// those that have crashed too many, or holds them back if they last. The next incarnation may
// carry out the starts without an answer, which are charged once their runs are given up. The
// loss is certain if the incarnation has ended.
func (k *Kernel) blameLoss(x *executor, certain bool) {
	if k.isPlannedEnd(x) {
		return
	}
	k.noteLoss(x)
	runs := slices.DeleteFunc(slices.Clone(sortedRuns(x)), func(r *run) bool { return r.blamed })
	if len(runs) == 0 {
		return
	}
	loss := &executorLoss{
		executor: x.ID, rack: x.rackKey(), certain: certain, at: x.lostAt(k.now.Monotonic), noticedAt: k.now.Monotonic,
		isolated: x.silentInIsolation || (x.misses == 0 && x.isolatedRuns > 0),
	}
	k.lossesByRack[loss.rack] = append(k.lossesByRack[loss.rack], loss)
	victims := make([]suspicion.Victim, len(runs))
	doubtful := false
	for i, r := range runs {
		victims[i] = suspicion.Victim{Survived: r.survived(), Age: loss.at - r.startedAt(), Isolated: r.isolated}
		doubtful = doubtful || (!r.isolated && r.isYoungSuspect())
	}
	suspects := suspicion.Suspects(victims)
	rackLost := k.lostWithItsRack(loss)
	for i, r := range runs {
		r.blamed = true
		c := &charge{run: r, loss: loss, victim: victims[i], suspect: slices.Contains(suspects, i)}
		if c.suspect {
			c.victim.Doubtful = doubtful
		}
		if !r.isConfirmed() {
			r.pendingCharge = c
			continue
		}
		k.applyCharge(c, rackLost)
	}
	if certain && rackLost {
		k.excuseRack(loss)
	}
}

// chargePending charges the loss of an executor to a run that no later incarnation has.
func (k *Kernel) chargePending(r *run) {
	if c := r.pendingCharge; c != nil {
		r.pendingCharge = nil
		k.applyCharge(c, k.lostWithItsRack(c.loss))
	}
}

// applyCharge adds a charge to the record of its task. rackLost is true if most of the rack was
// lost with the executor.
func (k *Kernel) applyCharge(c *charge, rackLost bool) {
	r := c.run
	t := r.task()
	if t.currentRun != r || r.step.job.state.IsFinal() || (r.step.Service && suspicion.IsProven(c.victim.Survived)) {
		return
	}
	c.before = t.crashes
	switch {
	case !c.loss.certain:
		if c.suspect && !rackLost {
			t.crashes.AddSilence(c.victim)
		}
	case rackLost:
		t.crashes.AddLossOfRack(c.victim)
	case c.suspect:
		// A start without an answer may never have been carried out.
		t.crashes.Add(c.victim, r.isCarriedOut || r.isConfirmed())
	default:
		t.crashes.AddBystander(c.victim)
	}
	if t.crashes == (suspicion.Record{}) {
		return
	}
	t.crashes.Start, t.crashes.Unstarted = nil, false
	c.after = t.crashes
	if c.loss.certain && !rackLost {
		c.loss.charges = append(c.loss.charges, c)
	}
	k.suspectTask(r)
}

// noteLoss notes the loss of an executor, with or without runs.
func (k *Kernel) noteLoss(x *executor) {
	if !x.lossNoted {
		x.lossNoted = true
		k.lossesAt = append(k.lossesAt, k.now.Monotonic)
		k.countLosses()
	}
}

// countLosses returns how many executors were lost lately, and forgets the earlier losses.
func (k *Kernel) countLosses() int {
	k.lossesAt = slices.DeleteFunc(k.lossesAt, func(at time.Duration) bool { return k.now.Monotonic > at+lossWindow })
	return len(k.lossesAt)
}

// forgetLosses forgets the losses that say nothing of later ones.
func (k *Kernel) forgetLosses() {
	for rack, losses := range k.lossesByRack {
		losses = slices.DeleteFunc(losses, func(l *executorLoss) bool { return k.now.Monotonic > l.noticedAt+lossWindow })
		if k.lossesByRack[rack] = losses; len(losses) == 0 {
			delete(k.lossesByRack, rack)
		}
	}
}

// lostAt returns when an executor that was lost fell silent.
func (x *executor) lostAt(now time.Duration) time.Duration {
	if x.misses > 0 {
		return x.silentSince
	}
	return now
}

// isPlannedEnd reports whether an executor ended as announced or by an order for its VM.
func (k *Kernel) isPlannedEnd(x *executor) bool {
	if x.announcesEnd() {
		return true
	}
	if o, ok := k.vmOrders[x.lastVM]; ok && o.executor == x.ID && o.recorded {
		return true
	}
	// An earlier owner may have ordered it.
	vm, ok := k.vms[x.lastVM]
	return ok && (vm.State == fleet.VMMoving || vm.State == fleet.VMMaintenance || vm.Pool != x.Pool)
}

// announcesEnd reports whether the present incarnation of an executor has announced its end.
func (x *executor) announcesEnd() bool { return x.Draining && x.isDescribed() }

// lostWithItsRack reports whether most executors of the rack of a loss were lost together with
// it, which no single task can cause. Where the executor has certainly crashed, those that are merely
// silent do not count: they may share the node that carries their calls. Nor do those with
// a run in isolation, which is the likelier cause.
func (k *Kernel) lostWithItsRack(loss *executorLoss) bool {
	if loss.rack.rack == "" {
		return false
	}
	together := map[string]bool{}
	for _, l := range k.lossesWith(loss) {
		together[l.executor] = true
	}
	neighbours := k.rackExecutors(loss.rack)
	for _, o := range neighbours {
		isSilent := o.misses > 0 && (o.absent || !loss.certain) && (o.silentSince-loss.at).Abs() <= togetherWindow
		if isSilent && !o.silentInIsolation {
			together[o.ID] = true
		}
	}
	return len(together) >= minLostTogether && 2*len(together) > len(neighbours)
}

// lossesWith returns the losses in the rack of a loss that came together with it, itself included,
// without those in isolation and those that are not certain if it is.
func (k *Kernel) lossesWith(loss *executorLoss) []*executorLoss {
	var found []*executorLoss
	for _, l := range k.lossesByRack[loss.rack] {
		if (l.at-loss.at).Abs() <= togetherWindow && !l.isolated && (l.certain || !loss.certain) {
			found = append(found, l)
		}
	}
	return found
}

// excuseRack takes back what earlier losses have charged, as the last one shows that most of the
// rack was lost with it: each executor that has started again answers for itself.
func (k *Kernel) excuseRack(last *executorLoss) {
	for _, l := range k.lossesWith(last) {
		for _, c := range l.charges {
			k.excuse(c)
		}
		l.charges = nil
	}
}

// excuse counts a charge as one of a lost rack, unless the record of the task has changed since.
func (k *Kernel) excuse(c *charge) {
	t, s := c.run.task(), c.run.step
	start, unstarted := t.crashes.Start, t.crashes.Unstarted
	now := t.crashes
	now.Start, now.Unstarted = nil, false
	if now != c.after || s.job.state.IsFinal() {
		return
	}
	t.crashes = c.before
	t.crashes.AddLossOfRack(c.victim)
	if t.crashes != (suspicion.Record{}) {
		t.crashes.Start, t.crashes.Unstarted = start, unstarted
	}
	k.markTaskDirty(s, c.run.index)
}
