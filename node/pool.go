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

// The messages of a pool's actor besides the kernel's events.
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
	// poolFreeze hands the pool's state over.
	poolFreeze struct {
		reply chan<- *scheduler.State
	}
	// poolRetire ends the ownership; attempts in flight run on.
	poolRetire struct{}
	poolDump   struct {
		reply chan<- scheduler.Dump
	}
)

// poolActor hosts the kernel of one pool.
type poolActor struct {
	node    *Node
	pool    string
	kernel  *scheduler.Kernel
	waiters map[scheduler.WaiterID]chan<- peer.Reply
	last    scheduler.WaiterID
	// frozen means that the state was handed over.
	frozen bool
	// retiredAt is when the ownership ended, zero while it lasts.
	retiredAt time.Time
	self      *actor.PID
}

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
		p.carryOut(p.kernel.TakeEffects())
	case *poolSubmit:
		p.step(&scheduler.Submit{
			Request: m.submission.Request, SentAt: m.submission.SentAt, Waiter: p.wait(m.reply),
		})
	case *poolCancel:
		p.step(&scheduler.Cancel{Key: m.key, Waiter: p.wait(m.reply)})
	case *poolQuery:
		p.step(&scheduler.Query{Key: m.key, Waiter: p.wait(m.reply)})
	case *scheduler.AttemptEnded:
		p.step(m)
		p.forward(m)
	case scheduler.Event:
		p.step(m)
	case *poolFreeze:
		p.frozen = true
		p.step(&scheduler.Freeze{})
		m.reply <- p.kernel.Snapshot()
	case *poolRetire:
		p.retiredAt = time.Now()
		p.step(&scheduler.Freeze{})
	case *poolDump:
		m.reply <- p.kernel.Dump()
	}
	p.stopWhenIdle(ctx)
}

// stopWhenIdle ends the actor once nothing under the old ownership is left.
func (p *poolActor) stopWhenIdle(ctx actor.Context) {
	if p.isRetired() && p.kernel.InFlight() == 0 && time.Since(p.retiredAt) > retiredLinger {
		p.node.send(p.node.membership, &retiredEnded{ctx.Self()})
		ctx.Stop(ctx.Self())
	}
}

func (p *poolActor) isRetired() bool {
	return !p.retiredAt.IsZero()
}

// retiredLinger is how long an actor stays to refuse what was sent to it before
// the senders learned of the next owner.
const retiredLinger = 3 * time.Second

func (p *poolActor) wait(reply chan<- peer.Reply) scheduler.WaiterID {
	p.last++
	p.waiters[p.last] = reply
	return p.last
}

func (p *poolActor) step(ev scheduler.Event) {
	p.carryOut(p.kernel.Step(time.Now(), ev))
}

// carryOut does what the kernel decided.
func (p *poolActor) carryOut(fx *scheduler.Effects) {
	for _, r := range fx.Replies {
		p.reply(r)
	}
	for _, s := range fx.Starts {
		p.node.spawn(func(ctx context.Context) { p.run(ctx, s) })
	}
	for _, s := range fx.Stops {
		p.node.spawn(func(ctx context.Context) { p.stop(ctx, s) })
	}
	for _, q := range fx.Polls {
		p.node.spawn(func(ctx context.Context) { p.poll(ctx, q) })
	}
	if len(fx.Exchanges) > 0 {
		p.node.exchange(p.pool, p.self, fx.Exchanges)
	}
	p.node.log.Notes(fx.Notes)
}

func (p *poolActor) reply(r scheduler.Reply) {
	waiter, ok := p.waiters[r.Waiter]
	if !ok {
		return
	}
	delete(p.waiters, r.Waiter)
	waiter <- peer.Reply{Result: r.Result, Taken: r.Taken}
}

// run sends a task, unless the ownership ended since the decision.
func (p *poolActor) run(ctx context.Context, s scheduler.Start) {
	ctx, cancel := context.WithDeadline(ctx, s.GiveUpAt)
	defer cancel()
	result := core.AttemptResult{Status: core.AttemptRefused, Err: errOwnershipOver}
	if time.Now().Before(p.node.ownedUntil()) {
		result = p.node.executor.Run(ctx, s.Address, &s.Task)
	}
	p.node.send(p.self, &scheduler.AttemptEnded{Attempt: s.Task.Attempt, Result: result})
}

var errOwnershipOver = errors.New("the node's ownership ended before the task was sent")

func (p *poolActor) stop(ctx context.Context, s scheduler.Stop) {
	ctx, cancel := context.WithTimeout(ctx, executorCallTimeout)
	defer cancel()
	if err := p.node.executor.Stop(ctx, s.Address, s.Attempt); err != nil {
		p.node.log.Event(event.RequestFault, s.Attempt.String(), fmt.Sprintf("stop task: %v", err))
	}
}

func (p *poolActor) poll(ctx context.Context, q scheduler.Poll) {
	ctx, cancel := context.WithTimeout(ctx, executorCallTimeout)
	defer cancel()
	askedAt := time.Now()
	usage, err := p.node.executor.Report(ctx, q.Address, q.Renew)
	if err != nil {
		p.node.send(p.self, &scheduler.UsageFailed{Executor: q.Executor})
		return
	}
	p.node.send(p.self, &scheduler.UsageReported{Executor: q.Executor, AskedAt: askedAt, Usage: usage})
}

const executorCallTimeout = 2 * time.Second

// forwardTimeout bounds the attempts to tell the next owner of an end; later
// it learns of it from the executor's report.
const forwardTimeout = 5 * time.Second

// forward tells the next owner how an attempt of this one ended.
func (p *poolActor) forward(ended *scheduler.AttemptEnded) {
	if !p.frozen && !p.isRetired() {
		return
	}
	q := peer.AttemptQuery{Attempt: ended.Attempt, Status: ended.Result.Status}
	p.node.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
		defer cancel()
		for !p.node.tellOwner(ctx, p.pool, q) {
			if !sleepJitter(ctx, maxRouteWait) {
				return
			}
		}
	})
}

// tellOwner reports whether another node took the end of an attempt as the
// present owner of the pool.
func (n *Node) tellOwner(ctx context.Context, pool string, q peer.AttemptQuery) bool {
	_, owner, ok := n.directory().owner(poolShard(pool))
	if !ok || owner.Address == n.settings.PeerAddress {
		return false
	}
	return n.peers.AttemptEnded(ctx, owner.Address, q) == nil
}
