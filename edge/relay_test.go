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

// TestRelayAvoidsUnavailableStoreUntilProbed checks for each answer of the store
// whether it counts as served. A store that does not serve gets no calls but the
// probe's.
func TestRelayAvoidsUnavailableStoreUntilProbed(t *testing.T) {
	failed := errors.New("no answer")
	for name, c := range map[string]struct {
		status int
		err    error
		served bool
	}{
		"done":                {200, nil, true},
		"not found":           {404, nil, true},
		"precondition failed": {412, nil, true},
		"unavailable":         {503, nil, false},
		"too many requests":   {429, nil, false},
		"server error":        {500, nil, false},
		"no answer":           {0, failed, false},
	} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int32
			var serving atomic.Bool
			r := &Relay{
				Direct: func(context.Context, core.StoreCall) (int, []byte, error) {
					calls.Add(1)
					if serving.Load() {
						return 404, nil, nil
					}
					return c.status, nil, c.err
				},
				Log: eventlog.Nop(), peers: func() []string { return nil },
			}
			status, _, err := r.SendCall(context.Background(), core.StoreCall{})
			require.Equal(t, c.served, err == nil)
			require.Equal(t, !c.served, r.isDirectDown())
			if c.served {
				require.Equal(t, c.status, status)
				return
			}
			_, _, err = r.SendCall(context.Background(), core.StoreCall{})
			require.Error(t, err)
			require.Equal(t, int32(1), calls.Load(), "the store gets no call before the next probe")
			require.False(t, r.probeOnce())
			_, _, err = r.SendCall(context.Background(), core.StoreCall{})
			require.Error(t, err)
			require.Equal(t, int32(2), calls.Load())
			serving.Store(true)
			require.True(t, r.probeOnce())
			_, _, err = r.SendCall(context.Background(), core.StoreCall{})
			require.NoError(t, err)
		})
	}
}

// TestRelayKeepsUsingPeerThatServes guards against searching for a peer with each
// call when many nodes, such as 15 of 42 with the owner among them, have no store:
// one peer that has it is found and then relays all calls until it fails.
func TestRelayKeepsUsingPeerThatServes(t *testing.T) {
	asked := map[string]int{}
	var down string
	hasStore := func(name string) bool { return name != down && (name == "p3" || name == "p7") }
	client := &http.Client{Transport: roundTripFunc(func(req *http.Request) (*http.Response, error) {
		asked[req.URL.Host]++
		status := http.StatusServiceUnavailable
		if hasStore(req.URL.Host) {
			status = http.StatusOK
		}
		return &http.Response{StatusCode: status, Body: http.NoBody}, nil
	})}
	r := &Relay{directDown: true, Client: client, Log: eventlog.Nop(), peers: func() []string {
		return []string{"p0", "p1", "p2", "p3", "p4", "p5", "p6", "p7"}
	}}
	find := func() string {
		for range 200 {
			if _, _, err := r.SendCall(context.Background(), core.StoreCall{}); err == nil {
				return r.relayPeer
			}
		}
		return ""
	}
	good := find()
	require.True(t, hasStore(good))
	clear(asked)
	for range 20 {
		_, _, err := r.SendCall(context.Background(), core.StoreCall{})
		require.NoError(t, err)
	}
	require.Equal(t, map[string]int{good: 20}, asked)
	down = good
	next := find()
	require.NotEqual(t, good, next)
	require.True(t, hasStore(next))
}

// TestSingleLostAnswersDoNotCutNodeOff lets a store lose the answers to some calls,
// which a peer then relays: the node is not cut off while other calls get answers.
func TestSingleLostAnswersDoNotCutNodeOff(t *testing.T) {
	for name, c := range map[string]struct {
		// answerAge is how long before storeSilentAfter from now the store last answered
		// directly; the offset keeps the duration of the call itself from counting.
		answerAge time.Duration
		cutOff    bool
	}{
		"another call was answered just now": {0, false},
		"no call is answered":                {time.Minute, true},
	} {
		t.Run(name, func(t *testing.T) {
			client := &http.Client{Transport: roundTripFunc(func(*http.Request) (*http.Response, error) {
				return &http.Response{StatusCode: http.StatusOK, Body: http.NoBody}, nil
			})}
			r := &Relay{
				Direct: func(ctx context.Context, _ core.StoreCall) (int, []byte, error) {
					<-ctx.Done()
					return 0, nil, ctx.Err()
				},
				Client: client, Log: eventlog.Nop(), peers: func() []string { return []string{"p"} },
			}
			r.lastDirectAnswer.Store(int64(monotonicNow() - c.answerAge + storeSilentAfter))
			_, _, err := r.SendCall(context.Background(), core.StoreCall{})
			require.NoError(t, err)
			require.Equal(t, c.cutOff, r.isCutOff())
		})
	}
}

// roundTripFunc answers HTTP requests without a network.
type roundTripFunc func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTripFunc) RoundTrip(req *http.Request) (*http.Response, error) { return f(req) }

// TestOnePageWithoutAnswerBurdensPeers guards against a node that passes its large reads to
// its peers because of one that got no answer, while the store serves its other calls.
func TestOnePageWithoutAnswerBurdensPeers(t *testing.T) {
	for name, c := range map[string]struct {
		otherAnswered bool
		wantPeer      bool
	}{
		"another call is answered meanwhile": {true, false},
		"no call is answered":                {false, true},
	} {
		t.Run(name, func(t *testing.T) {
			asked := false
			r := &Relay{Log: eventlog.Nop(), peers: func() []string { return []string{"p"} }}
			r.Client = &http.Client{Transport: roundTripFunc(func(*http.Request) (*http.Response, error) {
				asked = true
				return &http.Response{StatusCode: http.StatusOK, Body: http.NoBody}, nil
			})}
			r.Direct = func(context.Context, core.StoreCall) (int, []byte, error) {
				if c.otherAnswered {
					r.lastDirectAnswer.Store(int64(monotonicNow()))
				} else {
					r.lastDirectAnswer.Store(int64(monotonicNow() - 2*storeSilentAfter))
				}
				return 0, nil, context.DeadlineExceeded
			}
			_, _, err := r.SendCall(t.Context(), core.StoreCall{AnswerWithin: time.Second})
			require.Equal(t, c.wantPeer, err == nil)
			require.Equal(t, c.wantPeer, asked)
			require.Equal(t, c.wantPeer, r.isDirectDown())
		})
	}
}

// TestLargeReadIsSentSeveralTimes guards against copies of a large answer that share the
// link that is too slow for one.
func TestLargeReadIsSentSeveralTimes(t *testing.T) {
	calls := 0
	r := &Relay{
		Log: eventlog.Nop(), peers: func() []string { return []string{"p"} },
		Direct: func(_ context.Context, c core.StoreCall) (int, []byte, error) {
			calls++
			for range 4 {
				time.Sleep(directTimeout / 3)
				c.OnProgress(1)
			}
			return http.StatusOK, nil, nil
		},
	}
	_, _, err := r.SendCall(t.Context(), core.StoreCall{AnswerWithin: time.Second})
	require.NoError(t, err)
	require.Equal(t, 1, calls)
	require.False(t, r.isStoreSilent())
}

// TestLostAnswerDelaysReadsByTheirWholeTimeLimit guards against a takeover that waits for
// each answer that the store loses until the read's limit ends, and fails after a few.
func TestLostAnswerDelaysReadsByTheirWholeTimeLimit(t *testing.T) {
	for name, c := range map[string]struct {
		otherArrives bool
		wantCalls    int32
	}{
		"the answer is lost":                       {false, 2},
		"another large answer keeps the link busy": {true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int32
			r := &Relay{Log: eventlog.Nop(), peers: func() []string { return nil }}
			r.Direct = func(ctx context.Context, call core.StoreCall) (int, []byte, error) {
				if calls.Add(1) > 1 {
					call.OnProgress(1)
					return http.StatusOK, []byte("page"), nil
				}
				for range 10 {
					if c.otherArrives {
						r.recordPart(1)
					}
					select {
					case <-time.After(call.AnswerWithin / 10):
					case <-ctx.Done():
						return 0, nil, ctx.Err()
					}
				}
				return 0, nil, context.DeadlineExceeded
			}
			r.lastDirectAnswer.Store(int64(monotonicNow() + time.Minute))
			_, data, err := r.SendCall(t.Context(), core.StoreCall{AnswerWithin: 2 * readResendDelay})
			require.Equal(t, c.wantCalls, calls.Load())
			if c.wantCalls > 1 {
				require.NoError(t, err)
				require.Equal(t, "page", string(data))
			} else {
				require.ErrorIs(t, err, context.DeadlineExceeded)
			}
			require.False(t, r.isDirectDown())
		})
	}
}

// TestCopyOfReadSharesLinkWithItsAnswer guards against two copies of a large answer that
// arrive at the same time: once one begins, the other is broken off.
func TestCopyOfReadSharesLinkWithItsAnswer(t *testing.T) {
	var calls, brokenOff atomic.Int32
	r := &Relay{Log: eventlog.Nop(), peers: func() []string { return nil }}
	r.Direct = func(ctx context.Context, call core.StoreCall) (int, []byte, error) {
		if calls.Add(1) > 1 {
			<-ctx.Done()
			brokenOff.Add(1)
			return 0, nil, ctx.Err()
		}
		time.Sleep(3 * readResendDelay / 2)
		call.OnProgress(1)
		for brokenOff.Load() == 0 && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		return http.StatusOK, nil, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*readResendDelay)
	defer cancel()
	status, _, err := r.SendCall(ctx, core.StoreCall{AnswerWithin: time.Second})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, int32(2), calls.Load())
}

// TestSilentPeerHoldsCallWithoutLimit guards against a peer that takes a call and never
// answers: a caller without a deadline of its own waited for ever, such as the renewal of the
// node's own entry, and the other peers were not asked.
func TestSilentPeerHoldsCallWithoutLimit(t *testing.T) {
	client := &http.Client{Transport: roundTripFunc(func(req *http.Request) (*http.Response, error) {
		if req.URL.Host == "serving" && req.Context().Err() == nil {
			return &http.Response{StatusCode: http.StatusOK, Body: http.NoBody}, nil
		}
		<-req.Context().Done()
		return nil, req.Context().Err()
	})}
	r := &Relay{
		directDown: true, relayPeer: "silent", Client: client, Log: eventlog.Nop(),
		peers: func() []string { return []string{"silent", "serving"} },
	}
	ctx, cancel := context.WithTimeout(t.Context(), 4*directTimeout)
	defer cancel()
	_, _, err := r.SendCall(ctx, core.StoreCall{})
	require.NoError(t, err)
	require.Equal(t, "serving", r.relayPeer)
}

// TestLostAnswerOfLargeTransactionIsWaitedForOnFastLink guards against a resend that waits on
// every link for as long as the slowest would take to send the call.
func TestLostAnswerOfLargeTransactionIsWaitedForOnFastLink(t *testing.T) {
	const size = 4 * minTransferRate
	var calls atomic.Int32
	r := &Relay{Log: eventlog.Nop(), peers: func() []string { return nil }, LinkBytesPerS: 125e6}
	r.Direct = func(ctx context.Context, _ core.StoreCall) (int, []byte, error) {
		if calls.Add(1) > 1 {
			return http.StatusOK, nil, nil
		}
		<-ctx.Done()
		return 0, nil, ctx.Err()
	}
	began := monotonicNow()
	_, _, err := r.SendCall(t.Context(), core.StoreCall{Body: make([]byte, size)})
	require.NoError(t, err)
	require.Less(t, monotonicNow()-began, transferTime(size)/2)
	require.Equal(t, transferTime(size), (&Relay{LinkBytesPerS: 250e3}).sendTime(size), "the slowest link")
}

// TestCopyOfReadDelaysSilentStore guards against a read that waits for its copy too, although
// the store has answered nothing for as long as an answer may take to begin.
func TestCopyOfReadDelaysSilentStore(t *testing.T) {
	var calls atomic.Int32
	r := &Relay{Log: eventlog.Nop(), peers: func() []string { return nil }}
	r.Direct = func(ctx context.Context, call core.StoreCall) (int, []byte, error) {
		if calls.Add(1) > 1 {
			<-ctx.Done()
			return 0, nil, ctx.Err()
		}
		time.Sleep(call.AnswerWithin)
		return 0, nil, context.DeadlineExceeded
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*readResendDelay)
	defer cancel()
	_, _, err := r.SendCall(ctx, core.StoreCall{AnswerWithin: 2 * readResendDelay})
	require.Error(t, err)
	require.NoError(t, ctx.Err())
	require.Equal(t, int32(2), calls.Load())
	require.True(t, r.isDirectDown())
}
