package scheduler

import "time"

const (
	// exchangeTimeout is how long the answer of a team's home is awaited.
	exchangeTimeout = 500 * time.Millisecond
	// unmetInterval is the time between two requests for tokens that the home
	// did not have.
	unmetInterval = 100 * time.Millisecond
	// refreshInterval is the time between two reports of held tokens.
	refreshInterval = 2 * time.Second
	// releaseInterval is the time over which the peak demand is remembered.
	releaseInterval = 500 * time.Millisecond
)

// escrow is the part of a team's limit that its home has lent to this pool.
type escrow struct {
	// known is false until a new owner has learned what its pool holds.
	known bool
	held  int
	// target is the part that the home asks the pool to come down to; hasTarget
	// says whether it asks for anything.
	target    int
	hasTarget bool
	homeEpoch uint64
	seq       uint64
	pending   bool
	sentAt    time.Time
	// unmet means that the home lent less than was wanted.
	unmet  bool
	peak   int
	peakAt time.Time
}

// usable is the number of tasks that may run now.
func (e *escrow) usable() int {
	if !e.known {
		return 0
	}
	if e.hasTarget {
		return min(e.held, e.target)
	}
	return e.held
}

// demand is the number of tasks the team would run in this pool.
func (k *Kernel) demand(t *team) int {
	return min(t.running+t.waitingCount(), max(k.view.PoolSlots(k.pool), t.running))
}

// wantTokens asks the team's home for more of the limit where that lets a
// waiting request start.
func (k *Kernel) wantTokens(t *team) {
	if t.unlimited || t.escrow.pending || (t.escrow.unmet && k.now.Sub(t.escrow.sentAt) < unmetInterval) {
		return
	}
	if k.demand(t) > t.escrow.held || !t.escrow.known {
		k.exchange(t)
	}
}

// sweepEscrows repeats unanswered exchanges and returns unused tokens.
func (k *Kernel) sweepEscrows() {
	for _, t := range k.sortedTeams() {
		if !t.unlimited {
			k.sweepEscrow(t)
		}
	}
}

func (k *Kernel) sweepEscrow(t *team) {
	e := &t.escrow
	k.followPeak(t)
	age := k.now.Sub(e.sentAt)
	if e.pending {
		if age >= exchangeTimeout {
			k.exchange(t)
		}
		return
	}
	wants := k.demand(t) > e.held
	switch {
	case !e.known && (wants || t.running > 0 || k.settled):
		k.exchange(t)
	case wants && age >= unmetInterval:
		k.exchange(t)
	case e.hasTarget && e.held > max(e.target, t.running):
		k.exchange(t)
	case e.held > max(e.peak, t.running) && age >= releaseInterval:
		k.exchange(t)
	case e.held > 0 && age >= refreshInterval:
		k.exchange(t)
	}
}

// followPeak remembers the largest demand of the latest interval.
func (k *Kernel) followPeak(t *team) {
	e := &t.escrow
	if d := k.demand(t); d >= e.peak || k.now.Sub(e.peakAt) >= releaseInterval {
		e.peak = d
		e.peakAt = k.now
	}
}

// exchange reports to the team's home and commits the pool to what it reports.
func (k *Kernel) exchange(t *team) {
	// After the handover the next owner speaks for the pool.
	if k.frozen {
		return
	}
	e := &t.escrow
	if !e.known && k.settled {
		e.known = true
		e.held = t.running
	}
	e.seq++
	e.pending = true
	e.sentAt = k.now
	x := Exchange{Team: t.Name, Seq: e.seq, Held: -1, Want: 0}
	if e.known {
		keep := max(t.running, k.demand(t), e.peak)
		if e.hasTarget {
			keep = max(t.running, min(keep, e.target))
		}
		e.held = min(e.held, keep)
		x.Held = e.held
		x.Want = max(0, k.demand(t)-e.held)
	}
	k.updateReady(t)
	k.effects.Exchanges = append(k.effects.Exchanges, x)
}

// homeChanged reports to a new home, which lends nothing until all pools have.
func (k *Kernel) homeChanged(ev *HomeChanged) {
	if t, ok := k.teams[ev.Team]; ok && !t.unlimited {
		k.exchange(t)
	}
}

// limitGranted takes the home's answer to the latest exchange.
func (k *Kernel) limitGranted(ev *LimitGranted) {
	t, ok := k.teams[ev.Team]
	if !ok {
		return
	}
	e := &t.escrow
	if !e.pending || ev.Seq != e.seq || ev.HomeEpoch < e.homeEpoch {
		return
	}
	e.pending = false
	e.homeEpoch = ev.HomeEpoch
	if ev.Unknown {
		e.unmet = true
		return
	}
	e.known = true
	e.held = ev.Granted
	e.target = ev.Target
	e.hasTarget = ev.Target >= 0
	e.unmet = k.demand(t) > e.held
	k.updateReady(t)
}
