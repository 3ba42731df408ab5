package edge

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"jacinthwind/common/jsonhttp"
	"jacinthwind/core/cell"
	"jacinthwind/core/event"
)

// Timeouts and intervals of the agreement on a store outage.
const (
	// storeUnreachableAfter is how long the store has to be silent before a node
	// reports it as unreachable: longer than a call with its repetitions takes.
	storeUnreachableAfter = 1200 * time.Millisecond
	// outageReportValidity is how long after the owner's query its runs continue if
	// all peers reported the store unreachable; until then a node that sent such a
	// report does not claim the pools.
	outageReportValidity = 1500 * time.Millisecond
	outageCheckInterval  = 500 * time.Millisecond
	outageCheckTimeout   = 400 * time.Millisecond
	// peerRetention is how long a peer that is no longer listed is still asked: its
	// entry may have expired in the outage, and it may come back together with the
	// store.
	peerRetention = 30 * time.Second
	outagePath    = "/outage"
)

// storeState is a node's report of its access to the store.
type storeState struct {
	// Lost reports that the store is unreachable: it answers neither directly nor
	// through a peer.
	Lost bool `json:"lost"`
}

// outageTracker lets the owner's runs continue while no node can reach the store: a
// node that cannot reach it cannot claim the pools. The zero value is ready for use.
type outageTracker struct {
	mu sync.Mutex
	// lastListed is when each peer was last listed.
	lastListed map[string]time.Duration
	// reportedAt is when this node last reported that the store is unreachable.
	reportedAt time.Duration
	// confirmed is set if all peers confirmed the outage when they were last asked.
	confirmed bool
}

// recordPeers records the peers that are listed at the time now.
func (o *outageTracker) recordPeers(now time.Duration, peers []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lastListed == nil {
		o.lastListed = map[string]time.Duration{}
	}
	for _, p := range peers {
		o.lastListed[p] = now
	}
}

// peersToAsk returns the peers that have to confirm an outage. Peers that were
// listed when the list was last read are asked for as long as the outage lasts.
func (o *outageTracker) peersToAsk() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var latest time.Duration
	for _, at := range o.lastListed {
		latest = max(latest, at)
	}
	var peers []string
	for p, at := range o.lastListed {
		if at+peerRetention < latest {
			delete(o.lastListed, p)
			continue
		}
		peers = append(peers, p)
	}
	return peers
}

// recordReport returns this node's report to a peer and, if the store is
// unreachable, records the time of the report.
func (o *outageTracker) recordReport(now time.Duration, unreachable bool) storeState {
	o.mu.Lock()
	defer o.mu.Unlock()
	if unreachable {
		o.reportedAt = now
	}
	return storeState{Lost: unreachable}
}

// reportValidUntil returns until when an owner may rely on this node's last report
// that the store is unreachable, zero if there was none.
func (o *outageTracker) reportValidUntil() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.reportedAt == 0 {
		return 0
	}
	return o.reportedAt + outageReportValidity
}

// isStoreUnreachable reports whether this node reaches the store neither directly
// nor through a peer.
func (p *Process) isStoreUnreachable() bool {
	return p.relay != nil && monotonicNow() > time.Duration(p.relay.lastAnswer.Load())+storeUnreachableAfter
}

// handleOutage reports to a peer whether the store is unreachable for this node. A
// node that claims or owns the pools never reports that it is.
func (p *Process) handleOutage(context.Context, struct{}) (storeState, error) {
	// The report is recorded before the check for a claim, and a claim begins before
	// its check for a report, so that at least one of the two sees the other.
	v := p.outage.recordReport(monotonicNow(), p.isStoreUnreachable())
	v.Lost = v.Lost && !p.ownership.claimingOrOwning.Load()
	return v, nil
}

// confirmOutages asks all peers while this node owns the pools and cannot reach the
// store, and lets the kernel's runs continue while none of them can reach it, too.
func (p *Process) confirmOutages(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, outageCheckInterval)
		h := p.ownership.currentHost()
		if h == nil || !p.isStoreUnreachable() {
			p.recordConfirmation(false)
			continue
		}
		sent := monotonicNow()
		all := p.allPeersReportUnreachable(ctx, p.outage.peersToAsk())
		if all {
			h.send(cell.OutageConfirmed{Until: sent + outageReportValidity})
		}
		p.recordConfirmation(all)
	}
}

// recordConfirmation records whether the peers confirm the outage, and logs a
// change.
func (p *Process) recordConfirmation(confirmed bool) {
	if changed, peers := p.outage.setConfirmed(confirmed); changed {
		p.log.Event(event.OutageBridged, zap.Bool("goes_on", confirmed), zap.Int("peers", peers))
	}
}

// setConfirmed records whether the peers confirm the outage, and returns whether
// that changed and how many peers there are.
func (o *outageTracker) setConfirmed(confirmed bool) (bool, int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	changed := o.confirmed != confirmed
	o.confirmed = confirmed
	return changed, len(o.lastListed)
}

// allPeersReportUnreachable reports whether every peer reports the store as
// unreachable; a peer that does not answer may reach it.
func (p *Process) allPeersReportUnreachable(ctx context.Context, peers []string) bool {
	ctx, cancel := context.WithTimeout(ctx, outageCheckTimeout)
	defer cancel()
	answers := make(chan bool, len(peers))
	for _, peer := range peers {
		go func() {
			v, err := jsonhttp.Call[storeState](ctx, p.peerClient, http.MethodPost, "http://"+peer+outagePath, struct{}{})
			answers <- err == nil && v.Lost
		}()
	}
	for range peers {
		if !<-answers {
			return false
		}
	}
	return true
}
