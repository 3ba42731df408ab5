package node

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"jacinthwind/core"
	"jacinthwind/core/config"
	"jacinthwind/core/event"
	"jacinthwind/core/limit"
	"jacinthwind/core/membership"
	"jacinthwind/core/scheduler"
	"jacinthwind/io/peer"
)

// The messages of the membership's actor besides those about the store.
type (
	memberTick    struct{}
	locksGathered struct {
		revision int64
		granted  int
		until    time.Time
	}
	memberLeave   struct{}
	writeFailed   struct{ known *membership.Assignment }
	handoverState struct {
		query peer.HandoverQuery
		done  chan<- struct{}
	}
	handoverEnded struct {
		shard  membership.Shard
		result membership.HandoverResult
	}
	retiredEnded struct{ pid *actor.PID }
)

// membershipActor hosts the membership kernel and starts and stops the actors
// of the shards that this node owns.
type membershipActor struct {
	node   *Node
	kernel membership.Kernel
	view   *config.View
	dir    directory
	// received holds the states that predecessors handed over.
	received map[membership.Shard]peer.HandoverQuery
	system   actor.Context
}

// Receive implements actor.Actor.
func (m *membershipActor) Receive(ctx actor.Context) {
	m.system = ctx
	now := time.Now()
	switch msg := ctx.Message().(type) {
	case *leaseGranted:
		m.dir.self = msg.self
		m.node.voter.restart(m.kernel.Assignment().Revision)
		m.carryOut(m.kernel.LeaseGranted(now, msg.self, msg.until))
	case *leaseRenewed:
		m.carryOut(m.kernel.LeaseRenewed(now, msg.until))
	case *leasePromised:
		m.carryOut(m.kernel.Promised(now, msg.until))
	case *leaseRestored:
		m.carryOut(m.kernel.Restored(now, msg.revision))
	case *locksGathered:
		m.carryOut(m.kernel.LocksGathered(now, msg.revision, msg.granted, msg.until))
	case *leaseLost:
		m.carryOut(m.kernel.LeaseLost(now))
	case *membersChanged:
		m.carryOut(m.kernel.MembersChanged(now, msg.members, msg.revision))
	case *assignmentChanged:
		m.assignmentChanged(now, msg.assignment)
	case *viewChanged:
		m.viewChanged(now, msg.view)
	case *writeFailed:
		m.writeFailed(now, msg)
	case *handoverState:
		m.received[msg.query.Shard] = msg.query
		close(msg.done)
	case *handoverEnded:
		m.carryOut(m.kernel.HandoverEnded(now, msg.shard, msg.result))
	case *retiredEnded:
		m.dir.retired = slices.DeleteFunc(slices.Clone(m.dir.retired), msg.pid.Equal)
		m.publish()
	case *memberLeave:
		m.carryOut(m.kernel.Leave(now))
	case *memberTick:
		m.carryOut(m.kernel.Tick(now))
	}
}

// publish makes the present knowledge visible to the other parts of the node.
func (m *membershipActor) publish() {
	m.dir.assignment = m.kernel.Assignment()
	m.dir.members = m.kernel.Members()
	m.dir.membersRevision = m.kernel.MembersRevision()
	m.dir.ownedUntil = m.kernel.OwnedUntil()
	d := m.dir
	m.node.dir.Store(&d)
}

// assignmentChanged tells the pools of this node which teams have a new home.
func (m *membershipActor) assignmentChanged(now time.Time, a membership.Assignment) {
	before := m.kernel.Assignment()
	m.node.voter.learn(a.Revision)
	m.carryOut(m.kernel.AssignmentChanged(now, a))
	for _, s := range a.SortedShards() {
		if s.Kind != membership.KindTeam || before.Shards[s] == a.Shards[s] {
			continue
		}
		for _, pool := range m.dir.pools {
			m.node.send(pool.pid, &scheduler.HomeChanged{Team: s.Name})
		}
	}
}

func (m *membershipActor) viewChanged(now time.Time, v *config.View) {
	m.view = v
	shards := make([]membership.Shard, 0, len(v.Register.Pools)+len(v.Register.Teams))
	for _, p := range v.Register.Pools {
		shards = append(shards, poolShard(p.Name))
	}
	for _, t := range v.Register.Teams {
		shards = append(shards, teamShard(t.Name))
	}
	m.carryOut(m.kernel.ShardsChanged(now, shards))
	for _, p := range m.dir.pools {
		m.node.send(p.pid, &scheduler.ConfigChanged{View: v})
	}
	for _, pid := range m.dir.retired {
		m.node.send(pid, &scheduler.ConfigChanged{View: v})
	}
	for _, t := range m.dir.teams {
		m.node.send(t.pid, &teamView{v})
	}
}

// writeFailed takes the record as it was read after a write that failed.
func (m *membershipActor) writeFailed(now time.Time, msg *writeFailed) {
	if msg.known != nil {
		m.assignmentChanged(now, *msg.known)
	}
	m.carryOut(m.kernel.WriteFailed(now))
}

func (m *membershipActor) carryOut(fx *membership.Effects) {
	for _, s := range fx.Deactivate {
		m.deactivate(s)
	}
	for _, a := range fx.Activate {
		m.activate(a)
	}
	for _, h := range fx.Handovers {
		m.handOver(h)
	}
	if fx.Lock {
		a := m.kernel.Assignment()
		m.node.spawn(func(ctx context.Context) { m.node.gatherLocks(ctx, a) })
	}
	if fx.Write != nil {
		next := fx.Write
		m.node.spawn(func(ctx context.Context) { m.node.writeAssignment(ctx, next) })
	}
	m.publish()
	m.node.log.Notes(fx.Notes)
}

func (m *membershipActor) activate(a membership.Activate) {
	received, ok := m.received[a.Shard]
	delete(m.received, a.Shard)
	inherits := ok && a.Clean && received.Epoch == a.Epoch
	switch a.Shard.Kind {
	case membership.KindPool:
		activation := scheduler.Activation{
			Pool: a.Shard.Name, Epoch: a.Epoch, View: m.view, First: a.First,
			OwnedUntil: m.kernel.OwnedUntil(),
		}
		if inherits {
			activation.State = received.Pool
		}
		m.activatePool(activation)
	case membership.KindTeam:
		team, _ := m.view.Team(a.Shard.Name)
		activation := limit.Activation{
			Team: a.Shard.Name, Epoch: a.Epoch, Limit: team.Limit, Pools: poolNames(m.view), First: a.First,
		}
		if inherits {
			activation.State = received.Team
		}
		m.activateTeam(activation)
	}
}

func (m *membershipActor) activatePool(a scheduler.Activation) {
	host, err := newPoolActor(m.node, a)
	if err != nil {
		m.node.log.Event(event.PoolDeactivated, a.Pool, err.Error())
		return
	}
	// The directory has to name the epoch before the actor reports under it.
	pid := m.system.Spawn(actor.PropsFromProducer(func() actor.Actor { return host }))
	m.dir.pools = maps.Clone(m.dir.pools)
	if m.dir.pools == nil {
		m.dir.pools = make(map[string]ownedActor)
	}
	m.dir.pools[a.Pool] = ownedActor{pid, a.Epoch}
	m.publish()
	m.node.send(pid, &scheduler.Tick{OwnedUntil: m.kernel.OwnedUntil()})
}

func (m *membershipActor) activateTeam(a limit.Activation) {
	host := &teamActor{node: m.node, team: a.Team, ledger: limit.New(a)}
	pid := m.system.Spawn(actor.PropsFromProducer(func() actor.Actor { return host }))
	m.dir.teams = maps.Clone(m.dir.teams)
	if m.dir.teams == nil {
		m.dir.teams = make(map[string]ownedActor)
	}
	m.dir.teams[a.Team] = ownedActor{pid, a.Epoch}
}

func (m *membershipActor) deactivate(s membership.Shard) {
	switch s.Kind {
	case membership.KindPool:
		owned, ok := m.dir.pools[s.Name]
		if !ok {
			return
		}
		m.dir.pools = maps.Clone(m.dir.pools)
		delete(m.dir.pools, s.Name)
		m.dir.retired = append(slices.Clone(m.dir.retired), owned.pid)
		m.publish()
		m.node.send(owned.pid, &poolRetire{})
		m.node.log.Event(event.PoolDeactivated, s.Name, fmt.Sprintf("epoch %d", owned.epoch))
	case membership.KindTeam:
		owned, ok := m.dir.teams[s.Name]
		if !ok {
			return
		}
		m.dir.teams = maps.Clone(m.dir.teams)
		delete(m.dir.teams, s.Name)
		m.system.Stop(owned.pid)
		m.node.log.Event(event.TeamDeactivated, s.Name, fmt.Sprintf("epoch %d", owned.epoch))
	}
}

// handOver sends the frozen state of a shard to its next owner.
func (m *membershipActor) handOver(h membership.Handover) {
	q := peer.HandoverQuery{Shard: h.Shard, Epoch: h.Epoch}
	pool, team := m.dir.pools[h.Shard.Name].pid, m.dir.teams[h.Shard.Name].pid
	m.node.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		defer cancel()
		result := membership.HandoverNotFrozen
		if m.node.freeze(ctx, &q, pool, team) {
			result = m.node.sendHandover(ctx, h.To.Address, q)
		}
		m.node.send(m.node.membership, &handoverEnded{shard: h.Shard, result: result})
	})
}

// freeze stops a shard's decisions and puts its state into q.
func (n *Node) freeze(ctx context.Context, q *peer.HandoverQuery, pool, team *actor.PID) bool {
	switch q.Shard.Kind {
	case membership.KindPool:
		reply := make(chan *scheduler.State, 1)
		n.send(pool, &poolFreeze{reply})
		q.Pool = receive(ctx, reply)
		return q.Pool != nil
	case membership.KindTeam:
		reply := make(chan *limit.State, 1)
		n.send(team, &teamFreeze{reply})
		q.Team = receive(ctx, reply)
		return q.Team != nil
	}
	return false
}

// receive returns the next value, or the zero value when ctx ends first.
func receive[T any](ctx context.Context, values <-chan T) T {
	select {
	case v := <-values:
		return v
	case <-ctx.Done():
		var zero T
		return zero
	}
}

func (n *Node) sendHandover(ctx context.Context, address string, q peer.HandoverQuery) membership.HandoverResult {
	if err := n.peers.Handover(ctx, address, q); err != nil {
		n.log.Event(event.HandoverFailed, q.Shard.String(), err.Error())
		return membership.HandoverLost
	}
	n.log.Event(event.HandoverSent, q.Shard.String(), address)
	return membership.HandoverDone
}

// HandoverLocal keeps the state of a shard until this node owns it.
func (n *Node) HandoverLocal(ctx context.Context, q peer.HandoverQuery) error {
	done := make(chan struct{})
	n.send(n.membership, &handoverState{query: q, done: done})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("hand over %s: %w", q.Shard, ctx.Err())
	}
}

// AttemptEndedLocal gives the end of a predecessor's attempt to the pool.
func (n *Node) AttemptEndedLocal(_ context.Context, q peer.AttemptQuery) error {
	owned, ok := n.directory().pools[q.Attempt.Pool]
	if !ok || owned.epoch <= q.Attempt.Epoch {
		return fmt.Errorf("pool %s has no later owner here", q.Attempt.Pool)
	}
	// The answer itself went to the caller through the predecessor.
	n.send(owned.pid, &scheduler.AttemptEnded{Attempt: q.Attempt, Result: core.AttemptResult{Status: q.Status}})
	return nil
}

// writeAssignment writes the record; after a conflict or an unknown result it
// reads the record back.
func (n *Node) writeAssignment(ctx context.Context, next *membership.Assignment) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	value, err := json.Marshal(next)
	if err != nil {
		n.log.Event(event.AssignmentLost, n.settings.Name, err.Error())
		return
	}
	result := n.store.CompareAndSwap(ctx, core.Write{Key: keyAssignment, Value: value, Expect: next.Revision})
	if result.Status == core.WriteOK {
		next.Revision = result.Revision
		n.send(n.membership, &assignmentChanged{*next})
		return
	}
	n.send(n.membership, &writeFailed{known: n.readAssignment(ctx)})
}

func (n *Node) readAssignment(ctx context.Context) *membership.Assignment {
	entry, err := n.store.Get(ctx, keyAssignment)
	if err != nil {
		return nil
	}
	a, err := membership.DecodeAssignment(entry.Value, entry.Revision)
	if err != nil {
		return nil
	}
	return &a
}
