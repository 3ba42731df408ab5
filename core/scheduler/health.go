package scheduler

import (
	"time"

	"jacinthwind/core"
	"jacinthwind/core/event"
)

const (
	// firstProbeDelay is the delay before the first probe of a quarantined
	// executor. It doubles with every failed probe, up to maxProbeDelay.
	firstProbeDelay = 5 * time.Second
	maxProbeDelay   = 60 * time.Second
	// defaultFailureWeight is the weight of a failure if the team has run on no
	// other executor.
	defaultFailureWeight = 0.5
)

// health tracks the failures of one executor.
type health struct {
	// score is the sum of the weights of the failures in a row.
	score             float64
	lastFailedRequest RequestKey
	quarantined       bool
	probeAt           time.Time
	probeDelay        time.Duration
}

// admits reports whether t may start on e. A quarantined executor admits one
// idempotent task at a time, as a probe.
func (h *health) admits(e *executor, t *task, now time.Time) bool {
	if !h.quarantined {
		return true
	}
	return t.req.Idempotent && e.Running == 0 && !now.Before(h.probeAt)
}

// wholeFailures returns the score rounded down.
func (h *health) wholeFailures() int {
	return int(h.score)
}

// recordSuccess resets the failure score of e and ends its quarantine.
func (k *Kernel) recordSuccess(e *executor, tm *team) {
	tm.lastFailed[e] = false
	e.health.score = 0
	if !e.health.quarantined {
		return
	}
	e.health = health{}
	k.quarantined--
	k.addNote(event.ExecutorReinstated, e.Name, "a probe succeeded")
}

// recordFailure adds a failure of e, weighted by how well the team's tasks do
// on other executors: a task that fails everywhere says nothing about one
// executor.
func (k *Kernel) recordFailure(e *executor, tm *team, key RequestKey) {
	weight := tm.failureWeight(e)
	tm.lastFailed[e] = true
	h := &e.health
	if h.quarantined {
		h.probeDelay = min(2*h.probeDelay, maxProbeDelay)
		h.probeAt = k.now.Add(h.probeDelay)
		return
	}
	if key == h.lastFailedRequest {
		return
	}
	h.lastFailedRequest = key
	h.score += weight
	if h.score >= float64(k.view.Scheduling.QuarantineAfter) && k.mayQuarantine() {
		k.quarantine(e)
	}
}

// quarantine puts e in quarantine, where it gets no tasks but probes.
func (k *Kernel) quarantine(e *executor) {
	k.quarantined++
	e.health.quarantined = true
	e.health.probeDelay = firstProbeDelay
	e.health.probeAt = k.now.Add(firstProbeDelay)
	k.addNote(event.ExecutorQuarantined, e.Name, "failures of distinct requests in a row, weighted by their teams' success on other executors, reached quarantine_after")
}

// mayQuarantine reports whether one more executor may be quarantined.
func (k *Kernel) mayQuarantine() bool {
	return (k.quarantined+1)*100 <= k.view.Scheduling.QuarantinePercent*len(k.executors)
}

// failureWeight returns the fraction of the other executors on which the team's
// latest task succeeded.
func (t *team) failureWeight(e *executor) float64 {
	seen, failed := 0, 0
	for other, failing := range t.lastFailed {
		if other == e {
			continue
		}
		seen++
		if failing {
			failed++
		}
	}
	if seen == 0 {
		return defaultFailureWeight
	}
	return 1 - float64(failed)/float64(seen)
}

// isFailure reports whether the result of an attempt counts as a failure of the
// executor.
func isFailure(r *core.AttemptResult) bool {
	switch r.Status {
	case core.AttemptLost, core.AttemptRefused:
		return true
	case core.AttemptAnswered:
		return r.Answer != nil && r.Answer.Status >= serverErrorStatus
	}
	return false
}

// serverErrorStatus is the lowest HTTP status that counts as a failure.
const serverErrorStatus = 500
