package scheduler

import (
	"cmp"
	"slices"

	"jacinthwind/core"
	"jacinthwind/core/config"
)

// AnonymousTeam is the name of the team that requests without a key are charged
// to.
const AnonymousTeam = ""

// defaultShare is the share of the anonymous team, and of any other team
// until it is registered.
const defaultShare = 1

// setView puts a configuration in force for this pool. It ignores a revision
// older than the current one.
func (k *Kernel) setView(v *config.View) {
	if k.view != nil && v.Revision < k.view.Revision {
		return
	}
	k.view = v
	k.updateTeams()
	k.updateExecutors()
}

// updateTeams applies the shares and limits of the register. A team that is no
// longer registered gets limit 0.
func (k *Kernel) updateTeams() {
	for _, t := range k.view.Register.Teams {
		tm := k.ensureTeam(t.Name)
		tm.Share = t.Share
		tm.limit = t.Limit
		k.updateReadyHeaps(tm)
	}
	for name, tm := range k.teams {
		if _, ok := k.view.Team(name); !ok && !tm.unlimited {
			tm.limit = 0
			k.updateReadyHeaps(tm)
		}
	}
}

// ensureTeam returns the state of a team and creates it if necessary.
func (k *Kernel) ensureTeam(name string) *team {
	if t, ok := k.teams[name]; ok {
		return t
	}
	t := &team{
		TeamLoad:    core.TeamLoad{Name: name, Share: defaultShare},
		orphanSlots: k.orphanSlots,
		unlimited:   name == AnonymousTeam,
		lastFailed:  make(map[*executor]bool),
	}
	for p := range t.readyIndex {
		t.readyIndex[p] = -1
	}
	k.teams[name] = t
	return t
}

// updateExecutors applies the VMs of the register and removes the executors
// that left the pool and have no attempts.
func (k *Kernel) updateExecutors() {
	for _, e := range k.executors {
		e.inService, e.removed = false, true
	}
	for _, vm := range k.view.PoolVMs(k.pool) {
		e := k.ensureExecutor(vm.Name, vm.Executor.Address)
		e.DataCentre = vm.DataCentre
		e.Rack = vm.Rack
		e.Slots = vm.Executor.Slots
		e.connections = vm.Executor.Connections
		e.removed = false
		e.inService = !vm.Leaving && !k.view.IsDataCentreOut(vm.DataCentre)
	}
	k.executors = slices.DeleteFunc(k.executors, func(e *executor) bool {
		return e.removed && len(e.attempts) == 0 && k.removeExecutor(e)
	})
	k.updateFreeExecutors()
}

// ensureExecutor returns the executor with this name and address and creates it
// if necessary. The same name at another address is another executor.
func (k *Kernel) ensureExecutor(name, address string) *executor {
	if e := k.findExecutor(name, address); e != nil {
		return e
	}
	e := &executor{
		ExecutorLoad: core.ExecutorLoad{Name: name},
		address:      address,
		freeIndex:    -1,
	}
	k.executors = append(k.executors, e)
	slices.SortFunc(k.executors, func(a, b *executor) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.address, b.address))
	})
	return e
}

// findExecutor returns the executor with this name and address, or nil.
func (k *Kernel) findExecutor(name, address string) *executor {
	for _, e := range k.executors {
		if e.Name == name && e.address == address {
			return e
		}
	}
	return nil
}

// removeExecutor removes all references to an executor. It always returns true,
// for use in slices.DeleteFunc.
func (k *Kernel) removeExecutor(e *executor) bool {
	if e.health.quarantined {
		k.quarantined--
	}
	k.updateFreeExecutor(e)
	for _, t := range k.teams {
		delete(t.lastFailed, e)
	}
	return true
}

// executorByName returns the executor with this name, preferring one that is
// still registered, or nil.
func (k *Kernel) executorByName(name string) *executor {
	for _, e := range k.executors {
		if e.Name == name && !e.removed {
			return e
		}
	}
	for _, e := range k.executors {
		if e.Name == name {
			return e
		}
	}
	return nil
}

// hasUsableExecutor reports whether any executor of the pool is in service and not
// draining.
func (k *Kernel) hasUsableExecutor() bool {
	for _, e := range k.executors {
		if e.inService && !e.draining {
			return true
		}
	}
	return false
}
