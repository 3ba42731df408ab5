package membership

import (
	"maps"
	"slices"
	"time"

	"jacinthwind/core/event"
)

const (
	// proposeStagger is the delay between the nodes, by rank, before they write a
	// needed assignment, so that they rarely race.
	proposeStagger = 150 * time.Millisecond
	// writeTimeout is how long a node waits for the result of a write before it
	// proposes again.
	writeTimeout = 2 * time.Second
	// writeRetryInterval is the wait between a failed write and the next one.
	writeRetryInterval = 300 * time.Millisecond
	// maxVoters limits how many nodes an owner asks while the store is unreachable.
	maxVoters = 9
	// lockRetryInterval is the wait between two lock requests to the voters.
	lockRetryInterval = time.Second
	// handoverRetryInterval is the wait between a handover that could not freeze its
	// shard and the next handover.
	handoverRetryInterval = 300 * time.Millisecond
	// DefaultSettleTime is how long a member must have been listed before shards
	// move to it for balance.
	DefaultSettleTime = 5 * time.Second
	// rebalanceInterval is the shortest time between two moves for balance.
	rebalanceInterval = 500 * time.Millisecond
)

// Effects holds the outputs of a step of the kernel.
type Effects struct {
	Activations   []Activation
	Deactivations []Shard
	// Write is the assignment to write, nil for none. The write must expect the
	// store revision in its Revision field.
	Write *Assignment
	// Lock means that a lock request must be sent to the voters of the current
	// assignment, so that they make no more promises under it.
	Lock bool
	// Handovers lists the shards whose state must be sent to their next owners.
	Handovers []Handover
	Notes     []event.Note
}

// Activation makes this node the active owner of a shard.
type Activation struct {
	Shard Shard
	Epoch uint64
	// Clean means that the previous owner sent its state to this node.
	Clean bool
	// First means that the shard had no owner before.
	First bool
}

// Handover sends a shard's state to its next owner.
type Handover struct {
	Shard Shard
	// Epoch is the epoch of the next owner.
	Epoch uint64
	To    Member
}

// Kernel is the state machine of one node's membership. Its zero value is a node
// without a lease.
type Kernel struct {
	// SettleTime is how long a member must have been listed before shards move to
	// it for balance; zero means DefaultSettleTime.
	SettleTime time.Duration

	now  time.Time
	self Member
	// ownedUntil is the time until which this node may act as an owner. Renewals of
	// the lease and promises of the voters extend it.
	ownedUntil time.Time
	members    map[string]Member
	// membersRevision is the store revision of the member list.
	membersRevision  int64
	listedSince      map[string]time.Time
	assignment       Assignment
	assignmentLoaded bool
	shards           []Shard
	leaving          bool

	active map[Shard]uint64
	// handovers holds the handovers of shards that this node still owns.
	handovers map[Shard]*pendingHandover
	// changeNeededSince is since when the assignment needs a change that has not
	// been attempted, zero if it needs none.
	changeNeededSince time.Time
	writeInProgress   bool
	writeStartedAt    time.Time
	// nextWriteAt is the earliest time of the next write after a failed one, which
	// leaves time to read the assignment again.
	nextWriteAt     time.Time
	lastRebalanceAt time.Time

	// restoredRevision is the store revision at which this node was listed again.
	restoredRevision int64
	// lockRequest is the latest lock request to the voters.
	lockRequest lockRequest
	// nextHandoverAt is the earliest time of the next handover after one that
	// could not freeze its shard.
	nextHandoverAt time.Time

	effects Effects
}

// LeaseGranted starts a new incarnation of this node.
func (k *Kernel) LeaseGranted(now time.Time, self Member, until time.Time) *Effects {
	k.beginStep(now)
	k.self = self
	k.ownedUntil = until
	k.restoredRevision = 0
	k.addNote(event.LeaseGranted, self.ID, "")
	return k.computeEffects()
}

// LeaseRenewed extends the ownership after a renewal of the lease in the store.
func (k *Kernel) LeaseRenewed(now, until time.Time) *Effects {
	k.beginStep(now)
	if !k.needsRewrite() {
		k.extendOwnership(until)
	}
	return k.computeEffects()
}

// extendOwnership moves the end of the ownership to a later time. An ownership
// that has expired is not extended: the node needs a new ID.
func (k *Kernel) extendOwnership(until time.Time) {
	if k.isOwnershipValid() && until.After(k.ownedUntil) {
		k.ownedUntil = until
	}
}

// LeaseLost ends this incarnation and its ownership of all shards.
func (k *Kernel) LeaseLost(now time.Time) *Effects {
	k.beginStep(now)
	k.ownedUntil = time.Time{}
	k.addNote(event.LeaseLost, k.self.ID, "")
	return k.computeEffects()
}

// MembersChanged replaces the list of nodes that hold a lease, as of a revision
// of the store. It ignores a list that is older than the known one.
func (k *Kernel) MembersChanged(now time.Time, members []Member, revision int64) *Effects {
	k.beginStep(now)
	if revision < k.membersRevision {
		return k.computeEffects()
	}
	k.membersRevision = revision
	listedSince := make(map[string]time.Time, len(members))
	k.members = make(map[string]Member, len(members))
	for _, m := range members {
		k.members[m.ID] = m
		since, known := k.listedSince[m.ID]
		if !known {
			since = now
		}
		listedSince[m.ID] = since
	}
	k.listedSince = listedSince
	return k.computeEffects()
}

// AssignmentChanged replaces the assignment with the one in the store. It ignores
// one that is not newer than the known one.
func (k *Kernel) AssignmentChanged(now time.Time, a Assignment) *Effects {
	k.beginStep(now)
	if k.assignmentLoaded && a.Revision <= k.assignment.Revision {
		return k.computeEffects()
	}
	k.assignment = a
	k.assignmentLoaded = true
	k.writeInProgress = false
	return k.computeEffects()
}

// ShardsChanged replaces the pools and teams of the configuration.
func (k *Kernel) ShardsChanged(now time.Time, shards []Shard) *Effects {
	k.beginStep(now)
	k.shards = slices.Clone(shards)
	slices.SortFunc(k.shards, compareShards)
	return k.computeEffects()
}

// Tick makes the decisions that depend on the time.
func (k *Kernel) Tick(now time.Time) *Effects {
	k.beginStep(now)
	return k.computeEffects()
}

// OwnedUntil returns the time until which this node may act as an owner.
func (k *Kernel) OwnedUntil() time.Time {
	return k.ownedUntil
}

// Assignment returns the latest known assignment.
func (k *Kernel) Assignment() Assignment {
	return k.assignment
}

// Members returns the members by ID.
func (k *Kernel) Members() map[string]Member {
	return k.members
}

// MembersRevision returns the store revision of the member list.
func (k *Kernel) MembersRevision() int64 {
	return k.membersRevision
}

// OwnsNothing reports whether this node owns no shard.
func (k *Kernel) OwnsNothing() bool {
	return len(k.active) == 0
}

// beginStep clears the effects of the previous step and advances the clock.
func (k *Kernel) beginStep(now time.Time) {
	k.effects = Effects{}
	if now.After(k.now) {
		k.now = now
	}
	if k.active == nil {
		k.active = make(map[Shard]uint64)
		k.handovers = make(map[Shard]*pendingHandover)
	}
}

// isOwnershipValid reports whether this node may act as an owner now.
func (k *Kernel) isOwnershipValid() bool {
	return k.now.Before(k.ownedUntil)
}

// computeEffects makes all decisions that the state calls for and returns their
// effects.
func (k *Kernel) computeEffects() *Effects {
	k.syncActiveShards()
	if k.isOwnershipValid() && k.assignmentLoaded {
		k.startHandovers()
		k.proposeAssignment()
	}
	return &k.effects
}

// syncActiveShards activates and deactivates shards as the assignment says.
func (k *Kernel) syncActiveShards() {
	for _, s := range slices.SortedFunc(maps.Keys(k.active), compareShards) {
		owner := k.assignment.Shards[s]
		if k.isOwnershipValid() && owner.Node == k.self.ID && owner.Epoch == k.active[s] {
			continue
		}
		delete(k.active, s)
		delete(k.handovers, s)
		k.effects.Deactivations = append(k.effects.Deactivations, s)
	}
	if !k.isOwnershipValid() || !k.assignmentLoaded {
		return
	}
	for _, s := range k.shards {
		k.activateShard(s)
	}
}

// activateShard activates a shard that the assignment gives to this node.
func (k *Kernel) activateShard(s Shard) {
	owner, assigned := k.assignment.Shards[s]
	if !assigned || owner.Node != k.self.ID {
		return
	}
	if _, active := k.active[s]; active {
		return
	}
	k.active[s] = owner.Epoch
	k.effects.Activations = append(k.effects.Activations, Activation{
		Shard: s, Epoch: owner.Epoch, Clean: owner.Clean, First: owner.Epoch == 1,
	})
}

func (k *Kernel) addNote(n event.Number, subject, detail string) {
	k.effects.Notes = append(k.effects.Notes, event.Note{Number: n, Subject: subject, Detail: detail})
}
