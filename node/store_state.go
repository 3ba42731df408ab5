package node

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"jacinthwind/core/config"
	"jacinthwind/io/peer"
)

// maxKeptChanges is the number of configuration changes kept for peers.
const maxKeptChanges = 256

// changeLog holds the latest configuration changes. Its zero value is empty.
type changeLog struct {
	mu      sync.Mutex
	changes []config.Change
}

// add appends a change and drops the oldest one beyond maxKeptChanges.
func (l *changeLog) add(c config.Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, c)
	if over := len(l.changes) - maxKeptChanges; over > 0 {
		l.changes = slices.Delete(l.changes, 0, over)
	}
}

// changesAfter returns the kept changes with a greater revision.
func (l *changeLog) changesAfter(revision int64) []config.Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.IndexFunc(l.changes, func(c config.Change) bool { return c.Revision > revision })
	if i < 0 {
		return nil
	}
	return slices.Clone(l.changes[i:])
}

// HandleStoreState returns this node's copy of the store content to a peer. It
// sends the full configuration if not all changes after the peer's revision are
// kept.
func (n *Node) HandleStoreState(q peer.StoreStateQuery) peer.StoreStateReply {
	d := n.directory()
	reply := peer.StoreStateReply{
		Members:            slices.Collect(maps.Values(d.members)),
		MembersRevision:    d.membersRevision,
		Assignment:         d.assignment,
		AssignmentRevision: d.assignment.Revision,
		Changes:            n.changes.changesAfter(q.Config),
	}
	state := n.configState()
	if state.Revision > q.Config && (len(reply.Changes) == 0 || reply.Changes[0].Revision != q.Config+1) {
		reply.Changes, reply.FullConfig = nil, &state
	}
	return reply
}

// loadFromPeer reads the store content from a random peer while this node cannot
// reach the store. Each part carries its revision, so an older one is ignored.
func (f *storeFollower) loadFromPeer(ctx context.Context) {
	address, ok := f.node.pickPeer()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	reply, err := f.node.peers.FetchStoreState(ctx, address, peer.StoreStateQuery{Config: f.config.State().Revision})
	if err != nil {
		// The next call asks another peer.
		return
	}
	reply.Assignment.Revision = reply.AssignmentRevision
	f.node.send(f.node.membership, &assignmentChanged{reply.Assignment})
	f.node.send(f.node.membership, &membersChanged{reply.Members, reply.MembersRevision})
	before := f.config.State().Revision
	if reply.FullConfig != nil {
		f.config.ReplaceState(*reply.FullConfig)
	}
	for _, c := range reply.Changes {
		f.applyChange(&c)
	}
	f.publishConfig(before)
}

// pickPeer returns the address of a random other node: a member, or a peer of the
// settings as long as no member is known.
func (n *Node) pickPeer() (string, bool) {
	d := n.directory()
	var addresses []string
	if len(d.members) == 0 {
		addresses = n.settings.Peers
	}
	for _, m := range d.members {
		if m.Address != n.settings.PeerAddress {
			addresses = append(addresses, m.Address)
		}
	}
	if len(addresses) == 0 {
		return "", false
	}
	return addresses[rand.IntN(len(addresses))], true
}
