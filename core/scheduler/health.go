package scheduler

import (
	"time"

	"jacinthwind/core"
	"jacinthwind/core/event"
)

const (
	firstProbeDelay = 5 * time.Second
	maxProbeDelay   = 60 * time.Second
	// neutralFailureWeight counts a failure of a team that has run on no other
	// executor.
	neutralFailureWeight = 0.5
)

// health follows the failures of one executor.
type health struct {
	// score sums the weights of failures in a row.
	score       float64
	lastRequest RequestKey
	quarantined bool
	probeAt     time.Time
	probeDelay  time.Duration
}

// admits reports whether e's quarantine lets t start on it.
func (h *health) admits(e *executor, t *task, now time.Time) bool {
	if !h.quarantined {
		return true
	}
	return t.req.Idempotent && e.Running == 0 && !now.Before(h.probeAt)
}

// suspicion is the number of whole failures in a row.
func (h *health) suspicion() int {
	return int(h.score)
}

// observeSuccess ends a row of failures and a quarantine.
func (k *Kernel) observeSuccess(e *executor, tm *team) {
	tm.failing[e] = false
	e.health.score = 0
	if !e.health.quarantined {
		return
	}
	e.health = health{}
	k.quarantined--
	k.note(event.ExecutorReinstated, e.Name, "a probe succeeded")
}

// observeFailure counts a failure on e, weighted by how well the team's tasks
// do elsewhere: a job that fails everywhere says nothing about one executor.
func (k *Kernel) observeFailure(e *executor, tm *team, key RequestKey) {
	weight := tm.failureWeight(e)
	tm.failing[e] = true
	h := &e.health
	if h.quarantined {
		h.probeDelay = min(2*h.probeDelay, maxProbeDelay)
		h.probeAt = k.now.Add(h.probeDelay)
		return
	}
	if key == h.lastRequest {
		return
	}
	h.lastRequest = key
	h.score += weight
	if h.score >= float64(k.view.Scheduling.QuarantineAfter) && k.mayQuarantine() {
		k.quarantine(e)
	}
}

func (k *Kernel) quarantine(e *executor) {
	k.quarantined++
	e.health.quarantined = true
	e.health.probeDelay = firstProbeDelay
	e.health.probeAt = k.now.Add(firstProbeDelay)
	k.note(event.ExecutorQuarantined, e.Name, "failed distinct requests in a row that do better elsewhere")
}

// mayQuarantine reports whether one more executor may be set aside.
func (k *Kernel) mayQuarantine() bool {
	return (k.quarantined+1)*100 <= k.view.Scheduling.QuarantinePercent*len(k.executors)
}

// failureWeight is the part of the other executors on which the team's latest
// task succeeded.
func (t *team) failureWeight(e *executor) float64 {
	seen, failed := 0, 0
	for other, failing := range t.failing {
		if other == e {
			continue
		}
		seen++
		if failing {
			failed++
		}
	}
	if seen == 0 {
		return neutralFailureWeight
	}
	return 1 - float64(failed)/float64(seen)
}

// isFailure reports whether the end of an attempt speaks against the executor.
func isFailure(r *core.AttemptResult) bool {
	switch r.Status {
	case core.AttemptLost, core.AttemptRefused:
		return true
	case core.AttemptAnswered:
		return r.Answer != nil && r.Answer.Status >= serverErrorStatus
	}
	return false
}

const serverErrorStatus = 500
