package node

import (
	"context"
	"fmt"
	"sync"
	"time"

	"jacinthwind/core"
	"jacinthwind/core/membership"
	"jacinthwind/io/operator"
	"jacinthwind/io/peer"
)

const voteTimeout = 500 * time.Millisecond

// voter guards this node's vote state with a mutex.
type voter struct {
	mu    sync.Mutex
	state membership.Voter
	// id is the ID of the incarnation of this node that has given these votes.
	id string
}

// updateRevision records the revision of an assignment that this node knows.
func (v *voter) updateRevision(revision int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.state.UpdateRevision(revision)
}

// reset discards all promises and locks, as a new incarnation of the node has given
// none, and records the revision of the assignment that the node knows.
func (v *voter) reset(id string, revision int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.state, v.id = membership.Voter{}, id
	v.state.UpdateRevision(revision)
}

// HandlePromise decides whether this node promises an owner that cannot reach the
// store to let it keep its ownership.
func (n *Node) HandlePromise(q membership.PromiseQuery) peer.VoteReply {
	n.voter.mu.Lock()
	defer n.voter.mu.Unlock()
	granted := n.voter.state.GrantPromise(time.Now(), q, n.storeMonitor.isUnreachable(), n.configState().Revision)
	return peer.VoteReply{ID: n.voter.id, Granted: granted}
}

// HandleLock decides whether this node stops giving promises under the present
// assignment, for a node that proposes another one.
func (n *Node) HandleLock(q membership.LockQuery) peer.VoteReply {
	n.voter.mu.Lock()
	defer n.voter.mu.Unlock()
	granted, wait := n.voter.state.GrantLock(time.Now(), q)
	return peer.VoteReply{ID: n.voter.id, Granted: granted, WaitMS: wait.Milliseconds() + 1}
}

// askVoters calls all voters of an assignment concurrently and returns their
// answers by ID. Voters that did not answer are missing.
func askVoters[A any](
	ctx context.Context,
	voters map[string]string,
	ask func(ctx context.Context, address string) (A, error),
) map[string]A {
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	answers := make(map[string]A, len(voters))
	for id, address := range voters {
		wg.Go(func() {
			answer, err := ask(ctx, address)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers[id] = answer
		})
	}
	wg.Wait()
	return answers
}

// gatherPromises asks the voters to let this node keep its ownership. It returns
// the new end of the ownership and whether a majority agreed.
func (n *Node) gatherPromises(ctx context.Context, self string) (time.Time, bool) {
	a := n.directory().assignment
	if len(a.Voters) == 0 {
		return time.Time{}, false
	}
	askedAt := time.Now()
	q := membership.PromiseQuery{ID: self, Assignment: a.Revision, Config: n.configState().Revision}
	replies := askVoters(ctx, a.Voters, func(ctx context.Context, address string) (peer.VoteReply, error) {
		if address == n.settings.PeerAddress {
			return n.HandlePromise(q), nil
		}
		return n.peers.RequestPromise(ctx, address, q)
	})
	granted := 0
	for id, reply := range replies {
		if reply.Granted && reply.ID == id {
			granted++
		}
	}
	return membership.PromisedUntil(askedAt), a.IsMajority(granted)
}

// gatherLocks asks the voters of the present assignment to promise nothing more
// under it, and sends the result to the membership actor. If a voter's address
// answers with another ID, the voter is gone. Its promises end after
// PromiseDuration at the latest.
func (n *Node) gatherLocks(ctx context.Context, a membership.Assignment) {
	q := membership.LockQuery{Assignment: a.Revision}
	replies := askVoters(ctx, a.Voters, func(ctx context.Context, address string) (peer.VoteReply, error) {
		if address == n.settings.PeerAddress {
			return n.HandleLock(q), nil
		}
		return n.peers.RequestLock(ctx, address, q)
	})
	now := time.Now()
	until := now
	granted := 0
	for id := range a.Voters {
		reply, answered := replies[id]
		wait := time.Duration(reply.WaitMS) * time.Millisecond
		if n.isVoterGone(id, reply, answered) {
			reply.Granted, wait = true, membership.PromiseDuration
		}
		if !reply.Granted {
			continue
		}
		granted++
		if end := now.Add(wait); end.After(until) {
			until = end
		}
	}
	n.send(n.membership, &locksGranted{revision: a.Revision, granted: granted, until: until})
}

// isVoterGone reports whether a voter is known to have stopped: another
// incarnation answers at its address, or an operator declared it gone.
func (n *Node) isVoterGone(id string, reply peer.VoteReply, answered bool) bool {
	_, forgotten := n.forgotten.Load(id)
	return forgotten || (answered && reply.ID != id)
}

// Forget records an operator's declaration that the VM of a node is permanently
// gone. The operator must not name a node that is only disconnected, as it may
// still keep its ownership.
func (n *Node) Forget(ctx context.Context, q operator.ForgetQuery) (operator.ForgetReply, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorCallTimeout)
	defer cancel()
	d := n.directory()
	if _, alive := d.members[q.ID]; alive {
		return operator.ForgetReply{}, fmt.Errorf("node %s holds its lease in the store", q.ID)
	}
	if _, isVoter := d.assignment.Voters[q.ID]; !isVoter {
		return operator.ForgetReply{}, fmt.Errorf("no owner depends on node %s", q.ID)
	}
	result := n.store.CompareAndSwap(ctx, core.Write{Key: prefixForgotten + q.ID, Value: []byte(q.Author)})
	if result.Status == core.WriteUnknown {
		return operator.ForgetReply{}, fmt.Errorf("forget node %s: %w", q.ID, core.ErrUnavailable)
	}
	return operator.ForgetReply{}, nil
}
