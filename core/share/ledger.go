package share

import (
	"cmp"
	"container/heap"
	"math"
	"time"
)

const (
	// DefaultWeight is the weight of a team whose configuration names none that can be used.
	DefaultWeight = 1
	// minWeight and maxWeight bound weights, so that no team has all of a pool or next to
	// nothing of it by a slip.
	minWeight, maxWeight = 1e-3, 1e6
	// minCores is the least that a pool counts as, in cores.
	minCores = 1
	// maxWait bounds the waits that are returned.
	maxWait = time.Hour
)

// Weight returns the weight that counts for a configured one, and false if the configured one
// cannot be used as it is: it is missing, zero, negative, no number or huge.
func Weight(configured float64) (float64, bool) {
	switch {
	case math.IsNaN(configured) || configured <= 0:
		return DefaultWeight, false
	case configured < minWeight:
		return minWeight, false
	case configured > maxWeight:
		return maxWeight, false
	}
	return configured, true
}

// Ledger holds how much work of each team a pool has taken. The zero value is ready for use.
type Ledger struct {
	// turn is how far each team that has work has been served, in core-seconds by weight.
	turn float64
	at   time.Duration
	// teams holds the teams with work that is not served at their shares yet, byEnd the same
	// as a heap, and weights the sum of their weights.
	teams   map[string]*account
	byEnd   accounts
	weights float64
}

// account is a team with work.
type account struct {
	team   string
	weight float64
	// end is the turn at which all of its work is served.
	end   float64
	index int
}

// advance lets the pool serve all teams with work at their shares until now.
func (l *Ledger) advance(now time.Duration, cores float64) {
	left := max(now-l.at, 0).Seconds() * max(cores, minCores)
	l.at = max(l.at, now)
	for len(l.byEnd) > 0 {
		first := l.byEnd[0]
		need := max(first.end-l.turn, 0) * l.weights
		if need > left {
			l.turn += left / l.weights
			return
		}
		left -= need
		l.turn = max(l.turn, first.end)
		l.remove(first)
	}
}

// remove removes a team that has no work left.
func (l *Ledger) remove(a *account) {
	heap.Remove(&l.byEnd, a.index)
	delete(l.teams, a.team)
	l.setWeights(l.weights - a.weight)
}

// setWeights sets the sum of the weights; rounding errors end with the last team.
func (l *Ledger) setWeights(sum float64) {
	if len(l.byEnd) == 0 {
		sum = 0
	}
	l.weights = max(sum, 0)
}

// Wait returns after which time all work that was taken of a team is served, if each team with
// work gets its share of a pool with the given cores.
func (l *Ledger) Wait(now time.Duration, team string, weight, cores float64) time.Duration {
	l.advance(now, cores)
	a := l.teams[team]
	if a == nil {
		return 0
	}
	s := (a.end - l.turn) * (l.weights + weight - a.weight) / max(cores, minCores)
	return time.Duration(min(max(s, 0), maxWait.Seconds()) * float64(time.Second))
}

// Charge adds work of a team, in core-seconds, that the pool has taken.
func (l *Ledger) Charge(now time.Duration, team string, weight, cores, work float64) {
	l.advance(now, cores)
	if !(work > 0) || !(weight > 0) {
		return
	}
	a := l.teams[team]
	if a == nil {
		if l.teams == nil {
			l.teams = map[string]*account{}
		}
		a = &account{team: team, end: l.turn}
		l.teams[team] = a
		heap.Push(&l.byEnd, a)
	}
	l.setWeights(l.weights + weight - a.weight)
	a.weight = weight
	a.end += work / weight
	heap.Fix(&l.byEnd, a.index)
}

// Refund takes back work of a team that ended without being done.
func (l *Ledger) Refund(team string, work float64) {
	if a := l.teams[team]; a != nil && work > 0 {
		a.end = max(a.end-work/a.weight, l.turn)
		heap.Fix(&l.byEnd, a.index)
	}
}

// Teams returns how many teams have work that is not served at their shares yet.
func (l *Ledger) Teams() int { return len(l.teams) }

// accounts is a heap of teams, the one that is served first on top.
type accounts []*account

// Len returns the number of teams.
func (a accounts) Len() int { return len(a) }

// Less orders by end, and by name among equals.
func (a accounts) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(a[i].end, a[j].end), cmp.Compare(a[i].team, a[j].team)) < 0
}

// Swap swaps two teams.
func (a accounts) Swap(i, j int) {
	a[i], a[j] = a[j], a[i]
	a[i].index, a[j].index = i, j
}

// Push adds a team.
func (a *accounts) Push(x any) {
	t := x.(*account)
	t.index = len(*a)
	*a = append(*a, t)
}

// Pop removes the last team.
func (a *accounts) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}
