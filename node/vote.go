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

// voter guards this node's part in the decisions of a majority.
type voter struct {
	mu    sync.Mutex
	state membership.Voter
}

func (v *voter) learn(revision int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.state.Learn(revision)
}

// restart begins another incarnation, which has promised nothing.
func (v *voter) restart(revision int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.state = membership.Voter{}
	v.state.Learn(revision)
}

// PromiseLocal answers an owner that cannot reach the store.
func (n *Node) PromiseLocal(q membership.PromiseQuery) peer.VoteReply {
	n.voter.mu.Lock()
	defer n.voter.mu.Unlock()
	granted := n.voter.state.Promise(time.Now(), q, n.contact.isSilent(), n.configState().Revision)
	return peer.VoteReply{ID: n.directory().self.ID, Granted: granted}
}

// LockLocal answers a node that proposes another assignment.
func (n *Node) LockLocal(q membership.LockQuery) peer.VoteReply {
	n.voter.mu.Lock()
	defer n.voter.mu.Unlock()
	granted, wait := n.voter.state.Lock(time.Now(), q)
	return peer.VoteReply{ID: n.directory().self.ID, Granted: granted, WaitMS: wait.Milliseconds() + 1}
}

// askVoters asks all voters of an assignment at once and returns their answers
// by id, without those that gave none.
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

// gatherPromises asks the voters to let this node go on and returns until when
// a majority does.
func (n *Node) gatherPromises(ctx context.Context, self string) (time.Time, bool) {
	a := n.directory().assignment
	if len(a.Voters) == 0 {
		return time.Time{}, false
	}
	askedAt := time.Now()
	q := membership.PromiseQuery{ID: self, Assignment: a.Revision, Config: n.configState().Revision}
	replies := askVoters(ctx, a.Voters, func(ctx context.Context, address string) (peer.VoteReply, error) {
		if address == n.settings.PeerAddress {
			return n.PromiseLocal(q), nil
		}
		return n.peers.Promise(ctx, address, q)
	})
	granted := 0
	for id, reply := range replies {
		if reply.Granted && reply.ID == id {
			granted++
		}
	}
	return membership.PromisedUntil(askedAt), a.IsMajority(granted)
}

// gatherLocks asks the voters of the present assignment to let nobody go on
// under it. A voter whose address answers under another id is gone, and with it
// every promise after the longest time of one.
func (n *Node) gatherLocks(ctx context.Context, a membership.Assignment) {
	q := membership.LockQuery{Assignment: a.Revision}
	replies := askVoters(ctx, a.Voters, func(ctx context.Context, address string) (peer.VoteReply, error) {
		if address == n.settings.PeerAddress {
			return n.LockLocal(q), nil
		}
		return n.peers.Lock(ctx, address, q)
	})
	now := time.Now()
	until := now
	granted := 0
	for id := range a.Voters {
		reply, answered := replies[id]
		wait := time.Duration(reply.WaitMS) * time.Millisecond
		if n.isGone(id, reply, answered) {
			reply.Granted, wait = true, membership.PromiseTime
		}
		if !reply.Granted {
			continue
		}
		granted++
		if end := now.Add(wait); end.After(until) {
			until = end
		}
	}
	n.send(n.membership, &locksGathered{revision: a.Revision, granted: granted, until: until})
}

// isGone reports whether a voter is proved not to run any more: another
// incarnation answers at its address, or an operator says so.
func (n *Node) isGone(id string, reply peer.VoteReply, answered bool) bool {
	_, forgotten := n.forgotten.Load(id)
	return forgotten || (answered && reply.ID != id)
}

// Forget records an operator's word that the VM of a node is gone for good. A
// node that is only cut off must not be named: it may go on owning.
func (n *Node) Forget(ctx context.Context, q operator.ForgetQuery) (operator.ForgetReply, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	d := n.directory()
	if _, alive := d.members[q.ID]; alive {
		return operator.ForgetReply{}, fmt.Errorf("node %s holds its lease in the store", q.ID)
	}
	if _, isVoter := d.assignment.Voters[q.ID]; !isVoter {
		return operator.ForgetReply{}, fmt.Errorf("no owner depends on node %s", q.ID)
	}
	result := n.store.CompareAndSwap(ctx, core.Write{Key: keyForgotten + q.ID, Value: []byte(q.Author)})
	if result.Status == core.WriteUnknown {
		return operator.ForgetReply{}, fmt.Errorf("forget node %s: %w", q.ID, core.ErrUnavailable)
	}
	return operator.ForgetReply{}, nil
}
