package scheduler_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthwind/core/config"
	"jacinthwind/core/limit"
	"jacinthwind/core/scheduler"
)

// TestInvariantsHoldUnderRandomEvents exposes a pool to random loads, message
// losses, configuration changes and changes of owner. It checks the invariants
// in the kernel and at the executors.
func TestInvariantsHoldUnderRandomEvents(t *testing.T) {
	steps := 0
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		for range rapid.IntRange(100, 500).Draw(t, "length") {
			sim.runRandomAction()
		}
		sim.runToCompletion()
		steps += sim.steps
	})
	t.Logf("%d kernel steps", steps)
}

// runRandomAction executes one random action.
func (sim *simulation) runRandomAction() {
	switch rapid.IntRange(0, 29).Draw(sim.t, "action") {
	case 0, 1, 2, 3, 4, 5:
		sim.submit()
	case 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16:
		sim.deliverMessage()
	case 17, 18, 19, 20, 21:
		sim.finishTask()
	case 22, 23, 24:
		sim.advance(time.Duration(rapid.IntRange(1, 300).Draw(sim.t, "ms")) * time.Millisecond)
	case 25:
		sim.advance(time.Duration(rapid.IntRange(300, 3000).Draw(sim.t, "long ms")) * time.Millisecond)
	case 26:
		sim.cancel()
	case 27:
		sim.changeConfig()
	case 28:
		sim.changeHome()
	case 29:
		sim.changeOwner()
	}
}

func (sim *simulation) cancel() {
	if len(sim.requests) == 0 {
		return
	}
	r := sim.requests[rapid.IntRange(0, len(sim.requests)-1).Draw(sim.t, "cancelled")]
	key := scheduler.RequestKey{Queue: r.req.Queue, Team: r.req.Team, ID: r.req.ID}
	sim.step(sim.owner(), &scheduler.Cancel{Key: key})
}

func (sim *simulation) changeConfig() {
	r := &sim.doc.Register
	switch rapid.IntRange(0, 2).Draw(sim.t, "change") {
	case 0:
		sim.toggleDataCentre("dc2")
	case 1:
		r.VMs[0].Leaving = !r.VMs[0].Leaving
	case 2:
		sim.toggleKey()
	}
	sim.commitDocument()
	view := sim.view()
	for _, o := range sim.owners {
		sim.step(o, &scheduler.ConfigChanged{View: view})
	}
}

// toggleDataCentre takes a data centre out of service or puts it back.
func (sim *simulation) toggleDataCentre(dc string) {
	out := &sim.doc.Rules.DataCentresOut
	if i := slices.Index(*out, dc); i >= 0 {
		*out = slices.Delete(*out, i, i+1)
		delete(sim.outSince, dc)
		return
	}
	*out = append(*out, dc)
	sim.outSince[dc] = sim.now
}

// toggleKey withdraws the key of the second team or grants it again.
func (sim *simulation) toggleKey() {
	keys := &sim.doc.Register.Keys
	if len(*keys) == len(simTeams) {
		*keys = (*keys)[:1]
		return
	}
	*keys = append(*keys, config.Key{Name: "small", Team: "small", SHA256: config.DigestKey("small")})
}

// changeHome moves the limit of a team to another home, with or without its
// state.
func (sim *simulation) changeHome() {
	team := rapid.SampledFrom(simTeams).Draw(sim.t, "home of")
	sim.homeEpoch[team.Name]++
	a := limit.Activation{
		Team: team.Name, Epoch: sim.homeEpoch[team.Name], Limit: team.Limit, Pools: []string{simPool},
	}
	if sim.drawChance(50, "home handed over") {
		a.State = sim.homes[team.Name].State()
	}
	sim.homes[team.Name] = limit.New(a)
	sim.trace("home %d of %s activated, handed over %t", a.Epoch, team.Name, a.State != nil)
	sim.step(sim.owner(), &scheduler.HomeChanged{Team: team.Name})
}

// changeOwner moves the pool to another owner. Without a handover the old owner
// keeps running like a process that was paused, until its ownership ends.
func (sim *simulation) changeOwner() {
	old := sim.owner()
	if sim.drawChance(50, "handed over") {
		sim.step(old, &scheduler.Freeze{})
		sim.activateOwner(old.kernel.Snapshot(), false)
		return
	}
	old.ownedUntil = sim.now
	sim.now = sim.now.Add(simClockSkew)
	sim.activateOwner(nil, false)
}

// runToCompletion delivers all messages and ends all tasks, then checks that
// every request has a result and no task is left.
func (sim *simulation) runToCompletion() {
	for range 200 {
		for len(sim.messages) > 0 {
			sim.deliverMessage()
		}
		sim.finishTask()
		sim.advance(100 * time.Millisecond)
	}
	for len(sim.messages) > 0 {
		sim.deliverMessage()
	}
	require.Empty(sim.t, sim.byWaiter, "every request must have a result")
	d := sim.owner().kernel.Dump()
	for _, team := range d.Teams {
		require.Zero(sim.t, team.Running, "running tasks of team %s", team.Team)
		require.Zero(sim.t, team.Normal+team.Urgent, "queued requests of team %s", team.Team)
	}
}
