package node

import (
	"context"
	"maps"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"time"

	"jacinthwind/core/limit"
	"jacinthwind/core/scheduler"
	"jacinthwind/io/operator"
	"jacinthwind/io/peer"
)

// NodeStatus returns the status of this node.
func (n *Node) NodeStatus() peer.NodeStatus {
	d := n.directory()
	s := peer.NodeStatus{
		Name:       n.settings.Name,
		ID:         d.self.ID,
		DataCentre: n.settings.DataCentre,
		Ready:      n.Ready(),
		Leaving:    n.leaving.Load(),
		Revision:   n.configState().Revision,
		OwnedForMS: max(0, time.Until(d.ownedUntil).Milliseconds()),
		Pools:      listNames(d.pools),
		Teams:      listNames(d.teams),
		Violations: n.Violations(),
	}
	s.StoreAgeMS = n.storeMonitor.timeSinceAnswer().Milliseconds()
	return s
}

// listNames returns the names in order. The result is never nil, so that it is
// encoded as a list.
func listNames(owned map[string]ownedActor) []string {
	return slices.AppendSeq([]string{}, slices.Values(slices.Sorted(maps.Keys(owned))))
}

// Status returns the status of all live nodes. An unreachable node is listed with
// the error.
func (n *Node) Status(ctx context.Context) operator.StatusReply {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	d := n.directory()
	ids := slices.Sorted(maps.Keys(d.members))
	reply := operator.StatusReply{Nodes: make([]peer.NodeStatus, len(ids))}
	var wg sync.WaitGroup
	for i, id := range ids {
		m := d.members[id]
		wg.Go(func() {
			status, err := n.fetchStatus(ctx, m.Address)
			if err != nil {
				status = peer.NodeStatus{Name: m.Name, ID: id, DataCentre: m.DataCentre, Error: err.Error()}
			}
			reply.Nodes[i] = status
		})
	}
	wg.Wait()
	return reply
}

// fetchStatus returns the status of the node at an address.
func (n *Node) fetchStatus(ctx context.Context, address string) (peer.NodeStatus, error) {
	if address == n.settings.PeerAddress {
		return n.NodeStatus(), nil
	}
	return n.peers.FetchStatus(ctx, address)
}

// Dump returns the whole state of this process.
func (n *Node) Dump(ctx context.Context) operator.Dump {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	d := n.directory()
	dump := operator.Dump{
		Node: n.NodeStatus(), StartedAt: n.startedAt, Members: d.members, Assignment: d.assignment,
		Memory: readMemoryUsage(),
	}
	for _, name := range slices.Sorted(maps.Keys(d.pools)) {
		reply := make(chan scheduler.Dump, 1)
		n.send(d.pools[name].pid, &poolDump{reply})
		dump.Pools = append(dump.Pools, receiveOrZero(ctx, reply))
	}
	for _, name := range slices.Sorted(maps.Keys(d.teams)) {
		reply := make(chan *limit.State, 1)
		n.send(d.teams[name].pid, &teamDump{reply})
		if s := receiveOrZero(ctx, reply); s != nil {
			dump.Ledgers = append(dump.Ledgers, *s)
		}
	}
	return dump
}

// readMemoryUsage returns the memory use of this process.
func readMemoryUsage() operator.Memory {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return operator.Memory{Heap: m.HeapAlloc, System: m.Sys, Goroutines: runtime.NumGoroutine()}
}

// Metrics returns the handler that serves the node's metrics.
func (n *Node) Metrics() http.Handler {
	return n.metrics.Handler()
}
