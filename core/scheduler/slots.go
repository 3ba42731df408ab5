package scheduler

import "slices"

// updateFreeExecutor adds e to the list of free executors or removes it,
// depending on whether it has a free slot.
func (k *Kernel) updateFreeExecutor(e *executor) {
	free := e.hasSlot()
	switch {
	case free && e.freeIndex < 0:
		e.freeIndex = len(k.freeExecutors)
		k.freeExecutors = append(k.freeExecutors, e)
	case !free && e.freeIndex >= 0:
		last := len(k.freeExecutors) - 1
		moved := k.freeExecutors[last]
		k.freeExecutors[e.freeIndex] = moved
		moved.freeIndex = e.freeIndex
		k.freeExecutors[last] = nil
		k.freeExecutors = k.freeExecutors[:last]
		e.freeIndex = -1
	}
}

// updateFreeExecutors updates the list of free executors for all executors.
func (k *Kernel) updateFreeExecutors() {
	for _, e := range k.executors {
		k.updateFreeExecutor(e)
	}
}

// newAttempt returns an empty attempt, reusing one that ended if possible.
func (k *Kernel) newAttempt() *attempt {
	last := len(k.spareAttempts) - 1
	if last < 0 {
		return &attempt{}
	}
	a := k.spareAttempts[last]
	k.spareAttempts[last] = nil
	k.spareAttempts = k.spareAttempts[:last]
	return a
}

// recycleAttempts makes the attempts that ended in the previous step available
// for reuse. They are not reused earlier because that step may still read them.
func (k *Kernel) recycleAttempts() {
	for _, a := range k.endedAttempts {
		*a = attempt{}
		k.spareAttempts = append(k.spareAttempts, a)
	}
	clear(k.endedAttempts)
	k.endedAttempts = k.endedAttempts[:0]
}

// occupySlot counts a as running on its executor and for its team.
func (k *Kernel) occupySlot(a *attempt) {
	k.attempts[a.id] = a
	a.executor.attempts = append(a.executor.attempts, a)
	a.executor.Running++
	k.updateFreeExecutor(a.executor)
	if a.team != nil {
		a.team.running++
		k.updateReadyHeaps(a.team)
	}
}

// releaseSlot removes an attempt that has ended and releases its slot.
func (k *Kernel) releaseSlot(a *attempt) {
	delete(k.attempts, a.id)
	i := slices.Index(a.executor.attempts, a)
	a.executor.attempts = slices.Delete(a.executor.attempts, i, i+1)
	a.executor.Running--
	k.updateFreeExecutor(a.executor)
	if a.team != nil {
		a.team.running--
		k.updateReadyHeaps(a.team)
	}
	k.endedAttempts = append(k.endedAttempts, a)
}
