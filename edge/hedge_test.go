package edge

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core"
)

// errNoAnswer is the error of a call that got no answer.
var errNoAnswer = errors.New("no answer")

// TestCallIsRepeatedOnlyWithoutAnswer checks the result and the number of attempts
// for each outcome of the attempts. It guards against a store that carries out
// writes but loses, for example, four of ten answers. Each silent call waits for its
// context, so that the test ends only if the next attempt is made.
func TestCallIsRepeatedOnlyWithoutAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		// statuses are the results of the attempts: 0 for an attempt without an answer,
		// -1 for one that fails at once, otherwise the status of the answer.
		statuses []int
		status   int
		failed   bool
		sent     int32
	}{
		"answered":                           {[]int{200}, 200, false, 1},
		"refused is not repeated":            {[]int{503, 200}, 503, false, 1},
		"silent, then answered":              {[]int{0, 200}, 200, false, 2},
		"silent, then conflict":              {[]int{0, 412}, 412, false, 2},
		"silent twice":                       {[]int{0, 0, 200}, 200, false, 3},
		"silent, refused, answered":          {[]int{0, 503, 200}, 200, false, 3},
		"never answered":                     {[]int{0, 0, 0, 200}, 0, true, maxHedgeAttempts},
		"failed is not repeated":             {[]int{-1, 200}, 0, true, 1},
		"silent, then failed, then answered": {[]int{0, -1, 200}, 200, false, 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var sent atomic.Int32
			send := func(ctx context.Context, _ core.StoreCall) (int, []byte, error) {
				switch status := c.statuses[sent.Add(1)-1]; status {
				case 0:
					<-ctx.Done()
					return 0, nil, errNoAnswer
				case -1:
					return 0, nil, errNoAnswer
				default:
					return status, nil, nil
				}
			}
			ctx := context.Background()
			if c.failed && c.sent == maxHedgeAttempts {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, maxHedgeAttempts*maxHedgeDelay)
				defer cancel()
			}
			var h hedger
			status, _, _, err := h.call(ctx, send, nil, core.StoreCall{}, 0)
			require.Equal(t, c.failed, err != nil)
			require.Equal(t, c.status, status)
			require.Equal(t, c.sent, sent.Load())
		})
	}
}

// TestLastAttemptUsesFallbackWhenStoreIsSilent guards against an owner that loses
// the pools because it is cut off from the store while its peers are not: the last
// attempt goes through one of them.
func TestLastAttemptUsesFallbackWhenStoreIsSilent(t *testing.T) {
	silent := func(ctx context.Context, _ core.StoreCall) (int, []byte, error) {
		<-ctx.Done()
		return 0, nil, errNoAnswer
	}
	peer := func(context.Context, core.StoreCall) (int, []byte, error) { return 200, nil, nil }
	answers := func(context.Context, core.StoreCall) (int, []byte, error) { return 404, nil, nil }
	for name, c := range map[string]struct {
		direct  storeCallFunc
		status  int
		viaPeer bool
	}{
		"the store is silent": {silent, 200, true},
		"the store answers":   {answers, 404, false},
	} {
		t.Run(name, func(t *testing.T) {
			var h hedger
			status, _, viaPeer, err := h.call(context.Background(), c.direct, peer, core.StoreCall{}, 0)
			require.NoError(t, err)
			require.Equal(t, c.status, status)
			require.Equal(t, c.viaPeer, viaPeer)
		})
	}
}

// TestResendDelayFollowsLatencyWithinLimits guards against asking a slow store
// three times for each call.
func TestResendDelayFollowsLatencyWithinLimits(t *testing.T) {
	var h hedger
	require.Equal(t, minHedgeDelay, h.resendDelay())
	for range 20 {
		h.recordLatency(10 * time.Millisecond)
	}
	require.Equal(t, minHedgeDelay, h.resendDelay())
	for range 3 {
		h.recordLatency(240 * time.Millisecond)
	}
	require.Equal(t, maxHedgeDelay, h.resendDelay())
}
