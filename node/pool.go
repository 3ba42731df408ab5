package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"jacinthwind/core"
	"jacinthwind/core/event"
	"jacinthwind/core/scheduler"
	"jacinthwind/io/peer"
)

// Messages to a pool's actor, other than the kernel's events.
type (
	poolSubmit struct {
		submission *peer.Submission
		reply      chan<- peer.Reply
	}
	poolCancel struct {
		key   scheduler.RequestKey
		reply chan<- peer.Reply
	}
	poolQuery struct {
		key   scheduler.RequestKey
		reply chan<- peer.Reply
	}
	// poolFreeze asks for the pool's state and stops its decisions, for a handover.
	poolFreeze struct {
		reply chan<- *scheduler.State
	}
	// poolRetire ends the ownership. Attempts in flight continue.
	poolRetire struct{}
	poolDump   struct {
		reply chan<- scheduler.Dump
	}
)

// poolActor hosts the scheduling kernel of one pool.
type poolActor struct {
	node       *Node
	pool       string
	kernel     *scheduler.Kernel
	waiters    map[scheduler.WaiterID]chan<- peer.Reply
	lastWaiter scheduler.WaiterID
	// frozen is set once the state has been taken for a handover.
	frozen bool
	// retiredAt is the time at which the ownership ended, or zero.
	retiredAt time.Time
	self      *actor.PID
}

// newPoolActor returns an actor that hosts a new kernel.
func newPoolActor(n *Node, a scheduler.Activation) (*poolActor, error) {
	kernel, err := scheduler.New(time.Now(), n.settings.schedulerSettings(n.seed), a)
	if err != nil {
		return nil, err
	}
	return &poolActor{
		node:    n,
		pool:    a.Pool,
		kernel:  kernel,
		waiters: make(map[scheduler.WaiterID]chan<- peer.Reply),
	}, nil
}

// Receive implements actor.Actor.
func (p *poolActor) Receive(ctx actor.Context) {
	if p.self == nil {
		p.self = ctx.Self()
	}
	switch m := ctx.Message().(type) {
	case *actor.Started:
		p.applyEffects(p.kernel.ActivationEffects())
	case *poolSubmit:
		p.stepKernel(&scheduler.Submit{
			Request: m.submission.Request, SentAt: m.submission.SentAt, Waiter: p.addWaiter(m.reply),
		})
	case *poolCancel:
		p.stepKernel(&scheduler.Cancel{Key: m.key, Waiter: p.addWaiter(m.reply)})
	case *poolQuery:
		p.stepKernel(&scheduler.Query{Key: m.key, Waiter: p.addWaiter(m.reply)})
	case *scheduler.AttemptEnded:
		p.stepKernel(m)
		p.forwardAttemptEnd(m)
	case scheduler.Event:
		p.stepKernel(m)
	case *poolFreeze:
		p.frozen = true
		p.stepKernel(&scheduler.Freeze{})
		m.reply <- p.kernel.Snapshot()
	case *poolRetire:
		p.retiredAt = time.Now()
		p.stepKernel(&scheduler.Freeze{})
	case *poolDump:
		m.reply <- p.kernel.Dump()
	}
	p.stopWhenIdle(ctx)
}

// stopWhenIdle stops the actor of a retired pool once no attempt is in flight and
// the grace period is over.
func (p *poolActor) stopWhenIdle(ctx actor.Context) {
	if p.isRetired() && p.kernel.InFlight() == 0 && time.Since(p.retiredAt) > retiredPoolGracePeriod {
		p.node.send(p.node.membership, &retiredPoolEnded{ctx.Self()})
		ctx.Stop(ctx.Self())
	}
}

// isRetired reports whether the ownership has ended.
func (p *poolActor) isRetired() bool {
	return !p.retiredAt.IsZero()
}

// retiredPoolGracePeriod is how long the actor of a retired pool keeps refusing
// messages from senders that do not know the next owner yet.
const retiredPoolGracePeriod = 3 * time.Second

// addWaiter registers a reply channel and returns its ID for the kernel.
func (p *poolActor) addWaiter(reply chan<- peer.Reply) scheduler.WaiterID {
	p.lastWaiter++
	p.waiters[p.lastWaiter] = reply
	return p.lastWaiter
}

// stepKernel passes an event to the kernel and applies its effects.
func (p *poolActor) stepKernel(ev scheduler.Event) {
	p.applyEffects(p.kernel.Step(time.Now(), ev))
}

// applyEffects carries out the decisions of the kernel.
func (p *poolActor) applyEffects(fx *scheduler.Effects) {
	for _, r := range fx.Replies {
		p.sendReply(r)
	}
	for _, s := range fx.Starts {
		p.node.spawn(func(ctx context.Context) { p.runTask(ctx, s) })
	}
	for _, s := range fx.Stops {
		p.node.spawn(func(ctx context.Context) { p.stopTask(ctx, s) })
	}
	for _, q := range fx.Polls {
		p.node.spawn(func(ctx context.Context) { p.pollUsage(ctx, q) })
	}
	if len(fx.LimitReports) > 0 {
		p.node.reportLimits(p.pool, p.self, fx.LimitReports)
	}
	p.node.log.WriteNotes(fx.Notes)
}

// sendReply sends a reply to the waiter that it is for.
func (p *poolActor) sendReply(r scheduler.Reply) {
	waiter, ok := p.waiters[r.Waiter]
	if !ok {
		return
	}
	delete(p.waiters, r.Waiter)
	waiter <- peer.Reply{Result: r.Result, Accepted: r.Accepted}
}

// runTask sends a task to its executor, unless the ownership has ended since the
// kernel's decision, and reports the result to the actor.
func (p *poolActor) runTask(ctx context.Context, s scheduler.Start) {
	ctx, cancel := context.WithDeadline(ctx, s.GiveUpAt)
	defer cancel()
	result := core.AttemptResult{Status: core.AttemptRefused, Err: errOwnershipEnded}
	if time.Now().Before(p.node.ownedUntil()) {
		result = p.node.executor.Run(ctx, s.Address, &s.Task)
	}
	p.node.send(p.self, &scheduler.AttemptEnded{Attempt: s.Task.Attempt, Result: result})
}

var errOwnershipEnded = errors.New("send task: the node's ownership has ended")

// stopTask asks an executor to end a task early.
func (p *poolActor) stopTask(ctx context.Context, s scheduler.Stop) {
	ctx, cancel := context.WithTimeout(ctx, executorCallTimeout)
	defer cancel()
	if err := p.node.executor.Stop(ctx, s.Address, s.Attempt); err != nil {
		p.node.log.Write(event.RequestFault, s.Attempt.String(), fmt.Sprintf("stop task: %v", err))
	}
}

// pollUsage renews task leases at an executor and reports its usage to the actor.
func (p *poolActor) pollUsage(ctx context.Context, q scheduler.Poll) {
	ctx, cancel := context.WithTimeout(ctx, executorCallTimeout)
	defer cancel()
	askedAt := time.Now()
	usage, err := p.node.executor.Report(ctx, q.Address, q.Renew)
	if err != nil {
		p.node.send(p.self, &scheduler.UsageFailed{Executor: q.Executor, Address: q.Address})
		return
	}
	p.node.send(p.self, &scheduler.UsageReported{Executor: q.Executor, Address: q.Address, RequestedAt: askedAt, Usage: usage})
}

const executorCallTimeout = 2 * time.Second

// forwardTimeout limits how long the node tries to report the end of an attempt to
// the next owner. After that, the next owner learns of it from the executor's usage
// report.
const forwardTimeout = 5 * time.Second

// forwardAttemptEnd tells the next owner how an attempt ended that this node
// started.
func (p *poolActor) forwardAttemptEnd(ended *scheduler.AttemptEnded) {
	if !p.frozen && !p.isRetired() {
		return
	}
	q := peer.AttemptEndQuery{Attempt: ended.Attempt, Status: ended.Result.Status}
	p.node.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
		defer cancel()
		for !p.node.reportToOwner(ctx, p.pool, q) {
			if !sleepWithJitter(ctx, maxRouteBackoff) {
				return
			}
		}
	})
}

// reportToOwner sends the end of an attempt to the present owner of the pool and
// reports whether the owner accepted it. It sends nothing if this node is the owner
// or knows none.
func (n *Node) reportToOwner(ctx context.Context, pool string, q peer.AttemptEndQuery) bool {
	_, owner, ok := n.directory().findOwner(newPoolShard(pool))
	if !ok || owner.Address == n.settings.PeerAddress {
		return false
	}
	return n.peers.ReportAttemptEnd(ctx, owner.Address, q) == nil
}
