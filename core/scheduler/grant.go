package scheduler

import "time"

const (
	// grantTimeout is how long the kernel waits for the answer of a team's
	// home.
	grantTimeout = 500 * time.Millisecond
	// unmetRetryInterval is the time between two requests for more of the limit
	// when the home granted less than was wanted.
	unmetRetryInterval = 100 * time.Millisecond
	// grantRefreshInterval is the time between two reports of an unchanged
	// grant.
	grantRefreshInterval = 2 * time.Second
	// peakDemandWindow is the time for which the peak demand is remembered, and
	// thus for which an unused grant is kept.
	peakDemandWindow = 500 * time.Millisecond
)

// limitGrant is the part of a team's limit that the team's home has granted to
// this pool.
type limitGrant struct {
	// known is false until a new owner has learned how much its pool holds.
	known bool
	// held is the number of the team's tasks that the pool may run.
	held int
	// target is the number to which the pool should reduce its grant.
	// It is valid only if hasTarget is set.
	target        int
	hasTarget     bool
	homeEpoch     uint64
	reportSeq     uint64
	reportPending bool
	reportedAt    time.Time
	// demandUnmet means that the home granted less than was wanted.
	demandUnmet bool
	peakDemand  int
	peakAt      time.Time
}

// usableTasks returns the number of tasks that may run now.
func (g *limitGrant) usableTasks() int {
	if !g.known {
		return 0
	}
	if g.hasTarget {
		return min(g.held, g.target)
	}
	return g.held
}

// demand returns the number of tasks that the team would run in this pool.
func (k *Kernel) demand(t *team) int {
	return min(t.running+t.queuedCount(), max(k.view.PoolSlots(k.pool), t.running))
}

// requestLimit asks the team's home for more of the limit if the demand of the
// team exceeds its grant or the grant is not known. It does nothing while a
// report is pending or soon after one that was not met in full.
func (k *Kernel) requestLimit(t *team) {
	if t.unlimited || t.grant.reportPending || (t.grant.demandUnmet && k.now.Sub(t.grant.reportedAt) < unmetRetryInterval) {
		return
	}
	if k.demand(t) > t.grant.held || !t.grant.known {
		k.reportGrant(t)
	}
}

// refreshGrants repeats unanswered reports, returns unused parts of the grants
// and refreshes the rest.
func (k *Kernel) refreshGrants() {
	for _, t := range k.sortedTeams() {
		if !t.unlimited {
			k.refreshGrant(t)
		}
	}
}

// refreshGrant reports to the home of one team if a report is due.
func (k *Kernel) refreshGrant(t *team) {
	g := &t.grant
	k.trackPeakDemand(t)
	age := k.now.Sub(g.reportedAt)
	if g.reportPending {
		if age >= grantTimeout {
			k.reportGrant(t)
		}
		return
	}
	wants := k.demand(t) > g.held
	switch {
	case !g.known && (wants || t.running > 0 || k.reconciled):
		k.reportGrant(t)
	case wants && age >= unmetRetryInterval:
		k.reportGrant(t)
	case g.hasTarget && g.held > max(g.target, t.running):
		k.reportGrant(t)
	case g.held > max(g.peakDemand, t.running) && age >= peakDemandWindow:
		k.reportGrant(t)
	case g.held > 0 && age >= grantRefreshInterval:
		k.reportGrant(t)
	}
}

// trackPeakDemand updates the largest demand of the latest peakDemandWindow.
func (k *Kernel) trackPeakDemand(t *team) {
	g := &t.grant
	if d := k.demand(t); d >= g.peakDemand || k.now.Sub(g.peakAt) >= peakDemandWindow {
		g.peakDemand = d
		g.peakAt = k.now
	}
}

// reportGrant reports to the team's home how much of the limit the pool holds
// and wants. The pool must stay within what it reports as held.
func (k *Kernel) reportGrant(t *team) {
	// After the handover only the next owner may report for the pool.
	if k.frozen {
		return
	}
	g := &t.grant
	if !g.known && k.reconciled {
		g.known = true
		g.held = t.running
	}
	g.reportSeq++
	g.reportPending = true
	g.reportedAt = k.now
	x := LimitReport{Team: t.Name, Seq: g.reportSeq, Held: -1, Want: 0}
	if g.known {
		keep := max(t.running, k.demand(t), g.peakDemand)
		if g.hasTarget {
			keep = max(t.running, min(keep, g.target))
		}
		g.held = min(g.held, keep)
		x.Held = g.held
		x.Want = max(0, k.demand(t)-g.held)
	}
	k.updateReadyHeaps(t)
	k.effects.LimitReports = append(k.effects.LimitReports, x)
}

// handleHomeChanged reports to a new home, which grants nothing until all pools
// have reported.
func (k *Kernel) handleHomeChanged(ev *HomeChanged) {
	if t, ok := k.teams[ev.Team]; ok && !t.unlimited {
		k.reportGrant(t)
	}
}

// handleLimitGranted applies the home's answer to the latest report.
func (k *Kernel) handleLimitGranted(ev *LimitGranted) {
	t, ok := k.teams[ev.Team]
	if !ok {
		return
	}
	g := &t.grant
	if !g.reportPending || ev.Seq != g.reportSeq || ev.HomeEpoch < g.homeEpoch {
		return
	}
	g.reportPending = false
	g.homeEpoch = ev.HomeEpoch
	if ev.Unknown {
		g.demandUnmet = true
		return
	}
	g.known = true
	g.held = ev.Granted
	g.target = ev.Target
	g.hasTarget = ev.Target >= 0
	g.demandUnmet = k.demand(t) > g.held
	k.updateReadyHeaps(t)
}
