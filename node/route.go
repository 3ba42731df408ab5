package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"jacinthwind/core"
	"jacinthwind/core/scheduler"
	"jacinthwind/io/peer"
)

const (
	minRouteBackoff = 5 * time.Millisecond
	maxRouteBackoff = 200 * time.Millisecond
)

// Submit sends a request to the owner of its pool and returns the result. If the
// owner does not accept the request or fails, Submit sends the request again with
// the same ID, by which owners detect duplicates.
func (n *Node) Submit(ctx context.Context, r *core.Request) core.Result {
	var maybeStarted bool
	wait := minRouteBackoff
	for {
		reply, err := n.submitOnce(ctx, r)
		if err == nil && reply.Accepted {
			return unknownIfStarted(reply.Result, maybeStarted)
		}
		maybeStarted = maybeStarted || mayHaveStarted(reply, err)
		if !sleepWithJitter(ctx, wait) || !time.Now().Before(r.Deadline) {
			return newUnreachableResult(maybeStarted)
		}
		wait = min(2*wait, maxRouteBackoff)
	}
}

// mayHaveStarted reports whether an attempt may have started although the owner
// did not accept the request.
func mayHaveStarted(reply peer.Reply, err error) bool {
	if err != nil {
		return !errors.Is(err, peer.ErrNotSent)
	}
	return reply.Result.Outcome == core.Unknown
}

// unknownIfStarted replaces a refusal by an unknown outcome if an earlier owner may
// have run the request.
func unknownIfStarted(r core.Result, maybeStarted bool) core.Result {
	if maybeStarted && r.Outcome == core.NotRun {
		return core.Result{Outcome: core.Unknown, Reason: core.ReasonOwnerLost}
	}
	return r
}

// newUnreachableResult returns the result of a request that no owner accepted
// before its deadline.
func newUnreachableResult(maybeStarted bool) core.Result {
	if maybeStarted {
		return core.Result{Outcome: core.Unknown, Reason: core.ReasonOwnerLost}
	}
	return core.Result{Outcome: core.NotRun, Reason: core.ReasonOwnerUnreachable, RetryAfter: time.Second}
}

// sleepWithJitter waits for a random time between d/2 and 3d/2, and returns false
// if ctx ends first.
func sleepWithJitter(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d/2 + rand.N(d))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

var errNoOwner = errors.New("find pool owner: none is known")

// submitOnce sends a request to the present owner of its pool.
func (n *Node) submitOnce(ctx context.Context, r *core.Request) (peer.Reply, error) {
	ownership, address, err := n.findPoolOwner(r.Queue)
	if err != nil {
		return peer.Reply{}, errors.Join(peer.ErrNotSent, err)
	}
	s := &peer.Submission{PoolOwnership: ownership, Request: r, SentAt: time.Now()}
	if address == n.settings.PeerAddress {
		return n.SubmitLocal(ctx, s), nil
	}
	return n.peers.Submit(ctx, address, s)
}

// findPoolOwner returns the ownership of a queue's pool and the owner's address.
func (n *Node) findPoolOwner(queue string) (peer.PoolOwnership, string, error) {
	view := n.View()
	if view == nil {
		return peer.PoolOwnership{}, "", errNoOwner
	}
	q, ok := view.Queue(queue)
	if !ok {
		return peer.PoolOwnership{}, "", errNoOwner
	}
	owner, member, ok := n.directory().findOwner(newPoolShard(q.Pool))
	if !ok {
		return peer.PoolOwnership{}, "", errNoOwner
	}
	return peer.PoolOwnership{Pool: q.Pool, Epoch: owner.Epoch}, member.Address, nil
}

// findLocalPool returns the actor of a pool if this node owns the pool under the
// sender's epoch or a later one.
func (n *Node) findLocalPool(p peer.PoolOwnership) (*actor.PID, bool) {
	owned, ok := n.directory().pools[p.Pool]
	if !ok || owned.epoch < p.Epoch {
		return nil, false
	}
	return owned.pid, true
}

// newNotOwnerReply returns the reply of a node that does not own the pool.
func newNotOwnerReply() peer.Reply {
	return peer.Reply{Result: core.Result{Outcome: core.NotRun, Reason: core.ReasonNotOwner}}
}

// SubmitLocal submits a request to the pool's actor on this node.
func (n *Node) SubmitLocal(ctx context.Context, s *peer.Submission) peer.Reply {
	return n.askPool(ctx, s.PoolOwnership, func(reply chan<- peer.Reply) any {
		return &poolSubmit{submission: s, reply: reply}
	})
}

// CancelLocal cancels a request at the pool's actor on this node.
func (n *Node) CancelLocal(ctx context.Context, q peer.RequestQuery) peer.Reply {
	return n.askPool(ctx, q.PoolOwnership, func(reply chan<- peer.Reply) any {
		return &poolCancel{key: q.Key, reply: reply}
	})
}

// QueryLocal asks the pool's actor on this node for the state of a request.
func (n *Node) QueryLocal(ctx context.Context, q peer.RequestQuery) peer.Reply {
	return n.askPool(ctx, q.PoolOwnership, func(reply chan<- peer.Reply) any {
		return &poolQuery{key: q.Key, reply: reply}
	})
}

// askPool sends a message to a pool's actor and waits for the reply.
func (n *Node) askPool(ctx context.Context, p peer.PoolOwnership, message func(chan<- peer.Reply) any) peer.Reply {
	pid, ok := n.findLocalPool(p)
	if !ok {
		return newNotOwnerReply()
	}
	reply := make(chan peer.Reply, 1)
	n.send(pid, message(reply))
	select {
	case r := <-reply:
		return r
	case <-ctx.Done():
		return peer.Reply{Accepted: true, Result: core.Result{Outcome: core.Unknown, Reason: core.ReasonOwnerLost}}
	}
}

// Cancel cancels a request at the owner of its pool.
func (n *Node) Cancel(ctx context.Context, key scheduler.RequestKey) core.Result {
	return n.askOwner(ctx, key, n.CancelLocal, n.peers.Cancel)
}

// Query asks the owner of the request's pool for the state of the request.
func (n *Node) Query(ctx context.Context, key scheduler.RequestKey) core.Result {
	return n.askOwner(ctx, key, n.QueryLocal, n.peers.Query)
}

// askOwner calls the owner of a request's pool, on this node or another one, and
// repeats the call until an owner accepts it or the timeout is over.
func (n *Node) askOwner(
	ctx context.Context,
	key scheduler.RequestKey,
	local func(context.Context, peer.RequestQuery) peer.Reply,
	remote func(context.Context, string, peer.RequestQuery) (peer.StateReply, error),
) core.Result {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	wait := minRouteBackoff
	for {
		reply, err := n.askOwnerOnce(ctx, key, local, remote)
		if err == nil && reply.Accepted {
			return reply.Result
		}
		if !sleepWithJitter(ctx, wait) {
			return core.Result{Outcome: core.Unknown, Reason: core.ReasonOwnerUnreachable}
		}
		wait = min(2*wait, maxRouteBackoff)
	}
}

// askOwnerOnce calls the present owner of a request's pool.
func (n *Node) askOwnerOnce(
	ctx context.Context,
	key scheduler.RequestKey,
	local func(context.Context, peer.RequestQuery) peer.Reply,
	remote func(context.Context, string, peer.RequestQuery) (peer.StateReply, error),
) (peer.Reply, error) {
	ownership, address, err := n.findPoolOwner(key.Queue)
	if err != nil {
		return peer.Reply{}, err
	}
	q := peer.RequestQuery{PoolOwnership: ownership, Key: key}
	if address == n.settings.PeerAddress {
		return local(ctx, q), nil
	}
	state, err := remote(ctx, address, q)
	if err != nil {
		return peer.Reply{}, err
	}
	return state.ToReply()
}
