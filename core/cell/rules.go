package cell

import (
	"cmp"
	"math"
	"slices"

	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
)

// The rules of an accepted job are those of its queue and of its team. A configuration may
// cease to name either while the job is open; the last known rules hold then.

// recordRules stores the rules at its acceptance with a job, for owners that never see a
// configuration that names them.
func (k *Kernel) recordRules(j *job.Job, queue *fleet.Queue) {
	j.AcceptedQueue = queue
	if team := k.config.Team(j.Team); team != nil {
		j.TeamLimit = team.Limit
	}
}

// queueOf returns the queue of a job: the one of its name or, if there is none, the one that
// now has the host and the prefix of the last known one, or else the last known one. It
// returns nil if none was ever known.
func (k *Kernel) queueOf(j *job.Job, last *fleet.Queue) *fleet.Queue {
	if q := k.config.Queue(j.Queue); q != nil || last == nil {
		return q
	}
	if q := k.config.QueueAt(last.Host, last.Prefix); q != nil {
		return q
	}
	return last
}

// updateQueues gives all open jobs the queues of a new configuration.
func (k *Kernel) updateQueues() {
	clear(k.queueDepth)
	var nowKnown []*jobState
	for _, j := range k.jobs {
		if j.state.IsFinal() {
			continue
		}
		if j.queue == nil {
			nowKnown = append(nowKnown, j)
		}
		j.queue = k.queueOf(j.Job, j.queue)
		if !j.started && j.OccurrenceCount == 0 {
			k.queueDepth[j.queueName()]++
		}
	}
	slices.SortFunc(nowKnown, func(a, b *jobState) int { return cmp.Compare(a.ID, b.ID) })
	for _, j := range nowKnown {
		k.failExhausted(j)
	}
}

// failExhausted fails a job if one of its tasks had used up its attempts before they were
// known.
func (k *Kernel) failExhausted(j *jobState) {
	for _, s := range j.steps {
		for i := range s.tasks {
			if !s.Service && !j.state.IsFinal() && s.failureCount(i) >= j.maxAttempts() {
				k.failJob(s, i)
			}
		}
	}
}

// knownLimit is the limit of a team as it was at a time.
type knownLimit struct {
	fleet.Vector
	asOfMs int64
}

// teamLimit returns the limit of a team, the last known one if the configuration does not name
// the team, and false if there is none.
func (k *Kernel) teamLimit(name string) (fleet.Vector, bool) {
	if team := k.config.Team(name); team != nil {
		return team.Limit, true
	}
	known, ok := k.teamLimits[name]
	return known.Vector, ok
}

// updateTeamLimits takes over the limits of the teams that a new configuration names.
func (k *Kernel) updateTeamLimits() {
	for i := range k.config.Teams {
		team := &k.config.Teams[i]
		k.teamLimits[team.Name] = knownLimit{team.Limit, k.now.UnixMs}
	}
}

// loadTeamLimit takes over the limit that the team of a stored job had when it was accepted,
// unless a later one is known.
func (k *Kernel) loadTeamLimit(j *job.Job) {
	if known, ok := k.teamLimits[j.Team]; j.AcceptedQueue != nil && (!ok || known.asOfMs < j.AcceptedMs) {
		k.teamLimits[j.Team] = knownLimit{j.TeamLimit, j.AcceptedMs}
	}
}

// queueName returns the name under which the job counts in the depth of a queue.
func (j *jobState) queueName() string {
	if j.queue == nil {
		return j.Queue
	}
	return j.queue.Name
}

// priority returns the priority of the job's queue, the highest if no queue is known.
func (j *jobState) priority() int {
	if j.queue == nil {
		return 0
	}
	return j.queue.Priority
}

// maxAttempts returns how many failures end a task for good. No number does while no queue
// is known.
func (j *jobState) maxAttempts() int {
	if j.queue == nil {
		return math.MaxInt
	}
	return max(j.queue.MaxAttempts, 1)
}

// mayAttempt reports whether it is known that a task has an attempt left. A task that has not
// failed has one.
func (s *stepRun) mayAttempt(index int) bool {
	return s.job.queue != nil || s.Service || s.failureCount(index) == 0
}
