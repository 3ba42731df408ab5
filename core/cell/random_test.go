package cell_test

import (
	"hash/fnv"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthwind/core/cell"
	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
)

// TestPromises plays random jobs through losses of owners, executors, answers
// and the store. The world checks at every order that no task runs twice, that
// no room and no token is passed over, and that nothing starts after its
// acknowledged end; in the end all that was accepted is done.
func TestPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &randomWorld{T: t, world: newWorld(t, rapid.IntRange(1, 5).Draw(t, "executors"))}
		r.play(time.Second)
		seed := rapid.Uint64().Draw(t, "outcomes")
		r.taskTime = func(task string, run int) (time.Duration, fleet.RunEnd) {
			n := hash(seed, task, run)
			how := fleet.EndDone
			if n%20 == 0 {
				how = fleet.EndFailed
			}
			return time.Duration(50+n%1500) * time.Millisecond, how
		}
		for range rapid.IntRange(10, 60).Draw(t, "length") {
			r.act()
		}
		r.settle()
	})
}

// randomWorld is a world in which random things happen.
type randomWorld struct {
	*rapid.T
	*world
	jobs int
}

func hash(seed uint64, task string, run int) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(task))
	return (h.Sum64() ^ seed) + uint64(run)*2654435761
}

// act does one random thing.
func (r *randomWorld) act() {
	switch rapid.IntRange(0, 17).Draw(r.T, "act") {
	case 0, 1, 2, 3:
		r.submitRandom()
	case 4:
		r.cancelRandom()
	case 5, 6, 7, 8:
		r.play(time.Duration(rapid.IntRange(10, 900).Draw(r.T, "ms")) * time.Millisecond)
	case 9:
		r.kill()
	case 10:
		r.depose()
	case 11:
		x := r.drawExecutor()
		x.dark = !x.dark
	case 12:
		if x := r.drawExecutor(); x.down {
			r.restart(x)
		} else {
			r.crash(x)
		}
	case 13:
		if r.storeDown {
			r.storeUp()
		} else {
			r.storeDown = true
		}
	case 14, 15:
		r.loseAnswers()
	case 16:
		r.orders, r.answers = promptly, atOnce
	case 17:
		r.play(time.Duration(rapid.IntRange(1, 6).Draw(r.T, "s")) * time.Second)
	}
}

func promptly(string, string) (time.Duration, bool) { return time.Millisecond, true }

func atOnce(string) time.Duration { return 0 }

// loseAnswers lets some orders be carried out seconds later without an answer,
// and other answers overtake each other.
func (r *randomWorld) loseAnswers() {
	seed := rapid.Uint64().Draw(r.T, "losses")
	n := 0
	r.orders = func(kind, _ string) (time.Duration, bool) {
		n++
		h := hash(seed, kind, n)
		if kind != "renew" && h%5 == 0 {
			return time.Duration(2000+h%4000) * time.Millisecond, false
		}
		return time.Duration(1+h%20) * time.Millisecond, h%7 != 1
	}
	r.answers = func(kind string) time.Duration {
		n++
		h := hash(seed, "answer "+kind, n)
		if h%4 != 0 {
			return 0
		}
		return time.Duration(h%1200) * time.Millisecond
	}
}

func (r *randomWorld) drawExecutor() *fakeExecutor {
	ids := slices.Sorted(maps.Keys(r.executors))
	return r.executors[rapid.SampledFrom(ids).Draw(r.T, "executor")]
}

func (r *randomWorld) submitRandom() {
	r.jobs++
	j := simpleJob(r.jobs, rapid.IntRange(1, 4).Draw(r.T, "count"), int64(rapid.IntRange(1, 16).Draw(r.T, "cpu"))*500)
	if rapid.IntRange(0, 3).Draw(r.T, "kind") == 0 {
		j.Steps[0].Service = true
	} else if rapid.Bool().Draw(r.T, "second") {
		j.Steps = append(j.Steps, job.Step{Count: 2, Size: fleet.Vector{CPU: 1000}, EstimateMs: 300, After: []int{0}})
	}
	r.submit(j)
}

func (r *randomWorld) cancelRandom() {
	if r.jobs > 0 {
		id := simpleJob(rapid.IntRange(1, r.jobs).Draw(r.T, "job"), 1, 1).ID
		r.cancel(id)
	}
}

// kill ends the owner at once; its lease runs out before the next one claims.
func (r *randomWorld) kill() {
	r.storeDown = false
	clear(r.alive)
	r.idle(testProof)
	r.claim()
}

// depose lets another owner claim while this one goes on without the store, at times
// after an outage for all.
func (r *randomWorld) depose() {
	r.storeDown, r.unproved = true, true
	r.play(testProof + 10*time.Millisecond)
	if r.bridged = rapid.Bool().Draw(r.T, "bridged"); r.bridged {
		r.play(time.Duration(rapid.IntRange(1, 12).Draw(r.T, "outage")) * time.Second)
		// No node claims before its word that it had no store is old.
		r.bridged = false
		r.play(testTrust + 10*time.Millisecond)
	}
	r.storeDown, r.unproved = false, false
	before := r.kernel
	r.takeOver()
	r.splitExecutors(before)
}

// splitExecutors lets some executors be reached by one of two owners only.
func (r *randomWorld) splitExecutors(before *cell.Kernel) {
	for _, id := range slices.Sorted(maps.Keys(r.executors)) {
		x := r.executors[id]
		x.darkFor = nil
		switch rapid.IntRange(0, 3).Draw(r.T, "reached by") {
		case 0:
			x.darkFor = map[*cell.Kernel]bool{before: true}
		case 1:
			x.darkFor = map[*cell.Kernel]bool{r.kernel: true}
		}
	}
}

// idle lets time pass without an owner.
func (r *randomWorld) idle(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.now += testStep
		r.deliver()
		for _, id := range slices.Sorted(maps.Keys(r.executors)) {
			r.endRuns(r.executors[id])
		}
	}
}

// settle ends all trouble and checks that what was accepted is done.
func (r *randomWorld) settle() {
	r.orders, r.answers = promptly, atOnce
	r.storeUp()
	for _, x := range r.executors {
		x.dark, x.darkFor = false, nil
		if x.down {
			r.restart(x)
		}
	}
	r.list()
	// What was handed in last has to be stored before it can be cancelled.
	r.play(time.Second)
	// Lasting jobs may hold all the room there is.
	for _, id := range slices.Sorted(maps.Keys(r.specs)) {
		if r.specs[id].Lasting() {
			r.cancel(id)
		}
	}
	for range 40 {
		if r.play(time.Second); r.done() {
			break
		}
	}
	for id, spec := range r.specs {
		state := r.state(id)
		running := 0
		for _, x := range r.executors {
			for _, run := range x.runs {
				if run.task[:16] == id {
					running++
				}
			}
		}
		require.Zero(r.T, running, "%s is %s and runs", id, state)
		if !spec.Lasting() && state != job.Cancelled && state != job.Failed {
			require.Equal(r.T, job.Succeeded, state, "job %s", id)
		}
	}
}

// done reports whether no job is left and nothing runs.
func (r *randomWorld) done() bool {
	for id := range r.specs {
		if !r.state(id).Ended() {
			return false
		}
	}
	for _, x := range r.executors {
		if len(x.runs) > 0 {
			return false
		}
	}
	return true
}
