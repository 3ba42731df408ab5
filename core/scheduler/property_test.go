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

// TestPromises runs a pool through random loads, losses, configuration changes
// and changes of owner and checks every promise inside and outside the kernel.
func TestPromises(t *testing.T) {
	steps := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(100, 500).Draw(t, "length") {
			w.act()
		}
		w.settle()
		steps += w.steps
	})
	t.Logf("%d kernel steps", steps)
}

// act does one random thing.
func (w *world) act() {
	switch rapid.IntRange(0, 29).Draw(w.t, "act") {
	case 0, 1, 2, 3, 4, 5:
		w.submit()
	case 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16:
		w.deliver()
	case 17, 18, 19, 20, 21:
		w.finish()
	case 22, 23, 24:
		w.advance(time.Duration(rapid.IntRange(1, 300).Draw(w.t, "ms")) * time.Millisecond)
	case 25:
		w.advance(time.Duration(rapid.IntRange(300, 3000).Draw(w.t, "long ms")) * time.Millisecond)
	case 26:
		w.cancel()
	case 27:
		w.changeConfig()
	case 28:
		w.changeHome()
	case 29:
		w.changeOwner()
	}
}

func (w *world) cancel() {
	if len(w.requests) == 0 {
		return
	}
	r := w.requests[rapid.IntRange(0, len(w.requests)-1).Draw(w.t, "cancelled")]
	key := scheduler.RequestKey{Queue: r.req.Queue, Team: r.req.Team, ID: r.req.ID}
	w.step(w.owner(), &scheduler.Cancel{Key: key})
}

func (w *world) changeConfig() {
	r := &w.doc.Register
	switch rapid.IntRange(0, 2).Draw(w.t, "change") {
	case 0:
		w.toggleOut("dc2")
	case 1:
		r.VMs[0].Leaving = !r.VMs[0].Leaving
	case 2:
		w.toggleKey()
	}
	w.commit()
	view := w.view()
	for _, o := range w.owners {
		w.step(o, &scheduler.ConfigChanged{View: view})
	}
}

func (w *world) toggleOut(dc string) {
	out := &w.doc.Rules.DataCentresOut
	if i := slices.Index(*out, dc); i >= 0 {
		*out = slices.Delete(*out, i, i+1)
		delete(w.outSince, dc)
		return
	}
	*out = append(*out, dc)
	w.outSince[dc] = w.now
}

func (w *world) toggleKey() {
	keys := &w.doc.Register.Keys
	if len(*keys) == len(worldTeams) {
		*keys = (*keys)[:1]
		return
	}
	*keys = append(*keys, config.Key{Name: "small", Team: "small", SHA256: config.DigestKey("small")})
}

// changeHome gives a team's limit another home, with or without its state.
func (w *world) changeHome() {
	team := rapid.SampledFrom(worldTeams).Draw(w.t, "home of")
	w.homeEpoch[team.Name]++
	a := limit.Activation{
		Team: team.Name, Epoch: w.homeEpoch[team.Name], Limit: team.Limit, Pools: []string{worldPool},
	}
	if w.chance(50, "home handed over") {
		a.State = w.homes[team.Name].State()
	}
	w.homes[team.Name] = limit.New(a)
	w.trace("home %d of %s, handed over %t", a.Epoch, team.Name, a.State != nil)
	w.step(w.owner(), &scheduler.HomeChanged{Team: team.Name})
}

// changeOwner gives the pool another owner. Without a handover the old owner
// goes on as a process that was paused would, within the end of its ownership.
func (w *world) changeOwner() {
	old := w.owner()
	if w.chance(50, "handed over") {
		w.step(old, &scheduler.Freeze{})
		w.takeOver(old.kernel.Snapshot(), false)
		return
	}
	old.until = w.now
	w.now = w.now.Add(worldSkew)
	w.takeOver(nil, false)
}

// settle lets everything come to its end and checks that it does.
func (w *world) settle() {
	for range 200 {
		for len(w.messages) > 0 {
			w.deliver()
		}
		w.finish()
		w.advance(100 * time.Millisecond)
	}
	for len(w.messages) > 0 {
		w.deliver()
	}
	require.Empty(w.t, w.byWaiter, "requests without a result")
	d := w.owner().kernel.Dump()
	for _, team := range d.Teams {
		require.Zero(w.t, team.Running, "running of team %s", team.Team)
		require.Zero(w.t, team.Normal+team.Urgent, "waiting of team %s", team.Team)
	}
}
