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

// Messages to the membership actor, other than those about the lease and the
// content of the store.
type (
	membershipTick struct{}
	locksGranted   struct {
		revision int64
		granted  int
		// until is when the last earlier promise of the voters ends.
		until time.Time
	}
	leaveRequested struct{}
	// assignmentWriteFailed holds the assignment that was read back after a failed
	// write, nil if it could not be read.
	assignmentWriteFailed struct{ stored *membership.Assignment }
	handoverReceived      struct {
		query peer.HandoverQuery
		done  chan<- struct{}
	}
	handoverEnded struct {
		shard  membership.Shard
		result membership.HandoverResult
	}
	retiredPoolEnded struct{ pid *actor.PID }
)

// membershipActor hosts the membership kernel, and starts and stops the actors
// of the shards that this node owns.
type membershipActor struct {
	node   *Node
	kernel membership.Kernel
	view   *config.View
	dir    directory
	// receivedHandovers holds the state received from previous owners, by shard.
	receivedHandovers map[membership.Shard]peer.HandoverQuery
	actorContext      actor.Context
}

// Receive implements actor.Actor.
func (m *membershipActor) Receive(ctx actor.Context) {
	m.actorContext = ctx
	now := time.Now()
	switch msg := ctx.Message().(type) {
	case *leaseGranted:
		m.dir.self = msg.self
		m.node.voter.reset(msg.self.ID, m.kernel.Assignment().Revision)
		m.applyEffects(m.kernel.LeaseGranted(now, msg.self, msg.until))
	case *leaseRenewed:
		m.applyEffects(m.kernel.LeaseRenewed(now, msg.until))
	case *ownershipPromised:
		m.applyEffects(m.kernel.PromisesGranted(now, msg.until))
	case *memberRestored:
		m.applyEffects(m.kernel.MemberRestored(now, msg.revision))
	case *locksGranted:
		m.applyEffects(m.kernel.LocksGranted(now, msg.revision, msg.granted, msg.until))
	case *leaseLost:
		m.applyEffects(m.kernel.LeaseLost(now))
	case *membersChanged:
		m.applyEffects(m.kernel.MembersChanged(now, msg.members, msg.revision))
	case *assignmentChanged:
		m.handleAssignment(now, msg.assignment)
	case *viewChanged:
		m.handleView(now, msg.view)
	case *assignmentWriteFailed:
		m.handleWriteFailure(now, msg)
	case *handoverReceived:
		m.receivedHandovers[msg.query.Shard] = msg.query
		close(msg.done)
	case *handoverEnded:
		m.applyEffects(m.kernel.HandoverEnded(now, msg.shard, msg.result))
	case *retiredPoolEnded:
		m.dir.retired = slices.DeleteFunc(slices.Clone(m.dir.retired), msg.pid.Equal)
		m.publishDirectory()
	case *leaveRequested:
		m.applyEffects(m.kernel.Leave(now))
	case *membershipTick:
		m.applyEffects(m.kernel.Tick(now))
	}
}

// publishDirectory makes a new directory available to the other goroutines of
// the node.
func (m *membershipActor) publishDirectory() {
	m.dir.assignment = m.kernel.Assignment()
	m.dir.members = m.kernel.Members()
	m.dir.membersRevision = m.kernel.MembersRevision()
	m.dir.ownedUntil = m.kernel.OwnedUntil()
	d := m.dir
	m.node.dir.Store(&d)
}

// handleAssignment passes an assignment to the kernel, and tells the pools of
// this node which teams have a new home.
func (m *membershipActor) handleAssignment(now time.Time, a membership.Assignment) {
	before := m.kernel.Assignment()
	m.node.voter.updateRevision(a.Revision)
	m.applyEffects(m.kernel.AssignmentChanged(now, a))
	for _, s := range a.SortedShards() {
		if s.Kind != membership.KindTeam || before.Shards[s] == a.Shards[s] {
			continue
		}
		for _, pool := range m.dir.pools {
			m.node.send(pool.pid, &scheduler.HomeChanged{Team: s.Name})
		}
	}
}

// handleView passes the shards of a configuration to the kernel, and the
// configuration to the pools and teams of this node.
func (m *membershipActor) handleView(now time.Time, v *config.View) {
	m.view = v
	shards := make([]membership.Shard, 0, len(v.Register.Pools)+len(v.Register.Teams))
	for _, p := range v.Register.Pools {
		shards = append(shards, newPoolShard(p.Name))
	}
	for _, t := range v.Register.Teams {
		shards = append(shards, newTeamShard(t.Name))
	}
	m.applyEffects(m.kernel.ShardsChanged(now, shards))
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

// handleWriteFailure applies the assignment that was read back after a failed
// write, if there is one, and reports the failure to the kernel.
func (m *membershipActor) handleWriteFailure(now time.Time, msg *assignmentWriteFailed) {
	if msg.stored != nil {
		m.handleAssignment(now, *msg.stored)
	}
	m.applyEffects(m.kernel.WriteFailed(now))
}

// applyEffects carries out the decisions of the kernel.
func (m *membershipActor) applyEffects(fx *membership.Effects) {
	for _, s := range fx.Deactivations {
		m.deactivate(s)
	}
	for _, a := range fx.Activations {
		m.activate(a)
	}
	for _, h := range fx.Handovers {
		m.startHandover(h)
	}
	if fx.Lock {
		a := m.kernel.Assignment()
		m.node.spawn(func(ctx context.Context) { m.node.gatherLocks(ctx, a) })
	}
	if fx.Write != nil {
		next := fx.Write
		m.node.spawn(func(ctx context.Context) { m.node.writeAssignment(ctx, next) })
	}
	m.publishDirectory()
	m.node.log.WriteNotes(fx.Notes)
}

// activate starts the actor of a shard. It uses the state that the previous owner
// handed over only if the handover was clean and of the same epoch.
func (m *membershipActor) activate(a membership.Activation) {
	received, ok := m.receivedHandovers[a.Shard]
	delete(m.receivedHandovers, a.Shard)
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
			Team: a.Shard.Name, Epoch: a.Epoch, Limit: team.Limit, Pools: listPoolNames(m.view), First: a.First,
		}
		if inherits {
			activation.State = received.Team
		}
		m.activateTeam(activation)
	}
}

// activatePool starts the actor of a pool.
func (m *membershipActor) activatePool(a scheduler.Activation) {
	pool, err := newPoolActor(m.node, a)
	if err != nil {
		m.node.log.Write(event.PoolDeactivated, a.Pool, err.Error())
		return
	}
	// The pool's limit reports carry the epoch of the published directory. It is
	// published before the first tick is sent.
	pid := m.actorContext.Spawn(actor.PropsFromProducer(func() actor.Actor { return pool }))
	m.dir.pools = maps.Clone(m.dir.pools)
	if m.dir.pools == nil {
		m.dir.pools = make(map[string]ownedActor)
	}
	m.dir.pools[a.Pool] = ownedActor{pid, a.Epoch}
	m.publishDirectory()
	m.node.send(pid, &scheduler.Tick{OwnedUntil: m.kernel.OwnedUntil()})
}

// activateTeam starts the actor of a team's limit.
func (m *membershipActor) activateTeam(a limit.Activation) {
	team := &teamActor{node: m.node, team: a.Team, ledger: limit.New(a)}
	pid := m.actorContext.Spawn(actor.PropsFromProducer(func() actor.Actor { return team }))
	m.dir.teams = maps.Clone(m.dir.teams)
	if m.dir.teams == nil {
		m.dir.teams = make(map[string]ownedActor)
	}
	m.dir.teams[a.Team] = ownedActor{pid, a.Epoch}
}

// deactivate ends the ownership of a shard. The actor of a pool keeps running
// until the attempts in flight have ended.
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
		m.publishDirectory()
		m.node.send(owned.pid, &poolRetire{})
		m.node.log.Write(event.PoolDeactivated, s.Name, fmt.Sprintf("epoch %d", owned.epoch))
	case membership.KindTeam:
		owned, ok := m.dir.teams[s.Name]
		if !ok {
			return
		}
		m.dir.teams = maps.Clone(m.dir.teams)
		delete(m.dir.teams, s.Name)
		m.actorContext.Stop(owned.pid)
		m.node.log.Write(event.TeamDeactivated, s.Name, fmt.Sprintf("epoch %d", owned.epoch))
	}
}

// startHandover freezes a shard and sends its state to the next owner.
func (m *membershipActor) startHandover(h membership.Handover) {
	q := peer.HandoverQuery{Shard: h.Shard, Epoch: h.Epoch}
	pool, team := m.dir.pools[h.Shard.Name].pid, m.dir.teams[h.Shard.Name].pid
	m.node.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		defer cancel()
		result := membership.HandoverNotFrozen
		if m.node.freezeShard(ctx, &q, pool, team) {
			result = m.node.sendHandover(ctx, h.To.Address, q)
		}
		m.node.send(m.node.membership, &handoverEnded{shard: h.Shard, result: result})
	})
}

// freezeShard stops the decisions of a shard and stores its state in q. It
// reports whether the state was received before ctx ended.
func (n *Node) freezeShard(ctx context.Context, q *peer.HandoverQuery, pool, team *actor.PID) bool {
	switch q.Shard.Kind {
	case membership.KindPool:
		reply := make(chan *scheduler.State, 1)
		n.send(pool, &poolFreeze{reply})
		q.Pool = receiveOrZero(ctx, reply)
		return q.Pool != nil
	case membership.KindTeam:
		reply := make(chan *limit.State, 1)
		n.send(team, &teamFreeze{reply})
		q.Team = receiveOrZero(ctx, reply)
		return q.Team != nil
	}
	return false
}

// receiveOrZero returns the next value, or the zero value if ctx ends first.
func receiveOrZero[T any](ctx context.Context, values <-chan T) T {
	select {
	case v := <-values:
		return v
	case <-ctx.Done():
		var zero T
		return zero
	}
}

// sendHandover sends a handover to the node at address and logs the result.
func (n *Node) sendHandover(ctx context.Context, address string, q peer.HandoverQuery) membership.HandoverResult {
	if err := n.peers.SendHandover(ctx, address, q); err != nil {
		n.log.Write(event.HandoverFailed, q.Shard.String(), err.Error())
		return membership.HandoverLost
	}
	n.log.Write(event.HandoverSent, q.Shard.String(), address)
	return membership.HandoverDone
}

// HandleHandover stores the state of a shard until this node owns the shard.
func (n *Node) HandleHandover(ctx context.Context, q peer.HandoverQuery) error {
	done := make(chan struct{})
	n.send(n.membership, &handoverReceived{query: q, done: done})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("hand over %s: %w", q.Shard, ctx.Err())
	}
}

// HandleAttemptEnd tells the pool's actor how an attempt of a previous owner
// ended.
func (n *Node) HandleAttemptEnd(_ context.Context, q peer.AttemptEndQuery) error {
	owned, ok := n.directory().pools[q.Attempt.Pool]
	if !ok || owned.epoch <= q.Attempt.Epoch {
		return fmt.Errorf("pool %s has no later owner here", q.Attempt.Pool)
	}
	// The previous owner itself returns the answer to the caller.
	n.send(owned.pid, &scheduler.AttemptEnded{Attempt: q.Attempt, Result: core.AttemptResult{Status: q.Status}})
	return nil
}

// writeAssignment writes the assignment record. After a conflict or an unknown
// result it reads the record back.
func (n *Node) writeAssignment(ctx context.Context, next *membership.Assignment) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	value, err := json.Marshal(next)
	if err != nil {
		n.log.Write(event.AssignmentLost, n.settings.Name, err.Error())
		return
	}
	result := n.store.CompareAndSwap(ctx, core.Write{Key: keyAssignment, Value: value, Expect: next.Revision})
	if result.Status == core.WriteOK {
		next.Revision = result.Revision
		n.send(n.membership, &assignmentChanged{*next})
		return
	}
	n.send(n.membership, &assignmentWriteFailed{stored: n.readAssignment(ctx)})
}

// readAssignment returns the assignment record, or nil if it cannot be read.
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
