package cell_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jacinthwind/core/cell"
	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
)

// TestRandomRoomsKeepTasksRunning lets the rooms of executors shrink and grow among losses
// of executors and owners, waves, moves, evacuations and tasks that crash their executors.
// At any time that is calm, nothing waits that has room.
func TestRandomRoomsKeepTasksRunning(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRoomsWorld(t)
		for range rapid.IntRange(10, 50).Draw(t, "length") {
			r.doRoomAction()
		}
		r.advance(calmTime + 3*time.Second)
		r.setEvacuated(nil)
		for _, x := range r.executors {
			r.setRoom(x, fullRoom, 0, 0)
		}
		r.recoverAndCheck()
	})
}

var fullRoom = fleet.Vector{CPU: 8000, Mem: 8000}

// newRoomsWorld returns a world with two data centres, kinds of executors, a spare pool and
// teams with limits.
func newRoomsWorld(t *rapid.T) *roomsWorld {
	r := &roomsWorld{randomWorld: &randomWorld{T: t, world: newWorld(t, 0)}, after: map[string]time.Duration{}}
	r.config = &fleet.Configuration{
		Version: 2,
		Queues: []fleet.Queue{
			{Name: "proofs", Host: "h", Prefix: "/p/", Pool: "render", MaxAttempts: 3, ObjectiveFactor: 2, ObjectiveBase: 2 * time.Second},
			{Name: "drafts", Host: "h", Prefix: "/d/", Pool: "render", Priority: 1, MaxAttempts: 3, ObjectiveFactor: 4, ObjectiveBase: 4 * time.Second},
		},
		Pools: r.config.Pools,
		Teams: []fleet.Team{
			{Name: "notaries", Keys: []string{"k"}, Share: 1},
			{Name: "auditors", Keys: []string{"l"}, Share: 1, Limit: fleet.Vector{CPU: 9000}},
			{Name: "scribes", Keys: []string{"m"}, Share: 1, Limit: fleet.Vector{CPU: 20_000, Mem: 3000}},
		},
	}
	r.config.Index()
	r.step(cell.Configured{Configuration: r.config})
	for i := range rapid.IntRange(3, 10).Draw(t, "executors") {
		id := fmt.Sprintf("e%d", i)
		r.addExecutor(id)
		x := r.executors[id]
		x.Labels = []string{string(rune('a' + i%2)), fmt.Sprintf("r1-%d", i/3)}
		x.DataCentre = fmt.Sprintf("dc%d", 1+i%3/2)
		r.vms[i].DataCentre, r.vms[i].Labels = x.DataCentre, x.Labels
		r.vms[i].Capacity = fullRoom
	}
	r.replaceVMs = rapid.Bool().Draw(t, "moves succeed")
	r.guardsRoom = rapid.Bool().Draw(t, "guards room")
	for i := range rapid.IntRange(0, 3).Draw(t, "spare") {
		id := fmt.Sprintf("s%d", i)
		r.addExecutor(id)
		x := r.executors[id]
		x.Labels = []string{string(rune('a' + i%2)), "r1-9"}
		delete(r.executors, id)
		vm := &r.vms[len(r.vms)-1]
		vm.Pool, vm.Executor, vm.Labels = "spare", "", x.Labels
		r.off[vm.Name] = x
	}
	r.replaceOwner()
	r.watchRandomWaits()
	r.advance(time.Second)
	seed := rapid.Uint64().Draw(t, "outcomes")
	r.taskTime = func(task string, run int) (time.Duration, fleet.RunEnd) {
		n := hashRun(seed, task, run)
		if n%40 == 0 {
			return time.Duration(50+n%1500) * time.Millisecond, fleet.EndFailed
		}
		return time.Duration(50+n%2500) * time.Millisecond, fleet.EndDone
	}
	r.crashAfter = func(task string) time.Duration { return r.after[task] }
	r.failServices = func(task string) bool { return hashRun(seed, task, 0)%10 == 0 }
	return r
}

// roomsWorld is a random world whose executors change their rooms.
type roomsWorld struct {
	*randomWorld
	// after holds how long after its start a task crashes its executor.
	after map[string]time.Duration
	wave  int
}

// doRoomAction draws and performs one action.
func (r *roomsWorld) doRoomAction() {
	switch rapid.IntRange(0, 27).Draw(r.T, "act") {
	case 0, 1, 2, 3, 4:
		r.submitShaped()
	case 5:
		r.cancelRandom()
	case 6, 7, 8:
		r.advance(time.Duration(rapid.IntRange(10, 900).Draw(r.T, "ms")) * time.Millisecond)
	case 9, 10:
		r.advance(time.Duration(rapid.IntRange(2, 14).Draw(r.T, "s")) * time.Second)
	case 11, 12, 13, 14, 15, 16:
		r.changeRoom()
	case 17:
		r.killOwner()
	case 18:
		if x := r.drawExecutor(); !x.down {
			r.crashAndReplace(x)
		}
	case 19:
		r.loseAnswers()
		r.advance(time.Duration(rapid.IntRange(100, 4000).Draw(r.T, "ms")) * time.Millisecond)
		r.deliverAgain()
	case 20:
		r.jobs++
		j := simpleJob(r.jobs, rapid.IntRange(1, 4).Draw(r.T, "count"), 500)
		j.Steps[0].Service = rapid.Bool().Draw(r.T, "service")
		r.after[j.ID+".0.0.0"] = time.Duration(rapid.SampledFrom([]int{1, 20, 90}).Draw(r.T, "after")) * time.Millisecond
		r.submitJob(j)
	case 21:
		r.addWave()
	case 22:
		r.setEvacuated([][]string{nil, nil, {"dc2"}}[rapid.IntRange(0, 2).Draw(r.T, "evacuated")])
	case 23:
		x := r.drawExecutor()
		x.unreachable = true
		r.advance(time.Duration(rapid.IntRange(100, 6000).Draw(r.T, "ms")) * time.Millisecond)
		x.unreachable = false
	case 27:
		r.failServiceRuns()
	case 25, 26:
		r.crashTogether()
	case 24:
		r.storeDown = true
		r.advance(time.Duration(rapid.IntRange(100, 3000).Draw(r.T, "ms")) * time.Millisecond)
		r.restoreStore()
	}
}

// failServiceRuns lets service runs fail, however long they have been active.
func (r *roomsWorld) failServiceRuns() {
	for range rapid.IntRange(1, 6).Draw(r.T, "failures") {
		x := r.drawExecutor()
		for _, task := range slices.Sorted(maps.Keys(x.runs)) {
			if run := x.runs[task]; run.service && rapid.Bool().Draw(r.T, "fails") {
				x.endRun(run, fleet.EndFailed)
			}
		}
		r.advance(time.Duration(rapid.IntRange(100, 2000).Draw(r.T, "ms")) * time.Millisecond)
	}
}

// crashTogether crashes some executors within a short time, once or twice.
func (r *roomsWorld) crashTogether() {
	for range rapid.IntRange(1, 2).Draw(r.T, "rounds") {
		for range rapid.IntRange(2, 4).Draw(r.T, "crashes") {
			if x := r.drawExecutor(); !x.down {
				r.crashAndReplace(x)
			}
			r.advance(time.Duration(rapid.IntRange(0, 60).Draw(r.T, "apart ms")) * time.Millisecond)
		}
		r.advance(time.Duration(rapid.IntRange(2000, 4000).Draw(r.T, "ms")) * time.Millisecond)
	}
}

// changeRoom shrinks the room of an executor, or lets it grow again.
func (r *roomsWorld) changeRoom() {
	x := r.drawExecutor()
	room := rapid.SampledFrom([]fleet.Vector{
		fullRoom, fullRoom, {CPU: 4000, Mem: 4000}, {CPU: 1000, Mem: 8000}, {CPU: 50, Mem: 50}, {CPU: 8000, Mem: 150}, {CPU: 8000}, {Mem: 8000}, {},
	}).Draw(r.T, "room")
	delays := []time.Duration{0, 0, 30 * time.Millisecond, 700 * time.Millisecond}
	r.setRoom(x, room, rapid.SampledFrom(delays).Draw(r.T, "entry delay"), rapid.SampledFrom(append(delays, -1)).Draw(r.T, "vm delay"))
}

// submitShaped submits a job of a random shape.
func (r *roomsWorld) submitShaped() {
	r.jobs++
	j := simpleJob(r.jobs, rapid.IntRange(1, 5).Draw(r.T, "count"), int64(rapid.IntRange(1, 10).Draw(r.T, "cpu"))*500)
	j.Queue = rapid.SampledFrom([]string{"proofs", "drafts"}).Draw(r.T, "queue")
	j.Team = rapid.SampledFrom([]string{"notaries", "notaries", "auditors", "scribes"}).Draw(r.T, "team")
	s := &j.Steps[0]
	s.EstimateMs = int64(rapid.SampledFrom([]int{300, 1000, 8000}).Draw(r.T, "estimate"))
	s.Size.Mem = int64(rapid.SampledFrom([]int{0, 100, 1000}).Draw(r.T, "mem"))
	chance := func(of int, name string) bool { return rapid.IntRange(1, of).Draw(r.T, name) == 1 }
	if chance(4, "labelled") {
		s.Label = rapid.SampledFrom([]string{"a", "b"}).Draw(r.T, "label")
	}
	if chance(4, "racked") {
		s.Rack = rapid.SampledFrom([]string{"r1-0", "r1-1"}).Draw(r.T, "rack")
	}
	if chance(4, "spread") {
		s.PerExecutor = rapid.IntRange(1, 2).Draw(r.T, "per executor")
	}
	switch rapid.IntRange(0, 8).Draw(r.T, "kind") {
	case 0, 1, 2, 3:
		s.Service = true
		if chance(3, "budget") {
			s.MaxUnavailable = 1
		}
	case 4:
		// All members fit on one executor, so that the gang can run at any size of the pool.
		s.Gang, s.SameRack, s.PerExecutor = true, chance(2, "same rack"), 0
		s.Count = min(s.Count, 3)
		s.Size.CPU = min(s.Size.CPU, 2500)
	case 5:
		s.BestEffort = true
	case 6:
		j.Steps = append(j.Steps, job.Step{Count: 2, Size: fleet.Vector{CPU: 1000}, EstimateMs: 300, After: []int{0}})
	}
	r.submitJob(j)
}

// addWave requests a wave of maintenance of some VMs; the earlier waves go on.
func (r *roomsWorld) addWave() {
	if len(r.waves) > 0 || !r.replaceVMs {
		return
	}
	r.wave++
	w := fleet.Wave{Number: r.wave, TimeLimitS: 30, MaxDown: rapid.IntRange(1, 2).Draw(r.T, "max down")}
	for _, vm := range r.vms {
		if rapid.Bool().Draw(r.T, "member") {
			w.VMs = append(w.VMs, vm.Name)
		}
	}
	r.waves = append(slices.Clone(r.waves), w)
	r.step(cell.WavesUpdated{Waves: r.waves})
}

// setEvacuated evacuates data centres and takes the others back.
func (r *roomsWorld) setEvacuated(dataCentres []string) {
	r.evacuated = dataCentres
	r.step(cell.DataCentresEvacuated{DataCentres: dataCentres})
}
