package membership

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"jacinthwind/core/event"
)

// WriteFailed records that a write lost a race or has an unknown result; the
// assignment has to be read again before the next write.
func (k *Kernel) WriteFailed(now time.Time) *Effects {
	k.beginStep(now)
	k.writeInProgress = false
	k.changeNeededSince = time.Time{}
	k.nextWriteAt = k.now.Add(writeRetryInterval)
	k.addNote(event.AssignmentLost, k.self.ID, "")
	return k.computeEffects()
}

// proposeAssignment writes a new assignment if a shard has no live owner, a
// handover needs its next owner, or the voters have changed. It also writes one
// after this node was restored or has requested a lock.
func (k *Kernel) proposeAssignment() {
	if k.writeInProgress {
		if k.now.Sub(k.writeStartedAt) < writeTimeout {
			return
		}
		k.writeInProgress = false
	}
	if k.now.Before(k.nextWriteAt) {
		return
	}
	if k.needsRewrite() {
		rewrite := k.buildHandoverProposal()
		k.writeAssignment(&rewrite.next)
		return
	}
	// A member list that is older than the assignment may lack its owners.
	if k.membersRevision < k.assignment.Revision {
		return
	}
	p := k.buildProposal()
	if !p.isNeeded() && !k.hasRequestedLock() {
		k.changeNeededSince = time.Time{}
		return
	}
	if k.changeNeededSince.IsZero() {
		k.changeNeededSince = k.now
	}
	if !p.completesHandover && k.now.Sub(k.changeNeededSince) < time.Duration(k.computeRank())*proposeStagger {
		return
	}
	if (p.needsLock() || k.hasRequestedLock()) && !k.hasLock() {
		k.requestLock()
		if !p.completesHandover {
			return
		}
		// The next owners of this node's own shards need no lock.
		p = k.buildHandoverProposal()
	}
	k.writeAssignment(&p.next)
}

// writeAssignment requests a write of the next assignment.
func (k *Kernel) writeAssignment(next *Assignment) {
	k.writeInProgress = true
	k.writeStartedAt = k.now
	k.changeNeededSince = time.Time{}
	k.effects.Write = next
	k.addNote(event.AssignmentWritten, k.self.ID, fmt.Sprintf("after revision %d", next.Revision))
}

// proposal is an assignment that should follow the current one, with the reasons
// for it.
type proposal struct {
	next Assignment
	// completesHandover means that it names the next owners of shards that this
	// node handed over.
	completesHandover bool
	// replacesOwners means that it replaces owners that are no longer members.
	replacesOwners bool
	// changesVoters means that it has different voters.
	changesVoters bool
}

func (p *proposal) isNeeded() bool {
	return p.completesHandover || p.replacesOwners || p.changesVoters
}

// needsLock reports whether a node may rely on promises under the current
// assignment that the proposal makes invalid.
func (p *proposal) needsLock() bool {
	return p.replacesOwners || p.changesVoters
}

// buildProposal returns the assignment that should follow the current one.
func (k *Kernel) buildProposal() proposal {
	p := k.buildHandoverProposal()
	for _, s := range k.shards {
		owner := p.next.Shards[s]
		if _, pending := k.handovers[s]; pending {
			continue
		}
		if _, alive := k.members[owner.Node]; alive {
			continue
		}
		to, ok := k.chooseOwner(s, k.listCandidates())
		if !ok {
			continue
		}
		p.next.Shards[s] = Owner{Node: to.ID, Epoch: owner.Epoch + 1}
		p.replacesOwners = true
	}
	voters := k.selectVoters()
	p.changesVoters = !maps.Equal(voters, p.next.Voters)
	p.next.Voters = voters
	return p
}

// buildHandoverProposal returns the current assignment with the next owners of
// the shards that this node has frozen for a handover.
func (k *Kernel) buildHandoverProposal() proposal {
	p := proposal{next: k.assignment.Clone()}
	for _, s := range k.shards {
		if h, ok := k.handovers[s]; ok && h.frozen {
			owner := p.next.Shards[s]
			p.next.Shards[s] = k.chooseSuccessor(s, owner, h)
			p.completesHandover = p.completesHandover || p.next.Shards[s] != owner
		}
	}
	return p
}

// listCandidates returns the members that may become owners.
func (k *Kernel) listCandidates() []Member {
	return slices.DeleteFunc(k.listMembers(), func(m Member) bool {
		return m.Leaving || (k.leaving && m.ID == k.self.ID)
	})
}

// listMembers returns the members, sorted by ID.
func (k *Kernel) listMembers() []Member {
	ids := slices.Sorted(maps.Keys(k.members))
	members := make([]Member, len(ids))
	for i, id := range ids {
		members[i] = k.members[id]
	}
	return members
}

// chooseOwner returns the member to which rendezvous hashing assigns a shard.
func (k *Kernel) chooseOwner(s Shard, members []Member) (Member, bool) {
	if len(members) == 0 {
		return Member{}, false
	}
	ids := make([]string, len(members))
	for i, m := range members {
		ids[i] = m.ID
	}
	id := rendezvous.New(ids, xxhash.Sum64String).Lookup(s.String())
	i := slices.Index(ids, id)
	return members[i], true
}

// computeRank returns the position of this node among the members by ID.
func (k *Kernel) computeRank() int {
	return max(0, slices.IndexFunc(k.listMembers(), func(m Member) bool { return m.ID == k.self.ID }))
}
