package edge

import (
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
	"jacinthwind/core/candidacy"
	"jacinthwind/core/cell"
	"jacinthwind/core/event"
)

// Timeouts and intervals of the ownership.
const (
	// ownerLeaseTTL is the duration of the owner's lease. Together with a takeover it
	// has to be shorter than the time for which executors continue runs without a
	// renewal.
	ownerLeaseTTL = 1500 * time.Millisecond
	// ownerRenewInterval leaves three attempts within a lease.
	ownerRenewInterval = 400 * time.Millisecond
	// leaseMargin covers the drift between the store's clock and this VM's.
	leaseMargin = 100 * time.Millisecond
	// claimJitter limits a random delay that keeps nodes from claiming at the same
	// time.
	claimJitter = 120 * time.Millisecond
	// slowVMClaimDelay is the longest delay before a VM with less than one core
	// claims, so that faster VMs claim first; one owner serves all pools.
	slowVMClaimDelay   = 150 * time.Millisecond
	claimRetryInterval = 100 * time.Millisecond
	claimTimeout       = 4 * time.Second
	// runsPerGeneration separates the run numbers of one owner from those of the
	// next.
	runsPerGeneration = 100_000
	handoverTimeout   = 700 * time.Millisecond
	// cutOffHandoverTimeout is shorter: a VM that is cut off from the store may not store its
	// decisions at all, and the next owner does without, as after a loss.
	cutOffHandoverTimeout = 250 * time.Millisecond
	// linkWait is how long after its claim an owner waits for all but one of
	// linkedDivisor nodes to link.
	linkWait      = 250 * time.Millisecond
	linkWaitStep  = 10 * time.Millisecond
	linkedDivisor = 5
)

var (
	errNotOwner       = errors.New("inspect kernel: this node no longer owns the pools")
	errOutageReported = errors.New("claim pools: an owner may rely on this node's report that the store is unreachable")
	errUncertain      = errors.New("call owner: no answer, the outcome is unknown")
	errReadsTooSlow   = errors.New("keep the claim: this node reads the records too slowly")
	errLeaseLost      = errors.New("keep the claim: its lease could not be renewed in time")
)

// ownership claims the pools when no node owns them, and keeps them as long as it
// can.
type ownership struct {
	self      ownerRecord
	store     core.MetadataStore
	lookups   *lookups
	codec     core.Codec
	executors core.ExecutorClient
	vms       core.VMClient
	advisor   core.Advisor
	settings  cell.Settings
	// cores is the CPU time that this VM may use, in cores.
	cores float64
	// room is what this VM has for an owner while it computes at its usual speed.
	room    candidacy.Room
	speed   speedMeter
	log     *eventlog.Log
	metrics *CallMetrics
	system  *actor.ActorSystem

	mu sync.Mutex
	// record is the owner's record as last read from the store.
	record     ownerRecord
	recordItem core.Item
	recordRead bool
	host       *host
	operator   *core.OperatorState
	// reportValidUntil returns until when an owner may rely on this node's report
	// that the store is unreachable; this node does not claim before that.
	reportValidUntil func() time.Duration
	// cutOff reports whether the store does not answer this node directly.
	cutOff func() bool
	// received returns how many bytes of large answers the store has sent.
	received func() int64
	// slowReads counts the claims in a row that this node gave up since it read the
	// records too slowly, the last of them at gaveUpAt. Only run uses both.
	slowReads int
	gaveUpAt  time.Duration
	// claimingOrOwning is set while this node claims or owns the pools.
	claimingOrOwning atomic.Bool
	// stopping keeps a node that shuts down from claiming.
	stopping bool
	// rooms holds the rooms of the other live VMs, and tenure decides when one of them should
	// own the pools instead.
	rooms  map[string]candidacy.Room
	tenure candidacy.Tenure
	// yieldedAt is when this node last yielded the pools to a VM that can serve them
	// better.
	yieldedAt     time.Duration
	recordChanged chan struct{}
	endReasons    chan string
	// links holds the nodes that carry orders, and peers lists the addresses of the
	// nodes that may; both may be nil.
	links *linkSet
	peers func() []string
}

// setRecord stores the owner's record as read from the store.
func (o *ownership) setRecord(item core.Item) {
	var r ownerRecord
	if len(item.Value) > 0 {
		if err := json.Unmarshal(item.Value, &r); err != nil {
			o.log.Event(event.OwnerRecordFault, zap.Error(err))
		}
	}
	o.mu.Lock()
	changed := !o.recordRead || o.record != r
	o.record, o.recordItem, o.recordRead = r, item, true
	close(o.recordChanged)
	o.recordChanged = make(chan struct{})
	o.mu.Unlock()
	if changed {
		o.log.Event(event.OwnerSeen, zap.String("owner", r.Node), zap.String("incarnation", r.Incarnation), zap.Int64("revision", item.Revision))
	}
}

// measureSpeed measures the speed of this VM until ctx ends.
func (o *ownership) measureSpeed(ctx context.Context) { o.speed.run(ctx, o.log) }

// setRooms stores the rooms of the other live VMs.
func (o *ownership) setRooms(rooms map[string]candidacy.Room) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rooms = rooms
	o.tenure.Observe(monotonicNow(), rooms)
}

// shouldYield reports whether a VM with clearly more room is ready to own the pools, which this
// node has owned since a time.
func (o *ownership) shouldYield(ownedSince time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tenure.ShouldYield(monotonicNow(), ownedSince, o.room)
}

// currentRecord returns the owner's record and a channel that is closed when the
// record is next read.
func (o *ownership) currentRecord() (ownerRecord, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.record, o.recordChanged
}

// currentHost returns the host while this node owns the pools, or nil.
func (o *ownership) currentHost() *host {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.host
}

// setOperatorState stores the operators' state and passes it to the kernel.
func (o *ownership) setOperatorState(s *core.OperatorState) {
	o.mu.Lock()
	o.operator = s
	h := o.host
	o.mu.Unlock()
	if h != nil {
		sendOperatorState(h, s)
	}
}

// sendOperatorState sends the operators' state to the kernel once there is a
// configuration.
func sendOperatorState(h *host, s *core.OperatorState) {
	if s == nil || s.Configuration == nil {
		return
	}
	h.send(cell.Configured{Configuration: s.Configuration})
	h.send(cell.DataCentresEvacuated{DataCentres: s.Evacuated})
	h.send(cell.WavesUpdated{Waves: s.Waves})
}

// run claims the pools whenever no node owns them, until ctx ends.
func (o *ownership) run(ctx context.Context) {
	for ctx.Err() == nil {
		if _, ok := o.checkClaimable(); !ok {
			sleep(ctx, claimRetryInterval)
			continue
		}
		sleep(ctx, rand.N(claimJitter)+o.claimDelay())
		revision, ok := o.checkClaimable()
		if !ok {
			continue
		}
		if err := o.claimAndServe(ctx, revision); err != nil && ctx.Err() == nil {
			o.log.Event(event.ClaimFailed, zap.Error(err))
			sleep(ctx, claimRetryInterval)
		}
	}
}

// claimDelay returns how long this node waits before it claims, to let better
// suited nodes claim first.
func (o *ownership) claimDelay() time.Duration {
	d := time.Duration(max(1-o.cores, 0) * float64(slowVMClaimDelay))
	o.mu.Lock()
	defer o.mu.Unlock()
	isRecent := func(at time.Duration) bool { return at != 0 && monotonicNow() < at+yieldClaimDelayPeriod }
	if isRecent(o.yieldedAt) || isRecent(o.gaveUpAt) || o.cutOff() {
		d += yieldClaimDelay
	}
	return d + candidacy.ClaimDelay(o.room.Slowed(o.speed.share()), o.rooms)
}

// yield hands the pools over to a VM that can serve them better, at most once in
// minYieldInterval. The decisions get some time to be stored.
func (o *ownership) yield(reason string, timeout time.Duration) {
	o.mu.Lock()
	tooSoon := o.yieldedAt != 0 && monotonicNow() < o.yieldedAt+minYieldInterval
	if !tooSoon {
		o.yieldedAt = monotonicNow()
	}
	h := o.host
	o.mu.Unlock()
	if tooSoon || h == nil {
		return
	}
	o.log.Event(event.OwnerYields, zap.String("reason", reason))
	go func() {
		h.handOver(timeout)
		o.endOwnership(reason)
	}()
}

// checkClaimable reports whether this node may claim: no node owns the pools, or
// the owner is an earlier incarnation of this node, which has ended. It refuses
// while the node stops, has no configuration or has not read the owner's record, or
// while its report of an outage is valid. It returns the revision of the owner's
// record that it checked, zero if there is none.
func (o *ownership) checkClaimable() (int64, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if monotonicNow() <= o.reportValidUntil() || o.stopping || !o.recordRead || o.operator == nil || o.operator.Configuration == nil {
		return 0, false
	}
	return o.recordItem.Revision, o.recordItem.Revision == 0 || o.record.Node == o.self.Node
}

// claimAndServe claims the pools and serves them until the ownership is lost.
func (o *ownership) claimAndServe(ctx context.Context, expected int64) error {
	o.claimingOrOwning.Store(true)
	defer o.claimingOrOwning.Store(false)
	began := monotonicNow()
	if monotonicNow() <= o.reportValidUntil() {
		return errOutageReported
	}
	claim, err := o.claim(ctx, expected)
	if err != nil {
		return err
	}
	if o.links != nil {
		o.links.open()
		defer o.links.close()
	}
	k := cell.New(o.settings, now(), claim.token, int(claim.sequence.Generation-1)*runsPerGeneration)
	k.Step(now(), cell.LeaseExtended{Until: claim.until})
	k.Step(now(), cell.Configured{Configuration: o.operatorState().Configuration})
	loading, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// The records are loaded for as long as the lease is renewed and the reads are not too
	// slow.
	renewedUntil := make(chan time.Duration, 1)
	go func() { renewedUntil <- o.renewWhileLoading(loading, cancel, claim) }()
	w, err := newWriter(loading, o.store, o.codec, o.log, claim.token, claim.sequence.Generation)
	var loaded loadedJobs
	if err == nil {
		loaded, err = loadKernel(loading, o.store, k, claim.indexed, o.log)
	}
	cancel(nil)
	until := <-renewedUntil
	switch cause := context.Cause(loading); {
	case errors.Is(cause, errLeaseLost) || (err == nil && monotonicNow() > until):
		err = errLeaseLost
	case err != nil && errors.Is(cause, errReadsTooSlow):
		err = errReadsTooSlow
		o.slowReads++
		o.gaveUpAt = monotonicNow()
	case err == nil:
		o.slowReads = 0
	}
	if err != nil {
		o.revokeLease(ctx, claim.lease)
		return fmt.Errorf("load stored records: %w", err)
	}
	k.Step(now(), cell.LeaseExtended{Until: until})
	o.awaitLinks(ctx, began)
	h := &host{
		kernel: k, node: o.self.Node, executors: o.executors, vms: o.vms, advisor: o.advisor,
		codec: o.codec, store: o.store, lookups: o.lookups, log: o.log, metrics: o.metrics,
		writer:    w,
		onDeposed: o.endOwnership, onOverload: func() { o.yield("this VM is too slow for the pools", handoverTimeout) },
		links: o.links, loaded: loaded,
	}
	if loaded.indexed {
		h.ended = &endedJobs{}
	}
	h.carriers.assigner.OwnerCores = o.cores
	// The first call of the kernel may already detect a later owner.
	endReasons := make(chan string, 1)
	o.mu.Lock()
	o.endReasons = endReasons
	o.mu.Unlock()
	h.start(o.system)
	o.mu.Lock()
	o.host = h
	o.mu.Unlock()
	sendOperatorState(h, o.operatorState())
	o.log.Event(event.OwnershipBegun, zap.Int64("token", claim.token), zap.Int64("generation", claim.sequence.Generation), zap.Int64("took_ms", (monotonicNow()-began).Milliseconds()), zap.Int("open_jobs", len(loaded.open)), zap.Bool("indexed", loaded.indexed), zap.Float64("speed", o.speed.share()))
	reason := o.renewUntilLost(ctx, h, claim, endReasons)
	o.mu.Lock()
	o.host = nil
	o.mu.Unlock()
	h.stop()
	o.log.Event(event.OwnershipEnded, zap.Int64("token", claim.token), zap.String("reason", reason))
	o.revokeLease(ctx, claim.lease)
	return nil
}

// revokeLease ends a lease, also if ctx has ended. A failure is ignored: the lease expires
// by itself.
func (o *ownership) revokeLease(ctx context.Context, lease int64) {
	end, stop := context.WithTimeout(context.WithoutCancel(ctx), directTimeout)
	defer stop()
	_ = o.store.RevokeLease(end, lease)
}

// awaitLinks waits for a short time after a claim until most nodes have linked, so
// that the executors are divided among all of them at once.
func (o *ownership) awaitLinks(ctx context.Context, began time.Duration) {
	if o.links == nil {
		return
	}
	for monotonicNow() < began+linkWait && linkedDivisor*o.links.count() < (linkedDivisor-1)*len(o.peers()) {
		sleep(ctx, linkWaitStep)
	}
}

func (o *ownership) operatorState() *core.OperatorState {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.operator
}

// endOwnership ends the ownership for a reason; only the first reason counts.
func (o *ownership) endOwnership(reason string) {
	o.mu.Lock()
	endReasons := o.endReasons
	o.mu.Unlock()
	select {
	case endReasons <- reason:
	default:
	}
}

// renewUntilLost renews the lease until the ownership is lost, and returns the
// reason.
func (o *ownership) renewUntilLost(ctx context.Context, h *host, c grantedClaim, endReasons <-chan string) string {
	t := time.NewTicker(ownerRenewInterval)
	defer t.Stop()
	ownedSince := monotonicNow()
	for {
		select {
		case <-ctx.Done():
			return "the process ends"
		case reason := <-endReasons:
			return reason
		case <-t.C:
		}
		sent := monotonicNow()
		renew, cancel := context.WithTimeout(ctx, ownerLeaseTTL)
		err := o.store.RenewLease(renew, c.lease)
		cancel()
		switch {
		case err == nil:
			h.send(cell.LeaseExtended{Until: sent + ownerLeaseTTL - leaseMargin})
			if o.cutOff() {
				// The peer that relayed the renewal reaches the store, and so may own the
				// pools.
				o.yield("this VM is cut off from the store", cutOffHandoverTimeout)
			} else if o.shouldYield(ownedSince) {
				o.yield("a VM with clearly more room is ready", handoverTimeout)
			}
		case errors.Is(err, core.ErrNotFound):
			return "the lease has ended"
		case ctx.Err() == nil:
			o.log.Event(event.LeaseNotRenewed, zap.Error(err))
		}
		if r, _ := o.currentRecord(); r.Incarnation != "" && r.Incarnation != o.self.Incarnation && r.Generation > c.sequence.Generation {
			return "node " + r.Node + " owns the pools"
		}
	}
}

// handOver ends the ownership so that another node can claim at once.
func (o *ownership) handOver() {
	o.mu.Lock()
	o.stopping = true
	h := o.host
	o.mu.Unlock()
	if h == nil {
		return
	}
	h.handOver(handoverTimeout)
	o.endOwnership("handed over")
}
