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
	leaseLost    struct{}
)

// leaseKeeper holds this node's lease in the store.
type leaseKeeper struct {
	node  *Node
	lease core.LeaseID
	self  membership.Member
	// revision is the revision of the member's record.
	revision int64
	until    time.Time
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

// renewUntilLost keeps the lease until it lapses or ctx ends.
func (k *leaseKeeper) renewUntilLost(ctx context.Context) {
	wait := time.Duration(float64(k.ttl()) / renewalsPerLease)
	for sleepFor(ctx, wait) {
		sentAt := time.Now()
		if !sentAt.Before(k.until) {
			return
		}
		k.announceLeaving(ctx)
		err := k.renew(ctx)
		switch {
		case err == nil && !time.Now().Before(k.until):
			// The node gave up what it owned before the answer came.
			return
		case err == nil:
			k.until = sentAt.Add(k.ttl() - leaseMargin)
			k.node.send(k.node.membership, &leaseRenewed{until: k.until})
			wait = time.Duration(float64(k.ttl()) / renewalsPerLease)
		case errors.Is(err, core.ErrNotFound):
			return
		default:
			wait = storeRetryWait
		}
	}
}

func (k *leaseKeeper) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	_, err := k.node.store.RenewLease(ctx, k.lease)
	return err
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
