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

// Relay times.
const (
	// directWithin is how long the store may take before a peer is asked; the
	// slowest store seen answers in a third of a second.
	directWithin = 600 * time.Millisecond
	// directProbe is how often a node without the store tries it again.
	directProbe = time.Second
	relayPath   = "/store"
)

// Relay reaches the store directly or, while the store turns this node away,
// through a peer. All calls that change something are conditional or harmless
// when repeated.
type Relay struct {
	// Direct calls the store itself.
	Direct func(ctx context.Context, c core.StoreCall) (int, []byte, error)
	// Probe is a cheap call that tells whether the store serves this node again.
	Probe core.StoreCall
	// Client calls peers.
	Client *http.Client
	Log    *eventlog.Log
	peers  func() []string

	mu     sync.Mutex
	broken bool
	// cutOff says that the store was silent and turned nobody away.
	cutOff bool
	// good is the peer that carried the last call, empty after a failure.
	good string
	// answered is when the store last answered, in nanoseconds of mono.
	answered atomic.Int64
	// direct is when it last answered this node without a peer.
	direct atomic.Int64
	hedge  hedge
}

// Carry sends a call to the store by whichever way is open.
func (r *Relay) Carry(ctx context.Context, c core.StoreCall) (int, []byte, error) {
	peers := r.order(r.peers())
	if !r.isBroken() {
		status, data, byPeer, err := r.callDirect(ctx, c, peers)
		if served(status, err) {
			r.answered.Store(int64(mono()))
			if !byPeer {
				r.direct.Store(int64(mono()))
			} else if r.silent() {
				r.lose(errSilentStore)
			}
			return status, data, nil
		}
		if ctx.Err() != nil {
			return status, data, err
		}
		if err == nil {
			err = fmt.Errorf("status %d", status)
		}
		r.lose(err)
	}
	last := fmt.Errorf("no peer to relay to")
	for _, p := range peers[:min(len(peers), peerTries)] {
		status, data, err := r.callPeer(ctx, p, c)
		if served(status, err) {
			r.answered.Store(int64(mono()))
			r.remember(p)
			return status, data, nil
		}
		if last = err; err == nil {
			last = fmt.Errorf("peer %s: status %d", p, status)
		}
	}
	r.remember("")
	return 0, nil, last
}

// peerTries is how many peers are asked to carry a call: one of three nodes may be
// turned away, too.
const peerTries = 3

// order returns the peers to ask: the one that carried the last call first, the
// others at random.
func (r *Relay) order(peers []string) []string {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := slices.Index(peers, r.good); i > 0 {
		peers[0], peers[i] = peers[i], peers[0]
	}
	return peers
}

func (r *Relay) remember(peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.good = peer
}

func (r *Relay) isBroken() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken
}

// served reports whether the store handled a call.
func served(status int, err error) bool {
	return err == nil && status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests && status < 500
}

// silentAfter is for how long no call may get an answer before the store counts as
// silent: single answers may be lost.
const silentAfter = 500 * time.Millisecond

// silent reports whether the store has answered no call of this node lately.
func (r *Relay) silent() bool {
	return mono() > time.Duration(r.direct.Load())+silentAfter
}

// isCutOff reports whether the store does not answer this node, which may be cut off
// from more than the store; a store that turns it away is reached through a peer as
// well as directly.
func (r *Relay) isCutOff() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken && r.cutOff
}

// lose notes that the store does not serve this node, and probes it until it does.
func (r *Relay) lose(err error) {
	r.mu.Lock()
	changed := !r.broken
	r.broken = true
	if changed {
		r.cutOff = r.silent() && (errors.Is(err, errSilentStore) || errors.Is(err, context.DeadlineExceeded))
	}
	r.mu.Unlock()
	if changed {
		r.Log.Event(event.StoreLost, zap.Error(err))
		go r.probe()
	}
}

// probe calls the store until it serves this node again; the calls of others do not
// wait for it.
func (r *Relay) probe() {
	for served := false; !served; served = r.probeOnce() {
		time.Sleep(directProbe)
	}
}

// probeOnce reports whether the store serves this node again.
func (r *Relay) probeOnce() bool {
	ctx, cancel := context.WithTimeout(context.Background(), directWithin)
	defer cancel()
	status, _, err := r.Direct(ctx, r.Probe)
	if !served(status, err) {
		return false
	}
	r.mu.Lock()
	r.broken = false
	r.mu.Unlock()
	r.Log.Event(event.StoreRegained)
	return true
}

// errSilentStore means that a peer was served while the store did not answer this
// node: it is cut off.
var errSilentStore = errors.New("the store answers a peer and not this node")

// callDirect calls the store; while it stays silent the first of the peers is asked
// to carry the call as well.
func (r *Relay) callDirect(ctx context.Context, c core.StoreCall, peers []string) (status int, data []byte, byPeer bool, err error) {
	if c.Waits {
		status, data, err = r.Direct(ctx, c)
		return status, data, false, err
	}
	ctx, cancel := context.WithTimeout(ctx, directWithin)
	defer cancel()
	var another carrier
	if len(peers) > 0 {
		another = func(ctx context.Context, c core.StoreCall) (int, []byte, error) { return r.callPeer(ctx, peers[0], c) }
	}
	return r.hedge.carry(ctx, r.Direct, another, c)
}

func (r *Relay) callPeer(ctx context.Context, peer string, c core.StoreCall) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer+relayPath, bytes.NewReader(encode(c)))
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

// serve carries a peer's call to the store, directly only.
func (r *Relay) serve(w http.ResponseWriter, q *http.Request) {
	var c core.StoreCall
	if err := json.NewDecoder(q.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if r.isBroken() {
		http.Error(w, "this node has no store", http.StatusServiceUnavailable)
		return
	}
	status, data, _, err := r.callDirect(q.Context(), c, nil)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	w.WriteHeader(status)
	// A failed write means that the peer is gone.
	_, _ = w.Write(data)
}
