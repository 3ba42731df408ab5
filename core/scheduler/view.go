package scheduler

import (
	"cmp"
	"slices"

	"jacinthwind/core"
	"jacinthwind/core/config"
)

// AnonymousTeam is the name under which work without a key is charged.
const AnonymousTeam = ""

const anonymousShare = 1

// setView puts a configuration in force for this pool.
func (k *Kernel) setView(v *config.View) {
	if k.view != nil && v.Revision < k.view.Revision {
		return
	}
	k.view = v
	k.setTeams()
	k.setExecutors()
}

func (k *Kernel) setTeams() {
	for _, t := range k.view.Register.Teams {
		tm := k.team(t.Name)
		tm.Share = t.Share
		tm.limit = t.Limit
		k.updateReady(tm)
	}
	for name, tm := range k.teams {
		if _, ok := k.view.Team(name); !ok && !tm.unlimited {
			tm.limit = 0
			k.updateReady(tm)
		}
	}
}

// team returns the state of a team and makes it where there is none.
func (k *Kernel) team(name string) *team {
	if t, ok := k.teams[name]; ok {
		return t
	}
	t := &team{
		TeamLoad:  core.TeamLoad{Name: name, Share: anonymousShare},
		doubt:     k.doubt,
		unlimited: name == AnonymousTeam,
		failing:   make(map[*executor]bool),
	}
	for p := range t.readyIndex {
		t.readyIndex[p] = -1
	}
	k.teams[name] = t
	return t
}

func (k *Kernel) setExecutors() {
	for _, e := range k.executors {
		e.listed, e.removed = false, true
	}
	for _, vm := range k.view.PoolVMs(k.pool) {
		e := k.executorAt(vm.Name, vm.Executor.Address)
		e.DataCentre = vm.DataCentre
		e.Rack = vm.Rack
		e.Slots = vm.Executor.Slots
		e.connections = vm.Executor.Connections
		e.removed = false
		e.listed = !vm.Leaving && !k.view.IsOut(vm.DataCentre)
	}
	k.executors = slices.DeleteFunc(k.executors, func(e *executor) bool {
		return e.removed && len(e.attempts) == 0 && k.forgetExecutor(e)
	})
	k.updateAllFree()
}

// executorAt returns the executor with this name and address and makes it
// where there is none; another address is another executor.
func (k *Kernel) executorAt(name, address string) *executor {
	for _, e := range k.executors {
		if e.Name == name && e.address == address {
			return e
		}
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

func (k *Kernel) forgetExecutor(e *executor) bool {
	if e.health.quarantined {
		k.quarantined--
	}
	k.updateFree(e)
	for _, t := range k.teams {
		delete(t.failing, e)
	}
	return true
}

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

// hasCapacity reports whether any executor of the pool is in service.
func (k *Kernel) hasCapacity() bool {
	for _, e := range k.executors {
		if e.listed && !e.draining {
			return true
		}
	}
	return false
}
