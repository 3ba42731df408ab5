package membership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/membership"
)

func TestVoterPromisesOnlyWithoutStoreAndOnCurrentRevisions(t *testing.T) {
	tests := []struct {
		name             string
		locked           int64
		query            membership.PromiseQuery
		storeUnreachable bool
		granted          bool
	}{
		{"neither node reaches the store", 0, membership.PromiseQuery{Assignment: 5, Config: 3}, true, true},
		{"the voter reaches the store", 0, membership.PromiseQuery{Assignment: 5, Config: 3}, false, false},
		{"the owner knows an earlier assignment", 0, membership.PromiseQuery{Assignment: 4, Config: 3}, true, false},
		{"the owner knows a later assignment", 0, membership.PromiseQuery{Assignment: 6, Config: 3}, true, false},
		{"the owner knows an earlier configuration", 0, membership.PromiseQuery{Assignment: 5, Config: 2}, true, false},
		{"the assignment is locked", 5, membership.PromiseQuery{Assignment: 5, Config: 3}, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1_800_000_000, 0)
			var v membership.Voter
			v.UpdateRevision(5)
			if tt.locked > 0 {
				granted, _ := v.GrantLock(now, membership.LockQuery{Assignment: tt.locked})
				require.True(t, granted)
			}
			require.Equal(t, tt.granted, v.GrantPromise(now, tt.query, tt.storeUnreachable, 3))
		})
	}
}

func TestLockEndsPromisesUntilNextAssignment(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	var v membership.Voter
	v.UpdateRevision(5)
	granted, _ := v.GrantLock(now, membership.LockQuery{Assignment: 4})
	require.False(t, granted, "the proposer knows an earlier assignment")
	require.True(t, v.GrantPromise(now, membership.PromiseQuery{Assignment: 5}, true, 0))
	granted, wait := v.GrantLock(now.Add(time.Second), membership.LockQuery{Assignment: 5})
	require.True(t, granted)
	require.Equal(t, membership.PromiseDuration-time.Second, wait, "the earlier promise still lasts")
	v.UpdateRevision(6)
	require.True(t, v.GrantPromise(now, membership.PromiseQuery{Assignment: 6}, true, 0), "a new assignment ends the lock")
}

// TestRestoredNodeRewritesAssignmentBeforeLeaseCounts guards against two owners
// after a node was listed again under its ID: another node may still propose an
// assignment from a member list without it.
func TestRestoredNodeRewritesAssignmentBeforeLeaseCounts(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	shard := membership.Shard{Kind: membership.KindTeam, Name: "a"}
	k, _ := newOwningKernel(now, shard)
	before := k.OwnedUntil()
	written := k.MemberRestored(now, 12).Write
	require.NotNil(t, written)
	require.Equal(t, "x", written.Shards[shard].Node)
	k.LeaseRenewed(now, before.Add(time.Hour))
	require.Equal(t, before, k.OwnedUntil(), "the lease does not count before the rewritten assignment")
	written.Revision = 13
	k.AssignmentChanged(now, *written)
	k.LeaseRenewed(now, before.Add(time.Hour))
	require.Equal(t, before.Add(time.Hour), k.OwnedUntil())
}
