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
	firstRouteWait = 5 * time.Millisecond
	maxRouteWait   = 200 * time.Millisecond
)

// Submit brings a request to the owner of its pool and returns its result. A
// request that an owner did not take, or whose owner vanished, is sent again
// with the same id, which the owners recognise.
func (n *Node) Submit(ctx context.Context, r *core.Request) core.Result {
	var doubt bool
	wait := firstRouteWait
	for {
		reply, err := n.submitOnce(ctx, r)
		if err == nil && reply.Taken {
			return withDoubt(reply.Result, doubt)
		}
		doubt = doubt || mayHaveStarted(reply, err)
		if !sleepJitter(ctx, wait) || !time.Now().Before(r.Deadline) {
			return unreachable(doubt)
		}
		wait = min(2*wait, maxRouteWait)
	}
}

// mayHaveStarted reports whether an attempt may have started although the
// owner did not keep the request.
func mayHaveStarted(reply peer.Reply, err error) bool {
	if err != nil {
		return !errors.Is(err, peer.ErrNotSent)
	}
	return reply.Result.Outcome == core.Unknown
}

// withDoubt turns a refusal into unknown where an earlier owner may have
// started the request.
func withDoubt(r core.Result, doubt bool) core.Result {
	if doubt && r.Outcome == core.NotRun {
		return core.Result{Outcome: core.Unknown, Reason: core.ReasonOwnerLost}
	}
	return r
}

func unreachable(doubt bool) core.Result {
	if doubt {
		return core.Result{Outcome: core.Unknown, Reason: core.ReasonOwnerLost}
	}
	return core.Result{Outcome: core.NotRun, Reason: core.ReasonOwnerUnreachable, RetryAfter: time.Second}
}

// sleepJitter waits for d in the mean and reports whether ctx is still in force.
func sleepJitter(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d/2 + rand.N(d))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

var errNoOwner = errors.New("no owner is known")

// submitOnce sends a request to the present owner of its pool.
func (n *Node) submitOnce(ctx context.Context, r *core.Request) (peer.Reply, error) {
	place, address, err := n.place(r.Queue)
	if err != nil {
		return peer.Reply{}, errors.Join(peer.ErrNotSent, err)
	}
	s := &peer.Submission{Place: place, Request: r, SentAt: time.Now()}
	if address == n.settings.PeerAddress {
		return n.SubmitLocal(ctx, s), nil
	}
	return n.peers.Submit(ctx, address, s)
}

// place returns the owner of a queue's pool.
func (n *Node) place(queue string) (peer.Place, string, error) {
	view := n.View()
	if view == nil {
		return peer.Place{}, "", errNoOwner
	}
	q, ok := view.Queue(queue)
	if !ok {
		return peer.Place{}, "", errNoOwner
	}
	owner, member, ok := n.directory().owner(poolShard(q.Pool))
	if !ok {
		return peer.Place{}, "", errNoOwner
	}
	return peer.Place{Pool: q.Pool, Epoch: owner.Epoch}, member.Address, nil
}

// localPool returns the actor of a pool that this node owns under the epoch
// that the sender knows or a later one.
func (n *Node) localPool(p peer.Place) (*actor.PID, bool) {
	owned, ok := n.directory().pools[p.Pool]
	if !ok || owned.epoch < p.Epoch {
		return nil, false
	}
	return owned.pid, true
}

func notOwner() peer.Reply {
	return peer.Reply{Result: core.Result{Outcome: core.NotRun, Reason: core.ReasonNotOwner}}
}

// SubmitLocal hands a request to the pool's actor on this node.
func (n *Node) SubmitLocal(ctx context.Context, s *peer.Submission) peer.Reply {
	return n.ask(ctx, s.Place, func(reply chan<- peer.Reply) any {
		return &poolSubmit{submission: s, reply: reply}
	})
}

// CancelLocal withdraws a request at the pool's actor on this node.
func (n *Node) CancelLocal(ctx context.Context, q peer.KeyQuery) peer.Reply {
	return n.ask(ctx, q.Place, func(reply chan<- peer.Reply) any {
		return &poolCancel{key: q.Key, reply: reply}
	})
}

// QueryLocal asks the pool's actor on this node for the state of a request.
func (n *Node) QueryLocal(ctx context.Context, q peer.KeyQuery) peer.Reply {
	return n.ask(ctx, q.Place, func(reply chan<- peer.Reply) any {
		return &poolQuery{key: q.Key, reply: reply}
	})
}

// ask sends a message to a pool's actor and waits for the reply.
func (n *Node) ask(ctx context.Context, p peer.Place, message func(chan<- peer.Reply) any) peer.Reply {
	pid, ok := n.localPool(p)
	if !ok {
		return notOwner()
	}
	reply := make(chan peer.Reply, 1)
	n.send(pid, message(reply))
	select {
	case r := <-reply:
		return r
	case <-ctx.Done():
		return peer.Reply{Taken: true, Result: core.Result{Outcome: core.Unknown, Reason: core.ReasonOwnerLost}}
	}
}

// Cancel withdraws a request at the owner of its pool.
func (n *Node) Cancel(ctx context.Context, key scheduler.RequestKey) core.Result {
	return n.askOwner(ctx, key, n.CancelLocal, n.peers.Cancel)
}

// Query asks the owner of its pool for the state of a request.
func (n *Node) Query(ctx context.Context, key scheduler.RequestKey) core.Result {
	return n.askOwner(ctx, key, n.QueryLocal, n.peers.Query)
}

// askOwner calls the owner of a request's pool here or on another node.
func (n *Node) askOwner(
	ctx context.Context,
	key scheduler.RequestKey,
	local func(context.Context, peer.KeyQuery) peer.Reply,
	remote func(context.Context, string, peer.KeyQuery) (peer.StateReply, error),
) core.Result {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	wait := firstRouteWait
	for {
		reply, err := n.askOwnerOnce(ctx, key, local, remote)
		if err == nil && reply.Taken {
			return reply.Result
		}
		if !sleepJitter(ctx, wait) {
			return core.Result{Outcome: core.Unknown, Reason: core.ReasonOwnerUnreachable}
		}
		wait = min(2*wait, maxRouteWait)
	}
}

func (n *Node) askOwnerOnce(
	ctx context.Context,
	key scheduler.RequestKey,
	local func(context.Context, peer.KeyQuery) peer.Reply,
	remote func(context.Context, string, peer.KeyQuery) (peer.StateReply, error),
) (peer.Reply, error) {
	place, address, err := n.place(key.Queue)
	if err != nil {
		return peer.Reply{}, err
	}
	q := peer.KeyQuery{Place: place, Key: key}
	if address == n.settings.PeerAddress {
		return local(ctx, q), nil
	}
	state, err := remote(ctx, address, q)
	if err != nil {
		return peer.Reply{}, err
	}
	return state.Reply()
}
