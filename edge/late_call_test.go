package edge

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCallIsHandledAfterItsCallerHasLeft guards against an owner that acts on a call which
// its node has given up.
func TestCallIsHandledAfterItsCallerHasLeft(t *testing.T) {
	s := &linkSet{handle: func(context.Context, ownerCall) (ownerAnswer, error) {
		t.Error("the call is handled")
		return ownerAnswer{}, nil
	}}
	l := &ownerLink{wake: make(chan struct{}, 1)}
	s.answer(t.Context(), l, linkCall{ID: 1, ownerCall: ownerCall{Kind: callSubmit, deadline: monotonicNow() - time.Millisecond}})
	require.Len(t, l.pending.Answers, 1)
	require.NotEmpty(t, l.pending.Answers[0].Error)
}

// TestTimeInNodeCountsForCall guards against a call that waits in its node, as while the VM
// is suspended, and then has all its time left.
func TestTimeInNodeCountsForCall(t *testing.T) {
	p := newLinkPair(t, echoCall)
	l := p.node
	l.mu.Lock()
	l.pending.Calls = []linkCall{{ID: 1, ownerCall: ownerCall{deadline: monotonicNow() - 3*time.Second}}, {ID: 2, ownerCall: ownerCall{deadline: monotonicNow() + time.Second}}}
	l.mu.Unlock()
	m, _ := l.take()
	require.Len(t, m.Calls, 2)
	require.LessOrEqual(t, m.Calls[0].TimeoutMs, int64(-3000))
	require.LessOrEqual(t, m.Calls[1].TimeoutMs, int64(1000))
}

// TestFirstCallOverIdleLinkKeepsItsTime guards against a call that counts as late since the
// two ends of its link have not compared their clocks before.
func TestFirstCallOverIdleLinkKeepsItsTime(t *testing.T) {
	left := make(chan time.Duration, 1)
	p := newLinkPair(t, func(ctx context.Context, _ ownerCall) (ownerAnswer, error) {
		left <- timeLeft(ctx)
		return ownerAnswer{}, nil
	})
	p.attach()
	p.awaitLink()
	time.Sleep(linkHeartbeat * 8 / 10)
	ctx, cancel := context.WithTimeout(t.Context(), ownerCallTimeout)
	defer cancel()
	_, err := p.node.call(ctx, ownerCall{Kind: callDepth})
	require.NoError(t, err)
	require.Greater(t, <-left, ownerCallTimeout/2)
}

// TestCallAfterRefusalLooksOlderThanIt guards against a caller that comes back at once and is
// refused again since its call seems to have been sent before the refusal.
func TestCallAfterRefusalLooksOlderThanIt(t *testing.T) {
	sent, decided := make(chan time.Duration, 1), make(chan time.Duration, 1)
	p := newLinkPair(t, func(_ context.Context, call ownerCall) (ownerAnswer, error) {
		sent <- call.sent
		decided <- monotonicNow()
		return ownerAnswer{}, nil
	})
	p.attach()
	p.awaitLink()
	var before time.Duration
	for range 50 {
		_, err := p.node.call(t.Context(), ownerCall{Kind: callDepth})
		require.NoError(t, err)
		require.Greater(t, <-sent, before)
		before = <-decided
	}
}

// TestCallAfterQuietTimeIsTakenForLate guards against a call that counts as late since its link
// was quiet for longer than a comparison of the clocks counts: after a call the node's
// heartbeats left just before the owner's arrived, so that what they echoed was a second old.
func TestCallAfterQuietTimeIsTakenForLate(t *testing.T) {
	const callerWaits = 800 * time.Millisecond
	left := make(chan time.Duration, 1)
	p := newLinkPair(t, func(ctx context.Context, _ ownerCall) (ownerAnswer, error) {
		left <- timeLeft(ctx)
		return ownerAnswer{}, nil
	})
	p.attach()
	p.awaitLink()
	time.Sleep(300 * time.Millisecond)
	for _, quiet := range []time.Duration{0, 10*time.Second + 900*time.Millisecond} {
		time.Sleep(quiet)
		ctx, cancel := context.WithTimeout(t.Context(), callerWaits)
		_, err := p.node.call(ctx, ownerCall{Kind: callDepth})
		cancel()
		require.NoError(t, err, "after %s", quiet)
		require.Greater(t, <-left, callerWaits/2, "after %s", quiet)
	}
}

// TestCallLooksYoungerThanItsRequest guards against a request that was read before its job was refused at
// another node, and is accepted by a copy that its own node sends after that.
func TestCallLooksYoungerThanItsRequest(t *testing.T) {
	const waited = 500 * time.Millisecond
	sent := make(chan time.Duration, 1)
	p := newLinkPair(t, func(_ context.Context, call ownerCall) (ownerAnswer, error) {
		sent <- monotonicNow() - call.sent
		return ownerAnswer{}, nil
	})
	p.attach()
	p.awaitLink()
	_, err := p.node.call(t.Context(), ownerCall{Kind: callSubmit, began: monotonicNow() - waited})
	require.NoError(t, err)
	require.GreaterOrEqual(t, <-sent, waited-2*time.Millisecond)
}
