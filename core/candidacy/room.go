package candidacy

import "time"

const (
	// linkPerCore is how many Mbit/s of the link go with a core of an owner: its orders, reports
	// and answers to callers. A smaller link limits it as a smaller processor does.
	linkPerCore = 50
	// better is by which factor another VM must have more room to be waited for. It keeps
	// VMs of the same kind from waiting for each other, and a handover from ever going back.
	better = 1.5
	// maxClaimDelay is how long a VM with next to no room leaves the claim to one with more. In
	// that time a VM in touch with a slow store has claimed; all calls of callers wait meanwhile.
	maxClaimDelay = 700 * time.Millisecond
	// minReady is how long a VM with more room must have been listed before an owner hands
	// over to it: it may just have started, or be on its way out.
	minReady = 2 * time.Second
	// minTenure is the shortest ownership before a handover for want of room: the recovery
	// and the first decisions are done, and the pools are in order.
	minTenure = 2 * time.Second
	// minPause is the shortest time between two handovers for want of room of one VM. If the
	// others cannot claim, owners do not change all the time.
	minPause = 15 * time.Second
)

// Room is what a VM has for an owner. A zero value of a field means that it is not limited or
// not known.
type Room struct {
	// Cores is the processor time that it may use, in cores.
	Cores float64 `json:"cores,omitempty"`
	// LinkMbps is the rate of its link in Mbit/s.
	LinkMbps float64 `json:"link_mbps,omitempty"`
}

// size returns the room in cores, zero if nothing is known.
func (r Room) size() float64 {
	if r.LinkMbps > 0 && (r.Cores <= 0 || r.LinkMbps/linkPerCore < r.Cores) {
		return r.LinkMbps / linkPerCore
	}
	return max(r.Cores, 0)
}

// slowSpeed is the share of its usual speed below which a VM counts as slowed. A VM that is busy
// with its own work also computes more slowly.
const slowSpeed = 0.5

// Slowed returns the room of a VM that computes at a share of its usual speed.
func (r Room) Slowed(speed float64) Room {
	if speed > 0 && speed < slowSpeed {
		r.Cores *= speed
	}
	return r
}

// isBetter reports whether another VM has clearly more room. Nothing is better than an unknown
// room, and an unknown one than nothing.
func (r Room) isBetter(than Room) bool {
	return than.size() > 0 && r.size() > than.size()*better
}

// ClaimDelay returns how long a VM leaves the claim to the other live VMs that have clearly more
// room, zero if there is none.
func ClaimDelay(own Room, others map[string]Room) time.Duration {
	var best Room
	for _, r := range others {
		if r.isBetter(own) && r.size() > best.size() {
			best = r
		}
	}
	if best.size() == 0 {
		return 0
	}
	return time.Duration(float64(maxClaimDelay) * (1 - own.size()/best.size()))
}

// Tenure decides for one VM when it hands over the pools. The zero value is ready for use.
type Tenure struct {
	// others holds the other live VMs, with since when each has been listed without pause.
	others map[string]listed
	// yieldedAt is when this VM last handed over for want of room.
	yieldedAt  time.Duration
	hasYielded bool
}

// listed is a VM that is listed since a time.
type listed struct {
	Room
	since time.Duration
}

// Observe takes over the rooms of the other live VMs.
func (t *Tenure) Observe(now time.Duration, others map[string]Room) {
	current := make(map[string]listed, len(others))
	for name, r := range others {
		since := now
		if known, ok := t.others[name]; ok {
			since = known.since
		}
		current[name] = listed{r, since}
	}
	t.others = current
}

// ShouldYield reports whether an owner since ownedSince with the given room should hand over now, since a VM with clearly more room is ready. It counts the answer as a handover.
func (t *Tenure) ShouldYield(now, ownedSince time.Duration, own Room) bool {
	if now < ownedSince+minTenure || (t.hasYielded && now < t.yieldedAt+minPause) {
		return false
	}
	for _, other := range t.others {
		if other.isBetter(own) && now >= other.since+minReady {
			t.yieldedAt, t.hasYielded = now, true
			return true
		}
	}
	return false
}
