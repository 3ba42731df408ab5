package node

import (
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"jacinthwind/core/membership"
)

// directory is what a node knows of who owns what; it does not change once
// made.
type directory struct {
	self       membership.Member
	assignment membership.Assignment
	members    map[string]membership.Member
	// membersRevision is the store revision at which members is known.
	membersRevision int64
	// pools and teams hold the actors of the shards that this node owns.
	pools map[string]ownedActor
	teams map[string]ownedActor
	// retired holds the actors of pools that have attempts in flight under an
	// earlier ownership.
	retired    []*actor.PID
	ownedUntil time.Time
}

type ownedActor struct {
	pid   *actor.PID
	epoch uint64
}

// owner returns the owner of a shard and its address.
func (d *directory) owner(s membership.Shard) (membership.Owner, membership.Member, bool) {
	o, ok := d.assignment.Shards[s]
	if !ok {
		return o, membership.Member{}, false
	}
	m, alive := d.members[o.Node]
	return o, m, alive
}

func poolShard(name string) membership.Shard {
	return membership.Shard{Kind: membership.KindPool, Name: name}
}

func teamShard(name string) membership.Shard {
	return membership.Shard{Kind: membership.KindTeam, Name: name}
}
