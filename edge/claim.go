package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"jacinthwind/core"
	"jacinthwind/core/event"
)

// grantedClaim is an ownership that the store has granted.
type grantedClaim struct {
	lease    int64
	token    int64
	sequence sequenceRecord
	until    time.Duration
	// indexed is true if the index lists all open jobs.
	indexed bool
}

// claim writes this node into the owner's record if the record still has the
// expected revision.
func (o *ownership) claim(ctx context.Context, expected int64) (grantedClaim, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	sent := monotonicNow()
	lease, err := o.store.GrantLease(ctx, ownerLeaseTTL)
	if err != nil {
		return grantedClaim{}, err
	}
	sequence, revision, err := o.readSequence(ctx)
	if err != nil {
		return grantedClaim{}, err
	}
	index, err := o.readOpenIndex(ctx)
	if err != nil {
		return grantedClaim{}, err
	}
	indexed := index == openIndexRecord{sequence.Generation}
	next := sequenceRecord{Generation: sequence.Generation + 1}
	record := o.self
	record.Generation = next.Generation
	puts := []core.Put{{Key: keyOwner, Value: mustEncode(record), Lease: lease}, {Key: keySequence, Value: mustEncode(next)}}
	if indexed {
		puts = append(puts, core.Put{Key: keyOpenIndex, Value: mustEncode(openIndexRecord{next.Generation})})
	}
	token, items, err := o.store.Commit(ctx, core.Transaction{
		Expect: []core.Condition{{Key: keyOwner, Revision: expected}, {Key: keySequence, Revision: revision}},
		Puts:   puts,
	})
	if errors.Is(err, core.ErrConflict) {
		token, err = findEarlierClaim(items, record)
	}
	if err != nil {
		// If the claim was done and only its answer was lost, the record vanishes with
		// the lease.
		_ = o.store.RevokeLease(ctx, lease)
		return grantedClaim{}, err
	}
	return grantedClaim{lease: lease, token: token, sequence: next, until: sent + ownerLeaseTTL - leaseMargin, indexed: indexed}, nil
}

// findEarlierClaim searches the items of a refused claim for the same record,
// stored by an earlier attempt whose answer was lost, and returns its fencing
// token. It returns core.ErrConflict if there is none.
func findEarlierClaim(items []core.Item, record ownerRecord) (int64, error) {
	for _, item := range items {
		if item.Key == keyOwner && bytes.Equal(item.Value, mustEncode(record)) {
			return item.Revision, nil
		}
	}
	return 0, core.ErrConflict
}

// readSequence returns the sequence record and its revision, zero values if there
// is none.
func (o *ownership) readSequence(ctx context.Context) (sequenceRecord, int64, error) {
	item, err := o.store.Get(ctx, keySequence)
	if errors.Is(err, core.ErrNotFound) {
		return sequenceRecord{}, 0, nil
	}
	if err != nil {
		return sequenceRecord{}, 0, err
	}
	var s sequenceRecord
	if err := json.Unmarshal(item.Value, &s); err != nil {
		return s, 0, fmt.Errorf("decode sequence record %s: %w", keySequence, err)
	}
	return s, item.Revision, nil
}

// readOpenIndex returns the record of the index of the open jobs. A record that cannot be
// read counts as one of no generation.
func (o *ownership) readOpenIndex(ctx context.Context) (openIndexRecord, error) {
	item, err := o.store.Get(ctx, keyOpenIndex)
	if errors.Is(err, core.ErrNotFound) {
		return openIndexRecord{}, nil
	}
	var r openIndexRecord
	if err != nil {
		return r, err
	}
	if err := json.Unmarshal(item.Value, &r); err != nil {
		o.log.Event(event.RecordSkipped, zap.String("key", keyOpenIndex), zap.Error(err))
		return openIndexRecord{Generation: -1}, nil
	}
	return r, nil
}

// renewWhileLoading renews the lease until ctx ends, and returns until when the
// lease is known to last. It cancels ctx once the lease is lost, or the records are read
// too slowly, so that another node can claim.
func (o *ownership) renewWhileLoading(ctx context.Context, cancel context.CancelCauseFunc, c grantedClaim) time.Duration {
	until := c.until
	began, received := monotonicNow(), o.received()
	for ctx.Err() == nil {
		sent := monotonicNow()
		renew, end := context.WithTimeout(ctx, ownerLeaseTTL)
		err := o.store.RenewLease(renew, c.lease)
		end()
		switch {
		case err == nil:
			until = sent + ownerLeaseTTL - leaseMargin
		case errors.Is(err, core.ErrNotFound) || monotonicNow() > until:
			cancel(errLeaseLost)
		}
		if monotonicNow() > began+o.loadTime(o.received()-received) {
			cancel(errReadsTooSlow)
		}
		sleep(ctx, ownerRenewInterval)
	}
	return until
}

// maxSlowReadDoublings limits how often the time for reading the records is doubled.
const maxSlowReadDoublings = 6

// loadTime returns how long this node may read records before it gives up its claim, if it
// has received the given number of bytes. The time doubles with each claim that it gave up,
// as all nodes may be slow.
func (o *ownership) loadTime(bytes int64) time.Duration {
	return (claimTimeout + transferTime(int(bytes))) << min(o.slowReads, maxSlowReadDoublings)
}
