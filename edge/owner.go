package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"go.uber.org/zap"

	"jacinthwind/common/eventlog"
	"jacinthwind/core"
	"jacinthwind/core/cell"
	"jacinthwind/core/event"
)

// Ownership times.
const (
	// ownerTTL is the lease of the owner. With the takeover it has to be shorter
	// than the time for which executors let runs go on.
	ownerTTL = 1500 * time.Millisecond
	// ownerRenew leaves three tries within a lease.
	ownerRenew = 400 * time.Millisecond
	// leaseMargin covers the drift of the store's clock against ours.
	leaseMargin = 100 * time.Millisecond
	// claimSpread keeps all nodes from claiming at once.
	claimSpread = 120 * time.Millisecond
	// claimHandicap lets VMs with more of a core claim first: one owner serves all.
	claimHandicap = 150 * time.Millisecond
	claimCheck    = 100 * time.Millisecond
	claimWithin   = 4 * time.Second
	// runsPerGeneration separates the runs of one owner from those of the next.
	runsPerGeneration = 100_000
	handOverWithin    = 700 * time.Millisecond
)

var (
	errNotOwner  = errors.New("this node does not own the pools")
	errTrusted   = errors.New("an owner may rely on this node having no store")
	errUncertain = errors.New("the owner ended before it answered")
)

// owner claims the pools and keeps them while it can.
type owner struct {
	self     ownerRecord
	store    core.MetadataStore
	codec    core.Codec
	workers  core.Workers
	vms      core.Machines
	advisor  core.Advisor
	settings cell.Settings
	// processor is what this VM may use, in cores.
	processor float64
	log       *eventlog.Log
	figures   *Figures
	system    *actor.ActorSystem

	mu sync.Mutex
	// seen is the owner's record as the store shows it.
	seen     ownerRecord
	seenItem core.Item
	synced   bool
	host     *host
	operator *core.OperatorState
	// trusted returns until when an owner may rely on this node having no store, and
	// so not claiming.
	trusted func() time.Duration
	// cutOff reports whether the store does not answer this node directly.
	cutOff func() bool
	// engaged says that this node claims the pools or owns them.
	engaged atomic.Bool
	// stopping keeps a node that ends from claiming.
	stopping bool
	// yielded is when this node last gave the pools up since it was too slow.
	yielded time.Duration
	changed chan struct{}
	losing  chan string
}

// observe takes the owner's record from the store.
func (o *owner) observe(item core.Item) {
	var r ownerRecord
	if len(item.Value) > 0 {
		if err := json.Unmarshal(item.Value, &r); err != nil {
			o.log.Event(event.OwnerRecordFault, zap.Error(err))
		}
	}
	o.mu.Lock()
	moved := !o.synced || o.seen != r
	o.seen, o.seenItem, o.synced = r, item, true
	close(o.changed)
	o.changed = make(chan struct{})
	o.mu.Unlock()
	if moved {
		o.log.Event(event.OwnerSeen, zap.String("owner", r.Node), zap.String("incarnation", r.Incarnation), zap.Int64("revision", item.Revision))
	}
}

// present returns the owner's record and a channel that is closed when it
// changes.
func (o *owner) present() (ownerRecord, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.seen, o.changed
}

// local returns the host while this node owns the pools, or nil.
func (o *owner) local() *host {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.host
}

// follow hands the operators' state to the kernel.
func (o *owner) follow(s *core.OperatorState) {
	o.mu.Lock()
	o.operator = s
	h := o.host
	o.mu.Unlock()
	if h != nil {
		tellOperator(h, s)
	}
}

func tellOperator(h *host, s *core.OperatorState) {
	if s == nil || s.Configuration == nil {
		return
	}
	h.send(cell.Configured{Configuration: s.Configuration})
	h.send(cell.Evacuated{DataCentres: s.Evacuated})
	h.send(cell.WavesAsked{Waves: s.Waves})
}

// run claims the pools whenever nobody owns them, until ctx ends.
func (o *owner) run(ctx context.Context) {
	for ctx.Err() == nil {
		if _, ok := o.free(); !ok {
			pause(ctx, claimCheck)
			continue
		}
		pause(ctx, rand.N(claimSpread)+o.handicap())
		revision, ok := o.free()
		if !ok {
			continue
		}
		if err := o.own(ctx, revision); err != nil && ctx.Err() == nil {
			o.log.Event(event.ClaimFailed, zap.Error(err))
			pause(ctx, claimCheck)
		}
	}
}

// handicap returns how long others may claim before this node.
func (o *owner) handicap() time.Duration {
	d := time.Duration(max(1-o.processor, 0) * float64(claimHandicap))
	o.mu.Lock()
	defer o.mu.Unlock()
	if (o.yielded != 0 && mono() < o.yielded+yieldFor) || o.cutOff() {
		d += yieldHandicap
	}
	return d
}

// yield gives the pools up to a VM that can serve them better.
func (o *owner) yield(reason string) {
	o.mu.Lock()
	again := o.yielded != 0 && mono() < o.yielded+yieldAfter
	if !again {
		o.yielded = mono()
	}
	h := o.host
	o.mu.Unlock()
	if again || h == nil {
		return
	}
	o.log.Event(event.OwnerYields, zap.String("reason", reason))
	go func() {
		h.handOver(handOverWithin)
		o.lose(reason)
	}()
}

// free reports whether this node may claim: nobody owns the pools, or the owner
// is an earlier incarnation of this node, which is gone. It returns the revision
// of the owner's record that was judged, zero where there is none.
func (o *owner) free() (int64, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if mono() <= o.trusted() || o.stopping || !o.synced || o.operator == nil || o.operator.Configuration == nil {
		return 0, false
	}
	return o.seenItem.Revision, o.seenItem.Revision == 0 || o.seen.Node == o.self.Node
}

// own claims the pools and serves them until the ownership is lost.
func (o *owner) own(ctx context.Context, expected int64) error {
	o.engaged.Store(true)
	defer o.engaged.Store(false)
	began := mono()
	if mono() <= o.trusted() {
		return errTrusted
	}
	claim, err := o.claim(ctx, expected)
	if err != nil {
		return err
	}
	k := cell.New(o.settings, now(), claim.token, int(claim.sequence.Generation-1)*runsPerGeneration)
	k.Step(now(), cell.LeaseExtended{Until: claim.until})
	k.Step(now(), cell.Configured{Configuration: o.operatorState().Configuration})
	loading, cancel := context.WithTimeout(ctx, claimWithin)
	defer cancel()
	// The lease is kept while the records are read.
	kept := make(chan time.Duration, 1)
	go func() { kept <- o.keepWhile(loading, claim) }()
	err = loadKernel(loading, o.store, k)
	cancel()
	until := <-kept
	if err != nil {
		_ = o.store.EndLease(ctx, claim.lease)
		return fmt.Errorf("load: %w", err)
	}
	k.Step(now(), cell.LeaseExtended{Until: until})
	h := &host{
		kernel: k, node: o.self.Node, workers: o.workers, vms: o.vms, advisor: o.advisor,
		codec: o.codec, store: o.store, log: o.log, figures: o.figures,
		writer:  &writer{store: o.store, codec: o.codec, log: o.log, sequence: claim.sequence, revision: claim.token},
		deposed: o.lose, yield: func() { o.yield("this VM is too slow for the pools") },
	}
	// The kernel may meet a later owner with its first call.
	losing := make(chan string, 1)
	o.mu.Lock()
	o.losing = losing
	o.mu.Unlock()
	h.start(o.system)
	o.mu.Lock()
	o.host = h
	o.mu.Unlock()
	tellOperator(h, o.operatorState())
	o.log.Event(event.OwnershipBegun, zap.Int64("token", claim.token), zap.Int64("generation", claim.sequence.Generation), zap.Int64("took_ms", (mono()-began).Milliseconds()))
	reason := o.keep(ctx, h, claim, losing)
	o.mu.Lock()
	o.host = nil
	o.mu.Unlock()
	h.stop()
	o.log.Event(event.OwnershipEnded, zap.Int64("token", claim.token), zap.String("reason", reason))
	// A lease that is left behind by a deposed owner ends by itself.
	end, stop := context.WithTimeout(context.WithoutCancel(ctx), directWithin)
	defer stop()
	_ = o.store.EndLease(end, claim.lease)
	return nil
}

func (o *owner) operatorState() *core.OperatorState {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.operator
}

// lose ends the ownership.
func (o *owner) lose(reason string) {
	o.mu.Lock()
	losing := o.losing
	o.mu.Unlock()
	select {
	case losing <- reason:
	default:
	}
}

// claimed is an ownership that the store has granted.
type claimed struct {
	lease    int64
	token    int64
	sequence sequenceRecord
	until    time.Duration
}

// claim writes this node into the owner's record if that still has the expected
// revision.
func (o *owner) claim(ctx context.Context, expected int64) (claimed, error) {
	ctx, cancel := context.WithTimeout(ctx, claimWithin)
	defer cancel()
	sent := mono()
	lease, err := o.store.GrantLease(ctx, ownerTTL)
	if err != nil {
		return claimed{}, err
	}
	sequence, revision, err := o.readSequence(ctx)
	if err != nil {
		return claimed{}, err
	}
	next := sequenceRecord{Generation: sequence.Generation + 1}
	record := o.self
	record.Generation = next.Generation
	token, items, err := o.store.Commit(ctx, core.Transaction{
		Expect: []core.Condition{{Key: keyOwner, Revision: expected}, {Key: keySequence, Revision: revision}},
		Puts:   []core.Put{{Key: keyOwner, Value: encode(record), Lease: lease}, {Key: keySequence, Value: encode(next)}},
	})
	if errors.Is(err, core.ErrConflict) {
		token, err = claimedBefore(items, record)
	}
	if err != nil {
		// An answer that is lost leaves a record that vanishes with the lease.
		_ = o.store.EndLease(ctx, lease)
		return claimed{}, err
	}
	return claimed{lease: lease, token: token, sequence: next, until: sent + ownerTTL - leaseMargin}, nil
}

// claimedBefore tells from the items of a refused claim whether an earlier try
// with the same record, whose answer was lost, was done; it returns its token.
func claimedBefore(items []core.Item, record ownerRecord) (int64, error) {
	for _, item := range items {
		if item.Key == keyOwner && bytes.Equal(item.Value, encode(record)) {
			return item.Revision, nil
		}
	}
	return 0, core.ErrConflict
}

func (o *owner) readSequence(ctx context.Context) (sequenceRecord, int64, error) {
	item, err := o.store.Get(ctx, keySequence)
	if errors.Is(err, core.ErrNotFound) {
		return sequenceRecord{}, 0, nil
	}
	if err != nil {
		return sequenceRecord{}, 0, err
	}
	var s sequenceRecord
	if err := json.Unmarshal(item.Value, &s); err != nil {
		return s, 0, fmt.Errorf("%s: %w", keySequence, err)
	}
	return s, item.Revision, nil
}

// keepWhile renews the lease until ctx ends and returns its proved end.
func (o *owner) keepWhile(ctx context.Context, c claimed) time.Duration {
	until := c.until
	for ctx.Err() == nil {
		sent := mono()
		if o.store.RenewLease(ctx, c.lease) == nil {
			until = sent + ownerTTL - leaseMargin
		}
		pause(ctx, ownerRenew)
	}
	return until
}

// keep renews the lease until the ownership is lost, and returns why.
func (o *owner) keep(ctx context.Context, h *host, c claimed, losing <-chan string) string {
	t := time.NewTicker(ownerRenew)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return "the process ends"
		case reason := <-losing:
			return reason
		case <-t.C:
		}
		sent := mono()
		renew, cancel := context.WithTimeout(ctx, ownerTTL)
		err := o.store.RenewLease(renew, c.lease)
		cancel()
		switch {
		case err == nil:
			h.send(cell.LeaseExtended{Until: sent + ownerTTL - leaseMargin})
			if o.cutOff() {
				// The peer that carried the renewal has the store, and so may own.
				o.yield("this VM is cut off from the store")
			}
		case errors.Is(err, core.ErrNotFound):
			return "the lease has ended"
		case ctx.Err() == nil:
			o.log.Event(event.LeaseNotRenewed, zap.Error(err))
		}
		if r, _ := o.present(); r.Incarnation != "" && r.Incarnation != o.self.Incarnation && r.Generation > c.sequence.Generation {
			return "node " + r.Node + " owns the pools"
		}
	}
}

// handOver ends the ownership so that another node can claim at once.
func (o *owner) handOver() {
	o.mu.Lock()
	o.stopping = true
	h := o.host
	o.mu.Unlock()
	if h == nil {
		return
	}
	h.handOver(handOverWithin)
	o.lose("handed over")
}
