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
	// leaseMargin ends the ownership before the store may let the lease lapse.
	leaseMargin = 300 * time.Millisecond
	// renewalsPerLease is the number of renewals within one time to live.
	renewalsPerLease = 2.5
	storeRetryWait   = 300 * time.Millisecond
)

// The messages about the lease to the membership's actor.
type (
	leaseGranted struct {
		self  membership.Member
		until time.Time
	}
	leaseRenewed struct{ until time.Time }
	// leasePromised tells that a majority of the voters lets the node go on.
	leasePromised struct{ until time.Time }
	// leaseRestored tells that the node is listed again under its id.
	leaseRestored struct{ revision int64 }
	leaseLost     struct{}
)

// leaseKeeper holds this node's lease in the store.
type leaseKeeper struct {
	node  *Node
	lease core.LeaseID
	self  membership.Member
	// revision is the revision of the member's record.
	revision int64
	until    time.Time
	// seen is a store revision that a renewal showed at seenAt and that the node
	// had not followed then.
	seen   int64
	seenAt time.Time
}

// keepLease registers the node and keeps its lease until ctx ends.
func (n *Node) keepLease(ctx context.Context) error {
	k := &leaseKeeper{node: n}
	defer k.release()
	for ctx.Err() == nil {
		if err := k.grant(ctx); err != nil {
			n.log.Event(event.StoreUnreachable, n.settings.Name, err.Error())
			sleepJitter(ctx, storeRetryWait)
			continue
		}
		n.send(n.membership, &leaseGranted{self: k.self, until: k.until})
		k.renewUntilLost(ctx)
		if ctx.Err() == nil {
			n.send(n.membership, &leaseLost{})
		}
	}
	return nil
}

func (k *leaseKeeper) ttl() time.Duration {
	return milliseconds(k.node.settings.LeaseMS)
}

// grant takes a lease and writes the member's record under a new id.
func (k *leaseKeeper) grant(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	sentAt := time.Now()
	lease, err := k.node.store.GrantLease(ctx, k.ttl())
	if err != nil {
		return fmt.Errorf("grant lease: %w", err)
	}
	k.lease = lease
	k.self = membership.Member{
		ID:         k.node.settings.Name + "-" + uuid.NewString()[:incarnationLength],
		Name:       k.node.settings.Name,
		Address:    k.node.settings.PeerAddress,
		DataCentre: k.node.settings.DataCentre,
		Leaving:    k.node.leaving.Load(),
	}
	k.revision = 0
	if err := k.writeMember(ctx); err != nil {
		return err
	}
	k.until = sentAt.Add(k.ttl() - leaseMargin)
	return nil
}

const (
	incarnationLength = 8
	storeCallTimeout  = 2 * time.Second
)

// writeMember writes the member's record and reads it back where the result
// of the write is not known.
func (k *leaseKeeper) writeMember(ctx context.Context) error {
	value, err := json.Marshal(k.self)
	if err != nil {
		return fmt.Errorf("encode member: %w", err)
	}
	key := keyMembers + k.self.ID
	result := k.node.store.CompareAndSwap(ctx, core.Write{Key: key, Value: value, Expect: k.revision, Lease: k.lease})
	switch result.Status {
	case core.WriteOK:
		k.revision = result.Revision
		return nil
	case core.WriteConflict:
		return fmt.Errorf("write member %s: conflict", k.self.ID)
	}
	entry, err := k.node.store.Get(ctx, key)
	if err != nil {
		return fmt.Errorf("write member %s: %w", k.self.ID, err)
	}
	if string(entry.Value) != string(value) {
		return fmt.Errorf("write member %s: result unknown", k.self.ID)
	}
	k.revision = entry.Revision
	return nil
}

// renewUntilLost keeps the ownership until it runs out or ctx ends: by renewals
// of the lease, or by promises of other nodes while the store gives no answer.
func (k *leaseKeeper) renewUntilLost(ctx context.Context) {
	wait := k.renewInterval()
	for sleepFor(ctx, wait) {
		if k.isLost() {
			return
		}
		k.announceLeaving(ctx)
		sentAt := time.Now()
		err := k.renew(ctx)
		if errors.Is(err, core.ErrNotFound) {
			err = k.restore(ctx)
		}
		if err == nil {
			k.extend(sentAt.Add(k.ttl() - leaseMargin))
			wait = k.renewInterval()
			continue
		}
		k.goOn(ctx)
		wait = storeRetryWait
	}
}

func (k *leaseKeeper) renewInterval() time.Duration {
	return time.Duration(float64(k.ttl()) / renewalsPerLease)
}

// isLost reports whether the ownership has run out, by this keeper's account or
// by that of the membership.
func (k *leaseKeeper) isLost() bool {
	now := time.Now()
	d := k.node.directory()
	return !now.Before(k.until) || (d.self.ID == k.self.ID && !now.Before(d.ownedUntil))
}

// extend tells that the store renewed the lease. An answer that comes after the
// end of the ownership is of no use.
func (k *leaseKeeper) extend(until time.Time) {
	if k.isLost() {
		return
	}
	k.until = until
	k.node.send(k.node.membership, &leaseRenewed{until: until})
}

// goOn asks the other nodes whether they miss the store, too, and let this one
// go on.
func (k *leaseKeeper) goOn(ctx context.Context) {
	until, ok := k.node.gatherPromises(ctx, k.self.ID)
	if !ok || k.isLost() || until.Before(k.until) {
		return
	}
	k.until = until
	k.node.send(k.node.membership, &leasePromised{until: until})
}

// restore lists the node again under its id after its lease has lapsed while it
// went on by promises.
func (k *leaseKeeper) restore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	lease, err := k.node.store.GrantLease(ctx, k.ttl())
	if err != nil {
		return fmt.Errorf("grant lease: %w", err)
	}
	k.lease, k.revision = lease, 0
	if err := k.writeMember(ctx); err != nil {
		return err
	}
	k.node.send(k.node.membership, &leaseRestored{revision: k.revision})
	return nil
}

func (k *leaseKeeper) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	revision, err := k.node.store.RenewLease(ctx, k.lease)
	if err == nil && k.isBehind(revision) {
		return errBehind
	}
	return err
}

// maxBehind is how long a node may miss what a renewal has shown to be there.
const maxBehind = 1500 * time.Millisecond

var errBehind = errors.New("the node does not follow the store's changes")

// isBehind reports whether the watch misses changes although the store answers.
// Such a node may not know that a key was withdrawn: it reads everything anew,
// and does not extend its ownership before it has.
func (k *leaseKeeper) isBehind(revision int64) bool {
	followed := k.node.followed.Load()
	now := time.Now()
	if followed >= k.seen {
		k.seen, k.seenAt = revision, now
	}
	if followed >= k.seen || now.Sub(k.seenAt) < maxBehind {
		return false
	}
	if end := k.node.endWatch.Load(); end != nil {
		(*end)()
	}
	return true
}

// announceLeaving marks the record of a node that is stopping.
func (k *leaseKeeper) announceLeaving(ctx context.Context) {
	if k.self.Leaving || !k.node.leaving.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	k.self.Leaving = true
	if err := k.writeMember(ctx); err != nil {
		k.node.log.Event(event.StoreUnreachable, k.self.ID, err.Error())
	}
}

// release gives the lease back so that others need not wait for its lapse.
func (k *leaseKeeper) release() {
	if k.lease == "" || k.node.abrupt.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeCallTimeout)
	defer cancel()
	if err := k.node.store.RevokeLease(ctx, k.lease); err != nil {
		k.node.log.Event(event.StoreUnreachable, k.self.ID, fmt.Sprintf("release lease: %v", err))
	}
}

// sleepFor waits for d and reports whether ctx is still in force.
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
