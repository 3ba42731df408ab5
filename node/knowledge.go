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

// keptChanges is the number of configuration changes that a node can pass on.
const keptChanges = 256

// changeLog keeps the latest configuration changes; its zero value is empty.
type changeLog struct {
	mu      sync.Mutex
	changes []config.Change
}

func (l *changeLog) add(c config.Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, c)
	if over := len(l.changes) - keptChanges; over > 0 {
		l.changes = slices.Delete(l.changes, 0, over)
	}
}

// after returns the kept changes after a revision.
func (l *changeLog) after(revision int64) []config.Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.IndexFunc(l.changes, func(c config.Change) bool { return c.Revision > revision })
	if i < 0 {
		return nil
	}
	return slices.Clone(l.changes[i:])
}

// KnowledgeLocal tells a peer what this node knows of the store.
func (n *Node) KnowledgeLocal(q peer.KnowledgeQuery) peer.KnowledgeReply {
	d := n.directory()
	reply := peer.KnowledgeReply{
		Members:            slices.Collect(maps.Values(d.members)),
		MembersRevision:    d.membersRevision,
		Assignment:         d.assignment,
		AssignmentRevision: d.assignment.Revision,
		Changes:            n.changes.after(q.Config),
	}
	state := n.configState()
	if state.Revision > q.Config && (len(reply.Changes) == 0 || reply.Changes[0].Revision != q.Config+1) {
		reply.Changes, reply.Whole = nil, &state
	}
	return reply
}

// learnFromPeer asks one peer what it knows of the store, which this node does
// not reach. Everything carries its revision, so that nothing goes back.
func (f *storeFollower) learnFromPeer(ctx context.Context) {
	address, ok := f.node.anyPeer()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	known, err := f.node.peers.Knowledge(ctx, address, peer.KnowledgeQuery{Config: f.config.State().Revision})
	if err != nil {
		// Another peer is asked next time.
		return
	}
	known.Assignment.Revision = known.AssignmentRevision
	f.node.send(f.node.membership, &assignmentChanged{known.Assignment})
	f.node.send(f.node.membership, &membersChanged{known.Members, known.MembersRevision})
	before := f.config.State().Revision
	if known.Whole != nil {
		f.config.Adopt(*known.Whole)
	}
	for _, c := range known.Changes {
		f.offer(&c)
	}
	f.publishConfig(before)
}

// anyPeer returns the address of a random other node: a listed one, or one of
// the settings' before any is known.
func (n *Node) anyPeer() (string, bool) {
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
