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

// Outage times.
const (
	// lostAfter is after which silence a node says that it has no store: longer
	// than a call and its repetitions take.
	lostAfter = 1200 * time.Millisecond
	// outagePromise is for how long the answers of all peers that they have no store
	// let the owner's runs go on; a node that said so claims only after that.
	outagePromise = 1500 * time.Millisecond
	outageEvery   = 500 * time.Millisecond
	outageWithin  = 400 * time.Millisecond
	// peerMemory is for how long a peer that is listed no more is still asked: it
	// may have lost its entry with the store, and come back with it.
	peerMemory = 30 * time.Second
	outagePath = "/outage"
)

// storeView is what a node says of its contact to the store.
type storeView struct {
	// Lost says that neither the store nor a way to it through a peer answers.
	Lost bool `json:"lost"`
}

// outage lets the owner's runs go on while the store is away for all nodes: a node
// that has no store cannot claim the pools. Its zero value is ready for use.
type outage struct {
	mu sync.Mutex
	// seen is when each peer was listed last.
	seen map[string]time.Duration
	// denied is when this node last said that it has no store.
	denied time.Duration
	// confirmed says that the last question was answered by all peers.
	confirmed bool
}

// listed notes the peers that are listed at a time.
func (o *outage) listed(now time.Duration, peers []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.seen == nil {
		o.seen = map[string]time.Duration{}
	}
	for _, p := range peers {
		o.seen[p] = now
	}
}

// witnesses returns the peers that have to say that they have no store; those that
// were listed when the last list was read are asked for as long as the outage lasts.
func (o *outage) witnesses() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var latest time.Duration
	for _, at := range o.seen {
		latest = max(latest, at)
	}
	var peers []string
	for p, at := range o.seen {
		if at+peerMemory < latest {
			delete(o.seen, p)
			continue
		}
		peers = append(peers, p)
	}
	return peers
}

// deny answers a peer's question at a time.
func (o *outage) deny(now time.Duration, lost bool) storeView {
	o.mu.Lock()
	defer o.mu.Unlock()
	if lost {
		o.denied = now
	}
	return storeView{Lost: lost}
}

// mayBeTrusted returns until when an owner may rely on what this node said,
// zero where it said nothing.
func (o *outage) mayBeTrusted() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.denied == 0 {
		return 0
	}
	return o.denied + outagePromise
}

// lost reports whether this node has no store.
func (p *Process) lost() bool {
	return p.relay != nil && mono() > time.Duration(p.relay.answered.Load())+lostAfter
}

// handleOutage tells a peer whether this node has the store. One that claims the pools
// or owns them does not say that it cannot.
func (p *Process) handleOutage(context.Context, struct{}) (storeView, error) {
	// The word is noted before the node looks whether it claims, and a claim begins
	// before it looks whether the word was given: one of the two sees the other.
	v := p.outage.deny(mono(), p.lost())
	v.Lost = v.Lost && !p.owner.engaged.Load()
	return v, nil
}

// bridgeOutage asks all peers while this node owns the pools without the store, and
// lets the kernel's runs go on while none has it.
func (p *Process) bridgeOutage(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, outageEvery)
		h := p.owner.local()
		if h == nil || !p.lost() {
			p.noteBridge(false)
			continue
		}
		sent := mono()
		all := p.allLost(ctx, p.outage.witnesses())
		if all {
			h.send(cell.OutageConfirmed{Until: sent + outagePromise})
		}
		p.noteBridge(all)
	}
}

// noteBridge logs when the answers of the peers begin or cease to let runs go on.
func (p *Process) noteBridge(all bool) {
	if changed, peers := p.outage.confirm(all); changed {
		p.log.Event(event.OutageBridged, zap.Bool("goes_on", all), zap.Int("peers", peers))
	}
}

// confirm notes whether the peers let runs go on, and returns whether that is new and
// how many peers there are.
func (o *outage) confirm(all bool) (bool, int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	changed := o.confirmed != all
	o.confirmed = all
	return changed, len(o.seen)
}

// allLost reports whether every peer says that it has no store; one that does not
// answer may have it.
func (p *Process) allLost(ctx context.Context, peers []string) bool {
	ctx, cancel := context.WithTimeout(ctx, outageWithin)
	defer cancel()
	answers := make(chan bool, len(peers))
	for _, peer := range peers {
		go func() {
			v, err := jsonhttp.Call[storeView](ctx, p.peerClient, http.MethodPost, "http://"+peer+outagePath, struct{}{})
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
