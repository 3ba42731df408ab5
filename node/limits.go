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

// reportLimits sends a pool's reports to the homes of the teams, which are the
// nodes that own the teams' limits, and passes the answers to the pool's actor.
// Reports to the same node share a message.
func (n *Node) reportLimits(pool string, pid *actor.PID, reports []scheduler.LimitReport) {
	d := n.directory()
	epoch := d.pools[pool].epoch
	byAddress := make(map[string][]limit.Report)
	for _, r := range reports {
		owner, home, ok := d.findOwner(newTeamShard(r.Team))
		if !ok {
			continue
		}
		byAddress[home.Address] = append(byAddress[home.Address], limit.Report{
			Team: r.Team, HomeEpoch: owner.Epoch, Pool: pool, PoolEpoch: epoch, Seq: r.Seq, Held: r.Held, Want: r.Want,
		})
	}
	for address, batch := range byAddress {
		n.spawn(func(ctx context.Context) {
			n.deliverAnswers(pid, n.sendReports(ctx, address, batch))
		})
	}
}

// sendReports returns the answers of the homes at address, or none if the node
// cannot be reached.
func (n *Node) sendReports(ctx context.Context, address string, reports []limit.Report) []limit.Answer {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	q := peer.LimitsQuery{Reports: reports}
	if address == n.settings.PeerAddress {
		return n.HandleLimits(ctx, q).Answers
	}
	reply, err := n.peers.ReportLimits(ctx, address, q)
	if err != nil {
		// The kernel repeats reports without an answer.
		return nil
	}
	return reply.Answers
}

// deliverAnswers passes the granted limits to a pool's actor.
func (n *Node) deliverAnswers(pid *actor.PID, answers []limit.Answer) {
	for _, a := range answers {
		n.send(pid, &scheduler.LimitGranted{
			Team: a.Team, HomeEpoch: a.HomeEpoch, Seq: a.Seq,
			Granted: a.Granted, Target: a.Target, Unknown: a.Unknown,
		})
	}
}

// HandleLimits answers the reports about teams whose home is this node.
func (n *Node) HandleLimits(ctx context.Context, q peer.LimitsQuery) peer.LimitsReply {
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
