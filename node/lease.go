package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"jacinthwind/core"
	"jacinthwind/core/event"
	"jacinthwind/core/membership"
)

const (
	// leaseMargin is subtracted from the lease's time to live, so that the ownership
	// ends before the store may expire the lease.
	leaseMargin = 300 * time.Millisecond
	// renewalsPerLease is the number of renewals within one time to live.
	renewalsPerLease = 2.5
	storeRetryWait   = 300 * time.Millisecond
)

// Messages about the lease to the membership actor.
type (
	leaseGranted struct {
		self  membership.Member
		until time.Time
	}
	// leaseRenewed reports that the store extended the lease.
	leaseRenewed struct{ until time.Time }
	// ownershipPromised reports that a majority of the voters lets the node keep its
	// ownership without the store.
	ownershipPromised struct{ until time.Time }
	// memberRestored reports that the member record was written again under the same
	// ID.
	memberRestored struct{ revision int64 }
	leaseLost      struct{}
)

// leaseKeeper holds this node's lease in the store.
type leaseKeeper struct {
	node  *Node
	lease core.LeaseID
	self  membership.Member
	// memberRevision is the store revision of the member record.
	memberRevision int64
	ownedUntil     time.Time
	// pendingRevision is a store revision that a renewal returned at pendingSince
	// and that the watch had not reached at that time.
	pendingRevision int64
	pendingSince    time.Time
}

// keepLease registers the node and keeps its lease until ctx ends.
func (n *Node) keepLease(ctx context.Context) error {
	k := &leaseKeeper{node: n}
	defer k.releaseLease()
	for ctx.Err() == nil {
		if err := k.acquireLease(ctx); err != nil {
			n.log.Write(event.StoreUnreachable, n.settings.Name, err.Error())
			sleepWithJitter(ctx, storeRetryWait)
			continue
		}
		n.send(n.membership, &leaseGranted{self: k.self, until: k.ownedUntil})
		k.renewUntilLost(ctx)
		if ctx.Err() == nil {
			n.send(n.membership, &leaseLost{})
		}
	}
	return nil
}

// ttl returns the lease's time to live.
func (k *leaseKeeper) ttl() time.Duration {
	return milliseconds(k.node.settings.LeaseMS)
}

// acquireLease obtains a lease and writes the member record under a new ID.
func (k *leaseKeeper) acquireLease(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	sentAt := time.Now()
	lease, err := k.node.store.GrantLease(ctx, k.ttl())
	if err != nil {
		return fmt.Errorf("grant lease: %w", err)
	}
	k.lease = lease
	k.self = membership.Member{
		ID:         k.node.settings.Name + "-" + uuid.NewString()[:incarnationIDLength],
		Name:       k.node.settings.Name,
		Address:    k.node.settings.PeerAddress,
		DataCentre: k.node.settings.DataCentre,
		Leaving:    k.node.leaving.Load(),
	}
	k.memberRevision = 0
	if err := k.writeMember(ctx); err != nil {
		return err
	}
	k.ownedUntil = sentAt.Add(k.ttl() - leaseMargin)
	return nil
}

const (
	incarnationIDLength = 8
	storeCallTimeout    = 2 * time.Second
)

// writeMember writes the member record. If the result of the write is unknown,
// it reads the record back.
func (k *leaseKeeper) writeMember(ctx context.Context) error {
	value, err := json.Marshal(k.self)
	if err != nil {
		return fmt.Errorf("encode member record: %w", err)
	}
	key := prefixMembers + k.self.ID
	result := k.node.store.CompareAndSwap(ctx, core.Write{Key: key, Value: value, Expect: k.memberRevision, Lease: k.lease})
	switch result.Status {
	case core.WriteOK:
		k.memberRevision = result.Revision
		return nil
	case core.WriteConflict:
		return fmt.Errorf("write member record %s: the record was changed by another write", k.self.ID)
	}
	entry, err := k.node.store.Get(ctx, key)
	if err != nil {
		return fmt.Errorf("write member record %s: result unknown, read back: %w", k.self.ID, err)
	}
	if string(entry.Value) != string(value) {
		return fmt.Errorf("write member record %s: result unknown, the store holds another value", k.self.ID)
	}
	k.memberRevision = entry.Revision
	return nil
}

// renewUntilLost keeps the ownership until it expires or ctx ends. It renews the
// lease, or asks for promises of other nodes while the store does not answer.
func (k *leaseKeeper) renewUntilLost(ctx context.Context) {
	wait := k.renewInterval()
	for sleepFor(ctx, wait) {
		if k.isOwnershipExpired() {
			return
		}
		k.announceLeaving(ctx)
		sentAt := time.Now()
		err := k.renewLease(ctx)
		if errors.Is(err, core.ErrNotFound) {
			err = k.restoreMember(ctx)
		}
		if err == nil {
			k.extendByRenewal(sentAt.Add(k.ttl() - leaseMargin))
			wait = k.renewInterval()
			continue
		}
		k.extendByPromises(ctx)
		wait = storeRetryWait
	}
}

// renewInterval returns the time between two renewals.
func (k *leaseKeeper) renewInterval() time.Duration {
	return time.Duration(float64(k.ttl()) / renewalsPerLease)
}

// isOwnershipExpired reports whether the ownership has expired, according to this
// keeper or to the published directory.
func (k *leaseKeeper) isOwnershipExpired() bool {
	now := time.Now()
	d := k.node.directory()
	return !now.Before(k.ownedUntil) || (d.self.ID == k.self.ID && !now.Before(d.ownedUntil))
}

// extendByRenewal extends the ownership after the store renewed the lease. It
// ignores a renewal that is confirmed after the ownership has expired.
func (k *leaseKeeper) extendByRenewal(until time.Time) {
	if k.isOwnershipExpired() {
		return
	}
	k.ownedUntil = until
	k.node.send(k.node.membership, &leaseRenewed{until: until})
}

// extendByPromises extends the ownership if a majority of the voters cannot reach
// the store either and promises to let this node keep it.
func (k *leaseKeeper) extendByPromises(ctx context.Context) {
	until, ok := k.node.gatherPromises(ctx, k.self.ID)
	if !ok || k.isOwnershipExpired() || until.Before(k.ownedUntil) {
		return
	}
	k.ownedUntil = until
	k.node.send(k.node.membership, &ownershipPromised{until: until})
}

// restoreMember writes the member record again under the same ID after the lease
// has expired while promises extended the ownership.
func (k *leaseKeeper) restoreMember(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	lease, err := k.node.store.GrantLease(ctx, k.ttl())
	if err != nil {
		return fmt.Errorf("grant lease: %w", err)
	}
	k.lease, k.memberRevision = lease, 0
	if err := k.writeMember(ctx); err != nil {
		return err
	}
	k.node.send(k.node.membership, &memberRestored{revision: k.memberRevision})
	return nil
}

// renewLease renews the lease. It returns errWatchStalled if the store answers
// but the watch does not deliver its changes.
func (k *leaseKeeper) renewLease(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	revision, err := k.node.store.RenewLease(ctx, k.lease)
	if err == nil && k.isWatchStalled(revision) {
		return errWatchStalled
	}
	return err
}

// maxWatchLag is how long the watch may lag behind a store revision that a
// renewal has returned.
const maxWatchLag = 1500 * time.Millisecond

var errWatchStalled = errors.New("renew lease: the watch does not deliver changes that the store has")

// isWatchStalled reports whether the watch lacks changes although the store
// answers. Such a node may not know that a key was withdrawn. It therefore reloads
// the whole store content, and does not extend its ownership until it has.
func (k *leaseKeeper) isWatchStalled(revision int64) bool {
	followedRevision := k.node.followedRevision.Load()
	now := time.Now()
	if followedRevision >= k.pendingRevision {
		k.pendingRevision, k.pendingSince = revision, now
	}
	if followedRevision >= k.pendingRevision || now.Sub(k.pendingSince) < maxWatchLag {
		return false
	}
	if end := k.node.cancelWatch.Load(); end != nil {
		(*end)()
	}
	return true
}

// announceLeaving marks the member record of a node that is stopping.
func (k *leaseKeeper) announceLeaving(ctx context.Context) {
	if k.self.Leaving || !k.node.leaving.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	k.self.Leaving = true
	if err := k.writeMember(ctx); err != nil {
		k.node.log.Write(event.StoreUnreachable, k.self.ID, err.Error())
	}
}

// releaseLease revokes the lease, so that other nodes need not wait until it
// expires.
func (k *leaseKeeper) releaseLease() {
	if k.lease == "" || k.node.killed.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeCallTimeout)
	defer cancel()
	if err := k.node.store.RevokeLease(ctx, k.lease); err != nil {
		k.node.log.Write(event.StoreUnreachable, k.self.ID, fmt.Sprintf("revoke lease: %v", err))
	}
}

// sleepFor waits for d and returns false if ctx ends first.
func sleepFor(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
