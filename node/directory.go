package node

import (
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"jacinthwind/core/membership"
)

// directory is an immutable snapshot of the members and the assignment, and of
// the actors that this node runs.
type directory struct {
	self       membership.Member
	assignment membership.Assignment
	members    map[string]membership.Member
	// membersRevision is the store revision that members reflects.
	membersRevision int64
	// pools and teams hold the actors of the shards that this node owns.
	pools map[string]ownedActor
	teams map[string]ownedActor
	// retired holds the actors of pools that this node owned before and that may
	// still have attempts in flight.
	retired []*actor.PID
	// ownedUntil is the time at which the ownership of all shards expires.
	ownedUntil time.Time
}

// ownedActor is the actor of a shard and the epoch of its ownership.
type ownedActor struct {
	pid   *actor.PID
	epoch uint64
}

// findOwner returns the owner of a shard and its member record. It reports whether
// the owner is a live member.
func (d *directory) findOwner(s membership.Shard) (membership.Owner, membership.Member, bool) {
	o, ok := d.assignment.Shards[s]
	if !ok {
		return o, membership.Member{}, false
	}
	m, alive := d.members[o.Node]
	return o, m, alive
}

// newPoolShard returns the shard of a pool.
func newPoolShard(name string) membership.Shard {
	return membership.Shard{Kind: membership.KindPool, Name: name}
}

// newTeamShard returns the shard of a team's limit.
func newTeamShard(name string) membership.Shard {
	return membership.Shard{Kind: membership.KindTeam, Name: name}
}
