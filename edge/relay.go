package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
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
	// Client calls peers.
	Client *http.Client
	Log    *eventlog.Log
	peers  func() []string

	mu      sync.Mutex
	broken  bool
	probeAt time.Time
	// answered is when the store last answered, in nanoseconds of mono.
	answered atomic.Int64
	hedge    hedge
}

// Carry sends a call to the store by whichever way is open.
func (r *Relay) Carry(ctx context.Context, c core.StoreCall) (int, []byte, error) {
	if r.tryDirect() {
		status, data, err := r.callDirect(ctx, c)
		if served(status, err) {
			r.note(false, nil)
			r.answered.Store(int64(mono()))
			return status, data, nil
		}
		if ctx.Err() != nil {
			return status, data, err
		}
		if err == nil {
			err = fmt.Errorf("status %d", status)
		}
		r.note(true, err)
	}
	peers := r.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	last := fmt.Errorf("no peer to relay to")
	for _, p := range peers[:min(len(peers), 2)] {
		status, data, err := r.callPeer(ctx, p, c)
		if served(status, err) {
			r.answered.Store(int64(mono()))
			return status, data, nil
		}
		if last = err; err == nil {
			last = fmt.Errorf("peer %s: status %d", p, status)
		}
	}
	return 0, nil, last
}

// served reports whether the store handled a call.
func served(status int, err error) bool {
	return err == nil && status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests && status < 500
}

// tryDirect reports whether the store itself is to be called.
func (r *Relay) tryDirect() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.broken {
		return true
	}
	if time.Now().Before(r.probeAt) {
		return false
	}
	r.probeAt = time.Now().Add(directProbe)
	return true
}

func (r *Relay) note(broken bool, err error) {
	r.mu.Lock()
	changed := r.broken != broken
	if broken && !r.broken {
		r.probeAt = time.Now().Add(directProbe)
	}
	r.broken = broken
	r.mu.Unlock()
	switch {
	case changed && broken:
		r.Log.Event(event.StoreLost, zap.Error(err))
	case changed:
		r.Log.Event(event.StoreRegained)
	}
}

func (r *Relay) callDirect(ctx context.Context, c core.StoreCall) (int, []byte, error) {
	if c.Waits {
		return r.Direct(ctx, c)
	}
	ctx, cancel := context.WithTimeout(ctx, directWithin)
	defer cancel()
	return r.hedge.carry(ctx, r.Direct, c)
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
	r.mu.Lock()
	broken := r.broken
	r.mu.Unlock()
	if broken {
		http.Error(w, "this node has no store", http.StatusServiceUnavailable)
		return
	}
	status, data, err := r.callDirect(q.Context(), c)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	w.WriteHeader(status)
	// A failed write means that the peer is gone.
	_, _ = w.Write(data)
}
