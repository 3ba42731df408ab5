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

// errSilent stands for a call that got no answer before its context ended.
var errSilent = errors.New("no answer")

// TestHedge replays store-doubtful of sellocant-jw, where four of ten writes were
// done and not answered: a row for what becomes of each try. Each silent call
// waits for its context, so that the test ends only if the next try is made.
func TestHedge(t *testing.T) {
	for name, c := range map[string]struct {
		tries  []int
		status int
		failed bool
		sent   int32
	}{
		"answered":                   {[]int{200}, 200, false, 1},
		"refused is not repeated":    {[]int{503, 200}, 503, false, 1},
		"silent, then answered":      {[]int{0, 200}, 200, false, 2},
		"silent, then in conflict":   {[]int{0, 412}, 412, false, 2},
		"silent twice":               {[]int{0, 0, 200}, 200, false, 3},
		"silent, refused, answered":  {[]int{0, 503, 200}, 200, false, 3},
		"silent for good":            {[]int{0, 0, 0, 200}, 0, true, hedgeTries},
		"failed is not repeated":     {[]int{-1, 200}, 0, true, 1},
		"silent, then failed, again": {[]int{0, -1, 200}, 200, false, 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var sent atomic.Int32
			send := func(ctx context.Context, _ core.StoreCall) (int, []byte, error) {
				switch status := c.tries[sent.Add(1)-1]; status {
				case 0:
					<-ctx.Done()
					return 0, nil, errSilent
				case -1:
					return 0, nil, errSilent
				default:
					return status, nil, nil
				}
			}
			ctx := context.Background()
			if c.failed && c.sent == hedgeTries {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, hedgeTries*maxHedge)
				defer cancel()
			}
			var h hedge
			status, _, _, err := h.carry(ctx, send, nil, core.StoreCall{})
			require.Equal(t, c.failed, err != nil)
			require.Equal(t, c.status, status)
			require.Equal(t, c.sent, sent.Load())
		})
	}
}

// TestHedgeByAnotherWay replays scale-2 of zkw-tarcza-grown, where the owner is cut
// off from the store and its peers are not: the last try goes through one of them.
func TestHedgeByAnotherWay(t *testing.T) {
	silent := func(ctx context.Context, _ core.StoreCall) (int, []byte, error) {
		<-ctx.Done()
		return 0, nil, errSilent
	}
	peer := func(context.Context, core.StoreCall) (int, []byte, error) { return 200, nil, nil }
	answers := func(context.Context, core.StoreCall) (int, []byte, error) { return 404, nil, nil }
	for name, c := range map[string]struct {
		direct carrier
		status int
		other  bool
	}{
		"the store is silent": {silent, 200, true},
		"the store answers":   {answers, 404, false},
	} {
		t.Run(name, func(t *testing.T) {
			var h hedge
			status, _, other, err := h.carry(context.Background(), c.direct, peer, core.StoreCall{})
			require.NoError(t, err)
			require.Equal(t, c.status, status)
			require.Equal(t, c.other, other)
		})
	}
}

// TestHedgeFollowsASlowStore keeps a slow store from being asked three times for
// each call.
func TestHedgeFollowsASlowStore(t *testing.T) {
	var h hedge
	require.Equal(t, minHedge, h.pause())
	for range 20 {
		h.observe(10 * time.Millisecond)
	}
	require.Equal(t, minHedge, h.pause())
	for range 3 {
		h.observe(240 * time.Millisecond)
	}
	require.Equal(t, maxHedge, h.pause())
}

// TestClaimIsKnownAgain is a row for what a refused claim shows.
func TestClaimIsKnownAgain(t *testing.T) {
	mine := ownerRecord{Node: "a", Incarnation: "i", Generation: 4}
	other := ownerRecord{Node: "b", Incarnation: "j", Generation: 4}
	for name, c := range map[string]struct {
		items []core.Item
		token int64
	}{
		"an earlier try was done": {[]core.Item{{Key: keySequence, Revision: 7}, {Key: keyOwner, Revision: 7, Value: encode(mine)}}, 7},
		"another node was faster": {[]core.Item{{Key: keyOwner, Revision: 7, Value: encode(other)}}, 0},
		"the sequence has moved":  {[]core.Item{{Key: keySequence, Revision: 8}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			token, err := claimedBefore(c.items, mine)
			require.Equal(t, c.token, token)
			require.Equal(t, c.token == 0, errors.Is(err, core.ErrConflict))
		})
	}
}
