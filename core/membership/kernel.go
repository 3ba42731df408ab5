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

const (
	// proposeStagger is the head start of each node over the next one when an
	// assignment has to be written.
	proposeStagger = 150 * time.Millisecond
	// writeTimeout is how long the result of a write is awaited before the
	// record is read again.
	writeTimeout = 2 * time.Second
	// writeRetryWait is the time between a write that failed and the next one.
	writeRetryWait = 300 * time.Millisecond
	// maxVoters bounds the nodes that an owner asks during an outage.
	maxVoters = 9
	// lockRetryWait is the time between two questions to the voters.
	lockRetryWait = time.Second
	// handoverRetryWait is the time between a handover that did not begin and
	// the next one.
	handoverRetryWait = 300 * time.Millisecond
	// DefaultSettleTime is how long a member must have been listed before
	// shards are moved to it.
	DefaultSettleTime = 5 * time.Second
	// moveInterval is the time between two moves for balance.
	moveInterval = 500 * time.Millisecond
)

// Effects are the outputs of a step.
type Effects struct {
	Activate   []Activate
	Deactivate []Shard
	// Write is the assignment to write, nil for none; its Revision is the one
	// that the write expects.
	Write *Assignment
	// Lock asks the voters of the present assignment to let no owner go on
	// without the store.
	Lock bool
	// Handovers are the shards whose state is to be sent to their next owner.
	Handovers []Handover
	Notes     []event.Note
}

// Activate makes this node decide on a shard.
type Activate struct {
	Shard Shard
	Epoch uint64
	// Clean means that the predecessor's state was sent to this node.
	Clean bool
	// First means that the shard never had an owner.
	First bool
}

// Handover sends a shard's state to its next owner.
type Handover struct {
	Shard Shard
	// Epoch is the one under which the next owner will act.
	Epoch uint64
	To    Member
}

// Kernel is the state machine of one node's membership; its zero value is a
// node without lease.
type Kernel struct {
	// SettleTime is how long a member must have been listed before shards move
	// to it, DefaultSettleTime where zero.
	SettleTime time.Duration

	now        time.Time
	self       Member
	leaseUntil time.Time
	members    map[string]Member
	// membersRevision is the store revision at which members is known.
	membersRevision int64
	joinedAt        map[string]time.Time
	assignment      Assignment
	loaded          bool
	shards          []Shard
	leaving         bool

	active map[Shard]uint64
	// handing holds the handovers in progress; sent is true once the next
	// owner has the state.
	handing map[Shard]*handing
	// wantedAt is since when the assignment needs a change.
	wantedAt time.Time
	writing  bool
	writeAt  time.Time
	// writeAfter keeps a node from writing again before it has read the record.
	writeAfter time.Time
	movedAt    time.Time

	// restoredAt is the store revision at which this node was listed again.
	restoredAt int64
	// lock is the progress of a proposal.
	lock lock
	// handAfter keeps a node from repeating a handover that failed at once.
	handAfter time.Time

	effects Effects
}

// lock says how far the voters have been asked about a revision.
type lock struct {
	revision int64
	asked    bool
	askedAt  time.Time
	// until is when the promises of the voters have ended, set once a majority
	// gives no more of them.
	until  time.Time
	gained bool
}

type handing struct {
	Handover
	sent bool
}

// LeaseGranted starts a new incarnation of this node.
func (k *Kernel) LeaseGranted(now time.Time, self Member, until time.Time) *Effects {
	k.begin(now)
	k.self = self
	k.leaseUntil = until
	k.restoredAt = 0
	k.note(event.LeaseGranted, self.ID, "")
	return k.decide()
}

// LeaseRenewed extends the ownership by a renewal of the lease in the store.
func (k *Kernel) LeaseRenewed(now, until time.Time) *Effects {
	k.begin(now)
	if !k.needsTouch() {
		k.extend(until)
	}
	return k.decide()
}

// Promised extends the ownership by the promises of a majority of the voters.
func (k *Kernel) Promised(now, until time.Time) *Effects {
	k.begin(now)
	k.extend(until)
	return k.decide()
}

// extend moves the end of the ownership; one that has run out does not come
// back under the same id.
func (k *Kernel) extend(until time.Time) {
	if k.hasLease() && until.After(k.leaseUntil) {
		k.leaseUntil = until
	}
}

// Restored tells that this node was listed again under its id, at a revision of
// the store, after its lease had lapsed while it went on by promises. Another
// node may have read the list without it, so that the lease counts only once an
// assignment was written that only a reader of the present list can replace.
func (k *Kernel) Restored(now time.Time, revision int64) *Effects {
	k.begin(now)
	k.restoredAt = revision
	return k.decide()
}

func (k *Kernel) needsTouch() bool {
	return k.assignment.Revision < k.restoredAt
}

// LeaseLost ends this incarnation and everything it owns.
func (k *Kernel) LeaseLost(now time.Time) *Effects {
	k.begin(now)
	k.leaseUntil = time.Time{}
	k.note(event.LeaseLost, k.self.ID, "")
	return k.decide()
}

// MembersChanged takes the nodes that hold a lease at a revision of the store;
// an older list is ignored.
func (k *Kernel) MembersChanged(now time.Time, members []Member, revision int64) *Effects {
	k.begin(now)
	if revision < k.membersRevision {
		return k.decide()
	}
	k.membersRevision = revision
	joined := make(map[string]time.Time, len(members))
	k.members = make(map[string]Member, len(members))
	for _, m := range members {
		k.members[m.ID] = m
		since, known := k.joinedAt[m.ID]
		if !known {
			since = now
		}
		joined[m.ID] = since
	}
	k.joinedAt = joined
	return k.decide()
}

// AssignmentChanged takes the record from the store; an older one is ignored.
func (k *Kernel) AssignmentChanged(now time.Time, a Assignment) *Effects {
	k.begin(now)
	if k.loaded && a.Revision <= k.assignment.Revision {
		return k.decide()
	}
	k.assignment = a
	k.loaded = true
	k.writing = false
	return k.decide()
}

// ShardsChanged takes the pools and teams of the configuration.
func (k *Kernel) ShardsChanged(now time.Time, shards []Shard) *Effects {
	k.begin(now)
	k.shards = slices.Clone(shards)
	slices.SortFunc(k.shards, compareShards)
	return k.decide()
}

// WriteFailed tells that a write lost a race or has no known result; the
// record has to be read again before the next one.
func (k *Kernel) WriteFailed(now time.Time) *Effects {
	k.begin(now)
	k.writing = false
	k.wantedAt = time.Time{}
	k.writeAfter = k.now.Add(writeRetryWait)
	k.note(event.AssignmentLost, k.self.ID, "")
	return k.decide()
}

// HandoverResult says how far a handover came.
type HandoverResult uint8

// The results of a handover.
const (
	// HandoverNotFrozen means that the shard may still be acted upon here.
	HandoverNotFrozen HandoverResult = iota
	// HandoverLost means that the shard is frozen and the next owner has to
	// recover without its state.
	HandoverLost
	// HandoverDone means that the next owner has the state.
	HandoverDone
)

// HandoverEnded tells how far the handover of a shard came.
func (k *Kernel) HandoverEnded(now time.Time, s Shard, result HandoverResult) *Effects {
	k.begin(now)
	h, found := k.handing[s]
	if !found {
		return k.decide()
	}
	if result != HandoverDone {
		k.note(event.HandoverFailed, s.String(), h.To.ID)
	}
	switch result {
	case HandoverNotFrozen:
		delete(k.handing, s)
		k.handAfter = k.now.Add(handoverRetryWait)
	case HandoverLost:
		h.sent = true
		h.To = Member{}
	case HandoverDone:
		h.sent = true
	}
	return k.decide()
}

// Leave hands over everything that this node owns.
func (k *Kernel) Leave(now time.Time) *Effects {
	k.begin(now)
	k.leaving = true
	return k.decide()
}

// Tick lets time-driven decisions happen.
func (k *Kernel) Tick(now time.Time) *Effects {
	k.begin(now)
	return k.decide()
}

// OwnedUntil is the time up to which this node may act as an owner.
func (k *Kernel) OwnedUntil() time.Time {
	return k.leaseUntil
}

// Assignment returns the latest known record.
func (k *Kernel) Assignment() Assignment {
	return k.assignment
}

// Members returns the listed nodes by id.
func (k *Kernel) Members() map[string]Member {
	return k.members
}

// MembersRevision is the store revision at which the members are known.
func (k *Kernel) MembersRevision() int64 {
	return k.membersRevision
}

// IsEmpty reports whether this node owns nothing.
func (k *Kernel) IsEmpty() bool {
	return len(k.active) == 0
}

func (k *Kernel) begin(now time.Time) {
	k.effects = Effects{}
	if now.After(k.now) {
		k.now = now
	}
	if k.active == nil {
		k.active = make(map[Shard]uint64)
		k.handing = make(map[Shard]*handing)
	}
}

func (k *Kernel) hasLease() bool {
	return k.now.Before(k.leaseUntil)
}

func (k *Kernel) decide() *Effects {
	k.followAssignment()
	if k.hasLease() && k.loaded {
		k.handOver()
		k.propose()
	}
	return &k.effects
}

// followAssignment starts and stops deciding on shards as the record says.
func (k *Kernel) followAssignment() {
	for _, s := range slices.SortedFunc(maps.Keys(k.active), compareShards) {
		owner := k.assignment.Shards[s]
		if k.hasLease() && owner.Node == k.self.ID && owner.Epoch == k.active[s] {
			continue
		}
		delete(k.active, s)
		delete(k.handing, s)
		k.effects.Deactivate = append(k.effects.Deactivate, s)
	}
	if !k.hasLease() || !k.loaded {
		return
	}
	for _, s := range k.shards {
		k.followShard(s)
	}
}

func (k *Kernel) followShard(s Shard) {
	owner, assigned := k.assignment.Shards[s]
	if !assigned || owner.Node != k.self.ID {
		return
	}
	if _, active := k.active[s]; active {
		return
	}
	k.active[s] = owner.Epoch
	k.effects.Activate = append(k.effects.Activate, Activate{
		Shard: s, Epoch: owner.Epoch, Clean: owner.Clean, First: owner.Epoch == 1,
	})
}

// handOver starts the handovers that leaving or balance ask for.
func (k *Kernel) handOver() {
	if k.now.Before(k.handAfter) {
		return
	}
	if k.leaving {
		for _, s := range slices.SortedFunc(maps.Keys(k.active), compareShards) {
			k.startHandover(s)
		}
		return
	}
	if len(k.handing) > 0 || k.now.Sub(k.movedAt) < moveInterval {
		return
	}
	if s, ok := k.excessShard(); ok {
		k.movedAt = k.now
		k.startHandover(s)
	}
}

func (k *Kernel) startHandover(s Shard) {
	if _, started := k.handing[s]; started {
		return
	}
	to, ok := k.choose(s, k.candidates())
	if !ok {
		return
	}
	h := &handing{Handover: Handover{Shard: s, Epoch: k.active[s] + 1, To: to}}
	k.handing[s] = h
	k.effects.Handovers = append(k.effects.Handovers, h.Handover)
}

// excessShard returns a shard of this node that belongs to a settled member
// which owns less than its part, while this node owns more than its own.
// Moving only what is in excess keeps ownership where it is otherwise.
func (k *Kernel) excessShard() (Shard, bool) {
	settled := k.settledMembers()
	if len(settled) < 2 {
		return Shard{}, false
	}
	owned := k.ownedCounts()
	total := len(k.shards)
	ceiling := (total + len(settled) - 1) / len(settled)
	if owned[k.self.ID] <= ceiling {
		return Shard{}, false
	}
	for _, s := range slices.SortedFunc(maps.Keys(k.active), compareShards) {
		to, ok := k.choose(s, settled)
		if ok && to.ID != k.self.ID && owned[to.ID] < ceiling {
			return s, true
		}
	}
	return Shard{}, false
}

func (k *Kernel) settledMembers() []Member {
	settle := k.SettleTime
	if settle == 0 {
		settle = DefaultSettleTime
	}
	var settled []Member
	for _, m := range k.candidates() {
		if m.ID == k.self.ID || k.now.Sub(k.joinedAt[m.ID]) >= settle {
			settled = append(settled, m)
		}
	}
	return settled
}

func (k *Kernel) ownedCounts() map[string]int {
	counts := make(map[string]int)
	for _, s := range k.shards {
		counts[k.assignment.Shards[s].Node]++
	}
	return counts
}

// propose writes the assignment when a shard has no living owner or a
// handover has been sent.
func (k *Kernel) propose() {
	if k.writing {
		if k.now.Sub(k.writeAt) < writeTimeout {
			return
		}
		k.writing = false
	}
	if k.now.Before(k.writeAfter) {
		return
	}
	if k.needsTouch() {
		touch := k.handedOverOnly()
		k.write(&touch.next)
		return
	}
	// A list from before the record was written may lack its owners.
	if k.membersRevision < k.assignment.Revision {
		return
	}
	p := k.nextAssignment()
	if !p.isNeeded() && !k.owesWrite() {
		k.wantedAt = time.Time{}
		return
	}
	if k.wantedAt.IsZero() {
		k.wantedAt = k.now
	}
	if !p.handedOver && k.now.Sub(k.wantedAt) < time.Duration(k.rank())*proposeStagger {
		return
	}
	if (p.needsLock() || k.owesWrite()) && !k.holdsLock() {
		k.askForLock()
		if !p.handedOver {
			return
		}
		// What was handed over needs nobody's consent.
		p = k.handedOverOnly()
	}
	k.write(&p.next)
}

func (k *Kernel) write(next *Assignment) {
	k.writing = true
	k.writeAt = k.now
	k.wantedAt = time.Time{}
	k.effects.Write = next
	k.note(event.AssignmentWritten, k.self.ID, fmt.Sprintf("after revision %d", next.Revision))
}

// proposal is the record that should follow the present one.
type proposal struct {
	next Assignment
	// handedOver means that it names the next owners of what this node handed
	// over.
	handedOver bool
	// deposes means that it takes shards from owners that are gone.
	deposes bool
	// revotes means that it has other voters.
	revotes bool
}

func (p *proposal) isNeeded() bool {
	return p.handedOver || p.deposes || p.revotes
}

// needsLock reports whether an owner may rely on a majority that the proposal
// takes away.
func (p *proposal) needsLock() bool {
	return p.deposes || p.revotes
}

// nextAssignment returns the record that should follow the present one.
func (k *Kernel) nextAssignment() proposal {
	p := k.handedOverOnly()
	for _, s := range k.shards {
		owner := p.next.Shards[s]
		if _, handing := k.handing[s]; handing {
			continue
		}
		if _, alive := k.members[owner.Node]; alive {
			continue
		}
		to, ok := k.choose(s, k.candidates())
		if !ok {
			continue
		}
		p.next.Shards[s] = Owner{Node: to.ID, Epoch: owner.Epoch + 1}
		p.deposes = true
	}
	voters := k.voters()
	p.revotes = !maps.Equal(voters, p.next.Voters)
	p.next.Voters = voters
	return p
}

// handedOverOnly returns the record with the handovers that have been sent.
func (k *Kernel) handedOverOnly() proposal {
	p := proposal{next: k.assignment.Clone()}
	for _, s := range k.shards {
		if h, ok := k.handing[s]; ok && h.sent {
			owner := p.next.Shards[s]
			p.next.Shards[s] = k.successor(s, owner, h)
			p.handedOver = p.handedOver || p.next.Shards[s] != owner
		}
	}
	return p
}

// voters returns the nodes that should decide by majority: the present ones
// that are listed, filled up from the data centres with the fewest.
func (k *Kernel) voters() map[string]string {
	voters := make(map[string]string, maxVoters)
	perDataCentre := make(map[string]int)
	var others []Member
	for _, m := range k.sortedMembers() {
		if _, votes := k.assignment.Voters[m.ID]; !votes {
			others = append(others, m)
			continue
		}
		voters[m.ID] = m.Address
		perDataCentre[m.DataCentre]++
	}
	for len(voters) < maxVoters && len(others) > 0 {
		i := fewest(others, perDataCentre)
		m := others[i]
		others = slices.Delete(others, i, i+1)
		voters[m.ID] = m.Address
		perDataCentre[m.DataCentre]++
	}
	return voters
}

// fewest returns the index of the first member in the data centre with the
// smallest count.
func fewest(members []Member, perDataCentre map[string]int) int {
	best := 0
	for i, m := range members {
		if perDataCentre[m.DataCentre] < perDataCentre[members[best].DataCentre] {
			best = i
		}
	}
	return best
}

// askForLock asks the voters once, and again after some time without success.
func (k *Kernel) askForLock() {
	if k.owesWrite() && (k.lock.gained || k.now.Sub(k.lock.askedAt) < lockRetryWait) {
		return
	}
	k.lock = lock{revision: k.assignment.Revision, asked: true, askedAt: k.now}
	k.effects.Lock = true
}

// owesWrite reports whether voters were asked to lock the present assignment:
// only a new one lets them give promises again.
func (k *Kernel) owesWrite() bool {
	return k.lock.asked && k.lock.revision == k.assignment.Revision
}

// holdsLock reports whether no owner goes on by the voters' promises.
func (k *Kernel) holdsLock() bool {
	if len(k.assignment.Voters) == 0 {
		return true
	}
	return k.lock.gained && k.lock.revision == k.assignment.Revision && !k.now.Before(k.lock.until)
}

// LocksGathered takes the answers of the voters of an assignment: how many give
// no more promises, and until when the latest one lasts.
func (k *Kernel) LocksGathered(now time.Time, revision int64, granted int, until time.Time) *Effects {
	k.begin(now)
	if revision == k.lock.revision && revision == k.assignment.Revision && k.assignment.IsMajority(granted) {
		k.lock.gained = true
		k.lock.until = until
	}
	return k.decide()
}

// successor is the owner after a handover, the present one where there is no
// other.
func (k *Kernel) successor(s Shard, owner Owner, h *handing) Owner {
	if _, alive := k.members[h.To.ID]; alive {
		return Owner{Node: h.To.ID, Epoch: owner.Epoch + 1, Clean: true}
	}
	to, ok := k.choose(s, k.candidates())
	if !ok {
		return owner
	}
	return Owner{Node: to.ID, Epoch: owner.Epoch + 1}
}

// candidates are the members that may become owners.
func (k *Kernel) candidates() []Member {
	return slices.DeleteFunc(k.sortedMembers(), func(m Member) bool {
		return m.Leaving || (k.leaving && m.ID == k.self.ID)
	})
}

func (k *Kernel) sortedMembers() []Member {
	ids := slices.Sorted(maps.Keys(k.members))
	members := make([]Member, len(ids))
	for i, id := range ids {
		members[i] = k.members[id]
	}
	return members
}

// choose returns the member that rendezvous hashing gives a shard to.
func (k *Kernel) choose(s Shard, members []Member) (Member, bool) {
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

// rank is the position of this node among the members in the order of ids.
func (k *Kernel) rank() int {
	return max(0, slices.IndexFunc(k.sortedMembers(), func(m Member) bool { return m.ID == k.self.ID }))
}

func (k *Kernel) note(n event.Number, subject, detail string) {
	k.effects.Notes = append(k.effects.Notes, event.Note{Number: n, Subject: subject, Detail: detail})
}
