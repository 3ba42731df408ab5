package edge

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/common/eventlog"
	"jacinthwind/core"
)

// TestLongPollWaitsForEachSilentPath guards against a watch that waits for one silent path to the store
// after the other, and so hides changes for seconds (issue 38, CONFIG).
func TestLongPollWaitsForEachSilentPath(t *testing.T) {
	silent := func(ctx context.Context, _ core.StoreCall) (int, []byte, error) {
		<-ctx.Done()
		return 0, nil, ctx.Err()
	}
	failing := func(context.Context, core.StoreCall) (int, []byte, error) {
		return 0, nil, errors.New("connection reset")
	}
	refusing := func(context.Context, core.StoreCall) (int, []byte, error) {
		return http.StatusServiceUnavailable, nil, nil
	}
	serving := func(context.Context, core.StoreCall) (int, []byte, error) {
		return http.StatusOK, []byte("events"), nil
	}
	const wait = 300 * time.Millisecond
	for name, c := range map[string]struct {
		paths []storeCallFunc
		// path is the path that is answered, -1 for none.
		path int
		// limit is the time until the answer.
		limit time.Duration
	}{
		"the first path serves":       {[]storeCallFunc{serving, silent}, 0, wait},
		"the first is silent":         {[]storeCallFunc{silent, serving}, 1, wait + 2*latePathDelay},
		"all but the last are silent": {[]storeCallFunc{silent, silent, silent, silent, serving}, 4, wait + time.Second},
		"the first fails":             {[]storeCallFunc{failing, serving}, 1, wait},
		"one is silent, one refuses":  {[]storeCallFunc{silent, refusing, serving}, 2, wait + 2*latePathDelay},
		"all fail or refuse":          {[]storeCallFunc{failing, refusing, refusing}, -1, wait},
		"no path is known":            {nil, -1, wait},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), linkTestTimeout)
			defer cancel()
			var paths []storePath
			for _, send := range c.paths {
				paths = append(paths, storePath{send: send})
			}
			began := monotonicNow()
			a := racePaths(ctx, core.StoreCall{LongPoll: true, Wait: wait, AnswerWithin: time.Minute}, paths)
			require.Less(t, monotonicNow()-began, c.limit)
			require.Equal(t, c.path >= 0, isServed(a.status, a.err))
			if c.path >= 0 {
				require.Equal(t, c.path, a.path)
			}
		})
	}
}

// TestSilentConnectionCutsNodeOff guards against a node that takes itself for cut off from
// the store, and hands the pools over, since one kept connection has fallen silent.
func TestSilentConnectionCutsNodeOff(t *testing.T) {
	r := &Relay{Log: eventlog.Nop(), Direct: func(ctx context.Context, c core.StoreCall) (int, []byte, error) {
		wait := c.Wait
		if !c.NewConnection {
			wait = c.AnswerWithin
		}
		select {
		case <-ctx.Done():
			return 0, nil, ctx.Err()
		case <-time.After(wait):
		}
		if !c.NewConnection {
			return 0, nil, context.DeadlineExceeded
		}
		return http.StatusOK, nil, nil
	}}
	const wait = time.Second
	status, _, err := r.SendCall(t.Context(), core.StoreCall{LongPoll: true, Wait: wait, AnswerWithin: wait + 700*time.Millisecond})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.False(t, r.isDirectDown())
}

// TestAnswerThatMakesProgressIsRequestedOverFurtherPaths guards against copies of a large
// answer to a watch that share the link that is too slow for one.
func TestAnswerThatMakesProgressIsRequestedOverFurtherPaths(t *testing.T) {
	const wait = 100 * time.Millisecond
	var calls atomic.Int32
	r := &Relay{
		Log: eventlog.Nop(), Client: &http.Client{Transport: roundTripFunc(func(*http.Request) (*http.Response, error) {
			calls.Add(1)
			return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody}, nil
		})},
		peers: func() []string { return []string{"p0", "p1", "p2"} },
		Direct: func(_ context.Context, c core.StoreCall) (int, []byte, error) {
			calls.Add(1)
			for range 10 {
				time.Sleep(latePathDelay / 2)
				c.OnProgress(1 << 10)
			}
			return http.StatusOK, nil, nil
		},
	}
	_, _, err := r.SendCall(t.Context(), core.StoreCall{LongPoll: true, Wait: wait, AnswerWithin: wait + time.Second})
	require.NoError(t, err)
	require.Equal(t, int32(1), calls.Load(), "copies of the watch")
}

// TestReadThroughPeersWaitsForEachSilentPeer guards against a full read, as after a watch whose history
// is gone, that waits for one silent peer after the other.
func TestReadThroughPeersWaitsForEachSilentPeer(t *testing.T) {
	// The silent peer relayed the last call.
	r := &Relay{directDown: true, relayPeer: "silent", Log: eventlog.Nop(), peers: func() []string { return []string{"silent", "serving"} }}
	r.Client = &http.Client{Transport: roundTripFunc(func(req *http.Request) (*http.Response, error) {
		if req.URL.Host == "silent" {
			<-req.Context().Done()
			return nil, req.Context().Err()
		}
		return &http.Response{StatusCode: http.StatusOK, Body: http.NoBody}, nil
	})}
	began := monotonicNow()
	_, _, err := r.SendCall(t.Context(), core.StoreCall{AnswerWithin: time.Second})
	require.NoError(t, err)
	require.Less(t, monotonicNow()-began, 2*time.Second)
}

// TestWatchNeverFindsThatStoreIsSilent guards against a node whose every watch first waits for a store that
// does not answer it, since the answer through a peer ends the race before the direct way has failed.
func TestWatchNeverFindsThatStoreIsSilent(t *testing.T) {
	const wait = time.Second
	relayed := make(chan struct{}, 100)
	r := &Relay{
		Log: eventlog.Nop(), peers: func() []string { return []string{"p0", "p1", "p2"} },
		Direct: func(ctx context.Context, c core.StoreCall) (int, []byte, error) {
			limited, cancel := context.WithTimeout(ctx, c.AnswerWithin)
			defer cancel()
			<-limited.Done()
			return 0, nil, limited.Err()
		},
		Client: &http.Client{Transport: roundTripFunc(func(req *http.Request) (*http.Response, error) {
			relayed <- struct{}{}
			// The peer's watch brings no change.
			select {
			case <-time.After(wait):
			case <-req.Context().Done():
				return nil, req.Context().Err()
			}
			return &http.Response{StatusCode: http.StatusOK, Body: http.NoBody}, nil
		})},
	}
	for range 3 {
		began := monotonicNow()
		_, _, err := r.SendCall(t.Context(), core.StoreCall{LongPoll: true, Wait: wait, AnswerWithin: wait + 700*time.Millisecond})
		require.NoError(t, err)
		t.Log("watch took", monotonicNow()-began, "direct down:", r.isDirectDown(), "relayed", len(relayed))
	}
	require.True(t, r.isDirectDown())
}
