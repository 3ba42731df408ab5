package node

import (
	"context"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"jacinthwind/core/limit"
	"jacinthwind/core/scheduler"
	"jacinthwind/io/peer"
)

const peerCallTimeout = 2 * time.Second

// exchange sends a pool's reports to the homes of the teams, one message per
// node, and gives the answers to the pool's actor.
func (n *Node) exchange(pool string, pid *actor.PID, exchanges []scheduler.Exchange) {
	d := n.directory()
	epoch := d.pools[pool].epoch
	byAddress := make(map[string][]limit.Report)
	for _, x := range exchanges {
		owner, home, ok := d.owner(teamShard(x.Team))
		if !ok {
			continue
		}
		byAddress[home.Address] = append(byAddress[home.Address], limit.Report{
			Team: x.Team, HomeEpoch: owner.Epoch, Pool: pool, PoolEpoch: epoch, Seq: x.Seq, Held: x.Held, Want: x.Want,
		})
	}
	for address, reports := range byAddress {
		n.spawn(func(ctx context.Context) {
			n.deliver(pid, n.report(ctx, address, reports))
		})
	}
}

// report returns the answers of the homes at address, none where they cannot
// be reached.
func (n *Node) report(ctx context.Context, address string, reports []limit.Report) []limit.Answer {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	q := peer.LimitsQuery{Reports: reports}
	if address == n.settings.PeerAddress {
		return n.LimitsLocal(ctx, q).Answers
	}
	reply, err := n.peers.Limits(ctx, address, q)
	if err != nil {
		// The kernel repeats a report that gets no answer.
		return nil
	}
	return reply.Answers
}

func (n *Node) deliver(pid *actor.PID, answers []limit.Answer) {
	for _, a := range answers {
		n.send(pid, &scheduler.LimitGranted{
			Team: a.Team, HomeEpoch: a.HomeEpoch, Seq: a.Seq,
			Granted: a.Granted, Target: a.Target, Unknown: a.Unknown,
		})
	}
}

// LimitsLocal answers the reports to the teams whose home this node is.
func (n *Node) LimitsLocal(ctx context.Context, q peer.LimitsQuery) peer.LimitsReply {
	var reply peer.LimitsReply
	d := n.directory()
	for _, r := range q.Reports {
		home, ok := d.teams[r.Team]
		if !ok {
			continue
		}
		answers := make(chan teamAnswer, 1)
		n.send(home.pid, &teamReport{report: r, reply: answers})
		select {
		case a := <-answers:
			if a.ok {
				reply.Answers = append(reply.Answers, a.answer)
			}
		case <-ctx.Done():
			return reply
		}
	}
	return reply
}
