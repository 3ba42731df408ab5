package scheduler

import "slices"

// updateFree puts e into the list of free executors or takes it out.
func (k *Kernel) updateFree(e *executor) {
	free := e.hasSlot()
	switch {
	case free && e.freeIndex < 0:
		e.freeIndex = len(k.free)
		k.free = append(k.free, e)
	case !free && e.freeIndex >= 0:
		last := len(k.free) - 1
		moved := k.free[last]
		k.free[e.freeIndex] = moved
		moved.freeIndex = e.freeIndex
		k.free[last] = nil
		k.free = k.free[:last]
		e.freeIndex = -1
	}
}

// updateAllFree rebuilds the list of free executors.
func (k *Kernel) updateAllFree() {
	for _, e := range k.executors {
		k.updateFree(e)
	}
}

// newAttempt returns an empty attempt, one that ended earlier where there is.
func (k *Kernel) newAttempt() *attempt {
	last := len(k.spare) - 1
	if last < 0 {
		return &attempt{}
	}
	a := k.spare[last]
	k.spare[last] = nil
	k.spare = k.spare[:last]
	return a
}

// recycle makes the attempts that ended in the previous step available; within
// that step they may still be looked at.
func (k *Kernel) recycle() {
	for _, a := range k.ended {
		*a = attempt{}
		k.spare = append(k.spare, a)
	}
	clear(k.ended)
	k.ended = k.ended[:0]
}

// occupy counts a as running.
func (k *Kernel) occupy(a *attempt) {
	k.attempts[a.id] = a
	a.exec.attempts = append(a.exec.attempts, a)
	a.exec.Running++
	k.updateFree(a.exec)
	if a.team != nil {
		a.team.running++
		k.updateReady(a.team)
	}
}

// release counts a as proved ended.
func (k *Kernel) release(a *attempt) {
	delete(k.attempts, a.id)
	i := slices.Index(a.exec.attempts, a)
	a.exec.attempts = slices.Delete(a.exec.attempts, i, i+1)
	a.exec.Running--
	k.updateFree(a.exec)
	if a.team != nil {
		a.team.running--
		k.updateReady(a.team)
	}
	k.ended = append(k.ended, a)
}
