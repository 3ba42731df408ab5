package cell

import (
	"time"

	"jacinthwind/core/event"
	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
	"jacinthwind/core/share"
)

// maxTurn is the longest time until the turn of an accepted job comes.
const maxTurn = 5 * time.Second

// minSharingTeams is how many teams need a weight for the pools to be divided by weights.
const minSharingTeams = 2

// teamShares holds the weights of the teams of the configuration in force.
type teamShares struct {
	weights map[string]float64
	// apply is set if the weights divide the pools.
	apply bool
}

// updateShares takes over the weights of a new configuration.
func (k *Kernel) updateShares() {
	k.shares = teamShares{weights: make(map[string]float64, len(k.config.Teams))}
	named := 0
	for i := range k.config.Teams {
		t := &k.config.Teams[i]
		w, ok := share.Weight(t.Share)
		k.shares.weights[t.Name] = w
		if t.Share != 0 {
			named++
		}
		if !ok && t.Share != 0 {
			k.log(event.ShareInvalid, "team", t.Name, "weight", t.Share, "used", w, "version", k.config.Version)
		}
	}
	k.shares.apply = named >= minSharingTeams
}

// weightOf returns the weight of a team.
func (k *Kernel) weightOf(team string) float64 {
	if w, ok := k.shares.weights[team]; ok {
		return w
	}
	return share.DefaultWeight
}

// shareWait returns after which time what a pool has taken of a team is served at the team's
// share.
func (k *Kernel) shareWait(team, pool string, c capacity) time.Duration {
	if !k.shares.apply {
		return 0
	}
	return k.ensurePool(pool).shares.Wait(k.now.Monotonic, team, k.weightOf(team), c.currentCores)
}

// chargeShare charges the work of an accepted job to its team.
func (k *Kernel) chargeShare(j *jobState) {
	if !k.shares.apply || j.OccurrenceCount > 0 {
		return
	}
	c := k.poolCapacity(j.Pool, "")
	k.ensurePool(j.Pool).shares.Charge(k.now.Monotonic, j.Team, k.weightOf(j.Team), c.currentCores, shareWork(j.Job, j.outlook, c.largest))
}

// refundShare takes back what is left of the work of a job that ends without being done.
func (k *Kernel) refundShare(j *jobState) {
	k.ensurePool(j.Pool).shares.Refund(j.Team, float64(j.remainingWork)/coreSecond)
}

// shareWork returns the work of a job in core-seconds as it counts against its team's share: a
// task counts by the resource of which it takes most of an executor of the given capacity.
func shareWork(j *job.Job, o outlook, capacity fleet.Vector) float64 {
	var sum float64
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Service || s.BestEffort {
			continue
		}
		size := s.ChargedSize()
		cpu := float64(size.CPU)
		if capacity.CPU > 0 {
			cores := float64(capacity.CPU)
			if capacity.Mem > 0 {
				cpu = max(cpu, float64(size.Mem)/float64(capacity.Mem)*cores)
			}
			if capacity.GPU > 0 {
				cpu = max(cpu, float64(size.GPU)/float64(capacity.GPU)*cores)
			}
		}
		sum += float64(s.Count) * cpu / 1000 * o.steps[i].Mean.Seconds()
	}
	return sum
}

// turnRank returns 1 for a step of a job whose turn has not come. It waits behind those of other
// teams that are as urgent.
func (k *Kernel) turnRank(s *stepRun) int { return countIf(k.now.Monotonic < s.job.turnAt) }
