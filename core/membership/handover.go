package membership

import (
	"maps"
	"slices"
	"time"

	"jacinthwind/core/event"
)

// pendingHandover is a handover that the assignment does not show yet.
type pendingHandover struct {
	Handover
	// frozen means that this node no longer acts on the shard, so that the
	// assignment may name the next owner.
	frozen bool
}

// HandoverResult is the result of a handover.
type HandoverResult uint8

// The results of a handover.
const (
	// HandoverNotFrozen means that this node may still act on the shard.
	HandoverNotFrozen HandoverResult = iota
	// HandoverLost means that the shard is frozen, and the next owner may have to
	// recover without its state.
	HandoverLost
	// HandoverDone means that the next owner has the state.
	HandoverDone
)

// HandoverEnded processes the result of the handover of a shard.
func (k *Kernel) HandoverEnded(now time.Time, s Shard, result HandoverResult) *Effects {
	k.beginStep(now)
	h, found := k.handovers[s]
	if !found {
		return k.computeEffects()
	}
	if result != HandoverDone {
		k.addNote(event.HandoverFailed, s.String(), h.To.ID)
	}
	switch result {
	case HandoverNotFrozen:
		delete(k.handovers, s)
		k.nextHandoverAt = k.now.Add(handoverRetryInterval)
	case HandoverLost:
		h.frozen = true
		h.To = Member{}
	case HandoverDone:
		h.frozen = true
	}
	return k.computeEffects()
}

// Leave makes this node hand over all its shards.
func (k *Kernel) Leave(now time.Time) *Effects {
	k.beginStep(now)
	k.leaving = true
	return k.computeEffects()
}

// startHandovers starts the handovers that are needed to leave or to rebalance.
func (k *Kernel) startHandovers() {
	if k.now.Before(k.nextHandoverAt) {
		return
	}
	if k.leaving {
		for _, s := range slices.SortedFunc(maps.Keys(k.active), compareShards) {
			k.startHandover(s)
		}
		return
	}
	if len(k.handovers) > 0 || k.now.Sub(k.lastRebalanceAt) < rebalanceInterval {
		return
	}
	if s, ok := k.findExcessShard(); ok {
		k.lastRebalanceAt = k.now
		k.startHandover(s)
	}
}

// startHandover starts the handover of a shard unless it has started or there is
// no candidate.
func (k *Kernel) startHandover(s Shard) {
	if _, started := k.handovers[s]; started {
		return
	}
	to, ok := k.chooseOwner(s, k.listCandidates())
	if !ok {
		return
	}
	h := &pendingHandover{Handover: Handover{Shard: s, Epoch: k.active[s] + 1, To: to}}
	k.handovers[s] = h
	k.effects.Handovers = append(k.effects.Handovers, h.Handover)
}

// findExcessShard returns a shard to move for balance: this node owns more than
// an even part of the shards, and rendezvous hashing assigns the shard to a
// settled member that owns less. Shards that are not in excess stay with their
// owners.
func (k *Kernel) findExcessShard() (Shard, bool) {
	settled := k.listSettledMembers()
	if len(settled) < 2 {
		return Shard{}, false
	}
	owned := k.countOwnedShards()
	total := len(k.shards)
	maxOwned := (total + len(settled) - 1) / len(settled)
	if owned[k.self.ID] <= maxOwned {
		return Shard{}, false
	}
	for _, s := range slices.SortedFunc(maps.Keys(k.active), compareShards) {
		to, ok := k.chooseOwner(s, settled)
		if ok && to.ID != k.self.ID && owned[to.ID] < maxOwned {
			return s, true
		}
	}
	return Shard{}, false
}

// listSettledMembers returns this node and the candidates that have been listed
// for the settle time.
func (k *Kernel) listSettledMembers() []Member {
	settleTime := k.SettleTime
	if settleTime == 0 {
		settleTime = DefaultSettleTime
	}
	var settled []Member
	for _, m := range k.listCandidates() {
		if m.ID == k.self.ID || k.now.Sub(k.listedSince[m.ID]) >= settleTime {
			settled = append(settled, m)
		}
	}
	return settled
}

// countOwnedShards returns the number of shards of each owner by its ID.
func (k *Kernel) countOwnedShards() map[string]int {
	counts := make(map[string]int)
	for _, s := range k.shards {
		counts[k.assignment.Shards[s].Node]++
	}
	return counts
}

// chooseSuccessor returns the owner after a handover, or the current one if there
// is no other candidate.
func (k *Kernel) chooseSuccessor(s Shard, owner Owner, h *pendingHandover) Owner {
	if _, alive := k.members[h.To.ID]; alive {
		return Owner{Node: h.To.ID, Epoch: owner.Epoch + 1, Clean: true}
	}
	to, ok := k.chooseOwner(s, k.listCandidates())
	if !ok {
		return owner
	}
	return Owner{Node: to.ID, Epoch: owner.Epoch + 1}
}
