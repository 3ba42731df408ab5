package edge

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"jacinthwind/core"
	"jacinthwind/core/event"
)

const (
	// latePathDelay is how much longer than the store may wait the first path may take for
	// the answer to a long poll before the next one is used beside it. Even a slow store
	// answers within a third of a second.
	latePathDelay = 350 * time.Millisecond
	// nextPathDelay is the time until each further path is used. With all paths but the last
	// silent, a version of the configuration must still be in force within two seconds.
	nextPathDelay = 200 * time.Millisecond
)

// storePath is a way to the store.
type storePath struct {
	// peer relays the call; it is empty on the way without one.
	peer string
	send storeCallFunc
}

// pathResult is the result of a call over one path.
type pathResult struct {
	attemptResult
	path int
}

// racePaths sends a call over the first path and, while no answer begins, over one path
// after the other beside it. The first answer of a store that serves counts; a path that
// fails gives way to the next at once. path is the index of the path of the result.
func racePaths(ctx context.Context, c core.StoreCall, paths []storePath) pathResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	begun := make(chan struct{})
	onBegin, onProgress := sync.OnceFunc(func() { close(begun) }), c.OnProgress
	c.OnProgress = func(bytes int) {
		onBegin()
		if onProgress != nil {
			onProgress(bytes)
		}
	}
	results := make(chan pathResult, len(paths))
	started, failed := 0, 0
	startNext := func() {
		if started == len(paths) {
			return
		}
		i := started
		started++
		go func() {
			status, data, err := paths[i].send(ctx, c)
			results <- pathResult{attemptResult{status: status, data: data, err: err, viaPeer: paths[i].peer != ""}, i}
		}()
	}
	startNext()
	delay := c.Wait + latePathDelay
	if c.Wait == 0 {
		// A node of an earlier build does not say how long the store may wait.
		delay = c.AnswerWithin
	}
	t := time.NewTimer(delay)
	defer t.Stop()
	last := pathResult{attemptResult: attemptResult{err: fmt.Errorf("call store: no path is known")}}
	for failed < len(paths) {
		select {
		case last = <-results:
			if isServed(last.status, last.err) || ctx.Err() != nil {
				return last
			}
			failed++
			startNext()
		case <-t.C:
			startNext()
			t.Reset(nextPathDelay)
		case <-begun:
			// Copies would share the link with the answer that arrives.
			begun = nil
			t.Stop()
		}
	}
	return last
}

// directPaths returns the ways to the store without a peer: over a connection that was kept,
// and over a new one.
func (r *Relay) directPaths() []storePath {
	direct := func(newConnection bool) storeCallFunc {
		return func(ctx context.Context, c core.StoreCall) (int, []byte, error) {
			c.NewConnection = newConnection
			onProgress := c.OnProgress
			c.OnProgress = func(bytes int) {
				r.lastDirectAnswer.Store(int64(monotonicNow()))
				onProgress(bytes)
			}
			return r.Direct(ctx, c)
		}
	}
	return []storePath{{send: direct(false)}, {send: direct(true)}}
}

// sendLongPoll sends a long poll over several paths, so that one that has fallen silent does
// not hide changes for long.
func (r *Relay) sendLongPoll(ctx context.Context, c core.StoreCall, peers []string) (int, []byte, error) {
	var paths []storePath
	// newestSent is when the call was sent directly over a new connection; the one that was
	// kept may have fallen silent by itself.
	var newestSent atomic.Int64
	if !r.isDirectDown() {
		paths = r.directPaths()
		newest := &paths[len(paths)-1]
		send := r.markDownOnFailure(newest.send)
		newest.send = func(ctx context.Context, c core.StoreCall) (int, []byte, error) {
			newestSent.Store(int64(monotonicNow()))
			return send(ctx, c)
		}
	}
	for i, peer := range peers[:min(len(peers), maxPeerAttempts)] {
		newConnection := i > 0 || len(paths) > 0
		paths = append(paths, storePath{peer: peer, send: func(ctx context.Context, c core.StoreCall) (int, []byte, error) {
			c.NewConnection = newConnection
			return r.callPeerWithin(ctx, relayTimeout(c), peer, c)
		}})
	}
	began := monotonicNow()
	a := racePaths(ctx, c, paths)
	if !isServed(a.status, a.err) {
		r.setRelayPeer("")
		if a.err == nil {
			a.err = fmt.Errorf("call store: status %d", a.status)
		}
		return 0, nil, a.err
	}
	r.lastAnswer.Store(int64(monotonicNow()))
	if a.viaPeer {
		r.setRelayPeer(paths[a.path].peer)
		if sent := newestSent.Load(); sent != 0 && monotonicNow() > time.Duration(sent)+c.Wait+latePathDelay/2 {
			r.markDirectDown(errSilentStore)
		}
	}
	if a.path > 0 {
		r.Log.Event(event.LongPollRerouted, zap.Int("path", a.path), zap.String("peer", paths[a.path].peer), zap.Int64("took_ms", (monotonicNow()-began).Milliseconds()))
	}
	return a.status, a.data, nil
}

// markDownOnFailure returns a function that sends a call directly and, if the store does not serve
// it, lets further calls go through peers.
func (r *Relay) markDownOnFailure(send storeCallFunc) storeCallFunc {
	return func(ctx context.Context, c core.StoreCall) (int, []byte, error) {
		status, data, err := send(ctx, c)
		busy := errors.Is(err, context.DeadlineExceeded) && !r.isStoreSilent()
		if !isServed(status, err) && ctx.Err() == nil && !busy {
			cause := err
			if cause == nil {
				cause = fmt.Errorf("call store: status %d", status)
			}
			r.markDirectDown(cause)
		}
		return status, data, err
	}
}
