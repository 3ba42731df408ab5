package edge

import (
	"context"
	"errors"
	"net/http"
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
		"all but the last are silent": {[]storeCallFunc{silent, silent, silent, serving}, 3, wait + 4*latePathDelay},
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
		if !c.Again {
			wait = c.AnswerWithin
		}
		select {
		case <-ctx.Done():
			return 0, nil, ctx.Err()
		case <-time.After(wait):
		}
		if !c.Again {
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
