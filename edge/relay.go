package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"jacinthwind/common/eventlog"
	"jacinthwind/core"
	"jacinthwind/core/event"
)

// Timeouts and intervals of a relay.
const (
	// directTimeout is how long the store may take before a peer is asked; even a
	// slow store answers within a third of a second.
	directTimeout = 600 * time.Millisecond
	// probeInterval is the interval at which a node probes a store that does not
	// serve it.
	probeInterval = time.Second
	// relayedTransferTime is how much longer a large answer may take through a peer, which
	// first reads it whole.
	relayedTransferTime = 4 * time.Second
	// peerCallMargin is how much longer a call through a peer takes than a direct one.
	peerCallMargin = 400 * time.Millisecond
	relayPath      = "/store"
)

// Relay sends calls to the store directly or, while the store refuses this node,
// through a peer. Every call that changes something is conditional or harmless when
// repeated.
type Relay struct {
	// Direct sends a call to the store itself.
	Direct func(ctx context.Context, c core.StoreCall) (int, []byte, error)
	// Probe is a cheap call that shows whether the store serves this node again.
	Probe core.StoreCall
	// Client calls peers.
	Client *http.Client
	// LinkBytesPerS is the bandwidth of this VM's link, zero if it is not known.
	LinkBytesPerS float64
	Log           *eventlog.Log
	peers         func() []string

	mu sync.Mutex
	// directDown is set while the store does not serve this node directly.
	directDown bool
	// cutOff is set together with directDown if the store gave no answer, as opposed
	// to a refusal.
	cutOff bool
	// relayPeer is the peer that relayed the last call, empty after a failure.
	relayPeer string
	// lastAnswer is when the store last answered, directly or through a peer, in
	// nanoseconds of monotonicNow.
	lastAnswer atomic.Int64
	// lastDirectAnswer is when the store last answered this node without a peer.
	lastDirectAnswer atomic.Int64
	// lastPart is when the last part of a large answer arrived.
	lastPart atomic.Int64
	// received counts the bytes of large answers, directly or through a peer.
	received atomic.Int64
	hedge    hedger
}

// SendCall sends a call to the store, directly or through a peer.
func (r *Relay) SendCall(ctx context.Context, c core.StoreCall) (int, []byte, error) {
	var peers []string
	if r.peers != nil {
		peers = r.orderPeers(r.peers())
	}
	if c.LongPoll {
		return r.sendLongPoll(ctx, c, peers)
	}
	if !r.isDirectDown() {
		status, data, viaPeer, err := r.callWithHedging(ctx, c, peers)
		if isServed(status, err) {
			r.lastAnswer.Store(int64(monotonicNow()))
			if !viaPeer {
				r.lastDirectAnswer.Store(int64(monotonicNow()))
			} else if r.isStoreSilent() {
				r.markDirectDown(errSilentStore)
			}
			return status, data, nil
		}
		busy := errors.Is(err, context.DeadlineExceeded) && !r.isStoreSilent()
		if ctx.Err() != nil || (busy && c.AnswerWithin > 0) {
			// The store serves other calls, so that a large read would only burden a peer.
			return status, data, err
		}
		if err == nil {
			err = fmt.Errorf("call store: status %d", status)
		}
		if !busy {
			r.markDirectDown(err)
		}
	}
	lastErr := fmt.Errorf("relay call to store: no peer relays it")
	for i, p := range peers[:min(len(peers), maxPeerAttempts)] {
		c.NewConnection = i > 0
		if c.AnswerWithin > 0 && !r.isServedThrough(ctx, p, c.NewConnection) {
			continue
		}
		status, data, err := r.callPeerWithin(ctx, relayTimeout(c), p, c)
		if isServed(status, err) {
			r.lastAnswer.Store(int64(monotonicNow()))
			r.received.Add(int64(len(data)))
			r.setRelayPeer(p)
			return status, data, nil
		}
		if lastErr = err; err == nil {
			lastErr = fmt.Errorf("relay call to store through peer %s: status %d", p, status)
		}
	}
	r.setRelayPeer("")
	return 0, nil, lastErr
}

// relayTimeout returns how long one peer may take to relay a call, whose body is sent to the
// peer and from there to the store.
func relayTimeout(c core.StoreCall) time.Duration {
	switch {
	case c.LongPoll:
		return c.AnswerWithin
	case c.AnswerWithin > 0:
		return c.AnswerWithin + relayedTransferTime
	}
	return directTimeout + 2*transferTime(len(c.Body)) + peerCallMargin
}

// maxPeerAttempts is how many peers are asked to relay a call: the store may refuse
// one of three nodes.
const maxPeerAttempts = 3

// orderPeers returns the peers in the order in which to ask them: the one that
// relayed the last call first, the others at random.
func (r *Relay) orderPeers(peers []string) []string {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := slices.Index(peers, r.relayPeer); i > 0 {
		peers[0], peers[i] = peers[i], peers[0]
	}
	return peers
}

func (r *Relay) setRelayPeer(peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.relayPeer = peer
}

func (r *Relay) isDirectDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.directDown
}

// isServed reports whether the store handled a call.
func isServed(status int, err error) bool {
	return err == nil && status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests && status < 500
}

// storeSilentAfter is how long no call may get an answer before the store counts as
// silent: single answers may be lost.
const storeSilentAfter = 500 * time.Millisecond

// isStoreSilent reports whether the store has answered no direct call of this node
// within storeSilentAfter.
func (r *Relay) isStoreSilent() bool {
	return monotonicNow() > time.Duration(r.lastDirectAnswer.Load())+storeSilentAfter
}

// isCutOff reports whether the store does not answer this node, which may be cut
// off from more than the store. A node that the store refuses is not cut off: it
// reaches the store as well through a peer as directly.
func (r *Relay) isCutOff() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.directDown && r.cutOff
}

// markDirectDown records that the store does not serve this node and whether the
// node is cut off, and starts to probe the store.
func (r *Relay) markDirectDown(err error) {
	r.mu.Lock()
	changed := !r.directDown
	r.directDown = true
	if changed {
		r.cutOff = r.isStoreSilent() && (errors.Is(err, errSilentStore) || errors.Is(err, context.DeadlineExceeded))
	}
	r.mu.Unlock()
	if changed {
		r.Log.Event(event.StoreLost, zap.Error(err))
		go r.probeUntilServed()
	}
}

// probeUntilServed probes the store until it serves this node again; other calls do
// not wait for it.
func (r *Relay) probeUntilServed() {
	for served := false; !served; served = r.probeOnce() {
		time.Sleep(probeInterval)
	}
}

// probeOnce probes the store and reports whether it serves this node again.
func (r *Relay) probeOnce() bool {
	ctx, cancel := context.WithTimeout(context.Background(), directTimeout)
	defer cancel()
	status, _, err := r.Direct(ctx, r.Probe)
	if !isServed(status, err) {
		return false
	}
	r.mu.Lock()
	r.directDown = false
	r.mu.Unlock()
	r.Log.Event(event.StoreRegained)
	return true
}

// errSilentStore means that the store answered a peer but not this node, which is
// cut off.
var errSilentStore = errors.New("call store: it answers a peer but not this node")

// callWithHedging calls the store. After two attempts without an answer, the last
// one goes through the first of the peers. A long poll is sent once.
func (r *Relay) callWithHedging(ctx context.Context, c core.StoreCall, peers []string) (status int, data []byte, viaPeer bool, err error) {
	if c.AnswerWithin > 0 {
		a := r.readLarge(ctx, c)
		return a.status, a.data, false, a.err
	}
	ctx, cancel := context.WithTimeout(ctx, directTimeout+transferTime(len(c.Body)))
	defer cancel()
	var fallback storeCallFunc
	if len(peers) > 0 {
		fallback = func(ctx context.Context, c core.StoreCall) (int, []byte, error) { return r.callPeer(ctx, peers[0], c) }
	}
	return r.hedge.call(ctx, r.Direct, fallback, c, r.sendTime(len(c.Body)))
}

const (
	// readResendDelay is how long a read whose answer may be large waits for it before it
	// is sent again; even a slow store answers within a third of a second.
	readResendDelay = 450 * time.Millisecond
	// partInterval is how long after a part of a large answer the link counts as busy.
	partInterval = 200 * time.Millisecond
	// maxReadAttempts is how often such a read is sent at most.
	maxReadAttempts = 2
)

// recordPart records that a part of a large answer has arrived.
func (r *Relay) recordPart(bytes int) {
	r.received.Add(int64(bytes))
	now := int64(monotonicNow())
	r.lastDirectAnswer.Store(now)
	r.lastPart.Store(now)
}

// readLarge sends a read whose answer may be large. As the store may lose single answers,
// it is sent again if its answer does not begin, unless parts of others keep the link busy.
// Once one answer begins, the other is broken off.
func (r *Relay) readLarge(ctx context.Context, c core.StoreCall) attemptResult {
	results := make(chan attemptResult, maxReadAttempts)
	var cancels [maxReadAttempts]context.CancelFunc
	var contexts [maxReadAttempts]context.Context
	for i := range cancels {
		contexts[i], cancels[i] = context.WithCancel(ctx)
		defer cancels[i]()
	}
	var begun sync.Once
	attempt := func(i int) {
		c := c
		c.NewConnection = i > 0
		c.OnProgress = func(bytes int) {
			r.recordPart(bytes)
			begun.Do(func() {
				for j, cancel := range cancels {
					if j != i {
						cancel()
					}
				}
			})
		}
		status, data, err := r.Direct(contexts[i], c)
		results <- attemptResult{status: status, data: data, err: err}
	}
	go attempt(0)
	sent, failed := 1, 0
	var last attemptResult
	t := time.NewTimer(readResendDelay)
	defer t.Stop()
	for {
		select {
		case a := <-results:
			if isServed(a.status, a.err) {
				return a
			}
			if failed++; failed == 1 || !errors.Is(a.err, context.Canceled) {
				last = a
			}
			silent := errors.Is(last.err, context.DeadlineExceeded) && r.isStoreSilent()
			if failed == sent || silent {
				return last
			}
		case <-t.C:
			switch {
			case sent == maxReadAttempts || contexts[sent].Err() != nil:
			case monotonicNow() < time.Duration(r.lastPart.Load())+partInterval:
				t.Reset(partInterval)
			default:
				go attempt(sent)
				sent++
			}
		}
	}
}

// minTransferRate is the rate, in bytes per second, at which a node sends at least: well
// below the slowest link, which other calls share.
const minTransferRate = 64 << 10

// transferTime returns how long sending a body of the given size may take.
func transferTime(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / minTransferRate
}

// linkShare is the share of the link that a call has at least, beside all others.
const linkShare = 0.25

// sendTime returns how long sending a body of the given size takes over this VM's link, which
// other calls share. It is far shorter than transferTime on a fast link.
func (r *Relay) sendTime(bytes int) time.Duration {
	return time.Duration(float64(bytes) / max(linkShare*r.LinkBytesPerS, minTransferRate) * float64(time.Second))
}

// isServedThrough reports whether a peer relays a call that is answered soon. Whether it relays a
// large read would only show when it has read it whole.
func (r *Relay) isServedThrough(ctx context.Context, peer string, newConnection bool) bool {
	c := r.Probe
	c.NewConnection = newConnection
	status, _, err := r.callPeerWithin(ctx, directTimeout, peer, c)
	return isServed(status, err)
}

// callPeerWithin is callPeer with a timeout.
func (r *Relay) callPeerWithin(ctx context.Context, timeout time.Duration, peer string, c core.StoreCall) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return r.callPeer(ctx, peer, c)
}

// callPeer asks a peer to relay a call to the store.
func (r *Relay) callPeer(ctx context.Context, peer string, c core.StoreCall) (int, []byte, error) {
	if c.NewConnection {
		r.Client.CloseIdleConnections()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer+relayPath, bytes.NewReader(mustEncode(c)))
	if err != nil {
		return 0, nil, err
	}
	req.GetBody = nil
	resp, err := r.Client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// callDirectly calls the store without a peer.
func (r *Relay) callDirectly(ctx context.Context, c core.StoreCall) (int, []byte, error) {
	if c.LongPoll {
		a := racePaths(ctx, c, r.directPaths())
		return a.status, a.data, a.err
	}
	status, data, _, err := r.callWithHedging(ctx, c, nil)
	return status, data, err
}

// serveRelayed sends a peer's call to the store, never through another peer.
func (r *Relay) serveRelayed(w http.ResponseWriter, req *http.Request) {
	var c core.StoreCall
	if err := json.NewDecoder(req.Body).Decode(&c); err != nil {
		// A status of 4xx would be taken as the store's answer.
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	if r.isDirectDown() {
		http.Error(w, "this node has no store", http.StatusServiceUnavailable)
		return
	}
	status, data, err := r.callDirectly(req.Context(), c)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	w.WriteHeader(status)
	// A write fails only if the peer has disconnected.
	_, _ = w.Write(data)
}
